//! Process start: a restart at the same address, and an invalid configuration.

mod support;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

#[test]
fn a_killed_process_restarts_at_its_address() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (mut program, discovery) = Program::with_upstreams(&[upstream.address]);
    let mut client = program.client();
    assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
    program.kill();
    let known = list(5, true, &[endpoint("u0", upstream.address, "in_service")]);
    let restarted = Program::start(
        &config(&known, discovery.address, 1024),
        &program.address.to_string(),
    );
    assert_eq!(restarted.address, program.address);
    assert_eq!(
        restarted.client().request("/read", REQUEST_ID, "").status(),
        200
    );
}

#[test]
fn invalid_configuration_ends_the_process_with_a_one_line_error() {
    let valid = config("{}", refusing_address(), 1024);
    let cases = [
        ("nonsense".to_string(), "PROXY_CONFIG"),
        (
            valid.replace("\"aim\":5.0", "\"aim\":\"soon\""),
            "classes.0.aim",
        ),
        (
            valid.replace("\"hardLimit\":10.0", "\"hardLimit\":-1"),
            "deadline",
        ),
        (valid.replace("0a", "zz"), "seed"),
    ];
    for (config, field) in cases {
        let output = spawn(&config, "127.0.0.1:0").wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && text.lines().count() == 1 && text.contains(field),
            "expected a failure with one line that names {field}, received {text:?}"
        );
    }
}
