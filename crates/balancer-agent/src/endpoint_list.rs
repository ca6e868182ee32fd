//! The endpoint list as discovery words it (PROTOCOL page, "Discovery").

use serde_json::Value;
use std::net::SocketAddr;

/// A complete endpoint list, or the entries of it that have changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Whether it is complete.
    pub is_complete: bool,
    /// Its entries.
    pub entries: Vec<EndpointEntry>,
}

/// One server.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same at every agent.
    pub name: String,
    /// Where this agent reaches it; the entry of a removed server may lack it.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind of machine.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes work.
    pub health: EndpointHealth,
    /// Its weight among the others.
    pub weight: f64,
    /// When its process last started, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: f64,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

impl EndpointList {
    /// Reads a list; none if this is no list. An entry that makes no sense is left out: one bad entry must
    /// not cost the others.
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
