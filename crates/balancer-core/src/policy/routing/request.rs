//! The properties of a request that server selection depends on.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use crate::policy::fleet::ServerIndex;
use crate::policy::requests::ActiveRequest;
use crate::policy::retry::AttemptPermission;
use crate::units::Work;
use crate::{ClassId, RequestId, RoutingKey};

/// Lower bound of the relative work from which the slowness sensitivity of a request is computed. The
/// relative work is the estimated work of the request divided by the typical work of its class.
const MIN_RELATIVE_WORK: f64 = 1.0;
/// Upper bound of the relative work from which the slowness sensitivity of a request is computed.
const MAX_RELATIVE_WORK: f64 = 9.0;

/// The properties of a request that server selection depends on.
pub struct RoutingRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// What the rules against duplicated effects still permit for the request.
    pub permission: AttemptPermission,
    /// The estimated work of the request.
    pub work: Work,
    /// How strongly selection avoids slow servers: 1 for a request with at most the typical work of its
    /// class, and more for a request with more work.
    pub slowness_sensitivity: f64,
    /// The routing key of the request; `None` if the request has no key or if servers do not serve a known
    /// key with less work.
    pub routing_key: Option<RoutingKey>,
    /// The server that the routing key was last sent to.
    pub key_server: Option<ServerIndex>,
    /// The servers of all attempts so far.
    pub tried_servers: Vec<ServerIndex>,
}

impl RoutingRequest {
    /// Collects the properties of an active request as they are now.
    pub fn new(context: &RoutingContext<'_>, memory: &ServerMemory, active: &ActiveRequest) -> Self {
        let class = active.class();
        let work = context.latency.estimated_work(context.settings, &active.request);
        let typical_work_ms = context.latency.typical_latency_ms(context.settings, class);
        let relative_work = work.as_millis_f64() / typical_work_ms;
        let routing_key = active.request.routing_key.filter(|_| context.settings.has_key_affinity);
        RoutingRequest {
            id: active.request.id,
            class,
            permission: AttemptPermission::of(context.settings, active, context.now),
            work,
            slowness_sensitivity: relative_work.clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK).sqrt(),
            routing_key,
            key_server: routing_key.and_then(|key| memory.server_of_key(key)),
            tried_servers: active.attempts.iter().map(|attempt| attempt.server).collect(),
        }
    }

    /// Returns whether an earlier attempt of the request was sent to this server.
    pub fn has_tried(&self, server: ServerIndex) -> bool {
        self.tried_servers.contains(&server)
    }
}
