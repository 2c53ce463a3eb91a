//! Rewrites JSON in one form, so that the same value always has the same digest: without spaces,
//! object keys in order, the last of equal keys. Arrays are written as they are read; decoding them
//! would take many times their length.

use std::collections::BTreeMap;
use std::fmt;

use compact_str::CompactString;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

/// A JSON value in canonical form.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct CanonicalJson(pub(crate) String);

impl Default for CanonicalJson {
    fn default() -> Self {
        Self("null".to_owned())
    }
}

impl<'de> Deserialize<'de> for CanonicalJson {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut text = String::new();
        JsonWriter(&mut text).deserialize(deserializer)?;
        Ok(Self(text))
    }
}

/// Appends a value to a text.
struct JsonWriter<'a>(&'a mut String);

impl JsonWriter<'_> {
    fn write<E: Error>(self, value: &(impl Serialize + ?Sized)) -> Result<(), E> {
        self.0
            .push_str(&serde_json::to_string(value).map_err(E::custom)?);
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for JsonWriter<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for JsonWriter<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("any valid JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<(), E> {
        self.write(&value)
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<(), E> {
        self.write(&value)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<(), E> {
        self.write(&value)
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<(), E> {
        self.write(&value)
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<(), E> {
        self.write(value)
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.write(&())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.0.push('[');
        let start = self.0.len();
        loop {
            let end = self.0.len();
            if end > start {
                self.0.push(',');
            }
            if items.next_element_seed(JsonWriter(self.0))?.is_none() {
                self.0.truncate(end);
                break;
            }
        }
        self.0.push(']');
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        let mut fields = BTreeMap::<CompactString, CompactString>::new();
        while let Some(name) = entries.next_key()? {
            let mut value = String::new();
            entries.next_value_seed(JsonWriter(&mut value))?;
            fields.insert(name, value.into());
        }
        self.0.push('{');
        for (index, (name, value)) in fields.into_iter().enumerate() {
            if index > 0 {
                self.0.push(',');
            }
            JsonWriter(self.0).write(name.as_str())?;
            self.0.push(':');
            self.0.push_str(&value);
        }
        self.0.push('}');
        Ok(())
    }
}
