//! The messages of the protocol: events from the simulator, and actions of the balancers.

use crate::decision::{
    Action, AttemptOutcome, AttemptResult, Class, Event, ListScope, Request, UpstreamEntry,
    UpstreamId, UpstreamState,
};
use crate::simulator::line::{Line, WireError};
use std::collections::HashMap;
use std::io::{self, Write};

/// The addresses of upstreams by id.
#[derive(Default)]
pub(super) struct UpstreamAddresses(HashMap<UpstreamId, String>);

impl UpstreamAddresses {
    /// Returns the id of an address and stores the address under it.
    ///
    /// # Errors
    ///
    /// Returns an error if another address has the same id.
    fn intern(&mut self, line: &Line, address: &str) -> Result<UpstreamId, WireError> {
        let id = UpstreamId::from_name(address);
        let known = self.0.entry(id).or_insert_with(|| address.to_string());
        if known != address {
            let problem = format!("'{address}' has the same id {} as '{known}'", id.0);
            return Err(line.error("upstream", problem));
        }
        Ok(id)
    }

    /// Returns the address of an upstream, or `?` if the id is unknown.
    fn resolve(&self, id: UpstreamId) -> &str {
        self.0.get(&id).map_or("?", String::as_str)
    }
}

/// Parses a `ROW` line, which describes one upstream of an endpoint list.
///
/// # Errors
///
/// Returns an error if the line is not a `ROW`, if a field is missing or malformed, or if another
/// address has the same id.
pub(super) fn parse_upstream(
    line: &Line,
    addresses: &mut UpstreamAddresses,
) -> Result<UpstreamEntry, WireError> {
    if line.name() != "ROW" {
        return Err(line.error(line.name(), "expected message ROW"));
    }
    Ok(UpstreamEntry {
        id: addresses.intern(line, line.required_text("upstream")?)?,
        zone: line.number("locality")?.unwrap_or(0),
        machine_kind: line.number("familyType")?.unwrap_or(0),
        cell: line.number("group")?.unwrap_or(0),
        state: match line.required_text("stageState")? {
            "on" => UpstreamState::Active,
            "fading" => UpstreamState::Draining,
            "off" => UpstreamState::Removed,
            other => {
                return Err(line.error(
                    "stageState",
                    format_args!("expected on, fading or off, got '{other}'"),
                ));
            }
        },
        started_at: line.seconds("since")?.unwrap_or(0.0),
    })
}

/// Parses the scope of the endpoint list that a `FLEET` line delivers.
///
/// # Errors
///
/// Returns an error if the scope is missing or unknown.
pub(super) fn parse_list_scope(line: &Line) -> Result<ListScope, WireError> {
    Ok(match line.required_text("scope")? {
        "delta" => ListScope::Delta,
        "full" => ListScope::Full,
        "cached" => ListScope::Cached,
        "failed" => ListScope::Failed,
        other => {
            return Err(line.error(
                "scope",
                format_args!("expected delta, full, cached or failed, got '{other}'"),
            ))
        }
    })
}

/// Parses a message whose event needs no data beyond its own line. The event of `FLEET` is not
/// parsed here, as it refers to an endpoint list of an earlier `SHEET`.
///
/// # Errors
///
/// Returns an error if the message is unknown, or a field is missing or malformed.
pub(super) fn parse_event(line: &Line) -> Result<Event, WireError> {
    Ok(match line.name() {
        "ARRIVAL" => Event::Request(Request {
            id: line.request_id()?,
            class: line.number("cls")?.unwrap_or(0),
            tenant: line.number("team")?.unwrap_or(0),
            remaining: line.required_seconds("remaining")?,
            cost_hint: line.seconds("predicted")?,
            is_streamed: false,
        }),
        "COMPLETED" => Event::AttemptEnded(AttemptResult {
            id: line.request_id()?,
            attempt: line.required_number("try")?,
            outcome: parse_outcome(line)?,
            elapsed: line.seconds("costTime")?.unwrap_or(0.0),
            connection_idle: None,
            is_request_concluded: line.flag("ended")?,
        }),
        "ACCEPTED" => Event::ResponseStarted(line.request_id()?),
        "EXPIRED" => Event::ClientDisconnected(line.request_id()?),
        "TICK_DUE" => Event::TimerFired(line.required_number("name")?),
        unknown => return Err(line.error(unknown, "unknown message")),
    })
}

fn parse_outcome(line: &Line) -> Result<AttemptOutcome, WireError> {
    Ok(match line.required_text("outcome")? {
        "S" => AttemptOutcome::Success,
        "E" => AttemptOutcome::Error,
        "F" => AttemptOutcome::Rejected,
        "T" => AttemptOutcome::TimedOut,
        "C" => AttemptOutcome::ConnectFailed,
        "R" => AttemptOutcome::Reset,
        "X" => AttemptOutcome::Cancelled,
        "N" => AttemptOutcome::NotSent,
        other => {
            return Err(line.error(
                "outcome",
                format_args!("expected S, E, F, T, C, R, X or N, got '{other}'"),
            ))
        }
    })
}

/// Writes an action as one line. `classes` are the request classes of the balancer that returned
/// the action.
///
/// # Errors
///
/// Returns an error if writing to `out` fails.
pub(super) fn write_action(
    action: &Action,
    addresses: &UpstreamAddresses,
    classes: &[Class],
    out: &mut impl Write,
) -> io::Result<()> {
    match action {
        Action::StartAttempt { id, upstream, .. } => {
            let address = addresses.resolve(*upstream);
            writeln!(out, "SUBMIT_TO\trid={}\tupstream={address}", id.0)
        }
        Action::Reject {
            id,
            retry_after: None,
        } => writeln!(out, "REJECT\trid={}", id.0),
        Action::Reject {
            id,
            retry_after: Some(seconds),
        } => writeln!(out, "REJECT\trid={}\tcoolDown={seconds:.6}", id.0),
        Action::Fail { id } => writeln!(out, "LOSE\trid={}", id.0),
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "CALL_OFF\trid={}\ttry={attempt}", id.0)
        }
        Action::CloseIdleConnections { upstream } => {
            writeln!(out, "LET_GO\tupstream={}", addresses.resolve(*upstream))
        }
        Action::SetTimer { after, token } => {
            writeln!(out, "WAKE_ME\tafter={after:.6}\tname={token}")
        }
        Action::WatchEndpoints => writeln!(out, "TRACK\tactive=1"),
        Action::Log(event) => {
            let text = event.text(|upstream| Some(addresses.resolve(upstream)), classes);
            writeln!(out, "TRACE\ttext={}", on_one_line(&text))
        }
    }
}

/// Replaces newlines and tabs, which separate lines and fields, with spaces.
pub(super) fn on_one_line(text: &str) -> String {
    text.replace(['\n', '\t'], " ")
}
