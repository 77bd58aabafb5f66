//! Copies state between the dispatcher and the state file.

use crate::dispatch::Dispatcher;
use crate::handover::folder::{HandoverFolder, FOLDER_RETRY_SCHEDULE};
use crate::handover::state_file::{StateError, StoredState};
use crate::log;
use load_balancer::Maintenance;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which a failed write of the state file is retried.
pub const STATE_WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether this is a failed read that may succeed when it is repeated.
fn is_transient_failure(result: &Option<Result<StoredState, StateError>>) -> bool {
    matches!(result, Some(Err(error)) if error.is_transient())
}

/// Reads and writes the state file of the balancer to which this process belongs.
pub struct StateStore {
    folder: Rc<HandoverFolder>,
    dispatcher: Rc<RefCell<Dispatcher>>,
    /// Whether a failed write is being retried. The file is older than the dispatcher's state then.
    has_pending_write: Cell<bool>,
}

impl StateStore {
    /// Creates the store that saves the state of `dispatcher` in `folder`.
    pub fn new(folder: Rc<HandoverFolder>, dispatcher: Rc<RefCell<Dispatcher>>) -> Self {
        StateStore {
            folder,
            dispatcher,
            has_pending_write: Cell::new(false),
        }
    }

    /// Writes the dispatcher's current state to the file. Does nothing without a folder.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::Unwritable`] if the file can't be written.
    pub fn write(&self) -> Result<(), StateError> {
        let Some(path) = self.folder.state_file() else {
            return Ok(());
        };
        let state = {
            let dispatcher = self.dispatcher.borrow();
            StoredState {
                balancer: self.folder.address().to_string(),
                upstreams_in_maintenance: dispatcher
                    .upstreams_in_maintenance()
                    .map(str::to_string)
                    .collect(),
                learned_state: dispatcher.learned_state(),
                age: None,
            }
        };
        state.write(&path)
    }

    /// Records that a write has failed. Returns true if no retries are running yet; the caller must
    /// then run [`Self::retry_write`].
    pub fn begin_retries(&self) -> bool {
        !self.has_pending_write.replace(true)
    }

    /// Writes the dispatcher's current state every [`STATE_WRITE_RETRY_INTERVAL`] until a write
    /// succeeds.
    pub async fn retry_write(&self) {
        while self.has_pending_write.get() {
            sleep(STATE_WRITE_RETRY_INTERVAL).await;
            self.has_pending_write.set(self.write().is_err());
        }
    }

    /// Begins or ends the maintenance of an upstream in the dispatcher, without writing the file.
    /// Returns false if no upstream with this name is known.
    pub fn set_maintenance(&self, upstream: &str, change: Maintenance) -> bool {
        self.dispatcher
            .borrow_mut()
            .set_maintenance(upstream, change)
    }

    /// Reads the file, applies its maintenance to the dispatcher and returns the state that was
    /// read. Does nothing and returns `None` without a folder, or while a failed write is being
    /// retried, as the file is then older than the dispatcher's state.
    pub fn reload_maintenance(&self) -> Option<Result<StoredState, StateError>> {
        let path = self.folder.state_file()?;
        if self.has_pending_write.get() {
            return None;
        }
        let state = StoredState::read(&path, self.folder.address());
        if let Ok(state) = &state {
            self.dispatcher
                .borrow_mut()
                .restore_maintenance(&state.upstreams_in_maintenance);
        }
        Some(state)
    }

    /// Calls [`Self::reload_maintenance`] and repeats it after a transient error, as scheduled by
    /// [`FOLDER_RETRY_SCHEDULE`]. Returns the last result.
    pub async fn reload_maintenance_with_retries(&self) -> Option<Result<StoredState, StateError>> {
        FOLDER_RETRY_SCHEDULE
            .run(is_transient_failure, || async { self.reload_maintenance() })
            .await
    }

    /// Calls [`Self::reload_maintenance_with_retries`] and logs a failure. Returns the state if it
    /// was read.
    pub async fn restore_maintenance(&self) -> Option<StoredState> {
        match self.reload_maintenance_with_retries().await? {
            Ok(state) => Some(state),
            Err(error) => {
                log::line(format!("state not restored: {error}"));
                None
            }
        }
    }

    /// Restores maintenance and, if the age of the file is known, the learned state from the file.
    pub async fn restore(&self) {
        let Some(state) = self.restore_maintenance().await else {
            return;
        };
        if let Some(age) = state.age {
            self.dispatcher
                .borrow_mut()
                .restore_learned_state(age, state.learned_state);
        }
    }
}
