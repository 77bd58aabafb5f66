//! Made-up output of the test command.

/// What one test binary prints: each test with what follows its name.
pub fn binary(name: &str, tests: &[(&str, &str)]) -> String {
    let count = |start| {
        tests
            .iter()
            .filter(|(_, result)| result.ends_with(start))
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
        let named = tests
            .iter()
            .filter(|(_, result)| result.ends_with("FAILED"));
        let named: Vec<_> = named
            .map(|(test, _)| test.trim_end_matches(" - should panic"))
            .collect();
        text += "\nfailures:\n";
        for test in &named {
            text += &format!("\n---- {test} stdout ----\nCAPTURED\n");
        }
        text += "\n\nfailures:\n";
        for test in &named {
            text += &format!("    {test}\n");
        }
    }
    let word = if failed > 0 { "FAILED" } else { "ok" };
    let counts =
        format!("{passed} passed; {failed} failed; {ignored} ignored; 0 measured; 0 filtered out");
    text += &format!("\ntest result: {word}. {counts}; finished in 0.01s\n\n");
    if failed > 0 {
        text += &format!("error: test failed, to rerun pass `--test {name}`\n");
    }
    text
}

/// What the command prints, to its end.
pub fn run(binaries: &[String]) -> String {
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

/// One listed failure among tests that pass.
pub fn one_red() -> String {
    let admin = binary(
        "admin",
        &[
            ("answers", "ok"),
            ("hangs", "FAILED"),
            ("hangs_twice", "ok"),
        ],
    );
    run(&[
        binary("load_balancer", &[]),
        admin,
        binary("rules", &[("keeps", "ok")]),
        binary("doc", &[]),
    ])
}
