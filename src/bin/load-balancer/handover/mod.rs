//! Upgrade without lost clients: a successor process starts beside its predecessor and takes over
//! from it.
//!
//! The two processes meet at a Unix socket in `$TMPDIR` and share the limits of one balancer.
//! Maintenance and learned state are stored in a file beside the socket.

mod folder;
mod message;
mod peer_connection;
mod retry_stream;
mod state_file;
mod state_store;

use crate::dispatch::Dispatcher;
use crate::handover::folder::{connect_to_predecessor, listen_for_successor, HandoverFolder};
use crate::handover::message::PeerMessage;
use crate::handover::peer_connection::{IncomingMessages, PeerConnection};
use crate::handover::state_file::StateError;
use crate::handover::state_store::{StateStore, STATE_WRITE_RETRY_INTERVAL};
use crate::log;
use crate::server::Server;
use crate::socket::DescriptorBudget;
use load_balancer::Maintenance;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A predecessor reports its descriptors within this time, or is taken to use half of them.
const DESCRIPTOR_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections to the predecessor that may end before it has reported: it may lack a resource for
/// a moment.
const MAX_HANDSHAKE_ATTEMPTS: usize = 3;
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the socket for a successor is tried again. Longer than that of the state
/// file, as some file systems never take a socket.
const SUCCESSOR_SOCKET_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a change of maintenance was not carried out in full.
#[derive(Debug, Error)]
pub enum MaintenanceError {
    /// No upstream of this name is known; nothing has changed.
    #[error("unknown upstream")]
    UnknownUpstream,
    /// The state file can't be read at the moment, so it may hold changes that would be
    /// overwritten; nothing has changed.
    #[error("state file not read: {0}")]
    StateUnreadable(#[source] StateError),
    /// The change is in force, but a successor would not know of it until a retry has written the
    /// file.
    #[error("state file not written: {0}")]
    StateUnwritable(#[source] StateError),
}

/// The other process of an upgrade.
enum Peer {
    /// There is none.
    Absent,
    /// It has connected.
    Connected(PeerConnection),
    /// It is the successor, and accepts clients' connections.
    Accepting(PeerConnection),
}

impl Peer {
    fn connection(&self) -> Option<&PeerConnection> {
        match self {
            Peer::Absent => None,
            Peer::Connected(connection) | Peer::Accepting(connection) => Some(connection),
        }
    }
}

/// This process's side of an upgrade.
pub struct Handover {
    folder: Rc<HandoverFolder>,
    store: StateStore,
    server: Rc<Server>,
    descriptors: Rc<DescriptorBudget>,
    /// The most descriptors that both processes may hold together.
    max_descriptors: usize,
    peer: RefCell<Peer>,
}

impl Handover {
    /// The handover of the balancer that listens on `address`, by way of files in `folder`.
    pub fn new(
        folder: Option<PathBuf>,
        address: SocketAddr,
        dispatcher: Rc<RefCell<Dispatcher>>,
        server: Rc<Server>,
        descriptors: Rc<DescriptorBudget>,
        max_descriptors: usize,
    ) -> Rc<Self> {
        let folder = Rc::new(HandoverFolder::new(folder, address));
        Rc::new(Handover {
            store: StateStore::new(folder.clone(), dispatcher),
            folder,
            server,
            descriptors,
            max_descriptors,
            peer: RefCell::new(Peer::Absent),
        })
    }

    /// True once a successor accepts clients' connections.
    pub fn is_replaced(&self) -> bool {
        matches!(*self.peer.borrow(), Peer::Accepting(_))
    }

    /// True while another process runs beside this one.
    pub fn has_peer(&self) -> bool {
        !matches!(*self.peer.borrow(), Peer::Absent)
    }

    /// Takes an upstream out of service or puts it back, stores that, and notifies the peer.
    ///
    /// # Errors
    ///
    /// See [`MaintenanceError`].
    pub fn set_maintenance(
        self: &Rc<Self>,
        upstream: &str,
        change: Maintenance,
    ) -> Result<(), MaintenanceError> {
        // The file may hold a change that the peer or the predecessor made and that has not
        // arrived here yet.
        match self.store.reload_maintenance() {
            Some(Err(error)) if error.is_transient() => {
                return Err(MaintenanceError::StateUnreadable(error));
            }
            _ => {}
        }
        if !self.store.set_maintenance(upstream, change) {
            return Err(MaintenanceError::UnknownUpstream);
        }
        self.publish_state()
            .map_err(MaintenanceError::StateUnwritable)
    }

    /// Writes the state file and notifies the peer. A failed write is retried until it succeeds.
    fn publish_state(self: &Rc<Self>) -> Result<(), StateError> {
        let written = self.store.write();
        match &written {
            Ok(()) => self.send(PeerMessage::StateChanged),
            Err(error) => {
                let interval = STATE_WRITE_RETRY_INTERVAL.as_secs_f64();
                log::line(format!(
                    "state file not written: {error}; retrying every {interval} s"
                ));
                if self.store.begin_retries() {
                    spawn_local(self.clone().retry_publishing_state());
                }
            }
        }
        written
    }

    async fn retry_publishing_state(self: Rc<Self>) {
        self.store.retry_write().await;
        self.send(PeerMessage::StateChanged);
    }

    /// Takes over from the predecessor: its state, and the descriptors that it can spare if it
    /// still runs. The caller then listens for clients once it can serve them.
    pub async fn take_over(self: &Rc<Self>) {
        let Some(socket) = self.folder.socket() else {
            return;
        };
        for _ in 0..MAX_HANDSHAKE_ATTEMPTS {
            let Some(stream) = connect_to_predecessor(&socket).await else {
                break;
            };
            if self.perform_handshake(stream).await {
                break;
            }
        }
        // After the introduction: the predecessor writes the file on `Hello`, and reports later
        // changes.
        self.store.restore().await;
    }

    /// Introduces this process to its predecessor and waits for its report. False if the
    /// connection ended before that.
    async fn perform_handshake(self: &Rc<Self>, stream: UnixStream) -> bool {
        let half = self.max_descriptors / 2;
        let address = self.folder.address();
        log::line(format!(
            "peer process found: balancer at {address} (descriptor limit {half})"
        ));
        // Until the predecessor has reported.
        self.descriptors.set_limit(half);
        let descriptors_reported = Rc::new(Notify::new());
        self.attach_peer(stream, descriptors_reported.clone());
        self.send(PeerMessage::Hello);
        if timeout(DESCRIPTOR_REPORT_TIMEOUT, descriptors_reported.notified())
            .await
            .is_ok()
        {
            return true;
        }
        log::line(format!(
            "peer process did not report its descriptors: balancer at {address} \
             (descriptor limit {half})"
        ));
        self.has_peer()
    }

    /// To be called once this process listens for clients on `address`: notifies the predecessor
    /// and awaits a successor.
    pub fn announce_listening(self: &Rc<Self>, address: SocketAddr) {
        self.folder.set_address(address);
        self.send(PeerMessage::Ready);
        let Some(socket) = self.folder.socket() else {
            return;
        };
        // Here and not in the task: a successor may be started as soon as this process is seen to
        // listen.
        match listen_for_successor(&socket) {
            Ok(listener) => {
                spawn_local(self.clone().accept_successors(listener));
            }
            Err(error) => {
                let path = socket.display();
                let interval = SUCCESSOR_SOCKET_RETRY_INTERVAL.as_secs_f64();
                log::line(format!(
                    "handover socket not created: {path}: {error}; retrying every {interval} s"
                ));
                spawn_local(self.clone().retry_listening_for_successor(socket));
            }
        }
    }

    /// Awaits a successor once the socket can be created.
    async fn retry_listening_for_successor(self: Rc<Self>, socket: PathBuf) {
        loop {
            sleep(SUCCESSOR_SOCKET_RETRY_INTERVAL).await;
            if let Ok(listener) = listen_for_successor(&socket) {
                return self.accept_successors(listener).await;
            }
        }
    }

    async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                // One upgrade at a time: a further process is disconnected and goes without a
                // handover.
                Ok((stream, _)) if !self.has_peer() => self.attach_peer(stream, Rc::default()),
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Serves the connection to the peer until that disconnects. `descriptors_reported` is
    /// notified of its report.
    fn attach_peer(self: &Rc<Self>, stream: UnixStream, descriptors_reported: Rc<Notify>) {
        let (connection, messages) = PeerConnection::open(stream);
        *self.peer.borrow_mut() = Peer::Connected(connection);
        let handover = self.clone();
        spawn_local(async move {
            handover
                .handle_messages(messages, &descriptors_reported)
                .await;
            handover.handle_peer_disconnect();
        });
    }

    /// The peer has disconnected: this process is the only one.
    fn handle_peer_disconnect(self: &Rc<Self>) {
        let address = self.folder.address();
        let limit = self.max_descriptors;
        log::line(format!(
            "peer process disconnected: balancer at {address} (descriptor limit {limit})"
        ));
        let peer = self.peer.replace(Peer::Absent);
        self.descriptors.set_limit(limit);
        if matches!(peer, Peer::Accepting(_)) {
            // The successor has taken over the socket, so it has to be created again.
            self.announce_listening(address);
        }
    }

    async fn handle_messages(
        self: &Rc<Self>,
        mut messages: IncomingMessages,
        descriptors_reported: &Notify,
    ) {
        loop {
            match messages.next().await {
                Ok(Some(message)) => self.handle_message(message, descriptors_reported).await,
                Ok(None) => return,
                Err(error) => {
                    return log::line(format!(
                        "peer message malformed: {error}; closing the connection"
                    ));
                }
            }
        }
    }

    async fn handle_message(self: &Rc<Self>, message: PeerMessage, descriptors_reported: &Notify) {
        match message {
            PeerMessage::Hello => self.yield_descriptors().await,
            PeerMessage::DescriptorsInUse(count) => {
                let remaining = self.max_descriptors.saturating_sub(count);
                self.descriptors.set_limit(remaining);
                descriptors_reported.notify_one();
            }
            PeerMessage::Ready => self.mark_peer_accepting(),
            PeerMessage::StateChanged => {
                self.store.restore_maintenance().await;
            }
        }
    }

    /// A successor has started: writes the state for it and yields half of the descriptors.
    async fn yield_descriptors(self: &Rc<Self>) {
        // An unreadable file is overwritten.
        let _ = self.store.reload_maintenance_with_retries().await;
        // A failed write is retried; the successor is notified then.
        let _ = self.publish_state();
        let half = self.max_descriptors / 2;
        self.descriptors.set_limit(half);
        self.server.evict_down_to(half).await;
        let in_use = self.descriptors.in_use().max(half);
        self.send(PeerMessage::DescriptorsInUse(in_use));
    }

    fn mark_peer_accepting(&self) {
        let mut peer = self.peer.borrow_mut();
        if let Peer::Connected(connection) = std::mem::replace(&mut *peer, Peer::Absent) {
            *peer = Peer::Accepting(connection);
        }
    }

    fn send(&self, message: PeerMessage) {
        if let Some(connection) = self.peer.borrow().connection() {
            connection.send(message);
        }
    }
}

#[cfg(test)]
mod tests;
