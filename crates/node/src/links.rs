//! Towards invokers: attempts, orders and probes on RESP connections, and how each of them ended, as a fact.
//!
//! * `link`: one connection. `command`: what leaves on it. `choose`: which connection a command leaves on.
//! * `commands`: what begins and what is taken back. `answers`: what comes back, and connections that end.

mod answers;
mod choose;
mod command;
mod commands;
mod link;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, Event};
use nettleferry_net::tcp::{Tcp, TcpKey};

pub use command::Attempt;
use link::{Link, Owed};

use crate::limits::Bounds;

struct Worker {
    listed: Option<Endpoint>,
    address: SocketAddr,
    links: Vec<TcpKey>,
}

/// What the list tells of an invoker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Where it is.
    pub address: SocketAddr,
    /// When it started, in our time, where told.
    pub started: Option<Micros>,
    /// It may be sent something new.
    pub on: bool,
}

/// The links.
pub struct Links {
    workers: BTreeMap<WorkerId, Worker>,
    links: BTreeMap<TcpKey, Link>,
    /// Where each answer is awaited, and under which id.
    owed: BTreeMap<Owed, (TcpKey, String)>,
    bounds: Bounds,
    streams: usize,
    /// A connection without anything open is closed after this span, before its other end would.
    idle: Option<Duration>,
    reports: bool,
    buffer: Vec<u8>,
}

impl Links {
    /// No links yet. `streams`: what one connection carries at once; `idle`: after what span invokers close one;
    /// `reports`: probes ask for a load report.
    pub fn new(bounds: Bounds, streams: usize, idle: Option<Duration>, reports: bool) -> Self {
        Self {
            workers: BTreeMap::new(),
            links: BTreeMap::new(),
            owed: BTreeMap::new(),
            bounds,
            streams: streams.max(1),
            idle: idle.map(|idle| idle * 3 / 4),
            reports,
            buffer: Vec::new(),
        }
    }

    /// Is this an invoker's connection?
    pub fn owns(&self, key: TcpKey) -> bool {
        self.links.contains_key(&key)
    }

    /// The list: every invoker that is known, and where. What has not left for one that is to get nothing new, or
    /// that is another process than the one that it was meant for, is given back.
    pub fn list(&mut self, tcp: &mut Tcp, listed: &BTreeMap<WorkerId, Endpoint>, out: &mut Vec<Event>) {
        let (mut leaving, mut back) = (Vec::new(), Vec::new());
        for (id, worker) in &mut self.workers {
            let (old, new) = (worker.listed, listed.get(id).copied());
            worker.listed = new;
            if !new.is_some_and(|new| new.on) {
                back.push(*id);
            }
            let Some(new) = new.filter(|new| new.address == worker.address) else {
                worker.address = new.map_or(worker.address, |new| new.address);
                leaving.extend(worker.links.iter().copied());
                back.push(*id);
                continue;
            };
            if new.started.is_some() && old.is_some_and(|old| old.started != new.started) {
                // Another process is there: what stood before it started leads nowhere.
                let before = |key: &&TcpKey| {
                    self.links.get(key).is_some_and(|l| !l.up || Some(l.since) <= new.started)
                };
                leaving.extend(worker.links.iter().filter(before).copied());
                back.push(*id);
            }
        }
        for (id, new) in listed {
            let fresh = || Worker { address: new.address, listed: Some(*new), links: Vec::new() };
            self.workers.entry(*id).or_insert_with(fresh);
        }
        for id in back {
            self.give_back(tcp, id, out);
        }
        for key in leaving {
            if let Some(link) = self.links.get_mut(&key) {
                link.draining = true;
            }
            self.settle(tcp, key);
        }
        self.workers.retain(|_, w| w.listed.is_some() || !w.links.is_empty());
    }

    /// A connection with nothing open is closed, at once or when it has been idle.
    fn settle(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(link) = self.links.get_mut(&key).filter(|l| l.items.is_empty()) else { return };
        if link.draining {
            self.drop_link(tcp, key);
        } else {
            let since = *link.idle_since.get_or_insert_with(Instant::now);
            // An answer that began keeps its own alarm: it belongs to nothing open, and must end all the same.
            if link.partial.is_none() {
                tcp.alarm(key, self.idle.map(|idle| since + idle));
            }
        }
    }

    fn drop_link(&mut self, tcp: &mut Tcp, key: TcpKey) {
        tcp.finish(key);
        self.broken(key, &mut Vec::new(), |_| AttemptEnd::Broken);
    }
}

#[cfg(test)]
mod tests;
