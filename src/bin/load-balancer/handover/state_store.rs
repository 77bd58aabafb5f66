//! Exchanges state between the dispatcher and the state file.

use crate::dispatch::Dispatcher;
use crate::handover::folder::{HandoverFolder, FOLDER_RETRY_SCHEDULE};
use crate::handover::state_file::{StateError, StoredState};
use crate::log;
use load_balancer::Maintenance;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A failed write is retried at this interval.
pub const STATE_WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// True for a failed read that may succeed a moment later.
fn is_transient_failure(result: &Option<Result<StoredState, StateError>>) -> bool {
    matches!(result, Some(Err(error)) if error.is_transient())
}

/// Owns the state file of this process's balancer.
pub struct StateStore {
    folder: Rc<HandoverFolder>,
    dispatcher: Rc<RefCell<Dispatcher>>,
    /// A write has failed and is being retried: the file is older than the dispatcher's state.
    has_pending_write: Cell<bool>,
}

impl StateStore {
    /// The state file in this folder, for the state of this dispatcher.
    pub fn new(folder: Rc<HandoverFolder>, dispatcher: Rc<RefCell<Dispatcher>>) -> Self {
        StateStore {
            folder,
            dispatcher,
            has_pending_write: Cell::new(false),
        }
    }

    /// Writes the present state; nothing to do without a folder.
    ///
    /// # Errors
    ///
    /// `StateError::Unwritable`.
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

    /// Notes that a write has failed. True if no retries are under way: then
    /// [`Self::retry_write`] has to follow.
    pub fn begin_retries(&self) -> bool {
        !self.has_pending_write.replace(true)
    }

    /// Writes the present state at intervals until that succeeds.
    pub async fn retry_write(&self) {
        while self.has_pending_write.get() {
            sleep(STATE_WRITE_RETRY_INTERVAL).await;
            self.has_pending_write.set(self.write().is_err());
        }
    }

    /// Takes an upstream out of service or puts it back; false if no upstream of this name is
    /// known.
    pub fn set_maintenance(&self, upstream: &str, change: Maintenance) -> bool {
        self.dispatcher
            .borrow_mut()
            .set_maintenance(upstream, change)
    }

    /// Reads the file and applies its maintenance. `None` without a folder, and while a write is
    /// pending: the file is older than what this process knows then.
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

    /// Like [`Self::reload_maintenance`]; transient errors are retried for a while.
    pub async fn reload_maintenance_with_retries(&self) -> Option<Result<StoredState, StateError>> {
        FOLDER_RETRY_SCHEDULE
            .run(is_transient_failure, || async { self.reload_maintenance() })
            .await
    }

    /// Like [`Self::reload_maintenance_with_retries`]; a failure is logged.
    pub async fn restore_maintenance(&self) -> Option<StoredState> {
        match self.reload_maintenance_with_retries().await? {
            Ok(state) => Some(state),
            Err(error) => {
                log::line(format!("state not restored: {error}"));
                None
            }
        }
    }

    /// Restores maintenance and, if the age of the file is known, the learned state.
    pub async fn restore(&self) {
        let Some(state) = self.restore_maintenance().await else {
            return;
        };
        if let Some(age) = state.age {
            self.dispatcher
                .borrow_mut()
                .restore(age, state.learned_state);
        }
    }
}
