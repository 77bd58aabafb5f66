//! Unit tests of the messages between two processes, and of their state file.

use super::*;
use crate::handover::state_file::StoredState;

/// Versions up to 47c951f send and expect these lines.
#[test]
fn messages_have_the_lines_of_the_version_in_service() {
    for (message, line) in [
        (PeerMessage::Hello, "\"hello\"\n"),
        (PeerMessage::DescriptorsInUse(128), "{\"holds\":128}\n"),
        (PeerMessage::Ready, "\"ready\"\n"),
        (PeerMessage::StateChanged, "\"state\"\n"),
    ] {
        assert_eq!(message.to_line().unwrap(), line.as_bytes());
        assert_eq!(PeerMessage::from_line(line).unwrap(), message);
    }
    for line in ["", "\"news\"", "{\"holds\":-1}", "{\"holds\":", "7"] {
        assert!(PeerMessage::from_line(line).is_err(), "{line}");
    }
}

#[test]
fn the_files_have_the_names_of_the_version_in_service() {
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
    let without = HandoverFolder::new(None, address);
    assert_eq!((without.state_file(), without.socket()), (None, None));
}

/// A state file that version 47c951f wrote.
#[test]
fn a_state_file_of_the_version_in_service_is_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/state-47c951f.json");
    let recorded: serde_json::Value =
        serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    let address = recorded["balancer"].as_str().unwrap().parse().unwrap();
    let state = StoredState::read(path.as_ref(), address).unwrap();
    assert!(state.upstreams_in_maintenance.iter().eq(["u0"]));
    assert!(state.age.is_some());
    assert_eq!(serde_json::to_value(&state).unwrap(), recorded);
    let foreign = StoredState::read(path.as_ref(), "127.0.0.9:1".parse().unwrap());
    assert!(matches!(foreign, Err(StateError::WrongBalancer { .. })));
}
