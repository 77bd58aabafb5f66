//! What the platform requires of the deploy file and of the program that it starts.

mod support;
use std::fs;
use support::*;

/// The platform can only manage a single process that starts no others and is linked with the C
/// library when it is loaded.
#[test]
fn the_deployed_program_is_one_dynamically_linked_process() {
    let deploy =
        fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/balancer.toml")).unwrap();
    assert!(deploy
        .lines()
        .any(|line| line == "run = \"exec target/release/load-balancer\""));
    let image = fs::read(env!("CARGO_BIN_EXE_load-balancer")).unwrap();
    let names = |name: &[u8]| image.windows(name.len()).any(|part| part == name);
    assert!(names(b"/ld-linux") && names(b"libc.so.6\0"));
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_admin(&[upstream.address]);
    assert_eq!(
        program
            .client()
            .request("/pay", "Request-Id: {id}\r\n", "coins")
            .status(),
        200
    );
    let parents = fs::read_dir("/proc").unwrap().filter_map(|process| {
        let stat = fs::read_to_string(process.ok()?.path().join("stat")).ok()?;
        stat.rsplit_once(')')?
            .1
            .split(' ')
            .nth(2)?
            .parse::<u32>()
            .ok()
    });
    assert!(!parents.into_iter().any(|parent| parent == program.id()));
}
