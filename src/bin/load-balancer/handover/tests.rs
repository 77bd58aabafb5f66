//! Unit tests of the messages between the two processes of an upgrade, and of their files.

use super::*;
use crate::handover::state_file::StoredState;

/// Versions up to 47c951f send and expect these lines, so an upgrade from them depends on the
/// format.
#[test]
fn peer_messages_keep_their_wire_format() {
    for (message, line) in [
        (PeerMessage::Hello, "\"hello\"\n"),
        (PeerMessage::DescriptorsInUse(128), "{\"holds\":128}\n"),
        (PeerMessage::Ready, "\"ready\"\n"),
        (PeerMessage::StateChanged, "\"state\"\n"),
    ] {
        assert_eq!(message.to_line().unwrap(), line.as_bytes(), "{message:?}");
        assert_eq!(PeerMessage::from_line(line).unwrap(), message, "{line}");
    }
    for line in ["", "\"news\"", "{\"holds\":-1}", "{\"holds\":", "7"] {
        assert!(
            PeerMessage::from_line(line).is_err(),
            "malformed line accepted: {line}"
        );
    }
}

/// Versions up to 47c951f look for files with these names.
#[test]
fn handover_files_keep_their_names() {
    let address = "127.0.0.1:80".parse().unwrap();
    let folder = HandoverFolder::new(Some("/tmp/f".into()), address);
    let state = folder.state_file().unwrap();
    assert_eq!(
        state.to_str(),
        Some("/tmp/f/magpiechute-127.0.0.1:80.state")
    );
    let socket = folder.socket().unwrap();
    assert_eq!(
        socket.to_str(),
        Some("/tmp/f/magpiechute-127.0.0.1:80.sock")
    );
    let no_folder = HandoverFolder::new(None, address);
    assert_eq!((no_folder.state_file(), no_folder.socket()), (None, None));
}

/// The file was written by version 47c951f. Its fields must be read and written under the same
/// names.
#[test]
fn state_file_of_version_47c951f_is_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/state-47c951f.json");
    let recorded: serde_json::Value =
        serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    let address = recorded["balancer"].as_str().unwrap().parse().unwrap();
    let state = StoredState::read(path.as_ref(), address).unwrap();
    assert!(
        state.upstreams_in_maintenance.iter().eq(["u0"]),
        "upstreams in maintenance: expected u0 only, got {:?}",
        state.upstreams_in_maintenance
    );
    assert!(state.age.is_some(), "the age of {path} is unknown");
    assert_eq!(serde_json::to_value(&state).unwrap(), recorded);
    let foreign = StoredState::read(path.as_ref(), "127.0.0.9:1".parse().unwrap());
    assert!(
        matches!(foreign, Err(StateError::WrongBalancer { .. })),
        "state file of the balancer at {address} read for 127.0.0.9:1: {foreign:?}"
    );
}
