//! The ids of open requests.
//!
//! Clients use a new id for every request, so a second request with the id of an open one is an error. Such a
//! request is not forwarded, because it would interfere with the first one at the server.

use std::cell::RefCell;
use std::collections::HashSet;

/// The set of ids of open requests.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<Box<str>>>,
}

impl OpenRequestIds {
    /// Adds an id to the set until the returned guard is dropped. Returns `None` if the set already contains
    /// the id.
    pub fn open(&self, id: &str) -> Option<OpenRequestGuard<'_>> {
        let id: Box<str> = id.into();
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequestGuard { open_ids: self, id })
    }
}

/// A guard that keeps an id in the set. Dropping the guard removes the id.
pub struct OpenRequestGuard<'a> {
    open_ids: &'a OpenRequestIds,
    id: Box<str>,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.open_ids.ids.borrow_mut().remove(&self.id);
    }
}
