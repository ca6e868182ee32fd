//! The servers that the endpoint list has named, what is kept of each, and how much of their load is seen.

mod registry;
mod server;
mod view;

pub use registry::{ServerIndex, ServerRegistry};
pub use server::ServerState;
pub use view::FleetView;
