//! One request and its response on a connection to an upstream.

use super::response::{
    read_response, Disposition, ReceivedResponse, MAX_HEAD_BYTES, MAX_OVERHEAD_BYTES,
};
use super::{Attempt, AttemptError, UpstreamResponse};
use crate::body::{StreamWindow, UploadBody};
use crate::socket::Socket;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Uri};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The progress of an exchange, derived from the byte counters of its socket.
pub(super) struct ExchangeProgress<'a> {
    socket: &'a Socket,
    /// Bytes written to the socket before the exchange.
    written_at_start: usize,
    /// Bytes read from the socket before the exchange.
    read_at_start: usize,
    /// Lower bound of the request's size on the wire in bytes; `usize::MAX` while it is unknown.
    min_request_length: Rc<Cell<usize>>,
}

impl<'a> ExchangeProgress<'a> {
    /// Returns the progress of an exchange that is about to begin on `socket`.
    pub(super) fn new(socket: &'a Socket) -> Self {
        ExchangeProgress {
            socket,
            written_at_start: socket.bytes_written(),
            read_at_start: socket.bytes_read(),
            min_request_length: Rc::new(Cell::new(usize::MAX)),
        }
    }

    /// Returns whether no byte of the request has been written.
    pub(super) fn has_written_nothing(&self) -> bool {
        self.socket.bytes_written() == self.written_at_start
    }

    /// Returns whether the complete request may have been written.
    pub(super) fn is_request_sent(&self) -> bool {
        self.socket.bytes_written() - self.written_at_start >= self.min_request_length.get()
    }

    /// Returns whether a part of the response has been read.
    pub(super) fn has_response_begun(&self) -> bool {
        self.socket.bytes_read() > self.read_at_start
    }
}

/// A response or the error that it is mapped to, and whether its connection can be reused.
pub(super) struct FinishedExchange {
    pub(super) response: Result<UpstreamResponse, AttemptError>,
    /// Whether the connection can be returned to the pool immediately.
    pub(super) is_reusable: bool,
}

impl Attempt {
    /// Sends the request and reads its response, or the first part of a large one.
    ///
    /// Each exchange creates a new hyper connection on the socket and disassembles it at the end.
    /// The socket is reused only if hyper's read buffer is empty then: otherwise the upstream has
    /// sent bytes after the response, and further ones could be read as the start of the next
    /// response.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection if the request or the response can't be transferred.
    pub(super) async fn exchange(
        &self,
        progress: &ExchangeProgress<'_>,
    ) -> hyper::Result<FinishedExchange> {
        let socket = progress.socket;
        socket.begin_exchange(self.request.client.clone(), MAX_OVERHEAD_BYTES);
        let request = self.build_request(progress);
        let (mut sender, mut connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(socket.clone())
            .await?;
        let received = {
            let mut receive = pin!(async {
                let response = sender.send_request(request).await?;
                read_response(socket, &self.pool.memory, response, self.deadline()).await
            });
            tokio::select! {
                biased;
                received = &mut receive => received?,
                // The connection has ended; the bytes that it read before are still available.
                _ = &mut connection => ReceivedResponse {
                    disposition: Disposition::Close,
                    ..receive.await?
                },
            }
        };
        let is_reusable = match received.disposition {
            Disposition::Close => false,
            Disposition::Reuse => connection.into_parts().read_buf.is_empty(),
            Disposition::Streaming {
                completed,
                can_reuse,
            } => {
                let stream = StreamedExchange { sender, connection };
                self.finish_in_background(stream, socket.clone(), completed, can_reuse);
                false
            }
        };
        Ok(FinishedExchange {
            response: received.response,
            is_reusable,
        })
    }

    /// Drives the connection of a streamed response until `completed` is notified, its sender is
    /// dropped or the connection ends. After a notification, returns the socket to the pool if
    /// `can_reuse` is set and the upstream has sent no bytes after the response.
    fn finish_in_background(
        &self,
        exchange: StreamedExchange,
        socket: Socket,
        completed: oneshot::Receiver<()>,
        can_reuse: bool,
    ) {
        let (pool, upstream, address) = (self.pool.clone(), self.upstream, self.address);
        let StreamedExchange {
            sender,
            mut connection,
        } = exchange;
        spawn_local(async move {
            let is_complete = tokio::select! {
                biased;
                completed = completed => completed.is_ok(),
                _ = &mut connection => false,
            };
            // The sender is kept until here because hyper closes the connection after the response
            // if the sender has been dropped.
            drop(sender);
            if is_complete && can_reuse && connection.into_parts().read_buf.is_empty() {
                pool.put(upstream, address, socket);
            }
        });
    }

    /// Builds the request to send, with the remaining time in its Request-Timeout header. Once the
    /// client's body has been received completely, a lower bound of the request's length is stored
    /// in `progress`, and the position of the request's end that follows from it is declared to the
    /// socket.
    fn build_request(&self, progress: &ExchangeProgress<'_>) -> Request<UploadBody> {
        let (method, uri) = (self.request.method.clone(), self.request.uri.clone());
        let mut headers = self.request.headers.clone();
        let time_left = (self.deadline() - Instant::now()).as_secs_f64();
        if let Ok(time_left) = HeaderValue::from_str(&format!("{time_left:.3}")) {
            headers.insert("request-timeout", time_left);
        }
        let head_length = min_head_length(&method, &uri, &headers);
        let (socket, metrics) = (progress.socket.clone(), self.pool.metrics.clone());
        let min_request_length = progress.min_request_length.clone();
        let written_at_start = progress.written_at_start;
        let upload = self.request.upload.clone();
        let window = (!upload.is_complete())
            .then(|| StreamWindow::new(socket.clone(), self.pool.memory.begin_stream()));
        let body = UploadBody::new(upload, window, move |body_length| {
            min_request_length.set(head_length + body_length as usize);
            socket.set_request_end(written_at_start + min_request_length.get(), metrics);
        });
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        request
    }
}

/// A hyper connection that carries the rest of a streamed response.
struct StreamedExchange {
    sender: SendRequest<UploadBody>,
    connection: Connection<Socket, UploadBody>,
}

/// Returns the minimum size in bytes of a request's head on the wire: hyper writes these headers
/// unchanged and may add others. If fewer bytes were written, the request was not sent completely.
fn min_head_length(method: &Method, uri: &Uri, headers: &HeaderMap) -> usize {
    let request_line =
        method.as_str().len() + " ".len() + uri.to_string().len() + " HTTP/1.1\r\n".len();
    let header_lines: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + "\r\n".len())
        .sum();
    request_line + header_lines + "\r\n".len()
}
