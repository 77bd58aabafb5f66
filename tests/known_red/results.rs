//! Results of listed and of unlisted tests.

use super::script::{expect_fail, expect_pass, run_with_list, run_with_list_file, ENTRY};
use super::test_output::{binary_output, command_output, output_with_one_failure};
use std::path::Path;

#[test]
fn missing_or_empty_list_keeps_the_exit_code_of_the_command() {
    for output in [
        output_with_one_failure(),
        "error: could not compile `load-balancer`\n".into(),
        String::new(),
    ] {
        for code in [0, 1, 101] {
            let without_list =
                run_with_list_file(Path::new("no/such/KNOWN-RED.txt"), &output, code);
            assert_eq!(without_list, (code, String::new()));
            for empty in ["", "\n", " \n\n"] {
                assert_eq!(run_with_list(empty, &output, code), (code, String::new()));
            }
        }
    }
}

#[test]
fn listed_failure_passes_the_run_and_is_printed() {
    expect_pass(ENTRY, &output_with_one_failure());
    expect_pass(
        "hangs; cargo test --seed 7; the answer has no end; #12",
        &output_with_one_failure(),
    );
    expect_pass(
        " hangs ;\tcargo test --seed 7 ; the answer has no end, or so; #12\r\n",
        &output_with_one_failure(),
    );
    let unit = binary_output(
        "load-balancer",
        &[
            ("driver::tests::settles", "FAILED"),
            ("driver::tests::forgets", "ok"),
        ],
    );
    let rules = binary_output(
        "rules",
        &[
            ("panics - should panic", "FAILED"),
            ("panics_not - should panic", "ok"),
        ],
    );
    let doc = binary_output(
        "doc",
        &[
            ("src/lib.rs - Settings (line 12)", "FAILED"),
            ("src/lib.rs - (line 1)", "ok"),
        ],
    );
    let all = command_output(&[unit, rules, doc]);
    expect_pass(
        "driver::tests::settles; cargo test --seed 7; x; 1\n\
            rules::panics; cargo test --seed 7; y; 2\nsrc/lib.rs - Settings (line 12); cargo test \
                --seed 7; z; 3\n",
        &all,
    );
    expect_pass(
        "load-balancer::driver::tests::settles; cargo test --seed 7; x; 1\n\
            panics; cargo test --seed 7; y; 2\ndoc::src/lib.rs - Settings (line 12); cargo test \
                --seed 7; z; 3\n",
        &all,
    );
}

#[test]
fn listed_test_that_passes_fails_the_run() {
    let list = format!("{ENTRY}admin::answers; cargo test --seed 7; was slow; #13\n");
    expect_fail(
        &list,
        &output_with_one_failure(),
        101,
        "admin::answers is listed and passes",
    );
    let green = command_output(&[binary_output("admin", &[("hangs", "ok")])]);
    expect_fail(ENTRY, &green, 0, "admin::hangs is listed and passes");
}

#[test]
fn ignored_listed_test_fails_the_run() {
    for result in ["ignored", "ignored, slow"] {
        let text = binary_output("admin", &[("hangs", "ignored")])
            .replace("... ignored", &format!("... {result}"));
        expect_fail(
            ENTRY,
            &command_output(&[text]),
            0,
            "admin::hangs is listed and ignored",
        );
    }
}

#[test]
fn unlisted_failure_fails_the_run() {
    let admin = [("hangs", "FAILED"), ("hangs_twice", "FAILED")];
    expect_fail(
        ENTRY,
        &command_output(&[binary_output("admin", &admin)]),
        101,
        "admin::hangs_twice failed and is not listed",
    );
    let both = command_output(&[
        binary_output("admin", &admin[..1]),
        binary_output("rules", &[("keeps", "FAILED")]),
    ]);
    expect_fail(ENTRY, &both, 101, "rules::keeps failed and is not listed");
    let both = command_output(&[
        binary_output("admin", &admin[..1]),
        binary_output("doc", &[("src/lib.rs - (line 1)", "FAILED")]),
    ]);
    expect_fail(
        ENTRY,
        &both,
        101,
        "doc::src/lib.rs - (line 1) failed and is not listed",
    );
}
