//! How much of each server's load a balancer can see.

/// How much of each server's load this balancer can see from its own requests.
///
/// Components that behave differently in the two views contain both behaviours. Components whose state
/// depends on the view are notified of a change through their `set_view` method.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetView {
    /// The balancer sends requests to each server often, so its own requests in flight show which servers are
    /// more loaded.
    Dense,
    /// There are more balancers than servers. Most of a server's load comes from other balancers, and the
    /// numbers of own requests in flight are nearly the same for all servers.
    Sparse,
}

impl FleetView {
    /// Returns the view of each of `balancer_count` balancers that share a fleet of `server_count` servers.
    pub fn of(balancer_count: u32, server_count: usize) -> Self {
        if balancer_count as usize > server_count {
            FleetView::Sparse
        } else {
            FleetView::Dense
        }
    }
}
