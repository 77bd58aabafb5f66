//! A new process beside the old one: what the one leaves to the other, and how both keep to one balancer's limits.
//!
//! Both meet at a Unix socket in `$TMPDIR`, and what has to outlast a process is in a file beside it.

mod retry_stream;
mod state_file;

use crate::dispatch::Dispatcher;
use crate::handover::retry_stream::RetryOnInterrupt;
use crate::handover::state_file::{State, StateError};
use crate::log;
use crate::server::Server;
use crate::socket::system_errors::is_transient;
use crate::socket::DescriptorBudget;
use load_balancer::Maintenance;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The old process has made room by then, or is taken to hold its half.
const ROOM: Duration = Duration::from_millis(500);
/// Connections to the old process that may end before it has said anything: it may be short of something for a moment.
const MEETINGS: usize = 3;
/// After a failed accept the next try comes this much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(100);
/// A state that the folder has not taken is written again this much later,
const STATE_AGAIN: Duration = Duration::from_millis(100);
/// and a socket, which some folders never take, this much later.
const SOCKET_AGAIN: Duration = Duration::from_millis(500);

/// A state that can't be read, or an old process that can't be reached, for a moment is tried again this often,
const MEET_AGAIN: Duration = Duration::from_millis(20);
/// and for so long.
const MEET_PATIENCE: Duration = Duration::from_secs(1);

/// Files in `$TMPDIR` begin with this name: versions up to 47c951f look for it.
const FILE_PREFIX: &str = "magpiechute";

/// What one process tells the other, a line each.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// There is a new process: room, please.
    Hello,
    /// The old process holds so many descriptors at the most.
    Holds(usize),
    /// The new process takes clients' connections.
    Ready,
    /// The state has changed.
    State,
}

/// The process's part in an upgrade.
pub struct Handover {
    /// `None` where there is no `$TMPDIR`: then nothing is kept, and nobody met.
    folder: Option<PathBuf>,
    address: Cell<SocketAddr>,
    dispatcher: Rc<RefCell<Dispatcher>>,
    server: Rc<Server>,
    budget: Rc<DescriptorBudget>,
    /// The most descriptors of both processes together.
    sockets: usize,
    /// Where the other process hears of changes, if there is one.
    other: RefCell<Option<UnboundedSender<Line>>>,
    /// A new process takes the clients' connections.
    is_replaced: Cell<bool>,
    /// The folder has not taken what is to outlast this process.
    unsaved: Cell<bool>,
}

impl Handover {
    pub fn new(
        folder: Option<PathBuf>,
        address: SocketAddr,
        dispatcher: Rc<RefCell<Dispatcher>>,
        server: Rc<Server>,
        budget: Rc<DescriptorBudget>,
        sockets: usize,
    ) -> Rc<Self> {
        let (other, is_replaced, unsaved) = Default::default();
        let address = Cell::new(address);
        Rc::new(Handover {
            folder,
            address,
            dispatcher,
            server,
            budget,
            sockets,
            other,
            is_replaced,
            unsaved,
        })
    }

    /// True once a new process takes the clients' connections.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced.get()
    }

    fn path(&self, kind: &str) -> Option<PathBuf> {
        Some(
            self.folder
                .as_ref()?
                .join(format!("{FILE_PREFIX}-{}.{kind}", self.address.get())),
        )
    }

    /// Does what the operators say of an upstream, writes it down and tells the other process; false if none of this
    /// name is known.
    pub fn maintain(self: &Rc<Self>, name: &str, out: bool) -> io::Result<bool> {
        // The other process, or the one before, may have been told something that this one has not heard of yet. Guards
        // against writing over what can't be read just now.
        match self.adopt() {
            Some(Err(error)) if error.is_transient() => return Err(io::Error::other(error)),
            _ => {}
        }
        let change = if out {
            Maintenance::Begin
        } else {
            Maintenance::End
        };
        let known = self.dispatcher.borrow_mut().set_maintenance(name, change);
        if known {
            self.keep()?;
        }
        Ok(known)
    }

    /// Writes down what has to outlast this process, and tells the other one. What the folder does not take now is
    /// written once it does.
    fn keep(self: &Rc<Self>) -> io::Result<()> {
        let saved = self.save();
        match &saved {
            Ok(()) => self.tell(Line::State),
            Err(error) => {
                log::line(format!("the state can't be kept yet: {error}"));
                if !self.unsaved.replace(true) {
                    spawn_local(self.clone().keep_later());
                }
            }
        }
        saved
    }

    async fn keep_later(self: Rc<Self>) {
        while self.unsaved.get() {
            sleep(STATE_AGAIN).await;
            self.unsaved.set(self.save().is_err());
        }
        self.tell(Line::State);
    }

    fn save(&self) -> io::Result<()> {
        let Some(path) = self.path("state") else {
            return Ok(());
        };
        let out = self
            .dispatcher
            .borrow()
            .upstreams_in_maintenance()
            .map(str::to_string)
            .collect();
        let knowledge = self.dispatcher.borrow().learned_state();
        State {
            balancer: self.address.get().to_string(),
            out,
            knowledge,
            age: None,
        }
        .write(&path)
    }

    /// Does what the operators have said to the other process, or to the one before, as far as that is written down and
    /// nothing newer is still to be written here.
    fn adopt(&self) -> Option<Result<State, StateError>> {
        let path = self.path("state").filter(|_| !self.unsaved.get())?;
        let state = State::read(&path, self.address.get());
        if let Ok(state) = &state {
            self.dispatcher.borrow_mut().restore_maintenance(&state.out);
        }
        Some(state)
    }

    /// The same, again for a while where the file can't be read just now.
    async fn adopt_in_time(&self) -> Option<Result<State, StateError>> {
        let until = Instant::now() + MEET_PATIENCE;
        loop {
            match self.adopt()? {
                Err(error) if error.is_transient() && Instant::now() < until => {
                    sleep(MEET_AGAIN).await
                }
                adopted => return Some(adopted),
            }
        }
    }

    /// The same where something has to be there.
    async fn restore(&self) -> Option<State> {
        let adopted = self.adopt_in_time().await?;
        adopted
            .map_err(|why| log::line(format!("nothing is known of a process before: {why}")))
            .ok()
    }

    /// The old process, if there is one; a call that fails for a moment is made again for a while.
    async fn find_other(path: &Path) -> Option<UnixStream> {
        let until = Instant::now() + MEET_PATIENCE;
        loop {
            match UnixStream::connect(path).await {
                Ok(stream) => return Some(stream),
                Err(error) if is_transient(&error) && Instant::now() < until => {
                    sleep(MEET_AGAIN).await
                }
                Err(_) => return None,
            }
        }
    }

    /// Takes over what a process before has left. If it still runs, this one has the descriptors that it can spare,
    /// and is to listen only once it is ready.
    pub async fn take_over(self: &Rc<Self>) {
        let Some(path) = self.path("sock") else {
            return;
        };
        for _ in 0..MEETINGS {
            let Some(old) = Self::find_other(&path).await else {
                break;
            };
            if self.meet(old).await {
                break;
            }
        }
        // Only now: what it knew when it heard of this process stands in the file, and what changes after that is told.
        if let Some(State {
            knowledge,
            age: Some(age),
            ..
        }) = self.restore().await
        {
            self.dispatcher.borrow_mut().restore(age, knowledge);
        }
    }

    /// Tells the old process of this one; false if the connection ended before that said what it holds.
    async fn meet(self: &Rc<Self>, old: UnixStream) -> bool {
        log::line("another process runs beside this one".into());
        // Until it has said what it holds.
        self.budget.set_limit(self.sockets / 2);
        let heard = Rc::new(Notify::new());
        self.talk(old, heard.clone());
        self.tell(Line::Hello);
        if timeout(ROOM, heard.notified()).await.is_ok() {
            return true;
        }
        log::line("the other process does not say what it holds".into());
        self.has_peer()
    }

    /// True while another process runs beside this one.
    pub fn has_peer(&self) -> bool {
        self.other.borrow().is_some()
    }

    /// This process takes clients' connections at this address: tells the old one, and waits for a newer one.
    pub fn settle(self: &Rc<Self>, address: SocketAddr) {
        self.address.set(address);
        self.tell(Line::Ready);
        let Some(path) = self.path("sock") else {
            return;
        };
        // Whoever sees that this process listens may start the next one.
        match self.listen(&path) {
            Ok(listener) => drop(spawn_local(self.clone().accept(listener))),
            Err(error) => {
                log::line(format!(
                    "no upgrade can follow yet: {}: {error}",
                    path.display()
                ));
                spawn_local(self.clone().await_next(path));
            }
        }
    }

    /// Waits for the next process at this socket, once that can be made.
    async fn await_next(self: Rc<Self>, path: PathBuf) {
        loop {
            sleep(SOCKET_AGAIN).await;
            if let Ok(listener) = self.listen(&path) {
                return self.accept(listener).await;
            }
        }
    }

    /// Guards against a moment in which a new process finds nobody: the old socket is replaced in one step.
    fn listen(&self, path: &Path) -> io::Result<UnixListener> {
        let aside = path.with_extension(format!("{}", std::process::id()));
        // One of that name is of a process that is gone.
        let _ = std::fs::remove_file(&aside);
        let listener = UnixListener::bind(&aside)?;
        std::fs::rename(&aside, path)?;
        Ok(listener)
    }

    async fn accept(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                // One upgrade at a time: whoever comes beside it is on its own.
                Ok((stream, _)) if self.other.borrow().is_none() => {
                    self.talk(stream, Rc::default())
                }
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_AGAIN).await,
            }
        }
    }

    /// Hears the other process to its end; `heard` is told once it has said what it holds.
    fn talk(self: &Rc<Self>, stream: UnixStream, heard: Rc<Notify>) {
        let (input, output) = stream.into_split();
        let mut output = RetryOnInterrupt(output);
        let (sender, mut lines) = unbounded_channel::<Line>();
        *self.other.borrow_mut() = Some(sender);
        spawn_local(async move {
            while let Some(line) = lines.recv().await {
                let Ok(mut text) = serde_json::to_vec(&line) else {
                    continue;
                };
                text.push(b'\n');
                // One that can't be told is gone, and so is the reading end.
                let _ = output.write_all(&text).await;
            }
        });
        let handover = self.clone();
        spawn_local(async move {
            handover.hear(input, &heard).await;
            log::line("the other process has gone".into());
            *handover.other.borrow_mut() = None;
            handover.budget.set_limit(handover.sockets);
            if handover.is_replaced.replace(false) {
                // It was the new one: the next will look for this one.
                handover.settle(handover.address.get());
            }
        });
    }

    async fn hear(self: &Rc<Self>, input: OwnedReadHalf, heard: &Notify) {
        let mut lines = BufReader::new(RetryOnInterrupt(input)).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            match serde_json::from_str(&line) {
                Ok(Line::Hello) => {
                    // A file that can't be read for so long is written anew.
                    let _ = self.adopt_in_time().await;
                    // One that can't be written now is told of later.
                    let _ = self.keep();
                    let share = self.sockets / 2;
                    self.budget.set_limit(share);
                    self.server.evict_down_to(share).await;
                    self.tell(Line::Holds(self.budget.in_use().max(share)));
                }
                Ok(Line::Holds(count)) => {
                    self.budget.set_limit(self.sockets.saturating_sub(count));
                    heard.notify_one();
                }
                Ok(Line::Ready) => self.is_replaced.set(true),
                Ok(Line::State) => drop(self.restore().await),
                Err(error) => {
                    return log::line(format!("the other process can't be understood: {error}"))
                }
            }
        }
    }

    fn tell(&self, line: Line) {
        if let Some(other) = self.other.borrow().as_ref() {
            // The other process has gone: nobody needs to know.
            let _ = other.send(line);
        }
    }
}
