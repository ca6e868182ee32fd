//! The known servers, the state that is kept for each, and how much of their load this balancer can see.

mod registry;
mod server;
mod view;

pub use registry::{ServerIndex, ServerRegistry};
pub use server::ServerState;
pub use view::FleetView;
