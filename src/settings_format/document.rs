//! The settings as they are written: the names of the format, mapped to ours.
//!
//! Units are those of [`crate::Settings`]. Fields stand in the order in which errors are reported.

use crate::decision::{DeduplicationScope, DiscoveryMode};
use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;
use std::fmt;
use std::marker::PhantomData;
use thiserror::Error;

/// All settings.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct SettingsDocument {
    pub classes: Vec<ClassDocument>,
    pub tenants: Vec<TenantDocument>,
    #[serde(rename = "me")]
    pub peer_index: Setting<usize>,
    #[serde(rename = "peersTotal")]
    pub peer_count: Setting<usize>,
    pub tier: Setting<usize>,
    #[serde(rename = "stages")]
    pub tiers: Setting<ListLength>,
    pub zone: Setting<usize>,
    #[serde(rename = "localities")]
    pub zones: Setting<ListLength>,
    #[serde(rename = "discovery")]
    pub discovery_mode: Setting<DiscoveryMode>,
    #[serde(rename = "resolution")]
    pub event_interval: Setting<f64>,
    #[serde(rename = "overShareWorth")]
    pub over_quota_weight: Setting<f64>,
    #[serde(rename = "valueBy")]
    pub weight_unit: Setting<WeightUnit>,
    pub limits: LimitsDocument,
    pub rules: RulesDocument,
    #[serde(rename = "costs")]
    pub prices: PricesDocument,
}

/// One request class.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ClassDocument {
    #[serde(rename = "dedupScope")]
    pub deduplication_scope: Setting<DeduplicationScope>,
    #[serde(rename = "hardLimit")]
    pub deadline: Setting<f64>,
    pub name: Setting<String>,
    #[serde(rename = "aim")]
    pub latency_objective: Setting<f64>,
    #[serde(rename = "effect")]
    pub idempotency: Setting<IdempotencyKind>,
    #[serde(rename = "dedupWindow")]
    pub idempotency_window: Setting<f64>,
    #[serde(rename = "worth")]
    pub priority_weight: Setting<f64>,
    #[serde(rename = "lateShare")]
    pub late_response_weight: Setting<f64>,
}

/// One tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TenantDocument {
    pub name: Setting<String>,
    #[serde(rename = "quotaRps")]
    pub quota_per_second: Setting<f64>,
}

/// What the balancer may do.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LimitsDocument {
    #[serde(rename = "attemptsCap")]
    pub max_attempts: Setting<usize>,
    #[serde(rename = "cancel")]
    pub cancellation_allowed: Setting<bool>,
    #[serde(rename = "mayDuplicate")]
    pub hedging_allowed: Setting<bool>,
    #[serde(rename = "connIdle")]
    pub connection_idle_timeout: Setting<f64>,
    #[serde(rename = "streamsPerConn")]
    pub streams_per_connection: Setting<usize>,
    #[serde(rename = "connectTimeout")]
    pub connect_timeout: Setting<f64>,
    #[serde(rename = "openCap")]
    pub max_open_requests: Setting<usize>,
    #[serde(rename = "retryAfter")]
    pub retry_after_allowed: Setting<bool>,
    /// Any text unless Retry-After is allowed.
    #[serde(rename = "maxRetryAfter")]
    pub max_retry_after: Setting<String>,
}

/// The rules of the service.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RulesDocument {
    #[serde(rename = "askWithin")]
    pub poll_interval: Setting<f64>,
    #[serde(rename = "startCapacity")]
    pub initial_capacity_share: Setting<f64>,
    #[serde(rename = "cold")]
    pub slow_start_window: Setting<f64>,
    #[serde(rename = "fallMultiple")]
    pub overload_multiple: Setting<f64>,
}

/// What things cost.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct PricesDocument {
    #[serde(rename = "crossZone")]
    pub cross_zone: Setting<f64>,
}

/// A single value, if it is there.
#[derive(Debug)]
pub struct Setting<T>(Option<T>);

impl<T> Setting<T> {
    /// The value, or this one if it is absent.
    pub fn unwrap_or(self, default: T) -> T {
        self.0.unwrap_or(default)
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

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// It is no number, or none of this kind.
    #[error("bad number '{0}'")]
    BadNumber(String),
    /// It is neither true nor false.
    #[error("bad bool '{0}'")]
    BadBool(String),
    /// It is no known kind of idempotency.
    #[error("unknown effect '{0}'")]
    UnknownEffect(String),
}

/// A type that a setting's text stands for.
pub trait FromSetting: Sized {
    /// Reads the text.
    ///
    /// # Errors
    ///
    /// If the text is no value of this type.
    fn from_setting(text: &str) -> Result<Self, ValueError>;
}

impl FromSetting for f64 {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        text.parse()
            .map_err(|_| ValueError::BadNumber(text.to_string()))
    }
}

impl FromSetting for usize {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        text.parse()
            .map_err(|_| ValueError::BadNumber(text.to_string()))
    }
}

impl FromSetting for bool {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        match text {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            _ => Err(ValueError::BadBool(text.to_string())),
        }
    }
}

impl FromSetting for String {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        Ok(text.to_string())
    }
}

/// How many elements a plain list has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLength(pub usize);

impl FromSetting for ListLength {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        if text.is_empty() {
            return Ok(ListLength(0));
        }
        Ok(ListLength(text.split(',').count()))
    }
}

/// [`crate::Idempotency`] without the deduplication scope, which is a setting of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKind {
    /// Running it again does no harm.
    Idempotent,
    /// It carries an idempotency key.
    IdempotencyKey,
    /// It must never run twice.
    NonIdempotent,
}

impl FromSetting for IdempotencyKind {
    fn from_setting(text: &str) -> Result<Self, ValueError> {
        match text {
            "read_like" => Ok(IdempotencyKind::Idempotent),
            "idempotency_key" => Ok(IdempotencyKind::IdempotencyKey),
            "non_idempotent" | "" => Ok(IdempotencyKind::NonIdempotent),
            _ => Err(ValueError::UnknownEffect(text.to_string())),
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

/// What priority weights are counted per.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightUnit {
    /// Each request.
    Request,
    /// Each unit of its work.
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
