//! The value of a JSON field, as far as endpoint lists use it.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// The value of a JSON field. Nothing is kept of arrays, and of objects only the fields of an entry, so that
/// unknown fields take no memory. Nesting that is too deep is an error.
#[derive(Debug, Default, PartialEq)]
pub enum FieldValue {
    /// A string.
    Text(String),
    /// An integer of zero or more.
    Integer(u64),
    /// Another number.
    Number(f64),
    /// A boolean.
    Boolean(bool),
    /// An object.
    Object(Box<EntryFields>),
    /// Another value, or no value.
    #[default]
    Other,
}

/// The fields of an object that an entry of a list may have. A missing field is [`FieldValue::Other`].
#[derive(Debug, Default, PartialEq)]
pub struct EntryFields {
    /// The name of the server.
    pub host: FieldValue,
    /// The address of the server.
    pub dial: FieldValue,
    /// The name of the server's zone.
    pub site: FieldValue,
    /// The name of the server's machine kind.
    pub class: FieldValue,
    /// The number of the server's cell.
    pub block: FieldValue,
    /// The word for the server's status.
    pub health: FieldValue,
    /// The server's weight.
    pub share: FieldValue,
    /// When the server's process last started, in Unix milliseconds.
    pub born_ms: FieldValue,
}

impl FieldValue {
    /// Returns the string, or an empty one if the value is not a string.
    pub fn into_text(self) -> String {
        match self {
            FieldValue::Text(text) => text,
            _ => String::new(),
        }
    }

    /// Returns the integer, or `None` if the value is not an integer of zero or more.
    pub fn integer(&self) -> Option<u64> {
        match self {
            FieldValue::Integer(integer) => Some(*integer),
            _ => None,
        }
    }

    /// Returns the number, or `None` if the value is not a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            FieldValue::Integer(integer) => Some(*integer as f64),
            FieldValue::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for FieldValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // `IgnoredAny` does not limit the depth of nesting, `deserialize_any` does.
        deserializer.deserialize_any(FieldValueVisitor)
    }
}

struct FieldValueVisitor;

impl<'de> Visitor<'de> for FieldValueVisitor {
    type Value = FieldValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<FieldValue, E> {
        Ok(FieldValue::Boolean(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<FieldValue, E> {
        Ok(FieldValue::Number(value as f64))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<FieldValue, E> {
        Ok(FieldValue::Integer(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<FieldValue, E> {
        Ok(FieldValue::Number(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<FieldValue, E> {
        Ok(FieldValue::Text(value.to_owned()))
    }

    fn visit_unit<E: Error>(self) -> Result<FieldValue, E> {
        Ok(FieldValue::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<FieldValue, A::Error> {
        while values.next_element::<FieldValue>()?.is_some() {}
        Ok(FieldValue::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<FieldValue, A::Error> {
        let mut known = EntryFields::default();
        while let Some((key, value)) = fields.next_entry::<String, FieldValue>()? {
            match key.as_str() {
                "host" => known.host = value,
                "dial" => known.dial = value,
                "site" => known.site = value,
                "class" => known.class = value,
                "block" => known.block = value,
                "health" => known.health = value,
                "share" => known.share = value,
                "born_ms" => known.born_ms = value,
                _ => {}
            }
        }
        Ok(FieldValue::Object(Box::new(known)))
    }
}
