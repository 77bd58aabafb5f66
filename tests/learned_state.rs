//! The stored form of what a balancer has learned: two versions read it from each other during an upgrade.

mod common;
use common::{class, entry, sends, Rig};
use load_balancer::*;
use serde_json::Value;
use std::collections::BTreeSet;

/// What `served_lost_and_ejected` wrote at commit 47c951f.
const RECORDED: &str = include_str!("data/learned-state-47c951f.json");

fn settings() -> Settings {
    let tenant = |name: &str, quota_per_second| Tenant {
        name: name.into(),
        quota_per_second,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![tenant("small", 5.0), tenant("large", 50.0)],
        ..Settings::simple()
    }
}

fn listed(started_at: f64) -> Vec<UpstreamEntry> {
    let entry_of_kind = |id: u64| UpstreamEntry {
        machine_kind: id as usize % 2,
        started_at: if id == 4 { started_at } else { 0.0 },
        ..entry(id)
    };
    (1..=5).map(entry_of_kind).collect()
}

/// A balancer that has served, lost and retried requests, has ejected an upstream that fails, has one in slow
/// start and one returned from maintenance.
fn served_lost_and_ejected() -> Rig {
    let mut rig = Rig::new(settings(), 0);
    rig.list(ListScope::Full, listed(98.0));
    let maintain = |change| Event::Maintenance {
        upstream: UpstreamId(5),
        change,
    };
    for id in 1..=60 {
        match id {
            10 => drop(rig.on(maintain(Maintenance::Begin))),
            20 => drop(rig.on(maintain(Maintenance::End))),
            _ => {}
        }
        let mut actions = rig.on(Event::Request(Request {
            id: RequestId(id),
            class: id as usize % 2,
            tenant: id as usize % 3 % 2,
            remaining: 2.0,
            cost_hint: (id % 4 == 0).then_some(1.5),
            streamed: false,
        }));
        rig.now += 0.05;
        // Each attempt ends before the next request comes; a retry shows in the actions of the end before.
        let mut attempt = 0;
        while let Some((request, upstream)) = sends(&actions).first().copied() {
            let outcome = match upstream {
                1 => AttemptOutcome::Error,
                2 if id % 5 == 0 => AttemptOutcome::Reset,
                3 if id % 7 == 0 => AttemptOutcome::TimedOut,
                3 if id % 11 == 0 => AttemptOutcome::Rejected,
                _ => AttemptOutcome::Success,
            };
            actions = rig.on(Event::AttemptEnded(AttemptResult {
                id: RequestId(request),
                attempt,
                outcome,
                elapsed: 0.05 + upstream as f64 / 100.0,
                connection_idle: None,
                request_concluded: outcome == AttemptOutcome::Success,
            }));
            attempt += 1;
        }
    }
    rig
}

fn json(state: &LearnedState) -> Value {
    serde_json::to_value(state).unwrap()
}

/// The paths of all fields, one for the elements of all arrays and for all numbers that serve as keys.
fn field_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let number = name.bytes().all(|byte| byte.is_ascii_digit());
                let name = if number { "*" } else { name };
                field_paths(field, &format!("{path}.{name}"), paths);
            }
        }
        Value::Array(elements) => {
            paths.insert(format!("{path}: {} elements", elements.len()));
            for element in elements {
                field_paths(element, &format!("{path}[]"), paths);
            }
        }
        Value::Number(_) => drop(paths.insert(format!("{path}: number"))),
        other => drop(paths.insert(format!("{path}: {other}"))),
    }
}

#[test]
fn what_is_written_has_the_fields_that_47c951f_reads() {
    let paths_of = |value: &Value| {
        let mut paths = BTreeSet::new();
        field_paths(value, "", &mut paths);
        paths
    };
    let rig = served_lost_and_ejected();
    let written = json(&rig.balancer.learned_state());
    let recorded: Value = serde_json::from_str(RECORDED).unwrap();
    assert_eq!(paths_of(&written), paths_of(&recorded));
    let text = serde_json::to_string(&rig.balancer.learned_state()).unwrap();
    assert_eq!(
        text,
        RECORDED.trim_end(),
        "order and figures are the same too"
    );
}

#[test]
fn what_47c951f_wrote_is_read_and_written_again_unchanged() {
    let state: LearnedState = serde_json::from_str(RECORDED).unwrap();
    // Both sides go through the same parser, which may round the last digit of a figure.
    let recorded: Value = serde_json::from_str(RECORDED).unwrap();
    assert_eq!(json(&state), recorded);
}

#[test]
fn what_47c951f_wrote_is_restored_whole() {
    let recorded: LearnedState = serde_json::from_str(RECORDED).unwrap();
    let mut rig = Rig::new(settings(), 0);
    rig.list(ListScope::Full, listed(98.0));
    // The clock of the process that reads it stands where that of the one that wrote it stood.
    rig.now = json(&recorded)["at"].as_f64().unwrap();
    let before = json(&rig.balancer.learned_state());
    rig.balancer.restore(rig.now, 0.0, recorded.clone());
    assert_ne!(json(&rig.balancer.learned_state()), before);
    assert_eq!(json(&rig.balancer.learned_state()), json(&recorded));
}
