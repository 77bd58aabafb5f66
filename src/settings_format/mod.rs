//! The format in which deployments and the simulator write settings, and its conversion to
//! [`Settings`].
//!
//! A settings file is a JSON object; the simulator sends the same settings as path=value pairs,
//! such as `classes.0.name=pay`. Both are read into a tree of texts, from which the serde types
//! in `document` are built. Only the `rename` attributes of these types map the names of the format
//! to the names in this crate.
//!
//! Reading is lenient: absent settings keep a default, unknown ones are skipped, numbers and
//! booleans may be given as strings, and `null` counts as absent.

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

/// A setting whose value can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("setting {path}: {problem}")]
pub struct InvalidSetting {
    /// Path of the setting in the format, such as `limits.cancel`.
    pub path: String,
    /// Why the value is invalid.
    pub problem: String,
}

/// Reads the settings from a JSON object.
///
/// # Errors
///
/// Returns an error for the first setting that can't be parsed. Ranges are not checked here but by
/// [`Settings::validate`].
pub fn settings_from_json(settings: &Value) -> Result<Settings, InvalidSetting> {
    settings_from_tree(&SettingsTree::from_json(settings))
}

/// Reads settings from pairs of a path and a value. A list of objects has a `count`, and the paths
/// of its elements contain their index, as in `classes.0.name`; the value of any other list is its
/// elements joined by commas.
///
/// # Errors
///
/// Returns an error for the first setting that can't be parsed, as [`settings_from_json`] does.
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
