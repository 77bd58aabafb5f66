//! The tree of settings that is read both from a settings file and from the simulator's pairs.

use serde_json::Value;
use std::collections::BTreeMap;

/// Name of the child of a list of objects that holds the number of its elements.
pub(super) const COUNT: &str = "count";

/// The text of a setting and its child settings by name. A list of objects has the children `0`,
/// `1` and so on and [`COUNT`]; any other list is one text of its elements joined by commas.
#[derive(Debug, Default)]
pub(super) struct SettingsTree {
    text: Option<String>,
    children: BTreeMap<String, SettingsTree>,
}

impl SettingsTree {
    /// Returns a tree without any settings.
    pub(super) const fn empty() -> Self {
        SettingsTree {
            text: None,
            children: BTreeMap::new(),
        }
    }

    /// Builds a tree from pairs of a path and a value.
    pub(super) fn from_pairs<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let mut tree = SettingsTree::default();
        for (path, value) in pairs {
            tree.get_or_create(path).text = Some(value.to_string());
        }
        tree
    }

    /// Builds a tree from a JSON value.
    pub(super) fn from_json(value: &Value) -> Self {
        let mut tree = SettingsTree::default();
        tree.insert_json(value);
        tree
    }

    fn insert_json(&mut self, value: &Value) {
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.get_or_create(name).insert_json(value);
                }
            }
            Value::Array(elements) if elements.iter().any(Value::is_object) => {
                self.get_or_create(COUNT).text = Some(elements.len().to_string());
                for (index, element) in elements.iter().enumerate() {
                    self.get_or_create(&index.to_string()).insert_json(element);
                }
            }
            Value::Array(elements) => {
                let texts: Vec<_> = elements.iter().map(plain_text).collect();
                self.text = Some(texts.join(","));
            }
            value => self.text = Some(plain_text(value)),
        }
    }

    /// Returns the setting at a path of names separated by dots, and creates it if it is absent.
    fn get_or_create(&mut self, path: &str) -> &mut Self {
        path.split('.').fold(self, |tree, name| {
            tree.children.entry(name.to_string()).or_default()
        })
    }

    /// Returns the text of this setting, if it has one.
    pub(super) fn text(&self) -> Option<&str> {
        self.text.as_deref()
    }

    /// Returns the child setting of this name.
    pub(super) fn child(&self, name: &str) -> Option<&Self> {
        self.children.get(name)
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
