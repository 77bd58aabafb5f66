//! Keeps the two processes of an upgrade from running requests with the same id.
//!
//! While both serve clients, each process claims the id of a request at the other one before it
//! accepts the request. If both claim an id at the same time, the predecessor gets it. A process of
//! a version without claims is never asked.

use crate::dispatch::RequestFingerprint;
use crate::handover::message::PeerMessage;
use crate::handover::peer_connection::PeerConnection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time within which the other process has to answer a claim. Without an answer the request is
/// accepted, and further ones don't wait until the process answers again.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// The role of this process among the two that claim ids at each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRole {
    /// This process serves clients from before the upgrade.
    Predecessor,
    /// This process was started for the upgrade.
    Successor,
}

/// The other process, at which ids are claimed.
struct ClaimPeer {
    connection: PeerConnection,
    role: ClaimRole,
}

/// The claims of this process. Without a peer, every claim succeeds at once.
#[derive(Default)]
pub struct RequestIdClaims {
    peer: RefCell<Option<ClaimPeer>>,
    /// The claims of requests that have not been accepted yet. The value sends the answer, and is
    /// `None` once there is one.
    pending: RefCell<HashMap<RequestFingerprint, Option<oneshot::Sender<bool>>>>,
    /// Whether the last claim was not answered in time.
    is_peer_silent: Cell<bool>,
}

/// A claim of the id of one request. Unless the request is accepted, dropping the claim lets the
/// other process accept a request with this id.
pub struct RequestIdClaim {
    claims: Rc<RequestIdClaims>,
    id: RequestFingerprint,
    is_accepted: bool,
}

impl RequestIdClaim {
    /// Records that the request has been accepted, so that its id stays claimed.
    pub fn accept(mut self) {
        self.is_accepted = true;
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        self.claims.pending.borrow_mut().remove(&self.id);
        if !self.is_accepted {
            self.claims.release(self.id);
        }
    }
}

impl RequestIdClaims {
    /// Begins to claim ids at this peer.
    pub(super) fn set_peer(&self, connection: PeerConnection, role: ClaimRole) {
        self.is_peer_silent.set(false);
        self.peer.replace(Some(ClaimPeer { connection, role }));
    }

    /// Ends the claims, because the peer has ended. Those without an answer succeed.
    pub(super) fn remove_peer(&self) {
        self.peer.replace(None);
        for answer in self.pending.borrow_mut().values_mut() {
            answer.take();
        }
    }

    /// Claims the id of a request that is to be accepted. Returns `None` if the other process has
    /// a recent request with this id, or if another request of this process claims it.
    pub async fn claim(self: &Rc<Self>, id: RequestFingerprint) -> Option<RequestIdClaim> {
        let (answer, answered) = oneshot::channel();
        if self.pending.borrow().contains_key(&id) {
            return None;
        }
        self.pending.borrow_mut().insert(id, Some(answer));
        let mut claim = RequestIdClaim {
            claims: self.clone(),
            id,
            is_accepted: false,
        };
        if !self.send(PeerMessage::ClaimRequestId(id)) || self.is_peer_silent.get() {
            return Some(claim);
        }
        match timeout(CLAIM_TIMEOUT, answered).await {
            Ok(Ok(false)) => {
                // The id belongs to the other process, and must not be released there.
                claim.is_accepted = true;
                None
            }
            Ok(_) => Some(claim),
            Err(_) => {
                self.is_peer_silent.set(true);
                Some(claim)
            }
        }
    }

    /// Lets the other process accept a request with this id, because none has run here.
    pub fn release(&self, id: RequestFingerprint) {
        self.send(PeerMessage::ReleaseRequestId(id));
    }

    /// Passes on the answer to a claim of this process.
    pub(super) fn handle_answer(&self, id: RequestFingerprint, is_new: bool) {
        self.is_peer_silent.set(false);
        let mut pending = self.pending.borrow_mut();
        if let Some(answer) = pending.get_mut(&id).and_then(Option::take) {
            // The request may have ended in the meantime.
            let _ = answer.send(is_new);
        }
    }

    /// Answers a claim of the other process. `record` records the id in this process, and returns
    /// false if there is a recent request with this id.
    pub(super) fn answer(&self, id: RequestFingerprint, record: impl FnOnce() -> bool) {
        let is_claimed_here = self.pending.borrow().contains_key(&id);
        let is_new = !(is_claimed_here && self.role() == Some(ClaimRole::Predecessor)) && record();
        self.send(PeerMessage::RequestIdClaimed { id, is_new });
    }

    fn role(&self) -> Option<ClaimRole> {
        self.peer.borrow().as_ref().map(|peer| peer.role)
    }

    /// Sends a message to the peer. Returns false if there is none.
    fn send(&self, message: PeerMessage) -> bool {
        let peer = self.peer.borrow();
        if let Some(peer) = peer.as_ref() {
            peer.connection.send(message);
        }
        peer.is_some()
    }
}
