//! A serde deserializer that reads from a settings tree.

use crate::settings_format::document::FromSetting;
use crate::settings_format::tree::{SettingsTree, COUNT};
use crate::settings_format::InvalidSetting;
use serde::de::{self, DeserializeSeed, Error, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;
use std::fmt::Display;

/// Stands for a list element that is absent from the tree; all its settings get their defaults.
static EMPTY: SettingsTree = SettingsTree::empty();

impl de::Error for InvalidSetting {
    fn custom<T: Display>(problem: T) -> Self {
        InvalidSetting {
            path: String::new(),
            problem: problem.to_string(),
        }
    }
}

impl InvalidSetting {
    /// Prepends a field name or list index to the path. An error passes each level of the tree on
    /// its way up, and each level prepends its own name or index.
    pub(super) fn with_path_prefix(mut self, name: &str) -> Self {
        self.path = if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{name}.{}", self.path)
        };
        self
    }
}

impl<'de> de::Deserializer<'de> for &'de SettingsTree {
    type Error = InvalidSetting;

    /// Deserializes a single value: the setting's text, or `None` if it has no text.
    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, InvalidSetting> {
        match self.text() {
            Some(text) => visitor.visit_borrowed_str(text),
            None => visitor.visit_none(),
        }
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, InvalidSetting> {
        visitor.visit_map(Fields {
            tree: self,
            names: fields.iter(),
            current: None,
        })
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, InvalidSetting> {
        let count = match self.child(COUNT).and_then(SettingsTree::text) {
            None => 0,
            Some(text) => usize::from_setting(text)
                .map_err(|error| InvalidSetting::custom(error).with_path_prefix(COUNT))?,
        };
        visitor.visit_seq(Elements {
            tree: self,
            next: 0,
            count,
        })
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct tuple tuple_struct map enum identifier ignored_any
    }
}

/// Iterates over the fields of a struct that are present in the tree, in the order of declaration.
/// The first error ends the deserialization, so this order decides which of several errors is
/// reported.
struct Fields<'de> {
    tree: &'de SettingsTree,
    names: std::slice::Iter<'static, &'static str>,
    current: Option<(&'static str, &'de SettingsTree)>,
}

impl<'de> MapAccess<'de> for Fields<'de> {
    type Error = InvalidSetting;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, InvalidSetting> {
        let tree = self.tree;
        self.current = self
            .names
            .find_map(|name| tree.child(name).map(|value| (*name, value)));
        match self.current {
            Some((name, _)) => seed.deserialize(name.into_deserializer()).map(Some),
            None => Ok(None),
        }
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, InvalidSetting> {
        let (name, value) = self.current.take().ok_or_else(|| {
            InvalidSetting::custom("next_value_seed was called before next_key_seed")
        })?;
        seed.deserialize(value)
            .map_err(|error| error.with_path_prefix(name))
    }
}

/// Iterates over the elements of a list of objects.
struct Elements<'de> {
    tree: &'de SettingsTree,
    next: usize,
    count: usize,
}

impl<'de> SeqAccess<'de> for Elements<'de> {
    type Error = InvalidSetting;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, InvalidSetting> {
        if self.next == self.count {
            return Ok(None);
        }
        let name = self.next.to_string();
        self.next += 1;
        let element = self.tree.child(&name).unwrap_or(&EMPTY);
        seed.deserialize(element)
            .map(Some)
            .map_err(|error| error.with_path_prefix(&name))
    }
}
