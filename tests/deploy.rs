//! Requirements of the platform on the deploy file and on the program that it starts.

mod support;
use std::fs;
use std::path::Path;
use support::*;

const REPOSITORY: &str = env!("CARGO_MANIFEST_DIR");

fn deploy_file() -> String {
    fs::read_to_string(Path::new(REPOSITORY).join("deploy/balancer.toml")).unwrap()
}

/// Returns the strings of a list in the deploy file, in order.
fn listed_strings(deploy: &str, key: &str) -> Vec<String> {
    let assignment = format!("\n{key} = [");
    let (_, rest) = deploy
        .split_once(&assignment)
        .expect("the list is missing in the deploy file");
    let (list, _) = rest
        .split_once(']')
        .expect("the list has no closing bracket");
    let strings = list.split('"').skip(1).step_by(2);
    strings.map(str::to_string).collect()
}

/// Returns the paths of all files below a folder, relative to the repository and sorted.
fn files_below(folder: &str) -> Vec<String> {
    let mut files = Vec::new();
    for entry in fs::read_dir(Path::new(REPOSITORY).join(folder)).unwrap() {
        let entry = entry.unwrap();
        let path = format!("{folder}/{}", entry.file_name().to_str().unwrap());
        if entry.file_type().unwrap().is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

/// Under `policy`, the platform accepts only files, and skips a path that does not exist.
#[test]
fn policy_lists_exactly_the_files_of_the_decision_module() {
    let policy = listed_strings(&deploy_file(), "policy");
    for path in &policy {
        assert!(
            Path::new(REPOSITORY).join(path).is_file(),
            "{path}, listed under policy, is not a file"
        );
    }
    assert_eq!(policy, files_below("src/decision"));
}

/// Under `node`, the platform accepts files and folders.
#[test]
fn each_path_under_node_exists() {
    let node = listed_strings(&deploy_file(), "node");
    assert!(!node.is_empty());
    for path in &node {
        assert!(
            Path::new(REPOSITORY).join(path).exists(),
            "{path}, listed under node, does not exist"
        );
    }
}

/// The platform can only manage a program that is a single process, starts no others, and is
/// dynamically linked with the C library.
#[test]
fn the_deployed_program_is_one_dynamically_linked_process() {
    assert!(deploy_file()
        .lines()
        .any(|line| line == "run = \"exec target/release/load-balancer\""));
    let image = fs::read(env!("CARGO_BIN_EXE_load-balancer")).unwrap();
    let contains = |name: &[u8]| image.windows(name.len()).any(|part| part == name);
    assert!(contains(b"/ld-linux") && contains(b"libc.so.6\0"));
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
