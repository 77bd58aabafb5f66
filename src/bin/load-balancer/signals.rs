//! Handling of signals sent to the process.
//!
//! Tokio's own signal driver is not used, because it ends the process when its read is interrupted.
//! Here a signal sets a flag, and a byte sent through a socket pair wakes the waiting task. The
//! flag is also checked at intervals, in case the byte is lost or can't be read.

use crate::socket::system_errors::retry_transient_errors;
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::sleep;

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Interval at which the flag is checked, in case the wake-up was lost.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A socket pair through which the signal handler wakes the waiting task.
struct WakePipe {
    reader: UnixStream,
    /// The end to which the signal handler writes.
    writer: StdUnixStream,
}

impl WakePipe {
    fn open() -> io::Result<Self> {
        let (reader, writer) = StdUnixStream::pair()?;
        reader.set_nonblocking(true)?;
        let reader = UnixStream::from_std(reader)?;
        Ok(WakePipe { reader, writer })
    }
}

/// A handler of one kind of signal, such as SIGTERM.
pub struct Signal {
    is_pending: Arc<AtomicBool>,
    wake_reader: UnixStream,
}

impl Signal {
    /// Installs a handler for the signal with this number, such as [`SIGTERM`].
    ///
    /// # Errors
    ///
    /// Returns the error of socketpair(2) or sigaction(2).
    pub fn listen(signal_number: i32) -> io::Result<Self> {
        let is_pending = Arc::default();
        let pipe = retry_transient_errors(WakePipe::open)?;
        // Actions run in the order of their registration, so the flag is set before the task is
        // woken.
        flag::register(signal_number, Arc::clone(&is_pending))?;
        low_level::pipe::register(signal_number, pipe.writer)?;
        Ok(Signal {
            is_pending,
            wake_reader: pipe.reader,
        })
    }

    /// Waits for the next signal. Signals that have arrived since the last call returned count as
    /// one.
    pub async fn received(&self) {
        while !self.is_pending.swap(false, Ordering::SeqCst) {
            tokio::select! {
                // Bytes that can't be read now are read together with those of the next signal.
                _ = self.wake_reader.readable() => drop(self.wake_reader.try_read(&mut [0; 64])),
                () = sleep(FLAG_CHECK_INTERVAL) => {}
            }
        }
    }
}
