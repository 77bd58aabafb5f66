//! Reload of the configuration on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::dispatch::Dispatcher;
use crate::log;
use crate::retry::RetrySchedule;
use crate::signals::Signal;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Schedule by which reading the configuration file is retried if the file can't be read, because
/// it may be about to be replaced.
const CONFIG_READ_RETRY_SCHEDULE: RetrySchedule = RetrySchedule {
    interval: Duration::from_millis(50),
    timeout: Duration::from_secs(2),
};

/// Reloads the configuration on each SIGHUP. Never returns.
pub async fn reload_on_signal(hangup: Signal, dispatcher: Rc<RefCell<Dispatcher>>) {
    loop {
        hangup.received().await;
        reload(&dispatcher).await;
    }
}

/// Reads the configuration again and applies the address of discovery. All other settings need a
/// restart to take effect. An invalid configuration changes nothing.
async fn reload(dispatcher: &RefCell<Dispatcher>) {
    let is_unreadable = |result: &Result<Config, ConfigError>| {
        matches!(result, Err(ConfigError::Unreadable { .. }))
    };
    let read = CONFIG_READ_RETRY_SCHEDULE.run(is_unreadable, || async { Config::reload() });
    match read.await {
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
