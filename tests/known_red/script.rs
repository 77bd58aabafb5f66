//! Runs `.ci/known-red` on a list of known failures and the output of a test command.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// A list with one entry, for the test `hangs` of the binary `admin`.
pub const ENTRY: &str = "admin::hangs; cargo test --seed 7; the answer has no end; #12\n";

/// Writes `text` to a new temporary file, and returns its path.
pub fn write_temp_file(text: &str) -> PathBuf {
    static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);
    let name = format!(
        "known-red-{}-{}",
        std::process::id(),
        NEXT_FILE_NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the script on the list in the file `list`, and on the output and the exit code of the test
/// command. Returns the exit code of the script and what it prints.
pub fn run_with_list_file(list: &Path, output: &str, command_code: i32) -> (i32, String) {
    let output = write_temp_file(output);
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let run = Command::new("bash")
        .arg(script)
        .arg(list)
        .arg(&output)
        .arg(command_code.to_string())
        .output()
        .unwrap();
    std::fs::remove_file(output).unwrap();
    (
        run.status.code().unwrap(),
        String::from_utf8(run.stdout).unwrap(),
    )
}

/// Writes the list to a temporary file and calls [`run_with_list_file`] with it.
pub fn run_with_list(list: &str, output: &str, command_code: i32) -> (i32, String) {
    let list = write_temp_file(list);
    let result = run_with_list_file(&list, output, command_code);
    std::fs::remove_file(list).unwrap();
    result
}

/// Expects that the script exits with 0 and prints each entry of the list.
#[track_caller]
pub fn expect_pass(list: &str, output: &str) {
    let (exit_code, printed) = run_with_list(list, output, 101);
    assert_eq!(
        exit_code, 0,
        "exit code of the script, which printed {printed:?}"
    );
    for line in list.lines() {
        let parts: Vec<_> = line.split(';').map(str::trim).collect();
        let expected = format!(
            "known red: {}; command: {}; seen: {}; issue: {}",
            parts[0], parts[1], parts[2], parts[3]
        );
        assert!(
            printed.lines().any(|line| line == expected),
            "expected the line {expected:?}, printed: {printed:?}"
        );
    }
}

/// Expects that the script exits with a non-zero code and prints `reason`.
#[track_caller]
pub fn expect_fail(list: &str, output: &str, command_code: i32, reason: &str) {
    let (exit_code, printed) = run_with_list(list, output, command_code);
    assert!(
        exit_code != 0 && printed.contains(reason),
        "expected a failure with {reason:?}, exit code: {exit_code}, printed: {printed:?}"
    );
}
