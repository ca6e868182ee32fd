//! Client-side load-balancing decisions, without I/O.
//!
//! A host is a program that embeds a [`Balancer`]. The host passes every [`Event`] and its [`Time`] to the
//! balancer and carries out the [`Action`]s that the balancer returns. The balancer never reads a clock,
//! opens a socket or starts a thread.
//!
//! For each request, the balancer draws a few servers uniformly at random and adds a few that it selected
//! before. The request is sent to the least loaded of these candidates. The load of a candidate is above all
//! the number of requests that this balancer itself has in flight there.
//!
//! ```
//! use balancer_core::*;
//!
//! let class = RequestClass {
//!     latency_objective: Span::from_millis(100),
//!     timeout: Span::from_millis(400),
//!     ..RequestClass::default()
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("valid settings");
//! let mut actions = Vec::new();
//!
//! // The host passes on the endpoint list.
//! let now = Time::from_millis(1000);
//! let endpoints = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(endpoints)), &mut actions);
//!
//! // For each request, the balancer decides which server the request is sent to.
//! let request = Request::new(RequestId(1), ClassId(0), Span::from_millis(400));
//! balancer.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: RequestId(1), .. })));
//! ```

mod balancer;
mod endpoint;
mod event;
mod ids;
mod notice;
mod policy;
mod settings;
#[cfg(test)]
mod test_support;
mod time;
mod units;

pub use balancer::Balancer;
pub use endpoint::{Endpoint, EndpointStatus, EndpointUpdate};
pub use event::{Action, Event, LoadReport, Outcome, Request};
pub use ids::{
    AttemptId, AttemptNumber, CellId, ClassId, MachineKindId, PeerId, RequestId, RoutingKey, ServerId,
    TenantId, TimerId, ZoneId,
};
pub use notice::{EjectionReason, Notice};
pub use settings::{
    Costs, DedupScope, DiscoveryMode, Effect, EndpointWeights, GoalWeights, LoadReportField,
    LoadReportSource, RequestClass, Settings, SettingsError, Tenant, ValueBasis,
};
pub use time::{Span, Time};
pub use units::LatencyRatio;
