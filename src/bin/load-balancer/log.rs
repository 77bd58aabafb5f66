//! The log, which is written to standard error.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::OnceLock;
use std::thread;

/// Maximum number of lines queued for a slow reader of standard error. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 256;
static QUEUE: OnceLock<SyncSender<String>> = OnceLock::new();

/// Starts the thread that writes the log, unless it is already running.
///
/// # Errors
///
/// Returns the error of the system if the thread can't be started.
pub fn start() -> io::Result<()> {
    if QUEUE.get().is_some() {
        return Ok(());
    }
    let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_LINES);
    thread::Builder::new().spawn(move || write_lines(receiver))?;
    // This fails if another thread has set a queue in the meantime; lines go to that queue then.
    let _ = QUEUE.set(sender);
    Ok(())
}

fn write_lines(queue: Receiver<String>) {
    for text in queue {
        // `eprintln!` would panic if standard error is closed.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

/// Queues one line of the log for the writing thread. Never blocks on a slow reader.
pub fn line(text: String) {
    // If the writing thread can't be started, the line is lost.
    let _ = start();
    if let Some(queue) = QUEUE.get() {
        // The line is dropped if the queue is full.
        let _ = queue.try_send(text);
    }
}
