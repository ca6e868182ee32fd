//! The routing rule: the lightest remembered server against fresh uniform draws, by own requests in flight.
//! The request goes to the lightest, and that server is remembered (DESIGN page; the paper's (d, m) policy).

mod candidates;
mod context;
mod eligibility;
mod memory;
mod request;
mod router;
mod sample;
mod selection;

pub use context::RoutingContext;
pub use request::RoutingRequest;
pub use router::Router;
pub use sample::MAX_CANDIDATES;
