//! Conversion of the format's serde types into [`Settings`], with defaults for absent settings.

use crate::decision::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Limits, Prices, Rules, Settings, Tenant,
};
use crate::settings_format::document::{
    ClassDocument, FromSetting, IdempotencyKind, LimitsDocument, RulesDocument, SettingsDocument,
    TenantDocument, WeightUnit,
};
use crate::settings_format::InvalidSetting;
use serde::de::Error;

impl SettingsDocument {
    /// Converts the document into settings; absent settings get their defaults.
    ///
    /// # Errors
    ///
    /// Returns an error if `limits.maxRetryAfter` is not a number while `limits.retryAfter` is
    /// true. If `limits.retryAfter` is false or absent, `limits.maxRetryAfter` is not parsed.
    pub(super) fn into_settings(self) -> Result<Settings, InvalidSetting> {
        let defaults = Settings::simple();
        Ok(Settings {
            classes: self.classes.into_iter().map(Class::from).collect(),
            tenants: self.tenants.into_iter().map(Tenant::from).collect(),
            peer_index: self.peer_index.unwrap_or(0),
            peer_count: self.peer_count.unwrap_or(1),
            tier: self.tier.unwrap_or(0),
            tier_count: self.tiers.at_least_one(),
            zone: self.zone.unwrap_or(0),
            zone_count: self.zones.at_least_one(),
            discovery_mode: self.discovery_mode.unwrap_or(DiscoveryMode::Push),
            event_interval: self.event_interval.unwrap_or(defaults.event_interval),
            over_quota_weight: self.over_quota_weight.unwrap_or(1.0),
            weight_by_work: self.weight_unit.unwrap_or(WeightUnit::Request) == WeightUnit::Work,
            limits: self
                .limits
                .into_limits(&defaults.limits)
                .map_err(|error| error.with_path_prefix("limits"))?,
            rules: self.rules.into_rules(&defaults.rules),
            prices: Prices {
                cross_zone: self.prices.cross_zone.unwrap_or(0.0),
            },
        })
    }
}

impl From<ClassDocument> for Class {
    fn from(class: ClassDocument) -> Self {
        let deadline = class.deadline.unwrap_or(1.0);
        let scope = class.deduplication_scope.unwrap_or(DeduplicationScope::All);
        let idempotency = match class.idempotency.unwrap_or(IdempotencyKind::NonIdempotent) {
            IdempotencyKind::Idempotent => Idempotency::Idempotent,
            IdempotencyKind::IdempotencyKey => Idempotency::IdempotencyKey { scope },
            IdempotencyKind::NonIdempotent => Idempotency::NonIdempotent,
        };
        Class {
            name: class.name.unwrap_or_default(),
            latency_objective: class.latency_objective.unwrap_or(deadline),
            deadline,
            idempotency,
            idempotency_window: class.idempotency_window.unwrap_or(0.0),
            priority_weight: class.priority_weight.unwrap_or(1.0),
            late_response_weight: class.late_response_weight.unwrap_or(0.0),
        }
    }
}

impl From<TenantDocument> for Tenant {
    fn from(tenant: TenantDocument) -> Self {
        Tenant {
            name: tenant.name.unwrap_or_default(),
            quota_per_second: tenant.quota_per_second.unwrap_or(0.0),
        }
    }
}

impl LimitsDocument {
    fn into_limits(self, defaults: &Limits) -> Result<Limits, InvalidSetting> {
        let max_attempts = self.max_attempts.unwrap_or(defaults.max_attempts as usize);
        let streams_per_connection = self
            .streams_per_connection
            .unwrap_or(defaults.streams_per_connection as usize);
        let max_retry_after = if self.retry_after_allowed.unwrap_or(false) {
            let text = self.max_retry_after.unwrap_or("0".to_string());
            let seconds = f64::from_setting(&text)
                .map_err(|error| InvalidSetting::custom(error).with_path_prefix("maxRetryAfter"))?;
            Some(seconds)
        } else {
            None
        };
        Ok(Limits {
            max_attempts: max_attempts.min(u32::MAX as usize) as u32,
            cancellation_allowed: self.cancellation_allowed.unwrap_or(false),
            hedging_allowed: self.hedging_allowed.unwrap_or(false),
            connection_idle_timeout: self
                .connection_idle_timeout
                .unwrap_or(defaults.connection_idle_timeout),
            streams_per_connection: streams_per_connection as u64,
            connect_timeout: self.connect_timeout.unwrap_or(defaults.connect_timeout),
            max_open_requests: self.max_open_requests.unwrap_or(defaults.max_open_requests),
            max_retry_after,
        })
    }
}

impl RulesDocument {
    fn into_rules(self, defaults: &Rules) -> Rules {
        Rules {
            poll_interval: self.poll_interval.unwrap_or(defaults.poll_interval),
            // Not part of the format: the process sets it after reading its configuration.
            notification_deadline: defaults.notification_deadline,
            initial_capacity_share: self
                .initial_capacity_share
                .unwrap_or(defaults.initial_capacity_share),
            slow_start_window: self.slow_start_window.unwrap_or(defaults.slow_start_window),
            overload_multiple: self.overload_multiple.unwrap_or(defaults.overload_multiple),
        }
    }
}
