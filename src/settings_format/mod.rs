//! The settings as deployments and the simulator write them, and their conversion to
//! [`Settings`].
//!
//! A settings file is a JSON object; the simulator sends the same settings as path=value pairs,
//! such as `classes.0.name=pay`. Both are read into a tree of texts, from which the serde types
//! in `document` are built: their `rename` attributes are the only place where the names of the
//! format stand beside our own.
//!
//! Reading is lenient: absent settings keep a default, unknown ones are skipped, numbers and
//! booleans may stand as text, and `null` counts as absent.

mod conversion;
mod deserializer;
mod document;
mod tree;

use crate::decision::Settings;
use crate::settings_format::document::SettingsDocument;
use crate::settings_format::tree::SettingsTree;
use serde::de::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// A setting that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting {path}: {problem}")]
pub struct InvalidSetting {
    /// Its path in the format, as in `limits.cancel`.
    pub path: String,
    /// What is wrong with its value.
    pub problem: String,
}

/// Reads the settings of a JSON object.
///
/// # Errors
///
/// The first setting that can't be read. Ranges are not checked, see [`Settings::validate`].
pub fn settings_from_json(settings: &Value) -> Result<Settings, InvalidSetting> {
    settings_from_tree(&SettingsTree::from_json(settings))
}

/// Reads settings that are given as pairs of a path and a value. Elements of a list of objects
/// have numbered paths, and the list has a `count`; plain lists are joined by commas.
///
/// # Errors
///
/// As for [`settings_from_json`].
pub fn settings_from_pairs<'a>(
    pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Settings, InvalidSetting> {
    settings_from_tree(&SettingsTree::from_pairs(pairs))
}

fn settings_from_tree(tree: &SettingsTree) -> Result<Settings, InvalidSetting> {
    SettingsDocument::deserialize(tree)?.into_settings()
}

#[cfg(test)]
mod tests;
