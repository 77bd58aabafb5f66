//! Handover: an upgrade without lost clients, in which a successor process starts while its
//! predecessor still runs and takes over from it.
//!
//! The two processes connect through a Unix socket in `$TMPDIR` and share the descriptors and the
//! memory of one balancer. Maintenance and learned state are stored in a file in the same folder.

mod folder;
mod message;
mod peer_connection;
mod request_id_claims;
mod retry_stream;
mod state_file;
mod state_store;

pub use request_id_claims::RequestIdClaims;

use crate::dispatch::{Dispatcher, RequestFingerprint};
use crate::handover::folder::{connect_to_predecessor, listen_for_successor, HandoverFolder};
use crate::handover::message::PeerMessage;
use crate::handover::peer_connection::{IncomingMessages, PeerConnection};
use crate::handover::request_id_claims::ClaimRole;
use crate::handover::state_file::StateError;
use crate::handover::state_store::{StateStore, STATE_WRITE_RETRY_INTERVAL};
use crate::log;
use crate::memory::MemoryLimit;
use crate::resources::Resources;
use crate::server::Server;
use crate::socket::DescriptorBudget;
use load_balancer::Maintenance;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time within which a predecessor has to report how many descriptors it uses. Without a report it
/// is assumed to use half of the limit.
const DESCRIPTOR_REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connections that are opened to the predecessor, one after the other. A
/// connection may end before the report because the predecessor briefly lacks a resource; a new one
/// is opened then.
const MAX_HANDSHAKE_ATTEMPTS: usize = 3;
/// Time within which a predecessor has to send the ids of its recent requests.
const REQUEST_ID_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of ids in one message.
const REQUEST_IDS_PER_MESSAGE: usize = 1000;
/// Pause after a failed accept(2) on the handover socket.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the creation of the handover socket is retried. It is longer than
/// [`STATE_WRITE_RETRY_INTERVAL`], because on some file systems a socket can never be created, and
/// the retries then never end.
const SUCCESSOR_SOCKET_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The reason why a maintenance change was rejected, or is in force but not stored.
#[derive(Debug, Error)]
pub enum MaintenanceError {
    /// No upstream with this name is known. Nothing has changed.
    #[error("unknown upstream")]
    UnknownUpstream,
    /// The state file can't be read at the moment. It may contain changes that a write would
    /// overwrite, so the maintenance was not changed.
    #[error("state file not read: {0}")]
    StateUnreadable(#[source] StateError),
    /// The change is in force, but the state file could not be written. A successor does not know
    /// of the change until a retry has written the file.
    #[error("state file not written: {0}")]
    StateUnwritable(#[source] StateError),
}

/// The other process of an upgrade.
enum Peer {
    /// No other process is connected.
    Absent,
    /// A predecessor or successor is connected.
    Connected(PeerConnection),
    /// A successor is connected and accepts client connections.
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

/// The role of this process in upgrades: it may be the successor of an earlier process, and later
/// the predecessor of another one.
pub struct Handover {
    folder: Rc<HandoverFolder>,
    store: StateStore,
    server: Rc<Server>,
    descriptors: Rc<DescriptorBudget>,
    memory_limit: Rc<MemoryLimit>,
    /// Maximum number of descriptors that both processes may use together.
    max_descriptors: usize,
    peer: RefCell<Peer>,
    request_id_claims: Rc<RequestIdClaims>,
    /// The process id of the predecessor; `None` if there is none or the id is unknown.
    predecessor_id: Cell<Option<i32>>,
    /// Notified when the predecessor has sent the ids of its recent requests.
    request_ids_shared: Notify,
    dispatcher: Rc<RefCell<Dispatcher>>,
}

impl Handover {
    /// Creates the handover of the balancer that listens on `address`. The socket and the state
    /// file are created in `folder`; without a folder there is no handover.
    pub fn new(
        folder: Option<PathBuf>,
        address: SocketAddr,
        dispatcher: Rc<RefCell<Dispatcher>>,
        server: Rc<Server>,
        resources: &Resources,
        max_descriptors: usize,
    ) -> Rc<Self> {
        let folder = Rc::new(HandoverFolder::new(folder, address));
        Rc::new(Handover {
            store: StateStore::new(folder.clone(), dispatcher.clone()),
            dispatcher,
            request_id_claims: resources.request_id_claims.clone(),
            predecessor_id: Cell::new(None),
            request_ids_shared: Notify::new(),
            folder,
            server,
            descriptors: resources.descriptors.clone(),
            memory_limit: resources.memory_limit.clone(),
            max_descriptors,
            peer: RefCell::new(Peer::Absent),
        })
    }

    /// Returns whether a successor accepts client connections.
    pub fn is_replaced(&self) -> bool {
        matches!(*self.peer.borrow(), Peer::Accepting(_))
    }

    /// Returns whether another process of the same balancer is connected.
    pub fn has_peer(&self) -> bool {
        !matches!(*self.peer.borrow(), Peer::Absent)
    }

    /// Begins or ends the maintenance of an upstream, stores the change and notifies the peer.
    ///
    /// # Errors
    ///
    /// Returns a [`MaintenanceError`] if the upstream is unknown, or if the state file can't be
    /// read or written.
    pub fn set_maintenance(
        self: &Rc<Self>,
        upstream: &str,
        change: Maintenance,
    ) -> Result<(), MaintenanceError> {
        // The peer or the predecessor may have stored a change that this process has not been
        // notified of yet. If the file were not read first, the write below would undo that change.
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

    /// Retries the write of the state file until it succeeds, then notifies the peer.
    async fn retry_publishing_state(self: Rc<Self>) {
        self.store.retry_write().await;
        self.send(PeerMessage::StateChanged);
    }

    /// Takes over the state of the predecessor and, if it still runs, the descriptors that it does
    /// not need. The caller starts to listen for clients afterwards, once it can serve them.
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
        // The file is read after the handshake, because the predecessor writes it when it receives
        // `Hello` and sends a message after each later change.
        self.store.restore().await;
        let predecessor = self.predecessor_id.get();
        if predecessor.is_some_and(|id| self.folder.has_declared_claims(id)) && self.has_peer() {
            self.share_request_ids().await;
        }
    }

    /// Begins to claim request ids at the predecessor, and waits for the ids of its recent
    /// requests.
    async fn share_request_ids(&self) {
        self.begin_claims(ClaimRole::Successor);
        self.send(PeerMessage::ShareRequestIds);
        let shared = self.request_ids_shared.notified();
        if timeout(REQUEST_ID_TIMEOUT, shared).await.is_err() {
            let address = self.folder.address();
            log::line(format!(
                "peer process did not send its request ids: balancer at {address}"
            ));
        }
    }

    fn begin_claims(&self, role: ClaimRole) {
        if let Some(connection) = self.peer.borrow().connection() {
            self.request_id_claims.set_peer(connection.clone(), role);
        }
    }

    /// Sends the ids of recent requests to the successor.
    fn send_request_ids(&self) {
        let ids = self.dispatcher.borrow().recent_request_ids();
        for ids in ids.chunks(REQUEST_IDS_PER_MESSAGE) {
            self.send(PeerMessage::RecentRequestIds(ids.to_vec()));
        }
        self.send(PeerMessage::RequestIdsShared);
    }

    fn record_peer_request(&self, id: RequestFingerprint) -> bool {
        self.dispatcher.borrow_mut().record_peer_request(id)
    }

    /// Sends `Hello` to the predecessor and waits until it has reported its descriptors or
    /// [`DESCRIPTOR_REPORT_TIMEOUT`] has passed. Returns false if the connection has ended without
    /// a report.
    async fn perform_handshake(self: &Rc<Self>, stream: UnixStream) -> bool {
        let credentials = stream.peer_cred().ok();
        self.predecessor_id
            .set(credentials.and_then(|credentials| credentials.pid()));
        let half = self.max_descriptors / 2;
        let address = self.folder.address();
        log::line(format!(
            "peer process found: balancer at {address} (descriptor limit {half})"
        ));
        // This limit applies until the predecessor has reported.
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

    /// Notifies the predecessor that this process listens for clients on `address`, and starts to
    /// listen for a successor. Must be called after the listener for clients has been opened.
    pub fn announce_listening(self: &Rc<Self>, address: SocketAddr) {
        self.folder.set_address(address);
        self.send(PeerMessage::Ready);
        let Some(socket) = self.folder.socket() else {
            return;
        };
        // If this fails, a successor does not claim request ids.
        let _ = self.folder.declare_claims();
        // The socket is created here and not in a task, because a successor may be started as soon
        // as this process listens for clients.
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

    /// Retries the creation of the handover socket until it succeeds, then accepts successors.
    async fn retry_listening_for_successor(self: Rc<Self>, socket: PathBuf) {
        loop {
            sleep(SUCCESSOR_SOCKET_RETRY_INTERVAL).await;
            if let Ok(listener) = listen_for_successor(&socket) {
                return self.accept_successors(listener).await;
            }
        }
    }

    /// Accepts connections of successors on the handover socket, one successor at a time.
    async fn accept_successors(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                // Only one upgrade runs at a time. Any other process is disconnected and starts
                // without a handover.
                Ok((stream, _)) if !self.has_peer() => self.attach_peer(stream, Rc::default()),
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Starts a task that handles the messages of the peer until it disconnects.
    /// `descriptors_reported` is notified when the peer has reported its descriptors.
    fn attach_peer(self: &Rc<Self>, stream: UnixStream, descriptors_reported: Rc<Notify>) {
        let (connection, messages) = PeerConnection::open(stream);
        *self.peer.borrow_mut() = Peer::Connected(connection);
        self.memory_limit.set_process_count(2);
        let handover = self.clone();
        spawn_local(async move {
            handover
                .handle_messages(messages, &descriptors_reported)
                .await;
            handover.handle_peer_disconnect();
        });
    }

    /// Restores the full descriptor limit after the peer has disconnected. If the peer was a
    /// successor that had taken over, the handover socket is created again.
    fn handle_peer_disconnect(self: &Rc<Self>) {
        let address = self.folder.address();
        let limit = self.max_descriptors;
        log::line(format!(
            "peer process disconnected: balancer at {address} (descriptor limit {limit})"
        ));
        let peer = self.peer.replace(Peer::Absent);
        self.request_id_claims.remove_peer();
        self.descriptors.set_limit(limit);
        self.memory_limit.set_process_count(1);
        if matches!(peer, Peer::Accepting(_)) {
            // The successor has replaced the handover socket with its own.
            self.announce_listening(address);
        }
    }

    /// Handles messages of the peer until it disconnects or sends a malformed one.
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
            PeerMessage::ShareRequestIds => {
                self.begin_claims(ClaimRole::Predecessor);
                self.send_request_ids();
            }
            PeerMessage::RecentRequestIds(ids) => {
                for id in ids {
                    self.record_peer_request(id);
                }
            }
            PeerMessage::RequestIdsShared => self.request_ids_shared.notify_one(),
            PeerMessage::ClaimRequestId(id) => {
                let record = || self.record_peer_request(id);
                self.request_id_claims.answer(id, record);
            }
            PeerMessage::RequestIdClaimed { id, is_new } => {
                self.request_id_claims.handle_answer(id, is_new);
            }
            PeerMessage::ReleaseRequestId(id) => {
                self.dispatcher.borrow_mut().remove_peer_request(id);
            }
        }
    }

    /// Writes the state file for a successor that has started, and frees half of the descriptors
    /// for it.
    async fn yield_descriptors(self: &Rc<Self>) {
        // The result does not matter: a file that can't be read is overwritten below.
        let _ = self.store.reload_maintenance_with_retries().await;
        // A failed write is retried, and the successor is notified once it has succeeded.
        let _ = self.publish_state();
        let half = self.max_descriptors / 2;
        self.descriptors.set_limit(half);
        self.server.evict_down_to(half).await;
        let in_use = self.descriptors.in_use().max(half);
        self.send(PeerMessage::DescriptorsInUse(in_use));
    }

    /// Records that the peer is a successor that accepts client connections.
    fn mark_peer_accepting(&self) {
        let mut peer = self.peer.borrow_mut();
        if let Peer::Connected(connection) = std::mem::replace(&mut *peer, Peer::Absent) {
            *peer = Peer::Accepting(connection);
        }
    }

    /// Sends a message to the peer, if one is connected.
    fn send(&self, message: PeerMessage) {
        if let Some(connection) = self.peer.borrow().connection() {
            connection.send(message);
        }
    }
}

#[cfg(test)]
mod tests;
