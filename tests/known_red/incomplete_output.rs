//! Runs whose output is incomplete, inconsistent or misleading.

use super::script::{expect_fail, expect_pass, ENTRY};
use super::test_output::{binary_output, command_output, output_with_one_failure};

#[test]
fn command_failure_before_the_tests_fails_the_run() {
    let outputs = [
        ("Diff in src/lib.rs:1:\n-fn  a() {}\n+fn a() {}\n", 1),
        (
            "error: unused variable: `a`\nerror: could not compile `load-balancer` (lib) due to 1 \
                previous error\n",
            101,
        ),
        ("", 101),
        ("", 0),
    ];
    for (output, code) in outputs {
        expect_fail(ENTRY, output, code, "no test ran");
        expect_fail(
            ENTRY,
            output,
            code,
            "admin::hangs is listed and did not run",
        );
    }
    // The tests ran and one failed. Cargo's exit code would be 101, so any other code is a fault.
    for code in [0, 1, 137] {
        expect_fail(
            ENTRY,
            &output_with_one_failure(),
            code,
            &format!("the command ended with {code}"),
        );
    }
}

#[test]
fn test_binary_without_a_result_fails_the_run() {
    let aborted = "     Running tests/rules.rs (target/debug/deps/rules-fe4fa0301ed8959d)\n\n\
        running 2 tests\n\
        test keeps ... ok\nerror: test failed, to rerun pass `--test rules`\n";
    let cause = "\nCaused by:\n  process didn't exit successfully: `rules` (signal: 6, SIGABRT: \
        process abort signal)\n";
    let admin = binary_output("admin", &[("hangs", "FAILED")]);
    for text in [aborted.to_string(), format!("{aborted}{cause}")] {
        for output in [
            command_output(&[admin.clone(), text.clone()]),
            command_output(&[text.clone(), admin.clone()]),
        ] {
            expect_fail(ENTRY, &output, 101, "rules ended with no result");
        }
    }
    let rules = binary_output("rules", &[("keeps", "ok")]);
    expect_fail(
        ENTRY,
        &command_output(&[admin.clone(), rules.clone() + cause]),
        101,
        "process didn't exit successfully",
    );
    // The binary reports success, but cargo reports that it failed.
    let failed = format!("{rules}error: test failed, to rerun pass `--test rules`\n");
    expect_fail(
        ENTRY,
        &command_output(&[admin, failed]),
        101,
        "1 test binaries report failures, cargo reports 2",
    );
}

#[test]
fn run_that_stops_at_the_first_failure_fails() {
    let output = output_with_one_failure();
    let end = output.find("error: 1 target").unwrap();
    expect_fail(
        ENTRY,
        &output[..end],
        101,
        "1 test binaries report failures, cargo reports 0",
    );
}

#[test]
fn inconsistent_counts_fail_the_run() {
    let changes = [
        ("running 3 tests", "running 4 tests"),
        ("test answers ... ok\n", ""),
        ("2 passed; 1 failed", "1 passed; 1 failed"),
        ("2 passed; 1 failed", "1 passed; 2 failed"),
        ("    hangs\n", ""),
        ("    hangs\n", "    hangs\n    answers\n"),
        ("FAILED. 2", "ok. 2"),
    ];
    for (old, new) in changes {
        assert!(output_with_one_failure().contains(old));
        expect_fail(
            ENTRY,
            &output_with_one_failure().replace(old, new),
            101,
            "not passed: admin ",
        );
    }
}

/// The captured output of a listed test may look like that of a run, and must not hide that another
/// test failed.
#[test]
fn captured_output_hides_no_failure() {
    let output_with = |captured: &str| output_with_one_failure().replace("CAPTURED", captured);
    expect_pass(
        ENTRY,
        &output_with("test other ... FAILED\n\nfailures:\n    other\n\n---- hangs stderr ----"),
    );
    let both_failed = binary_output("admin", &[("hangs", "FAILED"), ("answers", "FAILED")]);
    let forged =
        "failures:\n    hangs\n\ntest result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured\n";
    let output = command_output(&[both_failed.replacen("CAPTURED", forged, 1)]);
    expect_fail(ENTRY, &output, 101, "admin has more than one result");
    expect_fail(
        ENTRY,
        &output_with(&binary_output("rules", &[("keeps", "ok")])),
        101,
        "admin ended with no result",
    );
}

#[test]
fn interleaved_log_lines_and_colours_are_ignored() {
    let output = output_with_one_failure()
        .replace(
            "test answers ... ok",
            "failing: all calls resttest answers ... for 1.0 s\nok",
        )
        .replace(
            "test hangs ... FAILED",
            "test hangs ... the latest test ends\nFAILED",
        )
        .replace("     Running", "\u{1b}[1m\u{1b}[92m     Running\u{1b}[0m")
        .replace("error:", "\u{1b}[1m\u{1b}[91merror\u{1b}[0m:");
    expect_pass(ENTRY, &output);
}
