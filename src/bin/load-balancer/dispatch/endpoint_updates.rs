//! Applies changes of the endpoint list, and maintenance by operators, to the upstream directory
//! and the decision module.

use crate::discovery::{
    run_watch, EndpointList, Reconnect, WatchError, WatchId, WatchObserver, WatchRequest,
};
use crate::dispatch::timers::Timer;
use crate::dispatch::Dispatcher;
use crate::log;
use load_balancer::{Event, ListScope, Maintenance, UpstreamId};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl WatchObserver for RefCell<Dispatcher> {
    fn list_received(&self, watch: WatchId, list: EndpointList) {
        let mut dispatcher = self.borrow_mut();
        if dispatcher.watches.accept_list(watch, &list) {
            let scope = if list.snapshot {
                ListScope::Full
            } else {
                ListScope::Delta
            };
            dispatcher.apply_list(scope, list);
        }
    }

    fn watch_alive(&self, watch: WatchId) {
        self.borrow_mut().watches.mark_alive(watch);
    }

    fn watch_silent(&self, watch: WatchId) {
        let mut dispatcher = self.borrow_mut();
        let reconnect = dispatcher.watches.mark_silent(watch);
        dispatcher.reconnect(reconnect);
    }

    fn watch_failed(&self, watch: WatchId, error: &WatchError) {
        let mut dispatcher = self.borrow_mut();
        let reconnect = dispatcher.watches.remove_failed(watch, error);
        dispatcher.reconnect(reconnect);
    }
}

impl Dispatcher {
    /// Switches to another discovery address. The watch on the old address stays in use until the
    /// watch on the new address is alive, and the endpoint list until a list is received on the new
    /// watch.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        let request = self.watches.set_address(address);
        self.open_watch(request);
    }

    /// Opens a watch, unless the newest one uses the current discovery address and is not broken.
    pub(super) fn ensure_watch(&mut self) {
        let request = self.watches.ensure_watch();
        self.open_watch(request);
    }

    fn open_watch(&mut self, request: Option<WatchRequest>) {
        if let (Some(request), Some(dispatcher)) = (request, self.weak_self.upgrade()) {
            let watch = run_watch(dispatcher, self.resources.descriptors.clone(), request);
            let task = spawn_local(watch).abort_handle();
            self.watches.set_task(request.id, task);
        }
    }

    fn reconnect(&mut self, reconnect: Reconnect) {
        match reconnect {
            Reconnect::Superseded => {}
            Reconnect::Now => self.ensure_watch(),
            Reconnect::After(delay) => self.timers.set(Instant::now() + delay, Timer::ReopenWatch),
            Reconnect::ByPollSchedule => self.handle(Event::EndpointList {
                scope: ListScope::Failed,
                endpoints: Vec::new(),
            }),
        }
    }

    /// Applies an endpoint list to the upstream directory first, then to the decision module.
    pub(super) fn apply_list(&mut self, scope: ListScope, list: EndpointList) {
        let endpoints = self.upstreams.apply(list, &self.names);
        self.handle(Event::EndpointList { scope, endpoints });
        self.reject_misdirected_attempts();
        self.upstreams.purge_removed();
    }

    /// Begins or ends the maintenance of an upstream at an operator's request. Returns false if no
    /// upstream of this name is known.
    pub fn set_maintenance(&mut self, name: &str, change: Maintenance) -> bool {
        let is_known = self.upstreams.is_known(UpstreamId::from_name(name));
        if is_known {
            self.apply_maintenance(name, change);
        }
        is_known
    }

    /// Returns the names of the upstreams in maintenance.
    pub fn upstreams_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.upstreams.names_in_maintenance()
    }

    /// Restores the state of maintenance: exactly the upstreams in `names` are in maintenance
    /// afterwards, even if the endpoint list does not contain them.
    pub fn restore_maintenance(&mut self, names: &BTreeSet<String>) {
        let in_maintenance = self.upstreams.names_in_maintenance();
        let ended: Vec<_> = in_maintenance
            .filter(|name| !names.contains(*name))
            .map(str::to_string)
            .collect();
        for name in ended {
            self.apply_maintenance(&name, Maintenance::End);
        }
        for name in names {
            if !self
                .upstreams
                .is_in_maintenance(UpstreamId::from_name(name))
            {
                self.apply_maintenance(name, Maintenance::Begin);
            }
        }
    }

    fn apply_maintenance(&mut self, name: &str, change: Maintenance) {
        log::line(match change {
            Maintenance::Begin => format!("maintenance began: {name}"),
            Maintenance::End => format!("maintenance ended: {name}"),
        });
        self.upstreams.set_maintenance(name, change);
        self.handle(Event::Maintenance {
            upstream: UpstreamId::from_name(name),
            change,
        });
        self.reject_misdirected_attempts();
    }
}
