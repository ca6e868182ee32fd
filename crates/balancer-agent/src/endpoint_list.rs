//! The endpoint list in the form in which discovery sends it (PROTOCOL page, "Discovery").

mod field_value;

use field_value::{EntryFields, FieldValue};
use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// A complete endpoint list, or the entries that have changed since an earlier version of the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// Whether the list is complete; if not, it contains only the entries that have changed.
    pub is_complete: bool,
    /// The entries, in the order in which they were sent.
    pub entries: Vec<EndpointEntry>,
}

/// The entry of one server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The name of the server, which is the same for every agent.
    pub name: String,
    /// The address of the server. Always present if the status is [`EntryStatus::Serving`].
    pub address: Option<SocketAddr>,
    /// The name of the server's zone; empty if the entry states none.
    pub zone: String,
    /// The name of the server's machine kind; empty if the entry states none.
    pub machine_kind: String,
    /// The cell of the server; 0 if the entry states none.
    pub cell: u32,
    /// Whether the server accepts requests.
    pub status: EntryStatus,
    /// A weight whose meaning depends on the setting [`EndpointWeights`](balancer_core::EndpointWeights); 1
    /// if the entry states none.
    pub weight: f64,
    /// When the server's process last started, in Unix milliseconds; 0 if that was long ago or if the entry
    /// states no time.
    pub started_at_ms: f64,
}

/// Whether a server accepts requests, as its entry in the endpoint list states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStatus {
    /// The server accepts requests.
    Serving,
    /// The server completes the requests that it has and accepts no new ones.
    Draining,
    /// The server has been removed from the fleet.
    Removed,
}

impl EndpointList {
    /// Parses a list. Returns `None` if the value is not an endpoint list.
    pub fn parse(value: &Value) -> Option<Self> {
        EndpointList::deserialize(value).ok()
    }
}

impl<'de> Deserialize<'de> for EndpointList {
    /// Deserializes a list. Skips invalid entries, so that the other entries can be used.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ListVisitor)
    }
}

/// Builds a list from its fields.
struct ListVisitor;

impl<'de> Visitor<'de> for ListVisitor {
    type Value = EndpointList;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<EndpointList, A::Error> {
        let mut version = FieldValue::default();
        let mut is_complete = FieldValue::default();
        let mut entries = None;
        while let Some(key) = fields.next_key::<String>()? {
            match key.as_str() {
                "seq" => version = fields.next_value()?,
                "whole" => is_complete = fields.next_value()?,
                "hosts" => entries = Some(fields.next_value::<Entries>()?.0),
                _ => drop(fields.next_value::<FieldValue>()?),
            }
        }
        Ok(EndpointList {
            version: version.integer().ok_or_else(|| A::Error::missing_field("seq"))?,
            is_complete: is_complete == FieldValue::Boolean(true),
            entries: entries.ok_or_else(|| A::Error::missing_field("hosts"))?,
        })
    }
}

/// The valid entries of a list.
struct Entries(Vec<EndpointEntry>);

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

/// Collects the valid entries of a list.
struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the entries of an endpoint list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Entries, A::Error> {
        let mut entries = Vec::new();
        while let Some(value) = values.next_element()? {
            if let FieldValue::Object(fields) = value {
                entries.extend(EndpointEntry::from_fields(*fields));
            }
        }
        Ok(Entries(entries))
    }
}

impl EndpointEntry {
    /// Creates an entry, or returns `None` if its fields are invalid.
    fn from_fields(fields: EntryFields) -> Option<Self> {
        let status = EntryStatus::parse(&fields.health.into_text())?;
        let address = fields.dial.into_text().parse().ok();
        if address.is_none() && status == EntryStatus::Serving {
            return None;
        }
        let cell = fields.block.integer();
        Some(EndpointEntry {
            name: Some(fields.host.into_text()).filter(|name| !name.is_empty())?,
            address,
            zone: fields.site.into_text(),
            machine_kind: fields.class.into_text(),
            cell: cell.and_then(|cell| u32::try_from(cell).ok()).unwrap_or(0),
            status,
            weight: fields.share.number().unwrap_or(1.0),
            started_at_ms: fields.born_ms.number().unwrap_or(0.0),
        })
    }
}

impl EntryStatus {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "up" => Some(EntryStatus::Serving),
            "draining" => Some(EntryStatus::Draining),
            "removed" => Some(EntryStatus::Removed),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
