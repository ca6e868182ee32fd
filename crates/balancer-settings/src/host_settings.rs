//! The settings for hosts, and their conversion from the JSON form.

use crate::wire::WireSettings;
use balancer_core::Span;

/// The connect timeout if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// The keepalive time of connections if the settings contain none.
const DEFAULT_KEEPALIVE_MS: f64 = 15_000.0;

/// The settings that the host of a balancer needs in addition to [`Settings`](balancer_core::Settings): names
/// and connection timeouts.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// The names of the request classes, by [`ClassId`](balancer_core::ClassId).
    pub class_names: Vec<String>,
    /// The names of the tenants, by [`TenantId`](balancer_core::TenantId).
    pub tenant_names: Vec<String>,
    /// The names of the zones, by [`ZoneId`](balancer_core::ZoneId).
    pub zone_names: Vec<String>,
    /// The names of the machine kinds, by [`MachineKindId`](balancer_core::MachineKindId).
    pub machine_kind_names: Vec<String>,
    /// The names of the fields of a load report, in the order of
    /// [`Settings::load_report_fields`](balancer_core::Settings::load_report_fields).
    pub load_report_fields: Vec<String>,
    /// The time within which a connection must be established.
    pub connect_timeout: Span,
    /// How long a connection may be idle before the server closes it.
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
