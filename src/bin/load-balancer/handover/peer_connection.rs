//! The connection between the two processes of an upgrade.

use crate::handover::message::PeerMessage;
use crate::handover::retry_stream::RetryStream;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;

/// The sending side of the connection. Messages are queued and written by a separate task, which
/// ends after all clones of this value have been dropped.
#[derive(Clone)]
pub struct PeerConnection {
    outgoing: UnboundedSender<PeerMessage>,
}

impl PeerConnection {
    /// Splits a connected stream into its sending side and the messages received on it.
    pub fn open(stream: UnixStream) -> (Self, IncomingMessages) {
        let (input, output) = stream.into_split();
        let (outgoing, queue) = unbounded_channel();
        spawn_local(write_messages(queue, output));
        let lines = BufReader::new(RetryStream(input)).lines();
        (PeerConnection { outgoing }, IncomingMessages { lines })
    }

    /// Queues a message to the peer.
    pub fn send(&self, message: PeerMessage) {
        // This only fails if the writing task has ended. The receiving side then reports that the
        // peer has disconnected.
        let _ = self.outgoing.send(message);
    }
}

async fn write_messages(mut queue: UnboundedReceiver<PeerMessage>, output: OwnedWriteHalf) {
    let mut output = RetryStream(output);
    while let Some(message) = queue.recv().await {
        let Ok(line) = message.to_line() else {
            continue;
        };
        // A failure means that the peer has disconnected, which the receiving side reports.
        let _ = output.write_all(&line).await;
    }
}

/// The receiving side of the connection.
pub struct IncomingMessages {
    lines: Lines<BufReader<RetryStream<OwnedReadHalf>>>,
}

impl IncomingMessages {
    /// Waits for the next message. Returns `None` once the peer has disconnected.
    ///
    /// # Errors
    ///
    /// Returns the parser's error if a line is not a message that this version knows.
    pub async fn next(&mut self) -> serde_json::Result<Option<PeerMessage>> {
        match self.lines.next_line().await {
            Ok(Some(line)) => PeerMessage::from_line(&line).map(Some),
            Ok(None) | Err(_) => Ok(None),
        }
    }
}
