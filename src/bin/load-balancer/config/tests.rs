//! Unit tests of the configuration.

use super::*;
use serde_json::{json, Value};

fn load(change: impl Fn(&mut Value)) -> Result<Config, ConfigError> {
    let mut file = json!({
        "name": "n1", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "seed": "ff",
        "limits": {"sockets": 1024, "cores": 1.0}, "news": [1],
        "settings": {
            "classes": [{"name": "call", "aim": 1.0, "hardLimit": 2.0, "effect": "read_like"}],
            "tenants": [], "localities": ["a", "b"], "kinds": ["std"], "me": 0, "peersTotal": 1,
            "stages": ["only"],
            "limits": {"retryAfter": true, "maxRetryAfter": 2.0, "connectTimeout": 0.1}
        }
    });
    change(&mut file);
    Config::from_file(
        serde_json::from_value(file).expect("malformed configuration file"),
        LoadMode::Start,
        |_| None,
    )
}

#[test]
fn settings_are_read_from_the_file() {
    let config = load(|_| ()).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((config.seed, config.names.zones.len()), (255, 2));
    assert_eq!(config.settings.classes[0].deadline, 2.0);
    assert_eq!(config.settings.limits.max_retry_after, Some(2.0));
    assert_eq!(config.settings.limits.connect_timeout, 0.1);
}

#[test]
fn variable_takes_precedence_at_start_and_file_on_reload() {
    let discovery = |mode, in_file| {
        let file = json!({"listen": "127.0.0.1:9", "discovery": in_file,
            "settings": {"classes": [{"name": "call", "hardLimit": 2.0, "effect": "read_like"}]}});
        let file = serde_json::from_value(file).expect("malformed configuration file");
        let variable = |name: &str| (name == "PROXY_DISCOVERY").then(|| "127.0.0.1:7".to_string());
        let config =
            Config::from_file(file, mode, variable).unwrap_or_else(|error| panic!("{error}"));
        config.discovery.port()
    };
    assert_eq!(
        (
            discovery(LoadMode::Start, json!("127.0.0.1:8")),
            discovery(LoadMode::Reload, json!("127.0.0.1:8"))
        ),
        (7, 8)
    );
    assert_eq!(discovery(LoadMode::Reload, Value::Null), 7);
}

#[test]
fn error_names_the_invalid_field() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 9] = [
        (|file| file["console"] = json!("there"), "PROXY_CONSOLE"),
        (|file| file["listen"] = json!("here"), "PROXY_LISTEN"),
        (|file| file["discovery"] = Value::Null, "PROXY_DISCOVERY"),
        (|file| file["seed"] = json!("xyz"), "seed"),
        (
            |file| file["limits"]["sockets"] = json!(3),
            "limits.sockets",
        ),
        (
            |file| file["limits"]["memory_mb"] = json!(0),
            "limits.memory_mb",
        ),
        (
            |file| file["limits"]["memory_mb"] = json!(-5),
            "limits.memory_mb",
        ),
        (
            |file| file["settings"]["classes"][0]["aim"] = json!("soon"),
            "classes.0.aim",
        ),
        (|file| file["settings"]["classes"] = json!([]), "class"),
    ];
    for (change, field) in cases {
        let error = load(change)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        assert!(
            error.contains(field) && error.lines().count() == 1,
            "expected a one-line error that names {field}, got '{error}'"
        );
    }
}
