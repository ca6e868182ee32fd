//! How much of the load of a server this balancer sees.

/// How much of the load of a server this balancer sees. Concerns that behave differently in the two views are
/// told of a change by their `set_view`, and hold both behaviours side by side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetView {
    /// It meets each server often, so its own counts distinguish servers.
    Dense,
    /// Balancers outnumber servers: most of a server's load is other balancers', and own counts are nearly
    /// all alike.
    Sparse,
}

impl FleetView {
    /// The view of one of `balancer_count` balancers on a fleet of `server_count`.
    pub fn of(balancer_count: u32, server_count: usize) -> Self {
        if balancer_count as usize > server_count {
            FleetView::Sparse
        } else {
            FleetView::Dense
        }
    }
}
