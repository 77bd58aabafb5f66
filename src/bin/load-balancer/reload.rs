//! Reload of the configuration on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::dispatch::Dispatcher;
use crate::log;
use crate::signals::Signal;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A configuration that can't be opened is tried again at this interval,
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// and for this long: the file may be just about to be replaced.
const READ_RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reloads the configuration on each of these signals, for as long as the process runs.
pub async fn reload_on_signal(hangup: Signal, dispatcher: Rc<RefCell<Dispatcher>>) {
    loop {
        hangup.received().await;
        reload(&dispatcher).await;
    }
}

/// Reads the whole configuration again. An invalid one changes nothing; of a valid one, the
/// address of discovery is what takes effect without a restart.
async fn reload(dispatcher: &RefCell<Dispatcher>) {
    match read_with_retries().await {
        Ok(config) => {
            log::line(format!(
                "configuration reloaded: {} (discovery at {})",
                config.name, config.discovery
            ));
            dispatcher
                .borrow_mut()
                .set_discovery_address(config.discovery);
        }
        Err(error) => log::line(format!(
            "configuration not reloaded: {error}; the previous one stays in force"
        )),
    }
}

async fn read_with_retries() -> Result<Config, ConfigError> {
    let give_up_at = Instant::now() + READ_RETRY_TIMEOUT;
    loop {
        match Config::reload() {
            Err(ConfigError::Unreadable { .. }) if Instant::now() < give_up_at => {
                sleep(READ_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
