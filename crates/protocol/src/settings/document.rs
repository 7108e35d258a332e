//! A JSON document in which no key stands twice.

use std::fmt;

use serde::de::{
    Deserialize,
    Deserializer,
    Error as _,
    MapAccess,
    SeqAccess,
    Visitor, //
};
use serde_json::{
    Map,
    Number,
    Value, //
};

/// A parsed JSON document, before its values are checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Document(pub(super) Value);

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Builder).map(Self)
    }
}

/// Builds a value like `serde_json` does, but refuses a repeated key.
struct Builder;

impl<'de> Visitor<'de> for Builder {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(Document(value)) = access.next_element()? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(key) = access.next_key::<String>()? {
            if values.contains_key(&key) {
                let message = format!("the key `{key}` stands twice");
                return Err(A::Error::custom(message));
            }
            let Document(value) = access.next_value()?;
            values.insert(key, value);
        }
        Ok(Value::Object(values))
    }
}
