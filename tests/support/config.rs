//! Builds configurations of the program, and endpoint lists.

use std::net::SocketAddr;

/// Returns an entry of an endpoint list as JSON.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> String {
    let identity = format!(r#""name":"{name}","address":"{address}","zone":"z","type":"std""#);
    format!(r#"{{{identity},"group":0,"status":"{status}","weight":1.0,"since_ms":0,"news":0}}"#)
}

/// Returns an endpoint list as JSON: a snapshot, or else the changes to the previous list.
pub fn list(version: u64, snapshot: bool, endpoints: &[String]) -> String {
    format!(
        r#"{{"index":{version},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        endpoints.join(",")
    )
}

/// Returns a configuration with three request classes: `read` is read-only, `hold` takes an
/// idempotency key, and `pay` is not idempotent. `known` is the endpoint list, as JSON, with which
/// the program starts.
pub fn config(known: &str, discovery: SocketAddr, max_descriptors: usize) -> String {
    let class = |name: &str, effect: &str| {
        let effect = format!(r#""effect":"{effect}","dedupScope":"all","dedupWindow":8.0"#);
        format!(r#"{{"name":"{name}","aim":5.0,"hardLimit":10.0,{effect},"worth":1.0}}"#)
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0a",
        "limits":{{"sockets":{max_descriptors}}},"known":{known},
        "settings":{{"classes":[{},{},{}],"tenants":[{{"name":"acme","quotaRps":100.0}}],
        "discovery":"ask","kinds":["std"],"localities":["z"],"stages":["only"],"tier":0,"zone":0,
        "me":0,"peersTotal":1,"news":{{"more":true}},
        "limits":{{"attemptsCap":3,"cancel":true,"connIdle":30.0,"connectTimeout":1.0,
        "mayDuplicate":true,"openCap":1000,"retryAfter":true,"maxRetryAfter":2.0,
        "streamsPerConn":1}},
        "rules":{{"askWithin":0.4,"cold":5.0,"startCapacity":0.3}}}}}}"#,
        class("read", "read_like"),
        class("hold", "idempotency_key"),
        class("pay", "non_idempotent"),
    )
}

/// Returns a configuration whose endpoint list has these upstreams in service, named `u0`, `u1`
/// and so on.
pub fn config_with_upstreams(
    upstreams: &[SocketAddr],
    discovery: SocketAddr,
    max_descriptors: usize,
) -> String {
    let entries = upstreams.iter().enumerate();
    let entries: Vec<_> = entries
        .map(|(number, address)| endpoint(&format!("u{number}"), *address, "in_service"))
        .collect();
    config(&list(5, true, &entries), discovery, max_descriptors)
}

/// Returns the configuration with this `memory_mb`.
pub fn with_memory_mb(config: &str, memory_mb: usize) -> String {
    let limits = format!("\"limits\":{{\"memory_mb\":{memory_mb},\"sockets\"");
    let config = config.replace("\"limits\":{\"sockets\"", &limits);
    assert!(config.contains("memory_mb"));
    config
}

/// Returns the configuration with deadlines and a connect timeout that no test reaches.
pub fn with_long_timeouts(config: &str) -> String {
    config
        .replace(
            "\"aim\":5.0,\"hardLimit\":10.0",
            "\"aim\":200.0,\"hardLimit\":400.0",
        )
        .replace("Timeout\":1.0", "Timeout\":60.0")
}
