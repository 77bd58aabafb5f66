//! Builds sample output of the test command, `cargo test`.

/// Returns the output of one test binary, or of the doc tests if `name` is `doc`. `tests` holds the
/// name of each test and the result that is printed after the name. The captured output of a failed
/// test is `CAPTURED`.
pub fn binary_output(name: &str, tests: &[(&str, &str)]) -> String {
    let count = |ending| {
        tests
            .iter()
            .filter(|(_, result)| result.ends_with(ending))
            .count()
    };
    let (passed, failed, ignored) = (count("ok"), count("FAILED"), count("ignored"));
    let mut text = match name {
        "doc" => "   Doc-tests load_balancer\n".to_string(),
        _ => format!("     Running tests/{name}.rs (target/debug/deps/{name}-0f6efb1662e9578c)\n"),
    };
    text += &format!("\nrunning {} tests\n", tests.len());
    for (test, result) in tests {
        text += &format!("test {test} ... {result}\n");
    }
    if failed > 0 {
        let failed_tests = tests
            .iter()
            .filter(|(_, result)| result.ends_with("FAILED"));
        let failed_tests: Vec<_> = failed_tests
            .map(|(test, _)| test.trim_end_matches(" - should panic"))
            .collect();
        text += "\nfailures:\n";
        for test in &failed_tests {
            text += &format!("\n---- {test} stdout ----\nCAPTURED\n");
        }
        text += "\n\nfailures:\n";
        for test in &failed_tests {
            text += &format!("    {test}\n");
        }
    }
    let result = if failed > 0 { "FAILED" } else { "ok" };
    let counts =
        format!("{passed} passed; {failed} failed; {ignored} ignored; 0 measured; 0 filtered out");
    text += &format!("\ntest result: {result}. {counts}; finished in 0.01s\n\n");
    if failed > 0 {
        text += &format!("error: test failed, to rerun pass `--test {name}`\n");
    }
    text
}

/// Returns the complete output of the test command from the output of its test binaries.
pub fn command_output(binaries: &[String]) -> String {
    let failed = binaries
        .iter()
        .filter(|text| text.contains("error: test failed"))
        .count();
    let noun = if failed == 1 { "target" } else { "targets" };
    let end = format!(
        "error: {failed} {noun} failed:\n{}",
        "    `--test x`\n".repeat(failed)
    );
    let start = "    Finished `test` profile [unoptimized + debuginfo] target(s) in 0.23s\n";
    format!(
        "{start}{}{}",
        binaries.concat(),
        if failed > 0 { &end } else { "" }
    )
}

/// Returns the output of a run in which the test of `script::ENTRY` fails and all others pass.
pub fn output_with_one_failure() -> String {
    let admin = binary_output(
        "admin",
        &[
            ("answers", "ok"),
            ("hangs", "FAILED"),
            ("hangs_twice", "ok"),
        ],
    );
    command_output(&[
        binary_output("load_balancer", &[]),
        admin,
        binary_output("rules", &[("keeps", "ok")]),
        binary_output("doc", &[]),
    ])
}
