//! The endpoint list as discovery sends it (PROTOCOL page, "Discovery").

use serde_json::Value;
use std::net::SocketAddr;

/// A complete endpoint list, or the entries that have changed since an earlier one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Whether it is complete.
    pub is_complete: bool,
    /// Its entries, in the order in which they were sent.
    pub entries: Vec<EndpointEntry>,
}

/// The entry of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same at every agent.
    pub name: String,
    /// Its address; may be absent unless the server is up.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it accepts work.
    pub health: EndpointHealth,
    /// Its size relative to the other servers.
    pub weight: f64,
    /// When its process last started, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: f64,
}

/// Whether a server accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It accepts work.
    Up,
    /// It finishes the requests that it has and accepts no others.
    Draining,
    /// It has left the fleet.
    Removed,
}

impl EndpointList {
    /// Parses a list; `None` if the value is not a list. Entries that are invalid are skipped, so that the
    /// others can be used.
    pub fn parse(value: &Value) -> Option<Self> {
        let entries = value.get("hosts")?.as_array()?;
        Some(EndpointList {
            version: value.get("seq")?.as_u64()?,
            is_complete: value.get("whole").and_then(Value::as_bool).unwrap_or(false),
            entries: entries.iter().filter_map(EndpointEntry::parse).collect(),
        })
    }
}

impl EndpointEntry {
    fn parse(value: &Value) -> Option<Self> {
        let text = |key: &str| value.get(key).and_then(Value::as_str);
        let number = |key: &str| value.get(key).and_then(Value::as_f64);
        let cell = value.get("block").and_then(Value::as_u64);
        let health = EndpointHealth::parse(text("health")?)?;
        let address = text("dial").and_then(|address| address.parse().ok());
        if address.is_none() && health == EndpointHealth::Up {
            return None;
        }
        Some(EndpointEntry {
            name: text("host").filter(|name| !name.is_empty())?.to_owned(),
            address,
            zone: text("site").unwrap_or_default().to_owned(),
            machine_kind: text("class").unwrap_or_default().to_owned(),
            cell: cell.and_then(|cell| u32::try_from(cell).ok()).unwrap_or(0),
            health,
            weight: number("share").unwrap_or(1.0),
            started_at_ms: number("born_ms").unwrap_or(0.0),
        })
    }
}

impl EndpointHealth {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "up" => Some(EndpointHealth::Up),
            "draining" => Some(EndpointHealth::Draining),
            "removed" => Some(EndpointHealth::Removed),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
