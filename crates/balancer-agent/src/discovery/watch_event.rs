//! The events of a watch, and their handler.

use crate::endpoint_list::EndpointList;
use std::rc::Rc;

/// A handler of the events of a watch.
pub trait WatchHandler {
    /// Handles a new list or the failure of the watch.
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent);
}

/// An event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// Discovery sent the complete list, or the changes since the previous list.
    Endpoints(EndpointList),
    /// A call failed, or its response is overdue. The watch makes no further call until
    /// [`Discovery::watch`](super::Discovery::watch) is called. A response that arrives before then continues
    /// the watch.
    Failed,
}
