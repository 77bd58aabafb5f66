//! Runs `.ci/known-red` on a list and an output.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

/// A list with one entry.
pub const ENTRY: &str = "admin::hangs; cargo test --seed 7; the answer has no end; #12\n";

/// Writes a file of its own for this text.
pub fn write_temp_file(text: &str) -> PathBuf {
    static FILES: AtomicU64 = AtomicU64::new(0);
    let name = format!(
        "known-red-{}-{}",
        std::process::id(),
        FILES.fetch_add(1, Ordering::SeqCst)
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the script; returns its exit code and what it prints.
pub fn verdict_on(list: &Path, output: &str, code: i32) -> (i32, String) {
    let output = write_temp_file(output);
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let run = Command::new("bash")
        .arg(script)
        .arg(list)
        .arg(&output)
        .arg(code.to_string())
        .output()
        .unwrap();
    std::fs::remove_file(output).unwrap();
    (
        run.status.code().unwrap(),
        String::from_utf8(run.stdout).unwrap(),
    )
}

/// The same with the text of a list.
pub fn verdict(list: &str, output: &str, code: i32) -> (i32, String) {
    let list = write_temp_file(list);
    let verdict = verdict_on(&list, output, code);
    std::fs::remove_file(list).unwrap();
    verdict
}

/// Expects that the run passes and that each entry is printed.
#[track_caller]
pub fn expect_pass(list: &str, output: &str) {
    let (code, text) = verdict(list, output, 101);
    assert_eq!(code, 0, "{text:?}");
    for line in list.lines() {
        let part: Vec<_> = line.split(';').map(str::trim).collect();
        let printed = format!(
            "known red: {}; command: {}; seen: {}; issue: {}",
            part[0], part[1], part[2], part[3]
        );
        assert!(
            text.lines().any(|line| line == printed),
            "{printed}: {text:?}"
        );
    }
}

/// Expects that the run fails, and that the reason is printed.
#[track_caller]
pub fn expect_fail(list: &str, output: &str, code: i32, why: &str) {
    let (verdict, text) = verdict(list, output, code);
    assert!(
        verdict != 0 && text.contains(why),
        "{verdict}, not '{why}': {text:?}"
    );
}
