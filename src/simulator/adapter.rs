//! The adapter: passes the simulator's messages to balancers and returns their actions.

use crate::decision::{Action, Balancer, Event, ListScope, UpstreamEntry};
use crate::settings_format::settings_from_pairs;
use crate::simulator::line::{Line, LineReader, WireError};
use crate::simulator::message::{
    on_one_line, parse_event, parse_list_scope, parse_upstream, write_action, UpstreamAddresses,
};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

const WRITE_TO_MEMORY: &str = "writing to memory does not fail";

/// Reads batches of messages from `input` and writes one reply per batch to `output`, until the
/// input ends between two batches.
///
/// # Errors
///
/// Returns an error for the first malformed or unexpected line, if the input ends inside a batch,
/// or if reading or writing fails. A batch with such a line gets no reply.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut reader = LineReader::new(input);
    let mut adapter = Adapter::default();
    while let Some(line) = reader.next_line()? {
        if line.name() != "SYNC" {
            return Err(line.error(line.name(), "expected message SYNC"));
        }
        let now = line.required_seconds("time")?;
        let sequence: u64 = line.required_number("seq")?;
        adapter.run_batch(&mut reader, now)?;
        writeln!(adapter.reply, "END\tseq={sequence}").expect(WRITE_TO_MEMORY);
        output
            .write_all(&adapter.reply)
            .and_then(|()| output.flush())
            .map_err(|source| WireError::Io {
                line: reader.line_number(),
                source,
            })?;
    }
    Ok(())
}

/// The balancers of this process, and the state that they share.
#[derive(Default)]
struct Adapter {
    addresses: UpstreamAddresses,
    /// Endpoint lists by the `setId` that messages refer to.
    endpoint_lists: BTreeMap<u64, Vec<UpstreamEntry>>,
    /// Balancers by the number that `SWITCH_TO` selects.
    balancers: BTreeMap<u64, Balancer>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
    /// The reply to the current batch.
    reply: Vec<u8>,
    /// The balancer that the last `FROM` line of the reply names.
    replying_balancer: Option<u64>,
}

impl Adapter {
    /// Handles the lines of a batch up to its `END`.
    fn run_batch<R: BufRead>(
        &mut self,
        reader: &mut LineReader<R>,
        now: f64,
    ) -> Result<(), WireError> {
        self.reply.clear();
        self.replying_balancer = None;
        let mut selected_balancer = None;
        loop {
            let line = reader.next_line_in_batch()?;
            match line.name() {
                "END" => return Ok(()),
                "SWITCH_TO" => selected_balancer = Some(line.required_number("i")?),
                "SHEET" => {
                    let list_number = line.required_number("setId")?;
                    let count = line.required_number("rowsIn")?;
                    self.read_endpoint_list(reader, list_number, count)?;
                }
                _ => self.handle_message(&line, now, selected_balancer)?,
            }
        }
    }

    fn read_endpoint_list<R: BufRead>(
        &mut self,
        reader: &mut LineReader<R>,
        list_number: u64,
        count: usize,
    ) -> Result<(), WireError> {
        let mut endpoints = Vec::new();
        for _ in 0..count {
            let line = reader.next_line_in_batch()?;
            endpoints.push(parse_upstream(&line, &mut self.addresses)?);
        }
        self.endpoint_lists.insert(list_number, endpoints);
        Ok(())
    }

    /// Handles a message to the selected balancer.
    fn handle_message(
        &mut self,
        line: &Line,
        now: f64,
        selected_balancer: Option<u64>,
    ) -> Result<(), WireError> {
        let balancer_number = selected_balancer.ok_or_else(|| {
            line.error(
                "i",
                format_args!("no SWITCH_TO before {} in this batch", line.name()),
            )
        })?;
        match line.name() {
            "BORN" => {
                let balancer = create_balancer(line, now)?;
                self.balancers.insert(balancer_number, balancer);
            }
            "STOP" => {
                self.balancers.remove(&balancer_number);
            }
            // Results of health checks and messages from peers: the decision module uses neither.
            "CHECKED" | "FROM_PEER" => {}
            "FLEET" => {
                let event = self.endpoint_list_event(line)?;
                self.handle_event(balancer_number, now, event);
            }
            _ => self.handle_event(balancer_number, now, parse_event(line)?),
        }
        Ok(())
    }

    fn endpoint_list_event(&self, line: &Line) -> Result<Event, WireError> {
        let scope = parse_list_scope(line)?;
        let endpoints = if scope == ListScope::Failed {
            Vec::new()
        } else {
            let list_number = line.required_number("setId")?;
            let endpoints = self.endpoint_lists.get(&list_number);
            let unknown = || {
                line.error(
                    "setId",
                    format_args!("no SHEET with setId {list_number} was received before"),
                )
            };
            endpoints.ok_or_else(unknown)?.clone()
        };
        Ok(Event::EndpointList { scope, endpoints })
    }

    /// Passes an event to a balancer and appends its actions to the reply. A balancer that panics
    /// is removed and reported with `CRASH`.
    fn handle_event(&mut self, balancer_number: u64, now: f64, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&balancer_number) else {
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if result.is_ok() && self.actions.is_empty() {
            return;
        }
        if self.replying_balancer != Some(balancer_number) {
            writeln!(self.reply, "FROM\ti={balancer_number}").expect(WRITE_TO_MEMORY);
            self.replying_balancer = Some(balancer_number);
        }
        let classes = &balancer.settings().classes;
        for action in &self.actions {
            write_action(action, &self.addresses, classes, &mut self.reply).expect(WRITE_TO_MEMORY);
        }
        if let Err(payload) = result {
            self.balancers.remove(&balancer_number);
            let message = on_one_line(panic_message(payload.as_ref()));
            writeln!(
                self.reply,
                "CRASH\ttext=the decision module panicked: {message}"
            )
            .expect(WRITE_TO_MEMORY);
        }
    }
}

fn create_balancer(line: &Line, now: f64) -> Result<Balancer, WireError> {
    let seed = line.required_number("salt")?;
    let settings = settings_from_pairs(line.fields())
        .map_err(|invalid| line.error(&invalid.path, invalid.problem))?;
    Balancer::new(settings, seed, now).map_err(|error| line.error("profileData", error))
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let message = payload.downcast_ref::<String>().map(String::as_str);
    message
        .or(payload.downcast_ref::<&str>().copied())
        .unwrap_or("no cause given")
}
