//! Reads input from the kernel, together with the time at which it arrived.

use super::receive_clock::{ClockReading, ReceiveClock};
use super::system_errors::retry_on_interrupt;
use super::Socket;
use nix::cmsg_space;
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use socket2::SockRef;
use std::io::{self, IoSliceMut, Read};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Makes the kernel record when input arrives. Connections that are accepted from a listening
/// socket inherit the setting.
///
/// # Errors
///
/// Returns any error of setsockopt(2).
pub fn enable_receive_timestamps(socket: &impl AsFd) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Input that was read from the kernel.
struct ReceivedInput {
    count: usize,
    /// When the last byte arrived, as a time since the Unix epoch; `None` if the kernel has not
    /// recorded it.
    timestamp: Option<Duration>,
}

impl Socket {
    /// Reads without waiting, if the event loop has reported the socket as readable.
    pub(super) fn try_receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let stream = &self.0.stream;
        stream.try_io(Interest::READABLE, || self.receive(bytes))
    }

    /// Reads without waiting, even if the event loop has not yet reported the socket as readable.
    /// Records when the input arrived if it is a client's.
    pub(super) fn receive(&self, bytes: &mut [u8]) -> io::Result<usize> {
        match &self.0.receive_clock {
            Some(clock) => self.receive_and_record(bytes, clock),
            None => retry_on_interrupt(|| (&*SockRef::from(&self.0.stream)).read(bytes)),
        }
    }

    fn receive_and_record(&self, bytes: &mut [u8], clock: &ReceiveClock) -> io::Result<usize> {
        let result = retry_on_interrupt(|| read_with_timestamp(&self.0.stream, bytes));
        let mut arrivals = self.0.client_input.arrivals();
        match &result {
            Ok(input) if input.count > 0 => {
                let now = ClockReading::now();
                let timestamp = input.timestamp.and_then(|time| clock.monotonic(time, now));
                arrivals.record_read(input.count, timestamp, now.monotonic);
                if input.count < bytes.len() {
                    arrivals.record_empty(now.monotonic);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                arrivals.record_empty(Instant::now());
            }
            _ => {}
        }
        result.map(|input| input.count)
    }
}

/// Reads from a connection once.
fn read_with_timestamp(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<ReceivedInput> {
    let mut control_messages = cmsg_space!(TimeSpec);
    let mut buffers = [IoSliceMut::new(bytes)];
    let message = recvmsg::<()>(
        stream.as_raw_fd(),
        &mut buffers,
        Some(&mut control_messages),
        MsgFlags::empty(),
    )?;
    let timestamp = message.cmsgs()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
        _ => None,
    });
    Ok(ReceivedInput {
        count: message.bytes,
        timestamp,
    })
}
