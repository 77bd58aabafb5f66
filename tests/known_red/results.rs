//! Results of tests that are listed, and of tests that are not.

use super::test_output::{binary, one_red, run};
use super::verdict::{fails, passes, verdict, verdict_on, ENTRY};
use std::path::Path;

#[test]
fn without_a_list_the_exit_code_is_that_of_the_command() {
    for output in [
        one_red(),
        "error: could not compile `load-balancer`\n".into(),
        String::new(),
    ] {
        for code in [0, 1, 101] {
            let none = verdict_on(Path::new("no/such/KNOWN-RED.txt"), &output, code);
            assert_eq!(none, (code, String::new()));
            for empty in ["", "\n", " \n\n"] {
                assert_eq!(verdict(empty, &output, code), (code, String::new()));
            }
        }
    }
}

#[test]
fn a_listed_failure_passes_the_run_and_is_printed() {
    passes(ENTRY, &one_red());
    passes(
        "hangs; cargo test --seed 7; the answer has no end; #12",
        &one_red(),
    );
    passes(
        " hangs ;\tcargo test --seed 7 ; the answer has no end, or so; #12\r\n",
        &one_red(),
    );
    let unit = binary(
        "load-balancer",
        &[
            ("driver::tests::settles", "FAILED"),
            ("driver::tests::forgets", "ok"),
        ],
    );
    let rules = binary(
        "rules",
        &[
            ("panics - should panic", "FAILED"),
            ("panics_not - should panic", "ok"),
        ],
    );
    let doc = binary(
        "doc",
        &[
            ("src/lib.rs - Settings (line 12)", "FAILED"),
            ("src/lib.rs - (line 1)", "ok"),
        ],
    );
    let all = run(&[unit, rules, doc]);
    passes(
        "driver::tests::settles; cargo test --seed 7; x; 1\nrules::panics; cargo test --seed 7; y; 2\nsrc/lib.rs - Settings (line 12); cargo test --seed 7; z; 3\n",
        &all,
    );
    passes(
        "load-balancer::driver::tests::settles; cargo test --seed 7; x; 1\npanics; cargo test --seed 7; y; 2\ndoc::src/lib.rs - Settings (line 12); cargo test --seed 7; z; 3\n",
        &all,
    );
}

#[test]
fn a_listed_test_that_passes_fails_the_run() {
    let list = format!("{ENTRY}admin::answers; cargo test --seed 7; was slow; #13\n");
    fails(
        &list,
        &one_red(),
        101,
        "admin::answers is listed and passes",
    );
    let green = run(&[binary("admin", &[("hangs", "ok")])]);
    fails(ENTRY, &green, 0, "admin::hangs is listed and passes");
}

#[test]
fn a_listed_test_that_is_ignored_fails_the_run() {
    for result in ["ignored", "ignored, slow"] {
        let text = binary("admin", &[("hangs", "ignored")])
            .replace("... ignored", &format!("... {result}"));
        fails(
            ENTRY,
            &run(&[text]),
            0,
            "admin::hangs is listed and ignored",
        );
    }
}

#[test]
fn a_failure_that_is_not_listed_fails_the_run() {
    let admin = [("hangs", "FAILED"), ("hangs_twice", "FAILED")];
    fails(
        ENTRY,
        &run(&[binary("admin", &admin)]),
        101,
        "admin::hangs_twice failed and is not listed",
    );
    let both = run(&[
        binary("admin", &admin[..1]),
        binary("rules", &[("keeps", "FAILED")]),
    ]);
    fails(ENTRY, &both, 101, "rules::keeps failed and is not listed");
    let both = run(&[
        binary("admin", &admin[..1]),
        binary("doc", &[("src/lib.rs - (line 1)", "FAILED")]),
    ]);
    fails(
        ENTRY,
        &both,
        101,
        "doc::src/lib.rs - (line 1) failed and is not listed",
    );
}
