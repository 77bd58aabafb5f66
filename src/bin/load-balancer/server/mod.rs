//! Callers: takes their connections and requests, and gives them their answers.

pub mod listener;
mod raw_head;

use crate::body::{BodyError, MemoryBudget, ResponseBody, Upload, CLIENT_STALL};
use crate::dispatch::{AcceptedRequest, Dispatcher, FinalResponse, RejectionReason};
use crate::log;
use crate::metrics::{Metrics, RequestOutcome};
use crate::server::listener::{Listener, PendingConnection};
use crate::server::raw_head::RawHead;
use crate::socket::system_errors::{is_connection_error, is_descriptor_limit};
use crate::socket::{DescriptorBudget, Purpose, Socket, UnreadInput};
use crate::upstream::{end_to_end_headers, ForwardedRequest, ResponseContent};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use load_balancer::{Idempotency, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, Instant};

/// A client has this long from its connection to the end of its first request, or of the head of a longer one, and from
/// the first byte of a further request to the end of that.
pub const FIRST_REQUEST: Duration = Duration::from_millis(2500);
/// Then it has this much more to be told that it took too long.
pub const GRACE: Duration = Duration::from_millis(200);
/// A connection whose next request takes longer to come, or whose client takes its answer no faster, is closed.
const IDLE: Duration = Duration::from_secs(10);
/// Nor does one last whose client takes nothing of a long answer for this time. The kernel holds megabytes for it, and
/// wants more only when a good part is gone: at 64 kB a second that takes half a minute.
const TAKES_NOTHING: Duration = Duration::from_secs(60);
/// The same while shutting down, or for one that is only to be refused.
const HURRIED: Duration = Duration::from_millis(1500);
/// When room is short, connections without a request may be closed after this time,
const SPARE: Duration = Duration::from_secs(2);
/// and those on which nothing at all has come after this: the first request comes with the connection.
const SILENT: Duration = Duration::from_millis(30);
/// A request takes no longer than this to be written, as a rule.
const HALF_SENT: Duration = Duration::from_millis(500);
/// With no room at all, a new connection waits for so many turns of the other tasks: what those that came with it have sent
/// may be unread only because they had none yet.
const TURNS: usize = 16;
/// Once clients are sent away, the front has noticed after this time, and what is idle is closed.
const FRONT_NOTICES: Duration = Duration::from_millis(700);
/// After SIGTERM what has come by then may still be open when the process is killed, and what comes later may not.
const LATE: Duration = Duration::from_millis(500);
const LARGEST_HEAD: usize = 32 << 10;
const MOST_HEADERS: usize = 100;
const LONGEST_ID: usize = 128;
/// Whether a client that has left has a request that waits is looked up this often.
const LOOK: Duration = Duration::from_millis(50);
/// After a second accept in a row that failed for want of something the next try comes this much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// So many such failures are no passing shortage: descriptors have to be given back.
const LASTING_SHORTAGE: u32 = 10;

/// A client's connection, as far as others need to see it.
struct ClientConnection {
    socket: Socket,
    opened: Instant,
    /// Since when it has waited for its next request to be whole; `None` while one is being served.
    idle: Cell<Option<Instant>>,
    /// It has carried no whole request yet.
    fresh: Cell<bool>,
    /// It has carried a request that was taken, not just asked for health.
    asked: Cell<bool>,
    /// A request has been taken and has no answer yet.
    waits: Cell<bool>,
    /// An answer is on its way in parts.
    streaming: Cell<bool>,
    /// The request that is being served ends so many bytes from the connection's beginning, if that is known.
    ends_at: Cell<Option<usize>>,
    /// What is left of the body of a request that has its answer is read to no end.
    discards: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
    /// Its last answer is written, and it is open only until its client has taken that.
    over: Cell<bool>,
    /// It has been told that its request can't be used, or that there is no room for it, before all of that had come.
    turned_away: Cell<bool>,
    /// It is to make room.
    evicting: Cell<bool>,
    evicted: Notify,
    /// It has made room, or has not.
    settled: Rc<Notify>,
}

impl ClientConnection {
    fn new(socket: Socket) -> Rc<Self> {
        let opened = Instant::now();
        Rc::new(ClientConnection {
            socket,
            opened,
            idle: Cell::new(Some(opened)),
            fresh: Cell::new(true),
            asked: Cell::new(false),
            waits: Cell::new(false),
            streaming: Cell::new(false),
            ends_at: Cell::new(None),
            discards: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
            over: Cell::new(false),
            turned_away: Cell::new(false),
            evicting: Cell::new(false),
            evicted: Notify::new(),
            settled: Rc::default(),
        })
    }

    /// It waits for its next request.
    fn rest(&self) {
        self.idle.set(Some(Instant::now()));
        self.socket.mark_idle();
        // Heads are looked for in what came last: the fewer bytes the better.
        if self.ends_at.get() == Some(self.socket.read()) {
            self.socket.clear_recent_bytes();
        }
    }

    /// Something has come behind the request that is being served.
    fn has_more(&self) -> bool {
        self.ends_at
            .get()
            .is_some_and(|end| self.socket.read() > end || self.socket.has_unread())
    }

    /// Closes it once it carries no request.
    fn close(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }

    /// When its first request has to be whole.
    fn first_request(&self) -> Option<Instant> {
        self.fresh.get().then(|| self.opened + FIRST_REQUEST)
    }

    /// Ends when the peer has stood still, or dawdled with its first request, for longer than any should: also
    /// when it takes no bytes of its answer, or doesn't notice that the connection closes.
    async fn stalled(&self) {
        let most = || if self.closing.get() { HURRIED } else { IDLE };
        loop {
            let now = Instant::now();
            let until = match (self.idle.get(), self.socket.request_started_at()) {
                // The end of its answer has still to go.
                (Some(_), _) if self.socket.is_blocked() => {
                    self.socket.last_written() + TAKES_NOTHING
                }
                // Guards against taking the rest of a body, which may come for long, for a head.
                (Some(since), _) if self.discards.get() => {
                    since.max(self.socket.last_read()) + CLIENT_STALL
                }
                // It may take its time for a head, also while the process ends.
                (Some(_), Some(request_started_at)) => {
                    self.first_request()
                        .unwrap_or(request_started_at + FIRST_REQUEST)
                        + GRACE
                }
                (Some(since), None) => {
                    // A client that takes what it is given is not idle.
                    let since = since.max(self.socket.last_written());
                    self.first_request()
                        .map_or(since + IDLE, |first| first + GRACE)
                        .min(since + most())
                }
                (None, _) if self.streaming.get() => self.socket.last_written() + TAKES_NOTHING,
                (None, _) => now + HURRIED,
            };
            // What has come of the rest of a body may be unread only because the process had no turn.
            if until <= now && self.discards.get() && self.socket.has_unread() {
                sleep(LOOK).await;
            } else if until <= now {
                return;
            }
            sleep_until(until.min(now + HURRIED)).await;
        }
    }

    /// Ends when the client has left while its request waits. Guards against holding what nobody wants any more
    /// where bytes behind the request hide the end of the connection: whoever reads them would read no further.
    async fn left(&self) {
        loop {
            self.socket.readable().await;
            if self.waits.get() && self.socket.is_disconnected() {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// How dear it is, if it may be closed to make room. Those that have waited long for a further request go first,
    /// then those that have never sent anything or only asked for health, those that don't finish their first
    /// request, those that wait for a further one, then any on which nothing but calls for health has come, and at last
    /// those whose first request still comes; among the same, the longest.
    fn eviction_priority(&self) -> Option<(usize, Instant)> {
        let spare = !self.evicting.get() && !self.socket.is_blocked();
        let since = self.idle.get().filter(|_| spare)?;
        let age = since.elapsed();
        let kind = match (self.fresh.get(), self.socket.request_started_at()) {
            _ if self.over.get() => 0,
            (false, None) if age >= SPARE => 0,
            (true, None) if age >= SILENT => 1,
            (false, None) if age >= SILENT && !self.asked.get() => 1,
            (_, Some(request_started_at)) if request_started_at.elapsed() >= HALF_SENT => 2,
            (false, None) if age >= HALF_SENT => 3,
            // Guards against shutting whoever comes with a request for the sake of those that come with nothing.
            (_, None) if !self.asked.get() => 4,
            // Nor of those that come with half of one. The first on a connection may be shut.
            (true, Some(_)) => 5,
            _ => return None,
        };
        Some((kind, since))
    }
}

/// Accepts that failed because this process or machine is short of something.
#[derive(Default)]
struct Shortage {
    in_a_row: u32,
    /// Those that failed, less those that did not meanwhile.
    excess: u32,
}

impl Shortage {
    fn goes_on(&mut self) {
        self.in_a_row += 1;
        self.excess += 1;
    }

    fn passes(&mut self) {
        self.in_a_row = 0;
        self.excess = self.excess.saturating_sub(1);
    }

    /// It is no passing one.
    fn lasts(&self) -> bool {
        self.excess >= LASTING_SHORTAGE
    }
}

/// The listener and the connections that came from it.
pub struct Server {
    dispatcher: Rc<RefCell<Dispatcher>>,
    budget: Rc<DescriptorBudget>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    accepted: Cell<u64>,
    /// Clients' connections are taken.
    listens: Cell<bool>,
    /// The process is to end: by then all that comes from now on has its answer.
    draining: Rc<Cell<Option<Instant>>>,
    /// What comes after this may still be open when the process is killed, and then it is lost.
    late: Cell<Option<Instant>>,
    /// Clients are sent away; a number for each time that this began, none while they are welcome.
    away: Cell<Option<u64>>,
    last_away: Cell<u64>,
    /// Until then requests are answered that came behind others, though their connection is to end.
    serves_more_until: Cell<Option<Instant>>,
    /// When the log last told of a failed accept.
    accept_failed: Cell<Option<Instant>>,
    metrics: Rc<Metrics>,
    memory: Rc<MemoryBudget>,
}

impl Server {
    pub fn new(dispatcher: Rc<RefCell<Dispatcher>>, budget: Rc<DescriptorBudget>) -> Rc<Self> {
        let (metrics, memory) = (
            dispatcher.borrow().metrics().clone(),
            dispatcher.borrow().memory(),
        );
        Rc::new(Server {
            dispatcher,
            budget,
            away: Cell::new(None),
            last_away: Cell::new(0),
            serves_more_until: Cell::new(None),
            accept_failed: Cell::new(None),
            metrics,
            memory,
            clients: RefCell::default(),
            accepted: Cell::new(0),
            listens: Cell::new(false),
            draining: Rc::default(),
            late: Cell::new(None),
        })
    }

    /// Takes connections until that is over. Guards against one that has been taken, and is dropped as the end comes just
    /// then.
    pub async fn accept(self: &Rc<Self>, listener: &Listener, over: impl Future<Output = ()>) {
        let mut over = pin!(over);
        let mut shortage = Shortage::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut over => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => {
                    shortage.passes();
                    self.admit(accepted).await;
                }
                Err(error) => self.wait_out(&mut shortage, &error).await,
            }
        }
    }

    /// Waits before the next accept, if this error asks for that. A passing shortage must not cost other clients their
    /// connections; where the process itself holds too many descriptors for long, one is closed.
    async fn wait_out(&self, shortage: &mut Shortage, error: &io::Error) {
        if is_connection_error(error) {
            // The next in the queue may be a good one.
            return yield_now().await;
        }
        if self
            .accept_failed
            .get()
            .is_none_or(|last| last.elapsed() > IDLE)
        {
            self.accept_failed.set(Some(Instant::now()));
            log::line(format!("accept: {error}"));
        }
        shortage.goes_on();
        if shortage.lasts() && is_descriptor_limit(error) {
            self.evict_idle_connection().await;
        }
        match shortage.in_a_row {
            1 => yield_now().await,
            _ => sleep(ACCEPT_AGAIN).await,
        }
    }

    /// Answers with `Connection: close` from now on, and closes what is idle. A connection that is new is
    /// left alone: its first request is on its way, and is settled by `settled`.
    pub fn drain(&self, settled: Instant) {
        self.draining.set(Some(settled));
        self.late.set(Some(Instant::now() + LATE));
        self.serves_more_until.set(Some(Instant::now() + LATE));
        self.dispatcher.borrow_mut().set_drain_deadline(settled);
        self.clients
            .borrow()
            .values()
            .filter(|client| !client.fresh.get())
            .for_each(|client| client.close());
        self.dispatcher.borrow().pool().close_all();
    }

    /// Sends clients away, or welcomes them again. Guards against requests that cross the end of their connection:
    /// answers say at once that it ends, but one that is idle ends only after the front has noticed.
    pub fn drain_clients(self: &Rc<Self>, away: bool) {
        if !away {
            return self.away.set(None);
        }
        if self.away.get().is_some() {
            return;
        }
        let number = self.last_away.get() + 1;
        self.last_away.set(number);
        self.away.set(Some(number));
        self.serves_more_until
            .set(Some(Instant::now() + FRONT_NOTICES));
        let server = self.clone();
        spawn_local(async move {
            sleep(FRONT_NOTICES).await;
            if server.away.get() == Some(number) {
                server
                    .clients
                    .borrow()
                    .values()
                    .for_each(|client| client.close());
            }
        });
    }

    /// True while clients are to come here.
    pub fn is_ready(&self) -> bool {
        let listens = self.listens.get() && self.draining.get().is_none();
        listens && self.dispatcher.borrow().is_ready() && self.away.get().is_none()
    }

    /// Clients' connections are taken from now on.
    pub fn open(&self) {
        self.listens.set(true);
    }

    /// Takes all connections that the kernel has taken for this listener, and closes it; not later than `until`.
    /// Those that are still in its queue when it closes are reset.
    pub async fn close(self: &Rc<Self>, listener: Listener, until: Instant) -> io::Result<()> {
        let mut shortage = Shortage::default();
        loop {
            match listener.accept_now() {
                Ok(accepted) => {
                    shortage.passes();
                    self.admit(accepted).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(error) => self.wait_out(&mut shortage, &error).await,
            }
        }
    }

    /// Closes what can be spared until the process holds no more than so many descriptors.
    pub async fn evict_down_to(&self, descriptors: usize) {
        let pool = self.dispatcher.borrow().pool().clone();
        while self.budget.in_use() > descriptors
            && (pool.evict_oldest() || self.evict_idle_connection().await)
        {}
    }

    /// Closes also the connections that are new, as nothing has come on them.
    pub fn drain_new_connections(&self) {
        self.clients
            .borrow()
            .values()
            .for_each(|client| client.close());
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.clients.borrow().len()
    }

    async fn admit(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => return log::line(format!("a connection can't be served: {error}")),
        };
        // Guards against silent connections that keep all others waiting behind them: whoever comes is taken or
        // turned away at once.
        let mut permit = self.budget.acquire(Purpose::ClientConnection);
        let mut refused = false;
        for _ in 0..TURNS {
            if permit.is_some() {
                break;
            }
            if self.evict_idle_connection().await {
                permit = self.budget.acquire(Purpose::ClientConnection);
            }
            refused = permit.is_none();
            permit = permit.or_else(|| self.budget.acquire(Purpose::Rejection));
            if permit.is_none() {
                yield_now().await;
            }
        }
        // With no room even for a refusal, closing is all that is left.
        let Some(permit) = permit else { return };
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let client = ClientConnection::new(Socket::new(stream, permit));
        self.clients.borrow_mut().insert(number, client.clone());
        spawn_local(self.clone().serve(number, client, refused));
    }

    /// Closes the client's connection that can best be spared; false if there is none.
    async fn evict_idle_connection(&self) -> bool {
        loop {
            let (number, settled) = {
                let clients = self.clients.borrow();
                let spare = clients
                    .iter()
                    .filter_map(|(number, client)| Some((client.eviction_priority()?, number)));
                let mut spare: Vec<_> = spare.collect();
                spare.sort_unstable();
                // Guards against closing on a request that has come and is still unread. Asking the kernel is dear,
                // so it is asked of few.
                let mut spare = spare
                    .into_iter()
                    .map(|(_, number)| (*number, &clients[number]));
                let free =
                    |client: &ClientConnection| client.over.get() || !client.socket.has_unread();
                let Some((number, client)) = spare.find(|(_, client)| free(client)) else {
                    return false;
                };
                client.evicting.set(true);
                client.evicted.notify_one();
                (number, client.settled.clone())
            };
            // Its task closes it, unless something has come meanwhile.
            settled.notified().await;
            if !self.clients.borrow().contains_key(&number) {
                return true;
            }
        }
    }

    /// True if there is room after all for a client that found none when it came. Guards against turning away whoever
    /// asks for the sake of those that don't.
    async fn has_room_now(&self, client: &ClientConnection) -> bool {
        // It is not to make that room itself.
        client.idle.set(None);
        while self.budget.is_exceeded() {
            if !self.evict_idle_connection().await {
                return false;
            }
        }
        true
    }

    /// True while connections end with the answer that they carry.
    fn sheds(&self) -> bool {
        self.draining.get().is_some() || self.away.get().is_some()
    }

    /// True if the answer that is due now ends its connection. One that has been read is lost if its connection ends
    /// without an answer to it, so what came with it goes on for a while.
    fn ends_with_this(&self, client: &ClientConnection) -> bool {
        let goes_on = self
            .serves_more_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        self.sheds() && !(goes_on && client.has_more())
    }

    async fn serve(self: Rc<Self>, number: u64, client: Rc<ClientConnection>, refused: bool) {
        let last = refused || self.sheds();
        let mut http = http1::Builder::new();
        http.keep_alive(!refused)
            .max_buf_size(LARGEST_HEAD)
            .max_headers(MOST_HEADERS);
        client.closing.set(last || client.closing.get());
        let service = service_fn(|request: Request<Incoming>| {
            let (server, client) = (&self, &client);
            async move {
                client.discards.set(false);
                client.ends_at.set(None);
                client.idle.set(Some(if client.fresh.get() {
                    client.opened
                } else {
                    Instant::now()
                }));
                let unread = !request.body().is_end_stream();
                let refused = refused && !server.has_room_now(client).await;
                let mut answer = match refused {
                    true => server.refuse(&request),
                    false => server.answer(request, client).await,
                };
                client.fresh.set(false);
                // Whoever sends what can't be used may go on with what is no request at all.
                let turned_away = refused || answer.status().is_client_error();
                client.turned_away.set(turned_away && unread);
                if turned_away || server.ends_with_this(client) {
                    answer
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if !client.streaming.get() {
                    client.rest();
                }
                Ok::<_, Infallible>(answer)
            }
        });
        {
            let connection = http.serve_connection(client.socket.clone(), service);
            let (stalled, left) = (client.stalled(), client.left());
            tokio::pin!(connection, stalled, left);
            loop {
                tokio::select! {
                    // A client that breaks off or sends nonsense has been told so by hyper.
                    _ = connection.as_mut() => {
                        client.over.set(true);
                        break;
                    }
                    () = client.close.notified() => {
                        // Guards against closing on a request of which a part has come, read or not: its answer is
                        // going to end the connection, unless that is on its way already.
                        let rests = client.socket.request_started_at().is_none() && client.socket.is_open_and_idle();
                        if client.streaming.get() && !client.has_more() || rests {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                    () = &mut stalled => break,
                    () = &mut left => break,
                    () = client.evicted.notified() => {
                        client.evicting.set(false);
                        if client.idle.get().is_some() && !client.socket.has_unread() {
                            break;
                        }
                        client.settled.notify_one();
                    }
                }
            }
        }
        if client.over.get() {
            let unread = if client.turned_away.get() {
                UnreadInput::Discard
            } else {
                UnreadInput::Keep
            };
            tokio::select! {
                () = client.socket.linger(unread, LOOK) => {}
                () = client.evicted.notified() => {}
                () = sleep(IDLE) => {}
            }
        }
        self.clients.borrow_mut().remove(&number);
        client.settled.notify_one();
    }

    /// There is no room for whoever asks. A request is refused like any other, and counted.
    fn refuse(&self, request: &Request<Incoming>) -> Answer {
        let class = self
            .class_of(request.uri().path())
            .filter(|_| request.headers().contains_key("request-id"));
        class.into_iter().for_each(|class| {
            self.metrics
                .begin_request(class)
                .end(RequestOutcome::Rejected)
        });
        plain(StatusCode::SERVICE_UNAVAILABLE, "no descriptor is free")
    }

    fn class_of(&self, path: &str) -> Option<usize> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.dispatcher
            .borrow()
            .names()
            .classes
            .iter()
            .position(|class| class == name)
    }

    async fn answer(&self, request: Request<Incoming>, client: &Rc<ClientConnection>) -> Answer {
        if request.uri().path() == "/healthz" {
            return match self.is_ready() {
                true => plain(StatusCode::OK, "ready"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            };
        }
        let taken = match self.read(request, client).await {
            Ok(taken) => taken,
            Err(RequestError(status, text)) => return plain(status, &text),
        };
        let upload = taken.forward.upload.clone();
        client.fresh.set(false);
        client.asked.set(true);
        let request = self.metrics.begin_request(taken.class);
        let (id, answer) = match self.dispatcher.borrow_mut().accept(taken) {
            Ok(taken) => taken,
            Err(RejectionReason::TooManyOpen) => {
                request.end(RequestOutcome::Rejected);
                return plain(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too many requests are open",
                );
            }
            Err(RejectionReason::DuplicateId) => {
                request.end(RequestOutcome::Failed);
                return plain(StatusCode::CONFLICT, "Request-Id has been used before");
            }
        };
        // Dropped with this future when the client goes away first.
        let _gone = CancelOnDrop {
            dispatcher: &self.dispatcher,
            id,
        };
        client.waits.set(true);
        // Nobody reads what comes behind a request that is whole before it has its answer.
        client.socket.set_read_ahead(!upload.is_streamed());
        let answer = answer.await;
        client.waits.set(false);
        client.socket.set_read_ahead(false);
        if upload.is_streamed() {
            client.discards.set(true);
            // Its connection doesn't stay open for this.
            let (upload, client) = (upload.clone(), Rc::downgrade(client));
            spawn_local(async move {
                upload.discard().await;
                // Its next request may have begun by now.
                let client = client
                    .upgrade()
                    .filter(|client| client.discards.replace(false));
                client
                    .filter(|client| !client.streaming.get())
                    .inspect(|client| client.rest());
            });
        }
        match answer {
            Ok(FinalResponse::Served(served)) => {
                let body = match served.body {
                    ResponseContent::Complete(body) => {
                        request.end(RequestOutcome::Served);
                        ResponseBody::complete(body)
                    }
                    // Guards against a long answer that the end of the process cuts off, though its request came
                    // when that was near: it could not be finished for a slow client.
                    ResponseContent::Streamed(_)
                        if self
                            .late
                            .get()
                            .is_some_and(|late| upload.last_progress() > late) =>
                    {
                        request.end(RequestOutcome::Failed);
                        return plain(
                            StatusCode::BAD_GATEWAY,
                            "too long an answer for a process that ends",
                        );
                    }
                    ResponseContent::Streamed(download) => ResponseBody::streamed(
                        download,
                        request,
                        Box::new(Streaming::begin(client)),
                    ),
                };
                let mut response = Response::new(body);
                *response.headers_mut() = end_to_end_headers(&served.headers);
                response
            }
            Ok(FinalResponse::Rejected { retry_after }) => {
                request.end(RequestOutcome::Rejected);
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let value =
                    retry_after.and_then(|t| HeaderValue::from_str(&format!("{t:.3}")).ok());
                value.map(|value| response.headers_mut().insert("retry-after", value));
                response
            }
            Ok(FinalResponse::Failed) => {
                request.end(RequestOutcome::Failed);
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
            // None is owed, as the client has left; it counts under no ending.
            Err(_) => {
                let mut answer = plain(StatusCode::BAD_GATEWAY, "its client has left");
                answer
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
                answer
            }
        }
    }

    /// Reads a request whole and checks it.
    async fn read(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<AcceptedRequest, RequestError> {
        let came = Instant::now();
        let (head, body) = request.into_parts();
        let bad = |what: &str| RequestError(StatusCode::BAD_REQUEST, what.to_string());
        // A header that may stand there once.
        let header = |name: &'static str| {
            let mut values = head.headers.get_all(name).into_iter();
            match (values.next().map(HeaderValue::to_str), values.next()) {
                (None, None) => Ok(None),
                (Some(Ok(text)), None) => Ok(Some(text.trim())),
                (Some(Err(_)), None) => Err(bad(&format!("{name} can't be read"))),
                (_, Some(_)) => Err(bad(&format!("{name} stands there twice"))),
            }
        };
        let number = |name: &'static str| match header(name)?.map(f64::from_str) {
            None => Ok(None),
            Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            Some(_) => Err(bad(&format!("{name} is not a number"))),
        };
        let (class, tenant, limit) = {
            let dispatcher = self.dispatcher.borrow();
            let class = self
                .class_of(head.uri.path())
                .ok_or_else(|| bad("the path names no known class"))?;
            let tenants = &dispatcher.names().tenants;
            let tenant = header("tenant")?;
            // One that the settings don't name has no quota, and so no number among them.
            let tenant = tenants
                .iter()
                .position(|t| Some(t.as_str()) == tenant)
                .unwrap_or(tenants.len());
            let settings = &dispatcher.classes()[class];
            let method = if settings.idempotency == Idempotency::Idempotent {
                Method::GET
            } else {
                Method::POST
            };
            if head.method != method {
                return Err(RequestError(
                    StatusCode::METHOD_NOT_ALLOWED,
                    format!("this class is asked for with {method}"),
                ));
            }
            // Guards against a repeat that no upstream could know for one.
            match (&settings.idempotency, header("idempotency-key")?) {
                (Idempotency::IdempotencyKey { .. }, None | Some("")) => {
                    return Err(bad("Idempotency-Key is missing"))
                }
                (Idempotency::Idempotent | Idempotency::NonIdempotent, Some(_)) => {
                    return Err(bad("this class has no Idempotency-Key"))
                }
                _ => {}
            }
            (class, tenant, settings.deadline)
        };
        let name = match header("request-id")? {
            None | Some("") => return Err(bad("Request-Id is missing")),
            Some(id)
                if id.len() > LONGEST_ID || !id.bytes().all(|byte| byte.is_ascii_graphic()) =>
            {
                return Err(bad("Request-Id is malformed"));
            }
            Some(id) => id.to_string(),
        };
        let raw = RawHead::find(&client.socket.recent_bytes(), &name);
        // Guards against a request that hides another: beside a coding, a length may say otherwise, and not
        // everyone on the way believes the same of the two.
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        if chunked && raw.as_ref().is_none_or(|raw| raw.has_length) {
            return Err(bad("the end of the body is unclear"));
        }
        let body_begins = raw.map(|raw| client.socket.read() - raw.behind);
        let wait = number("request-timeout")?.unwrap_or(limit).min(limit);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or_default();
        let cost_hint = number("work-hint")?.map(|micros| micros / 1e6);
        let request_started_at = client.socket.request_started_at().unwrap_or(came);
        let first = client
            .first_request()
            .unwrap_or(request_started_at + FIRST_REQUEST);
        // Its body is timed by itself.
        client.idle.set(None);
        let read = Upload::read(body, &self.memory, first, &self.draining);
        let upload = read.await.map_err(|broken| {
            let status = match broken {
                BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Stalled => StatusCode::REQUEST_TIMEOUT,
                BodyError::Truncated => StatusCode::BAD_REQUEST,
            };
            RequestError(status, broken.to_string())
        })?;
        // Guards against a client that sends several requests at once and waits for the later ones from then on.
        upload.set_last_progress(client.socket.last_read());
        let length = upload.length().filter(|_| !chunked);
        client.ends_at.set(
            body_begins
                .zip(length)
                .map(|(begin, length)| begin + length as usize),
        );
        if head.method == Method::GET && upload.length() != Some(0) {
            return Err(bad("GET has no body"));
        }
        let mut headers = end_to_end_headers(&head.headers);
        match upload.length() {
            Some(0) if !head.headers.contains_key(CONTENT_LENGTH) => {}
            Some(length) => drop(headers.insert(CONTENT_LENGTH, HeaderValue::from(length))),
            None => {}
        }
        let uri = match head.uri.path_and_query() {
            Some(path) => path.clone().into(),
            None => return Err(bad("the path is missing")),
        };
        // Guards against a request that is still open when the process is killed, and so is lost.
        let settled = self.draining.clone();
        let upload = Rc::new(upload);
        let client = client.socket.peer();
        let forward = ForwardedRequest {
            method: head.method,
            uri,
            headers,
            upload,
            client,
            timeout: wait,
            drain_deadline: settled,
        };
        Ok(AcceptedRequest {
            name,
            class,
            tenant,
            cost_hint,
            forward,
        })
    }
}

type Answer = Response<ResponseBody>;

/// An answer that goes to its client in parts.
struct Streaming(Rc<ClientConnection>);

impl Streaming {
    fn begin(client: &Rc<ClientConnection>) -> Self {
        client.streaming.set(true);
        Streaming(client.clone())
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        self.0.streaming.set(false);
        self.0.rest();
    }
}

/// Why a request was not taken.
struct RequestError(StatusCode, String);

/// Tells the driver when a request is over for its client; after an answer that says nothing.
struct CancelOnDrop<'a> {
    dispatcher: &'a RefCell<Dispatcher>,
    id: RequestId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.dispatcher.borrow_mut().client_disconnected(self.id);
    }
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(ResponseBody::complete(Bytes::copy_from_slice(
        text.as_bytes(),
    )));
    *response.status_mut() = status;
    response
}
