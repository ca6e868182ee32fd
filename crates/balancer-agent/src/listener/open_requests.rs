//! The ids of open requests. Clients use a new id for every request. A second request with the id of an open
//! one is therefore an error; at the server it would interfere with the first one.

use std::cell::RefCell;
use std::collections::HashSet;

/// The set of ids of open requests.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<Box<str>>>,
}

impl OpenRequestIds {
    /// Adds an id to the set. Returns `None` if the set contains the id already.
    pub fn open(&self, id: &str) -> Option<OpenRequestGuard<'_>> {
        let id: Box<str> = id.into();
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequestGuard { open_ids: self, id })
    }
}

/// Keeps an id in the set. Dropping the guard removes the id.
pub struct OpenRequestGuard<'a> {
    open_ids: &'a OpenRequestIds,
    id: Box<str>,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.open_ids.ids.borrow_mut().remove(&self.id);
    }
}
