//! The state file: files of older versions are read, and malformed files and those of other
//! balancers are ignored.

mod support;
use load_balancer::LearnedState;
use std::collections::BTreeSet;
use std::path::Path;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// A state file that version 47c951f wrote: `u0` and `u1` were listed and had served requests,
/// and operators had put `u0` into maintenance.
const STATE_OF_47C951F: &str = include_str!("data/state-47c951f.json");

/// Returns the paths of all fields of a JSON value. In a path, `*` stands for any list element and
/// for any key that is a number.
fn field_paths(value: &serde_json::Value) -> BTreeSet<String> {
    fn collect(path: &str, value: &serde_json::Value, paths: &mut BTreeSet<String>) {
        paths.insert(path.to_string());
        if let Some(fields) = value.as_object() {
            for (name, value) in fields {
                let is_number = name.parse::<u64>().is_ok();
                let name = if is_number { "*" } else { name };
                collect(&format!("{path}.{name}"), value, paths);
            }
        }
        for element in value.as_array().into_iter().flatten() {
            collect(&format!("{path}.*"), element, paths);
        }
    }
    let mut paths = BTreeSet::new();
    collect("", value, &mut paths);
    paths
}

/// Some stored fields have a newer name in addition to the older one. Both names are read. The
/// older names are written, so that an older version can read a file of this version and restore
/// the maintenance.
#[test]
fn state_file_is_compatible_with_older_field_names() {
    let learned = r#"{"width":1.0,"pace":1.5,"answers":3.0,"health":[
        {"heard":9.0,"faults":0.1,"answers":3.0,"strikes":2,"rest_until":12.5}],
        "losses":0.0,"full_until":0.0,"suspect":0.0,"credit":0.25}"#;
    let old = format!(
        r#"{{"at":10.0,"upstreams":{{"7":[1.0,0.0,{learned}]}},"usual":[],"rates":[],
        "paces":{{"0":1.0}},
        "reach":4.5,"pass":1.0,"met_crowd":false,"strain":0.0}}"#
    );
    let json = |text: &str| serde_json::from_str::<serde_json::Value>(text).unwrap();
    let read = |text: &str| serde_json::from_str::<LearnedState>(text).unwrap();
    assert_eq!(
        serde_json::to_value(read(&old)).unwrap(),
        json(&old),
        "the older version does not find all fields that it wrote"
    );
    let renamed_fields = [
        ("strikes", "failures"),
        ("rest_until", "ejected_until"),
        ("credit", "allowance"),
        ("reach", "subset"),
    ];
    let new = renamed_fields
        .iter()
        .fold(old.clone(), |text, (old, new)| text.replace(old, new));
    assert_ne!(new, old);
    assert_eq!(serde_json::to_value(read(&new)).unwrap(), json(&old));

    let fixture = UpgradeFixture::new();
    let address = fixture.start("127.0.0.1:0").address;
    let state = format!(r#"{{"balancer":"{address}","out":["u0"],"knowledge":{old}}}"#);
    std::fs::write(fixture.state_file(address), state).unwrap();
    assert_eq!(
        fixture
            .start(&address.to_string())
            .metric("upstreams_excluded"),
        1
    );
}

/// Maintenance and learned state that version 47c951f has written are restored.
#[test]
fn state_file_of_version_47c951f_is_restored() {
    let recorded: serde_json::Value = serde_json::from_str(STATE_OF_47C951F).unwrap();
    let recorded_address = recorded["balancer"].as_str().unwrap();
    let fixture = UpgradeFixture::new();
    let address = fixture.start("127.0.0.1:0").address;
    let state = STATE_OF_47C951F.replace(recorded_address, &address.to_string());
    std::fs::write(fixture.state_file(address), state).unwrap();
    let program = fixture.start(&address.to_string());
    assert_eq!(program.metric("upstreams_excluded"), 1);
    assert_eq!(program.admin_request("POST /upstreams/u0/ready").0, 200);
    assert_eq!(program.metric("upstreams_excluded"), 0);

    let learned: LearnedState = serde_json::from_value(recorded["knowledge"].clone()).unwrap();
    assert_eq!(
        serde_json::to_value(learned).unwrap(),
        recorded["knowledge"]
    );
}

/// A state file of this version has all fields that version 47c951f writes, and no others.
#[test]
fn state_file_has_the_fields_of_version_47c951f() {
    let fixture = UpgradeFixture::new();
    let program = fixture.start("127.0.0.1:0");
    let mut client = program.client();
    for _ in 0..3 {
        assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
        assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
    }
    assert_eq!(program.admin_request("POST /upstreams/u0/maint").0, 200);
    let written = std::fs::read(fixture.state_file(program.address)).unwrap();
    let written = serde_json::from_slice(&written).unwrap();
    let recorded = serde_json::from_str(STATE_OF_47C951F).unwrap();
    assert_eq!(field_paths(&written), field_paths(&recorded));
}

#[test]
fn an_incomplete_or_foreign_state_file_is_ignored() {
    let fixture = UpgradeFixture::new();
    let predecessor = fixture.start("127.0.0.1:0");
    let address = predecessor.address;
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    drop(predecessor);
    let text = std::fs::read(fixture.state_file(address)).unwrap();
    let foreign = String::from_utf8(text.clone())
        .unwrap()
        .replace(&address.to_string(), "127.0.0.9:1");
    for (state, excluded) in [
        (&text[..], 1),
        (&text[..text.len() - 1], 0),
        (foreign.as_bytes(), 0),
        (&b"\xff\x00"[..], 0),
    ] {
        std::fs::write(fixture.state_file(address), state).unwrap();
        let program = fixture.start(&address.to_string());
        assert_eq!(program.metric("upstreams_excluded"), excluded);
        assert_eq!(program.admin_request("GET /healthcheck").0, 200);
    }
}

/// An upgrade would undo a maintenance that is missing in the state file, so the operator must
/// learn that it was not stored.
#[test]
fn maintenance_that_cannot_be_stored_is_answered_with_an_error() {
    let fixture = UpgradeFixture::new();
    let program = fixture.start("127.0.0.1:0");
    std::fs::create_dir(Path::new(&fixture.state_file(program.address)).with_extension("new"))
        .unwrap();
    assert_eq!(program.admin_request("POST /upstreams/u0/maint").0, 500);
    assert_eq!(
        program
            .client()
            .request(
                "/pay",
                &format!("{REQUEST_ID}Request-Timeout: 1.0\r\n"),
                "coins"
            )
            .status(),
        503
    );
}
