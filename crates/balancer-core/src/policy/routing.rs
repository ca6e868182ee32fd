//! The routing rule, which selects the server for an attempt.
//!
//! The candidates are servers drawn uniformly at random and servers remembered from earlier requests. The
//! request is sent to the least loaded candidate, chiefly by the balancer's own requests in flight, and that
//! server is remembered (DESIGN page; the paper's (d, m) policy).

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
