//! Client-side load-balancing decisions, without I/O.
//!
//! Each client process owns one [`Balancer`]. It is told what happened ([`Event`]) and when ([`Time`]), and
//! returns what to do ([`Action`]); it never reads a clock, opens a socket or starts a thread. Per request it
//! compares the lightest server it remembers with fresh uniform draws, by its own requests in flight.
//!
//! ```
//! use balancer_core::*;
//!
//! let class = RequestClass {
//!     latency_objective: Span::from_millis(100),
//!     deadline: Span::from_millis(400),
//!     ..RequestClass::default()
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7).expect("usable settings");
//! let mut actions = Vec::new();
//!
//! // The caller learns which servers there are,
//! let now = Time::from_millis(1000);
//! let endpoints = vec![Endpoint::serving(ServerId(0)), Endpoint::serving(ServerId(1))];
//! balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(endpoints)), &mut actions);
//!
//! // and passes on a request: the balancer says where to send it.
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
    AttemptNumber, CellId, ClassId, MachineKindId, PeerId, RequestId, RoutingKey, ServerId, TenantId,
    TimerId, ZoneId,
};
pub use notice::{EjectionReason, Notice};
pub use settings::{
    Costs, DedupScope, DiscoveryMode, Effect, EndpointWeights, GoalWeights, LoadReportField,
    LoadReportSource, RequestClass, Settings, SettingsError, Tenant, ValueBasis,
};
pub use time::{Span, Time};
pub use units::LatencyRatio;
