//! The log: lines on standard error.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::OnceLock;
use std::thread;

/// Lines that may wait for a slow reader; further ones are dropped.
const MAX_QUEUED_LINES: usize = 256;
static QUEUE: OnceLock<SyncSender<String>> = OnceLock::new();

/// Starts the thread that writes the lines, unless it runs.
///
/// # Errors
///
/// Those of starting a thread.
pub fn start() -> io::Result<()> {
    if QUEUE.get().is_some() {
        return Ok(());
    }
    let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_LINES);
    thread::Builder::new().spawn(move || write_lines(receiver))?;
    // Fails if another thread has set one meanwhile; lines go there then.
    let _ = QUEUE.set(sender);
    Ok(())
}

fn write_lines(queue: Receiver<String>) {
    for text in queue {
        // `eprintln` would panic once standard error is closed.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

/// Writes one line, without waiting for its reader: a thread of its own writes it.
pub fn line(text: String) {
    // Without a thread for the log the line is lost.
    let _ = start();
    if let Some(queue) = QUEUE.get() {
        // Dropped if the queue is full.
        let _ = queue.try_send(text);
    }
}
