//! The messages: events that the simulator sends, and actions that go back.

use crate::decision::{
    Action, AttemptOutcome, AttemptResult, Class, Event, ListScope, Request, UpstreamEntry,
    UpstreamId, UpstreamState,
};
use crate::simulator::line::{Line, WireError};
use std::collections::HashMap;
use std::io::{self, Write};

/// The addresses of the upstreams, by their ids.
#[derive(Default)]
pub(super) struct UpstreamAddresses(HashMap<UpstreamId, String>);

impl UpstreamAddresses {
    /// The id of an address, which is remembered.
    fn intern(&mut self, line: &Line, address: &str) -> Result<UpstreamId, WireError> {
        let id = UpstreamId::of(address);
        let known = self.0.entry(id).or_insert_with(|| address.to_string());
        if known != address {
            let problem = format!("'{address}' has the same id as '{known}'");
            return Err(line.error("upstream", problem));
        }
        Ok(id)
    }

    fn resolve(&self, id: UpstreamId) -> &str {
        self.0.get(&id).map_or("?", String::as_str)
    }
}

/// The upstream that a line of an endpoint list describes.
///
/// # Errors
///
/// If the line is of another kind, or a field is missing or malformed.
pub(super) fn parse_upstream(
    line: &Line,
    addresses: &mut UpstreamAddresses,
) -> Result<UpstreamEntry, WireError> {
    if line.name() != "ROW" {
        return Err(line.error(line.name(), "is not the expected ROW"));
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
                return Err(line.error("stageState", format_args!("unknown state '{other}'")));
            }
        },
        started_at: line.seconds("since")?.unwrap_or(0.0),
    })
}

/// What an endpoint list holds, as the line that delivers it says.
///
/// # Errors
///
/// If the scope is missing or unknown.
pub(super) fn parse_list_scope(line: &Line) -> Result<ListScope, WireError> {
    Ok(match line.required_text("scope")? {
        "delta" => ListScope::Delta,
        "full" => ListScope::Full,
        "cached" => ListScope::Cached,
        "failed" => ListScope::Failed,
        other => return Err(line.error("scope", format_args!("unknown scope '{other}'"))),
    })
}

/// The event in a line that is complete in itself.
///
/// # Errors
///
/// If the message is unknown, or a field is missing or malformed.
pub(super) fn parse_event(line: &Line) -> Result<Event, WireError> {
    Ok(match line.name() {
        "ARRIVAL" => Event::Request(Request {
            id: line.request_id()?,
            class: line.number("cls")?.unwrap_or(0),
            tenant: line.number("team")?.unwrap_or(0),
            remaining: line.required_seconds("remaining")?,
            cost_hint: line.seconds("predicted")?,
            streamed: false,
        }),
        "COMPLETED" => Event::AttemptEnded(AttemptResult {
            id: line.request_id()?,
            attempt: line.required_number("try")?,
            outcome: parse_outcome(line)?,
            elapsed: line.seconds("costTime")?.unwrap_or(0.0),
            connection_idle: None,
            request_concluded: line.flag("ended")?,
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
        other => return Err(line.error("outcome", format_args!("unknown outcome '{other}'"))),
    })
}

/// Writes the line of an action. `classes` are those of the balancer that it comes from.
///
/// # Errors
///
/// Those of `out`.
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

/// The text without the characters that separate lines and fields.
pub(super) fn on_one_line(text: &str) -> String {
    text.replace(['\n', '\t'], " ")
}
