//! The simulator adapter as a process: a recorded exchange, and malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at the first bad line.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// The first batch: starts balancer 3 with an endpoint list of two upstreams.
const FIRST_BATCH: &str = "SYNC\ttime=5\tseq=1
SWITCH_TO\ti=3
BORN\tsalt=42\tclasses.count=1\tclasses.0.aim=1.0\tclasses.0.hardLimit=2.0\t\
    classes.0.effect=read_like\tclasses.0.news=x\tdiscovery=push\tlimits.attemptsCap=2\tme=0\t\
        peersTotal=1\tstages=only\ttier=0
SHEET\tsetId=0\trowsIn=2
ROW\tupstream=10.0.0.1:80\tlocality=0\tfamilyType=0\tgroup=0\tstageState=on\tweight=1\tlater=y
ROW\tupstream=10.0.0.2:80\tlocality=0\tfamilyType=0\tgroup=0\tstageState=fading\tweight=1
FLEET\tscope=cached\tversion=1\tsetId=0
END
";

#[test]
fn replies_match_a_recorded_exchange() {
    let input = format!(
        "{FIRST_BATCH}SYNC\ttime=5.5\tseq=2\nSWITCH_TO\ti=3\n\
            ARRIVAL\trid=77\tremaining=1.5\tcls=0\tcolour=red\nEND\n\
         SYNC\ttime=5.6\tseq=3\nSWITCH_TO\ti=3\n\
             COMPLETED\trid=77\toutcome=F\tupstream=10.0.0.1:80\tcostTime=0.1\ttry=0\nEND\n\
         SYNC\ttime=5.7\tseq=4\nSWITCH_TO\ti=3\nSTOP\nEND\n"
    );
    let output = run(&input);
    let recorded = "END\tseq=1\n\
                  FROM\ti=3\nSUBMIT_TO\trid=77\tupstream=10.0.0.1:80\n\
                      WAKE_ME\tafter=1.000001\tname=77\nEND\tseq=2\n\
                  FROM\ti=3\nREJECT\trid=77\nEND\tseq=3\n\
                  END\tseq=4\n";
    assert_eq!(String::from_utf8(output.stdout).unwrap(), recorded);
    assert!(output.status.success() && output.stderr.is_empty());
}

/// Returns a batch that consists of its first line and `lines`. The batch is incomplete unless
/// `lines` ends with `END`.
fn batch(lines: &str) -> String {
    format!("SYNC\ttime=1\tseq=1\n{lines}")
}

/// Returns a batch with `lines` for balancer 1.
fn batch_to_balancer(lines: &str) -> String {
    batch(&format!("SWITCH_TO\ti=1\n{lines}"))
}

/// Returns inputs on which the adapter fails, each with the line and the field at fault.
fn malformed_inputs() -> Vec<(String, &'static str, &'static str)> {
    let second_batch = |line: &str| {
        let start = "SYNC\ttime=6\tseq=2\nSWITCH_TO\ti=3\n";
        format!("{FIRST_BATCH}{start}{line}\nEND\n")
    };
    let list = |lines: &str| batch(&format!("SHEET\tsetId=0\t{lines}"));
    vec![
        ("NOISE\n".into(), "line 1", "NOISE"),
        ("SYNC\ttime=x\tseq=1\nEND\n".into(), "line 1", "time"),
        ("SYNC\ttime=nan\tseq=1\nEND\n".into(), "line 1", "time"),
        ("SYNC\ttime=1\nEND\n".into(), "line 1", "seq"),
        (batch("HELLO\tx=1\nEND\n"), "line 2", "i"),
        (batch_to_balancer("HELLO\tx=1\nEND\n"), "line 3", "HELLO"),
        (batch_to_balancer("ARRIVAL\trid\nEND\n"), "line 3", "rid"),
        (
            batch_to_balancer("ARRIVAL\trid=1\nEND\n"),
            "line 3",
            "remaining",
        ),
        (
            batch_to_balancer("BORN\tsalt=1\nEND\n"),
            "line 3",
            "profileData",
        ),
        (list("rowsIn=2\nROW\tupstream=a\n"), "line 3", "stageState"),
        (list("rowsIn=1\nEND\n"), "line 3", "END"),
        (batch_to_balancer(""), "line 3", "END"),
        (
            second_batch("FLEET\tscope=odd\tsetId=0"),
            "line 11",
            "scope",
        ),
        (
            second_batch("FLEET\tscope=full\tsetId=9"),
            "line 11",
            "setId",
        ),
    ]
}

#[test]
fn malformed_input_ends_the_adapter_with_a_one_line_error() {
    for (input, line, field) in malformed_inputs() {
        let output = run(&input);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success(),
            "the adapter succeeded on {input:?}"
        );
        assert_eq!(error.lines().count(), 1, "lines of the error {error:?}");
        assert!(
            error.contains(&format!("{line}: field {field}:")),
            "expected an error for {line}, field {field}, received {error:?} for {input:?}"
        );
        let replies = String::from_utf8(output.stdout).unwrap();
        let expected = if input.starts_with(FIRST_BATCH) {
            "END\tseq=1\n"
        } else {
            ""
        };
        assert_eq!(replies, expected, "replies to {input}");
    }
}

#[test]
fn adapter_exits_successfully_on_empty_input() {
    let output = run("");
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn closing_an_idle_connection_writes_let_go() {
    // The requests arrive a second apart. Two of them are reset, each on a connection that has been
    // idle for almost a second, so the balancer no longer reuses connections that old.
    let mut input = FIRST_BATCH.to_string();
    for (n, time) in [(1, 6.0), (2, 7.0), (3, 8.0), (4, 9.0), (5, 10.0)] {
        let outcome = if n == 2 || n == 4 { "R" } else { "S\tended=1" };
        input += &format!(
            "SYNC\ttime={time}\tseq={s}\nSWITCH_TO\ti=3\nARRIVAL\trid={n}\tremaining=1.5\tcls=0\n\
                END\n\
             SYNC\ttime={later}\tseq={t}\nSWITCH_TO\ti=3\n\
             COMPLETED\trid={n}\toutcome={outcome}\tupstream=10.0.0.1:80\tcostTime={took}\ttry=0\n\
                 END\n",
            s = 2 * n,
            t = 2 * n + 1,
            later = time + 0.1,
            // The connection is reset before the upstream could do any work.
            took = if outcome == "R" { 0.001 } else { 0.1 },
        );
    }
    // The last of these requests is served and leaves an idle connection. That connection is closed
    // instead of being used for the request that arrives a second later.
    let last = "SYNC\ttime=11\tseq=20\nSWITCH_TO\ti=3\nARRIVAL\trid=9\tremaining=1.5\tcls=0\nEND\n";
    let output = String::from_utf8(run(&(input + last)).stdout).unwrap();
    assert!(
        output.contains("LET_GO\tupstream=10.0.0.1:80\n"),
        "{output}"
    );
}

#[test]
fn checked_and_from_peer_lines_are_ignored() {
    let input = format!(
        "{FIRST_BATCH}SYNC\ttime=6\tseq=2\nSWITCH_TO\ti=3\nCHECKED\tupstream=10.0.0.1:80\t\
            outcome=S\tcostTime=0.001\n\
         FROM_PEER\tneighbour=2\tcontents=aGkgNw==\nEND\n"
    );
    assert_eq!(
        String::from_utf8(run(&input).stdout).unwrap(),
        "END\tseq=1\nEND\tseq=2\n"
    );
}
