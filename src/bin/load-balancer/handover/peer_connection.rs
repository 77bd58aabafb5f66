//! The connection between the two processes of an upgrade.

use crate::handover::message::PeerMessage;
use crate::handover::retry_stream::RetryOnInterrupt;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

/// The sending side: messages are queued and written by a task that ends once this is dropped.
pub struct PeerConnection {
    outgoing: UnboundedSender<PeerMessage>,
}

impl PeerConnection {
    /// Takes over a connected stream: its sending side, and the messages that arrive on it.
    pub fn open(stream: UnixStream) -> (Self, IncomingMessages) {
        let (input, output) = stream.into_split();
        let (outgoing, queue) = unbounded_channel();
        spawn_local(write_messages(queue, output));
        let lines = BufReader::new(RetryOnInterrupt(input)).lines();
        (PeerConnection { outgoing }, IncomingMessages { lines })
    }

    /// Queues a message.
    pub fn send(&self, message: PeerMessage) {
        // Fails only if the writing task has ended; the reading side then reports the end.
        let _ = self.outgoing.send(message);
    }
}

async fn write_messages(mut queue: UnboundedReceiver<PeerMessage>, output: OwnedWriteHalf) {
    let mut output = RetryOnInterrupt(output);
    while let Some(message) = queue.recv().await {
        let Ok(line) = message.to_line() else {
            continue;
        };
        // A failure means that the peer has disconnected, which the reading side reports.
        let _ = output.write_all(&line).await;
    }
}

/// The receiving side.
pub struct IncomingMessages {
    lines: Lines<BufReader<RetryOnInterrupt<OwnedReadHalf>>>,
}

impl IncomingMessages {
    /// Waits for the next message; `None` once the peer has disconnected.
    ///
    /// # Errors
    ///
    /// If a line is no message that this version knows.
    pub async fn next(&mut self) -> serde_json::Result<Option<PeerMessage>> {
        match self.lines.next_line().await {
            Ok(Some(line)) => PeerMessage::from_line(&line).map(Some),
            Ok(None) | Err(_) => Ok(None),
        }
    }
}
