//! The list of upstreams: its form, and the watch on its changes.

use crate::dispatch::Dispatcher;
use crate::socket::{DescriptorBudget, Purpose, Socket};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::Request;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Where lists are asked for, discovery lets calls wait in turn: beside one whose first news take this long another is
/// made. What discovery has counts as told 6 s later, whatever became of the call before: this, a call that waits 2 s
/// and is refused then, and the wait after that have to fit in there. So have two calls that are swallowed.
const ASKED: Duration = Duration::from_millis(2600);
/// Where they are pushed, an agent beside us answers at once. So does, it is hoped, a new discovery of which nothing
/// is known yet: what it has to tell is wanted soon.
const PUSHED: Duration = Duration::from_millis(1500);
/// Lines come every 2 s, empty ones too: with nothing whole for this long, the watch is broken. What it misses counts
/// as told 6 s after its last line, so that some of that has to be left for the next watch, and for one more.
const SILENCE: Duration = Duration::from_millis(2500);
const CONNECT: Duration = Duration::from_millis(500);
/// A longer object is no list.
const LONGEST: usize = 8 << 20;

/// A list of upstreams, or what changed in it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// The same as a watch tells it. Guards against an object that is no list, and would be taken for an empty one.
#[derive(Deserialize)]
struct WatchMessage {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

/// One upstream of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default)]
    pub group: usize,
    pub status: String,
    #[serde(default)]
    pub since_ms: f64,
}

/// A watch: the driver knows it by its number.
pub struct Watch {
    pub number: u64,
    pub address: SocketAddr,
    /// The version that is known; `None` where nothing is known of this discovery's versions.
    pub since: Option<u64>,
    /// Calls for it may have to wait in turn.
    pub asked: bool,
}

/// Follows the list until that fails, also after it has fallen silent; the driver is told of either.
pub async fn watch(
    dispatcher: Rc<RefCell<Dispatcher>>,
    budget: Rc<DescriptorBudget>,
    watch: Watch,
) {
    let why = follow(&dispatcher, &budget, &watch).await;
    dispatcher.borrow_mut().watch_failed(watch.number, &why);
}

async fn follow(
    dispatcher: &RefCell<Dispatcher>,
    budget: &Rc<DescriptorBudget>,
    watch: &Watch,
) -> String {
    let Watch {
        number,
        address,
        since,
        asked,
    } = *watch;
    let Some(permit) = budget.acquire(Purpose::Discovery) else {
        return "no descriptor is free".into();
    };
    let socket = match Socket::connect(address, permit, CONNECT).await {
        Ok(socket) => socket,
        Err(error) => return format!("connect: {error}"),
    };
    let (mut sender, connection) = match http1::handshake::<_, Empty<Bytes>>(socket).await {
        Ok(pair) => pair,
        Err(error) => return error.to_string(),
    };
    let request = Request::get(format!("/v1/servers?follow=1&since={}", since.unwrap_or(0)))
        .header("Host", address.to_string())
        .body(Empty::new());
    let Ok(request) = request else {
        return "the request can't be written".into();
    };
    let patience = if asked && since.is_some() {
        ASKED
    } else {
        PUSHED
    };
    let mut patience = SilenceTimer::new(patience);
    let silent = || dispatcher.borrow_mut().watch_silent(number);
    let taken = Cell::new(0);
    let read = async {
        let mut answer = pin!(sender.send_request(request));
        let response = match patience.wait(&mut answer, silent).await {
            Ok(response) => response,
            Err(error) => return error.to_string(),
        };
        if response.status() != 200 {
            return format!("status {}", response.status());
        }
        let mut body = response.into_body();
        let mut messages = Messages::default();
        loop {
            let chunk = match patience.wait(&mut body.frame(), silent).await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => return error.to_string(),
                None => return "the watch ended".into(),
            };
            taken.set(taken.get() + 1);
            match messages.take(&chunk, |list| {
                dispatcher.borrow_mut().endpoint_list_received(number, list)
            }) {
                Ok(true) => {
                    dispatcher.borrow_mut().watch_alive(number);
                    patience.renew(SILENCE);
                }
                Ok(false) => {}
                Err(why) => return why,
            }
        }
    };
    read_all(connection, read, &taken).await
}

/// Polls the connection and the reader of its answer until neither gets on, so that all that has come is heard in one
/// turn. Guards against a request of the same turn that is sent on before a drain that was told with it is heard.
async fn read_all(
    connection: impl Future<Output = hyper::Result<()>>,
    read: impl Future<Output = String>,
    taken: &Cell<u64>,
) -> String {
    let (mut connection, mut read) = (pin!(connection), pin!(read));
    let mut over = false;
    poll_fn(|context| loop {
        let before = taken.get();
        // What came before its end is still to be read.
        over = over || connection.as_mut().poll(context).is_ready();
        if let Poll::Ready(why) = read.as_mut().poll(context) {
            return Poll::Ready(why);
        }
        if taken.get() == before {
            return Poll::Pending;
        }
    })
    .await
}

/// How long a watch may be silent, and whether that has been told.
struct SilenceTimer {
    until: Pin<Box<Sleep>>,
    told: bool,
}

impl SilenceTimer {
    fn new(most: Duration) -> Self {
        SilenceTimer {
            until: Box::pin(sleep(most)),
            told: false,
        }
    }

    fn renew(&mut self, most: Duration) {
        self.until.as_mut().reset(Instant::now() + most);
        self.told = false;
    }

    /// Waits for what is wanted, and tells once if that is silent for too long meanwhile.
    async fn wait<T>(
        &mut self,
        wanted: &mut (impl Future<Output = T> + Unpin),
        tell: impl FnOnce(),
    ) -> T {
        // What is there goes before what the clock says. Guards against a time that runs out just then: it is over, and
        // would be told no more if the clock were asked whether to look at it.
        tokio::select! {
            biased;
            done = &mut *wanted => return done,
            () = self.until.as_mut(), if !self.told => {
                self.told = true;
                tell();
            }
        }
        wanted.await
    }
}

/// Takes what a watch sends apart: objects, each on one line or indented over several, with empty lines between them.
#[derive(Default)]
struct Messages {
    /// What has come of an object.
    text: Vec<u8>,
    /// Brackets that are open in it.
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Messages {
    /// Hands on each object that is whole. True if there was one, or the end of a line where none has begun.
    fn take(&mut self, chunk: &[u8], mut take: impl FnMut(EndpointList)) -> Result<bool, String> {
        let mut lives = false;
        for byte in chunk {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                lives |= *byte == b'\n';
                continue;
            }
            self.text.push(*byte);
            if self.quoted {
                self.quoted = *byte != b'"' || self.escaped;
                self.escaped = *byte == b'\\' && !self.escaped;
                // Guards against half an object whose rest never comes, and that takes the next one for its own.
                if *byte == b'\n' {
                    return Err("malformed list: a name goes on over the end of its line".into());
                }
                continue;
            }
            match byte {
                b'"' => self.quoted = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 {
                let WatchMessage {
                    index,
                    snapshot,
                    endpoints,
                } = serde_json::from_slice(&self.text)
                    .map_err(|error| format!("malformed list: {error}"))?;
                take(EndpointList {
                    index,
                    snapshot,
                    endpoints,
                });
                self.text.clear();
                lives = true;
            }
        }
        match self.text.len() > LONGEST {
            true => Err("malformed list: it has no end".into()),
            false => Ok(lives),
        }
    }
}

#[cfg(test)]
mod tests;
