//! Signals that the process is sent.
//!
//! The runtime's own reading of signals ends the process when the call that it makes for that is interrupted. Here a
//! signal sets a flag, and a byte through a pair of sockets wakes whoever waits; where that byte is lost or can't be read,
//! the flag is seen a little later.

use crate::socket::system_errors::retry_transient_errors;
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::sleep;

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// A flag that nobody was woken for is seen after this time at the latest.
const LOOK: Duration = Duration::from_millis(200);

/// The end at which the process is woken, and the one for the handlers.
fn wake_pair() -> io::Result<(UnixStream, Pipe)> {
    let (ours, handlers) = Pipe::pair()?;
    ours.set_nonblocking(true)?;
    Ok((UnixStream::from_std(ours)?, handlers))
}

/// One kind of signal.
pub struct Signal {
    came: Arc<AtomicBool>,
    wakes: UnixStream,
}

impl Signal {
    /// Takes signals of this kind from now on.
    ///
    /// # Errors
    ///
    /// Those of the system, where it lets the process have no sockets or no such handler.
    pub fn listen(kind: i32) -> io::Result<Self> {
        let came = Arc::default();
        let (wakes, handlers) = retry_transient_errors(wake_pair)?;
        // In this order: whoever is woken finds the flag set.
        flag::register(kind, Arc::clone(&came))?;
        low_level::pipe::register(kind, handlers)?;
        Ok(Signal { came, wakes })
    }

    /// Waits for the next signal; several that came since the last one are one.
    pub async fn received(&self) {
        while !self.came.swap(false, Ordering::SeqCst) {
            tokio::select! {
                // What can't be read now is read with the next one.
                _ = self.wakes.readable() => drop(self.wakes.try_read(&mut [0; 64])),
                () = sleep(LOOK) => {}
            }
        }
    }
}
