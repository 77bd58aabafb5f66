//! Unit tests of the settings format.

use super::*;
use crate::decision::{DeduplicationScope, DiscoveryMode, Idempotency};
use serde_json::json;

fn settings_from_text(text: &str) -> Result<Settings, InvalidSetting> {
    settings_from_pairs(
        text.split_whitespace()
            .filter_map(|pair| pair.split_once('=')),
    )
}

#[test]
fn file_and_pairs_give_the_same_settings() {
    let file = json!({
        "classes": [
            {"name": "view", "aim": 0.5, "hardLimit": "2.5", "effect": "read_like", "worth": 3,
                "lateShare": 0.25},
            {"name": "pay", "effect": "idempotency_key", "dedupScope": "cell", "dedupWindow": 8.0},
        ],
        "tenants": [{"name": "acme", "quotaRps": 100, "news": {"more": [1, 2]}}],
        "localities": ["a", "b"], "stages": ["front", "back"], "kinds": ["std"],
        "tier": 1, "zone": 1, "me": 4, "peersTotal": 9, "discovery": "ask",
        "resolution": 0.002, "overShareWorth": 0.1, "valueBy": "work",
        "limits": {"attemptsCap": 6, "cancel": true, "mayDuplicate": "1", "connIdle": 5.0,
            "streamsPerConn": 2, "connectTimeout": 0.15, "openCap": 70, "retryAfter": "true",
            "maxRetryAfter": 1.5},
        "rules": {"askWithin": 4.0, "startCapacity": 0.31, "cold": 8.8, "fallMultiple": 2.5},
        "costs": {"crossZone": 0.015}
    });
    let line = "classes.count=2 classes.0.name=view classes.0.aim=0.5 classes.0.hardLimit=2.5
        classes.0.effect=read_like classes.0.worth=3 classes.0.lateShare=0.25 classes.1.name=pay
        classes.1.effect=idempotency_key classes.1.dedupScope=cell classes.1.dedupWindow=8.0
        tenants.count=1 tenants.0.name=acme tenants.0.quotaRps=100 tenants.0.news.more=1,2
        localities=a,b stages=front,back kinds=std tier=1 zone=1 me=4 peersTotal=9 discovery=ask
        resolution=0.002 overShareWorth=0.1 valueBy=work limits.attemptsCap=6 limits.cancel=true
        limits.mayDuplicate=1 limits.connIdle=5.0 limits.streamsPerConn=2
        limits.connectTimeout=0.15 limits.openCap=70 limits.retryAfter=true
        limits.maxRetryAfter=1.5 rules.askWithin=4.0 rules.startCapacity=0.31 rules.cold=8.8
        rules.fallMultiple=2.5 costs.crossZone=0.015";
    let settings = settings_from_json(&file).unwrap();
    assert_eq!(settings_from_text(line).unwrap(), settings);

    let [view, pay] = &settings.classes[..] else {
        panic!("expected the classes view and pay, got {settings:?}");
    };
    assert_eq!((&view.name[..], view.latency_objective), ("view", 0.5));
    assert_eq!((view.deadline, view.priority_weight), (2.5, 3.0));
    assert_eq!(view.late_response_weight, 0.25);
    assert_eq!(view.idempotency, Idempotency::Idempotent);
    let scope = DeduplicationScope::Cell;
    assert_eq!(pay.idempotency, Idempotency::IdempotencyKey { scope });
    assert_eq!((pay.idempotency_window, pay.latency_objective), (8.0, 1.0));
    assert_eq!(settings.tenants[0].name, "acme");
    assert_eq!(settings.tenants[0].quota_per_second, 100.0);
    assert_eq!((settings.peer_index, settings.peer_count), (4, 9));
    assert_eq!((settings.tier, settings.tier_count), (1, 2));
    assert_eq!((settings.zone, settings.zone_count), (1, 2));
    assert_eq!(settings.discovery_mode, DiscoveryMode::Poll);
    assert_eq!(settings.event_interval, 0.002);
    assert_eq!(settings.over_quota_weight, 0.1);
    assert!(settings.weight_by_work);
    let limits = &settings.limits;
    assert_eq!((limits.max_attempts, limits.max_open_requests), (6, 70));
    assert!(limits.cancellation_allowed && limits.hedging_allowed);
    assert_eq!(limits.connection_idle_timeout, 5.0);
    assert_eq!(limits.streams_per_connection, 2);
    assert_eq!(limits.connect_timeout, 0.15);
    assert_eq!(limits.max_retry_after, Some(1.5));
    let rules = &settings.rules;
    assert_eq!((rules.poll_interval, rules.slow_start_window), (4.0, 8.8));
    assert_eq!(rules.initial_capacity_share, 0.31);
    assert_eq!(rules.overload_multiple, 2.5);
    assert_eq!(settings.prices.cross_zone, 0.015);
}

#[test]
fn absent_settings_keep_a_default_and_unknown_ones_are_skipped() {
    let simple = Settings::simple();
    for settings in [
        settings_from_text("news=1 limits=7 limits.news=x classes=a,b").unwrap(),
        settings_from_json(&json!({"me": null, "limits": 7, "classes": [], "rules": {"cold": {}}}))
            .unwrap(),
    ] {
        assert!(settings.classes.is_empty() && settings.tenants.is_empty());
        assert_eq!(settings.rules, simple.rules);
        assert_eq!((settings.peer_index, settings.peer_count), (0, 1));
        assert_eq!((settings.tier_count, settings.zone_count), (1, 1));
        assert_eq!(settings.limits.max_attempts, simple.limits.max_attempts);
        assert!(!settings.limits.cancellation_allowed);
        assert_eq!(settings.limits.max_retry_after, None);
    }
    let class = &settings_from_text("classes.count=1").unwrap().classes[0];
    assert_eq!((class.deadline, class.latency_objective), (1.0, 1.0));
    assert_eq!(class.idempotency, Idempotency::NonIdempotent);
}

#[test]
fn error_names_the_path_of_the_first_invalid_setting() {
    for (text, expected) in [
        (
            "limits.cancel=x",
            "setting limits.cancel: expected true, false, 1 or 0, got 'x'",
        ),
        ("me=-1", "setting me: invalid number '-1'"),
        (
            "tenants.count=x",
            "setting tenants.count: invalid number 'x'",
        ),
        (
            "classes.count=2 classes.1.aim=soon classes.1.effect=odd me=x",
            "setting classes.1.aim: invalid number 'soon'",
        ),
        (
            "classes.count=1 classes.0.effect=odd classes.0.worth=x",
            "setting classes.0.effect: expected read_like, idempotency_key or non_idempotent, \
                got 'odd'",
        ),
        (
            "limits.retryAfter=1 limits.maxRetryAfter=x",
            "setting limits.maxRetryAfter: invalid number 'x'",
        ),
    ] {
        assert_eq!(settings_from_text(text).unwrap_err().to_string(), expected);
    }
    let without_retry_after =
        settings_from_text("limits.retryAfter=0 limits.maxRetryAfter=x").unwrap();
    assert_eq!(without_retry_after.limits.max_retry_after, None);
}
