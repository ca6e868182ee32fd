//! What the choice of a server must know of its request.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use crate::policy::fleet::ServerIndex;
use crate::policy::requests::ActiveRequest;
use crate::policy::retry::AttemptPermission;
use crate::units::Work;
use crate::{ClassId, RequestId, RoutingKey};

/// Bounds of a request's work, as a multiple of what is usual for its class, when it is weighed against a
/// slow machine.
const MIN_RELATIVE_WORK: f64 = 1.0;
const MAX_RELATIVE_WORK: f64 = 9.0;

/// What the choice of a server must know of its request.
pub struct RoutingRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub permission: AttemptPermission,
    /// The work to expect of it.
    pub work: Work,
    /// How much its work weighs a machine's slowness; 1 for the usual work of its class.
    pub work_weight: f64,
    /// Its routing key, where servers serve a known one with less work.
    pub key: Option<RoutingKey>,
    /// The last server of that key.
    pub key_server: Option<ServerIndex>,
    /// Servers that its attempts so far were sent to.
    pub tried: Vec<ServerIndex>,
}

impl RoutingRequest {
    /// What the choice must know of a request now.
    pub fn new(context: &RoutingContext<'_>, memory: &ServerMemory, active: &ActiveRequest) -> Self {
        let class = active.class();
        let work = context.latency.estimated_work(context.settings, &active.request);
        let usual_work_ms = context.latency.typical_latency_ms(context.settings, class);
        let relative_work = work.as_millis_f64() / usual_work_ms;
        let key = active.request.routing_key.filter(|_| context.settings.has_key_affinity);
        RoutingRequest {
            id: active.request.id,
            class,
            permission: AttemptPermission::of(context.settings, active, context.now),
            work,
            work_weight: relative_work.clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK).sqrt(),
            key,
            key_server: key.and_then(|key| memory.server_of_key(key)),
            tried: active.attempts.iter().map(|attempt| attempt.server).collect(),
        }
    }

    /// Whether an attempt of it was sent to this server before.
    pub fn has_tried(&self, server: ServerIndex) -> bool {
        self.tried.contains(&server)
    }
}
