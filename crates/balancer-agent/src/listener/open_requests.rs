//! The ids of the requests that are open. Ids are new with every request; a second request under an open
//! one's id would disturb the first.

use std::cell::RefCell;
use std::collections::HashSet;

/// Ids of open requests.
#[derive(Default)]
pub struct OpenRequestIds {
    ids: RefCell<HashSet<Box<str>>>,
}

impl OpenRequestIds {
    /// Marks an id as open; none if it is already.
    pub fn open(&self, id: &str) -> Option<OpenRequestGuard<'_>> {
        let id: Box<str> = id.into();
        let is_new = self.ids.borrow_mut().insert(id.clone());
        is_new.then(|| OpenRequestGuard { open: self, id })
    }
}

/// Keeps an id open; dropping it frees the id.
pub struct OpenRequestGuard<'a> {
    open: &'a OpenRequestIds,
    id: Box<str>,
}

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.open.ids.borrow_mut().remove(&self.id);
    }
}
