//! Converts the JSON form into the settings of a balancer's host.

use crate::wire::WireSettings;
use balancer_core::Span;

/// The connect timeout of settings that give none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// The keepalive time of settings that give none.
const DEFAULT_KEEPALIVE_MS: f64 = 15_000.0;

/// The settings that a balancer's host needs in addition to [`Settings`](balancer_core::Settings): names, and
/// time limits of connections.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The names of the request classes, by [`ClassId`](balancer_core::ClassId).
    pub class_names: Vec<String>,
    /// The names of the tenants, by [`TenantId`](balancer_core::TenantId).
    pub tenant_names: Vec<String>,
    /// The names of the zones, by [`ZoneId`](balancer_core::ZoneId).
    pub zone_names: Vec<String>,
    /// The names of the kinds of machine, by [`MachineKindId`](balancer_core::MachineKindId).
    pub machine_kind_names: Vec<String>,
    /// The names of the values of a load report, in the order of
    /// [`Settings::load_report_fields`](balancer_core::Settings::load_report_fields).
    pub load_report_fields: Vec<String>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Span,
    /// A server closes a connection that has been idle for this long.
    pub keepalive: Span,
}

impl From<&WireSettings> for HostSettings {
    fn from(wire: &WireSettings) -> Self {
        let connect_timeout_ms = wire.limits.connect_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS);
        let keepalive_ms = wire.limits.keepalive_ms.unwrap_or(DEFAULT_KEEPALIVE_MS);
        HostSettings {
            class_names: wire.classes.iter().map(|class| class.name.clone()).collect(),
            tenant_names: wire.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zone_names: wire.zone_names.clone(),
            machine_kind_names: wire.machine_kind_names.clone(),
            load_report_fields: wire.feedback.fields.clone(),
            connect_timeout: Span::from_millis_f64(connect_timeout_ms),
            keepalive: Span::from_millis_f64(keepalive_ms),
        }
    }
}
