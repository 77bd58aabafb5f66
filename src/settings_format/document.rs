//! The settings format as serde types: `rename` attributes map the names of the format to the
//! names in this crate.
//!
//! Units are those of [`crate::Settings`]. The order of the fields matters: if several values are
//! invalid, the error of the field that is declared first is reported.

use crate::decision::{DeduplicationScope, DiscoveryMode};
use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;
use std::str::FromStr;
use thiserror::Error;

/// All settings.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct SettingsDocument {
    pub(super) classes: Vec<ClassDocument>,
    pub(super) tenants: Vec<TenantDocument>,
    #[serde(rename = "me")]
    pub(super) peer_index: Setting<usize>,
    #[serde(rename = "peersTotal")]
    pub(super) peer_count: Setting<usize>,
    pub(super) tier: Setting<usize>,
    #[serde(rename = "stages")]
    pub(super) tiers: Setting<ListLength>,
    pub(super) zone: Setting<usize>,
    #[serde(rename = "localities")]
    pub(super) zones: Setting<ListLength>,
    #[serde(rename = "discovery")]
    pub(super) discovery_mode: Setting<DiscoveryMode>,
    #[serde(rename = "resolution")]
    pub(super) event_interval: Setting<f64>,
    #[serde(rename = "overShareWorth")]
    pub(super) over_quota_weight: Setting<f64>,
    #[serde(rename = "valueBy")]
    pub(super) weight_unit: Setting<WeightUnit>,
    pub(super) limits: LimitsDocument,
    pub(super) rules: RulesDocument,
    #[serde(rename = "costs")]
    pub(super) prices: PricesDocument,
}

/// One request class.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ClassDocument {
    #[serde(rename = "dedupScope")]
    pub(super) deduplication_scope: Setting<DeduplicationScope>,
    #[serde(rename = "hardLimit")]
    pub(super) deadline: Setting<f64>,
    pub(super) name: Setting<String>,
    #[serde(rename = "aim")]
    pub(super) latency_objective: Setting<f64>,
    #[serde(rename = "effect")]
    pub(super) idempotency: Setting<IdempotencyKind>,
    #[serde(rename = "dedupWindow")]
    pub(super) idempotency_window: Setting<f64>,
    #[serde(rename = "worth")]
    pub(super) priority_weight: Setting<f64>,
    #[serde(rename = "lateShare")]
    pub(super) late_response_weight: Setting<f64>,
}

/// One tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TenantDocument {
    pub(super) name: Setting<String>,
    #[serde(rename = "quotaRps")]
    pub(super) quota_per_second: Setting<f64>,
}

/// Limits on attempts, connections and open requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LimitsDocument {
    #[serde(rename = "attemptsCap")]
    pub(super) max_attempts: Setting<usize>,
    #[serde(rename = "cancel")]
    pub(super) cancellation_allowed: Setting<bool>,
    #[serde(rename = "mayDuplicate")]
    pub(super) hedging_allowed: Setting<bool>,
    #[serde(rename = "connIdle")]
    pub(super) connection_idle_timeout: Setting<f64>,
    #[serde(rename = "streamsPerConn")]
    pub(super) streams_per_connection: Setting<usize>,
    #[serde(rename = "connectTimeout")]
    pub(super) connect_timeout: Setting<f64>,
    #[serde(rename = "openCap")]
    pub(super) max_open_requests: Setting<usize>,
    #[serde(rename = "retryAfter")]
    pub(super) retry_after_allowed: Setting<bool>,
    /// Kept as text: it is parsed, and has to be a number, only if Retry-After is allowed.
    #[serde(rename = "maxRetryAfter")]
    pub(super) max_retry_after: Setting<String>,
}

/// Rules on polling, slow start and overload that the balancer has to follow.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RulesDocument {
    #[serde(rename = "askWithin")]
    pub(super) poll_interval: Setting<f64>,
    #[serde(rename = "startCapacity")]
    pub(super) initial_capacity_share: Setting<f64>,
    #[serde(rename = "cold")]
    pub(super) slow_start_window: Setting<f64>,
    #[serde(rename = "fallMultiple")]
    pub(super) overload_multiple: Setting<f64>,
}

/// Prices of attempts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PricesDocument {
    #[serde(rename = "crossZone")]
    pub(super) cross_zone: Setting<f64>,
}

/// The value of one setting, or `None` if the setting is absent.
#[derive(Debug)]
pub(super) struct Setting<T>(Option<T>);

impl<T> Setting<T> {
    /// Returns the value, or `default` if the setting is absent.
    pub(super) fn unwrap_or(self, default: T) -> T {
        self.0.unwrap_or(default)
    }
}

impl Setting<String> {
    /// Returns the text, or an empty one if the setting is absent.
    pub(super) fn unwrap_or_default(self) -> String {
        self.0.unwrap_or_default()
    }
}

impl Setting<ListLength> {
    /// Returns the length of the list, or 1 if the list is empty or absent.
    pub(super) fn at_least_one(self) -> usize {
        self.0.map_or(1, |length| length.0.max(1))
    }
}

impl<T> Default for Setting<T> {
    fn default() -> Self {
        Setting(None)
    }
}

impl<'de, T: FromSetting> Deserialize<'de> for Setting<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_any(SettingVisitor(PhantomData))
            .map(Setting)
    }
}

struct SettingVisitor<T>(PhantomData<T>);

impl<T: FromSetting> Visitor<'_> for SettingVisitor<T> {
    type Value = Option<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a single value")
    }

    fn visit_none<E: de::Error>(self) -> Result<Option<T>, E> {
        Ok(None)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Option<T>, E> {
        T::from_setting(text).map(Some).map_err(E::custom)
    }
}

/// Why a text is not a valid value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum ValueError {
    /// The text is not a number that the setting's type can hold, such as -1 or 1.5 for a count.
    #[error("invalid number '{0}'")]
    InvalidNumber(String),
    /// The text is not a boolean.
    #[error("expected true, false, 1 or 0, got '{0}'")]
    InvalidBool(String),
    /// The text names no kind of idempotency; the format calls this setting `effect`.
    #[error("expected read_like, idempotency_key or non_idempotent, got '{0}'")]
    UnknownIdempotency(String),
}

/// A type that can be parsed from the text of a setting.
pub(super) trait FromSetting: Sized {
    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid value of this type.
    fn from_setting(text: &str) -> Result<Self, ValueError>;
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, ValueError> {
    text.parse()
        .map_err(|_| ValueError::InvalidNumber(text.to_string()))
}

impl FromSetting for f64 {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        parse_number(text)
    }
}

impl FromSetting for usize {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        parse_number(text)
    }
}

impl FromSetting for bool {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        match text {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            _ => Err(ValueError::InvalidBool(text.to_string())),
        }
    }
}

impl FromSetting for String {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        Ok(text.to_string())
    }
}

/// Number of elements of a comma-separated list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListLength(usize);

impl FromSetting for ListLength {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        if text.is_empty() {
            return Ok(ListLength(0));
        }
        Ok(ListLength(text.split(',').count()))
    }
}

/// [`crate::Idempotency`] without the deduplication scope, which is a separate setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdempotencyKind {
    /// Requests may run more than once without harm.
    Idempotent,
    /// Requests carry an idempotency key.
    IdempotencyKey,
    /// Requests must never run twice.
    NonIdempotent,
}

impl FromSetting for IdempotencyKind {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        match text {
            "read_like" => Ok(IdempotencyKind::Idempotent),
            "idempotency_key" => Ok(IdempotencyKind::IdempotencyKey),
            "non_idempotent" | "" => Ok(IdempotencyKind::NonIdempotent),
            _ => Err(ValueError::UnknownIdempotency(text.to_string())),
        }
    }
}

impl FromSetting for DeduplicationScope {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        Ok(match text {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        })
    }
}

impl FromSetting for DiscoveryMode {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        Ok(match text {
            "ask" => DiscoveryMode::Poll,
            _ => DiscoveryMode::Push,
        })
    }
}

/// What a class's priority weight applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WeightUnit {
    /// One request.
    Request,
    /// One unit of a request's work.
    Work,
}

impl FromSetting for WeightUnit {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        Ok(match text {
            "work" => WeightUnit::Work,
            _ => WeightUnit::Request,
        })
    }
}
