//! Commands to invokers: what begins, what is taken back before it leaves, what is told to end.

use std::sync::Arc;
use std::time::Instant;

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptId, CallId, ControlRequestId, Event};
use nettleferry_net::tcp::{Tcp, TcpKey};
use nettleferry_platform::resp;
use tracing::debug;

use super::Links;
use super::command::{Attempt, Outbound, Outgoing};
use super::link::{Item, NOWHERE, Owed};
use crate::guard::Violation;
use crate::limits::Counters;

impl Links {
    /// Begins an attempt.
    pub fn start(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        attempt: Attempt,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let (owed, tag) = (Owed::Attempt(attempt.id), Arc::clone(&attempt.name));
        let link = self.choose(tcp, worker, &tag, count);
        let outbound = Outbound { tag: tag.to_string(), owed, command: Outgoing::Call(attempt) };
        self.begin(tcp, link, outbound, out, count);
    }

    /// Sends an order to load.
    pub fn load(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        request_id: ControlRequestId,
        (asset, instances): (&str, u32),
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let tag = format!("o{}", request_id.0);
        let mut bytes = Vec::new();
        resp::load(&mut bytes, &tag, asset, instances);
        let link = self.choose(tcp, worker, &tag, count);
        let outbound = Outbound { tag, owed: Owed::Order(request_id), command: Outgoing::Other(bytes) };
        self.begin(tcp, link, outbound, out, count);
    }

    /// Sends word to unload; nothing comes back.
    pub fn unload(&mut self, tcp: &mut Tcp, worker: WorkerId, asset: &str) {
        let links = self.workers.get(&worker).map(|w| w.links.as_slice()).unwrap_or_default();
        let up = links.iter().find(|key| self.links.get(key).is_some_and(|l| l.up && !l.draining));
        if let Some(key) = up {
            let mut bytes = Vec::new();
            resp::unload(&mut bytes, asset);
            tcp.send(*key, &bytes);
        }
    }

    /// Probes an invoker.
    pub fn probe(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        request_id: ControlRequestId,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let tag = format!("p{}", request_id.0);
        let mut bytes = Vec::new();
        resp::probe(&mut bytes, &tag, self.reports);
        let link = self.choose_for_probe(tcp, worker, &tag, count);
        let outbound = Outbound { tag, owed: Owed::Probe(request_id), command: Outgoing::Other(bytes) };
        self.begin(tcp, link, outbound, out, count);
    }

    /// Begins what is owed on the connection that was chosen, or tells why there is none.
    pub(super) fn begin(
        &mut self,
        tcp: &mut Tcp,
        link: Result<TcpKey, AttemptEnd>,
        outbound: Outbound,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let Outbound { tag, owed, command } = outbound;
        let key = match link {
            Ok(key) => key,
            Err(how) => return out.push(owed.ended(how)),
        };
        // What waits for its connection is checked when that has come about. Here its client waits: it asks in this step.
        let up = self.links.get(&key).is_some_and(|link| link.up);
        if let Err(violation) = self.may_leave(key, &command, |_| true)
            && up
        {
            count.violations.report(violation, &tag);
            return out.push(owed.ended(AttemptEnd::NotWritten));
        }
        let Some(link) = self.links.get_mut(&key) else { return };
        debug!(worker = link.worker.0, tag, ?owed, ?key, "begun");
        link.idle_since = None;
        let now = Instant::now();
        let place = if link.up {
            if link.partial.is_none() {
                tcp.alarm(key, None);
            }
            command.write(&mut self.buffer, now);
            Some(queue(tcp, key, &self.buffer))
        } else {
            link.waiting.push_back((tag.clone(), command));
            None
        };
        link.items.insert(tag.clone(), Item { owed, since: now, place });
        self.owed.insert(owed, (key, tag));
    }

    /// Holds a request that is handed on now against the invariants of sending.
    fn may_leave(
        &self,
        key: TcpKey,
        command: &Outgoing,
        awaited: impl Fn(CallId) -> bool,
    ) -> Result<(), Violation> {
        let worker = self.links.get(&key).and_then(|link| self.workers.get(&link.worker));
        let in_service = worker.and_then(|worker| worker.listed).is_some_and(|listed| listed.on);
        command.leaving(awaited, in_service).map_or(Ok(()), |leaving| leaving.check(Instant::now()))
    }

    /// A connection came about: what waited for it leaves, but for what has no time left. `awaited`: does a client wait
    /// for this call? `since`: now, in our time.
    pub fn connected(
        &mut self,
        tcp: &mut Tcp,
        key: TcpKey,
        since: Micros,
        awaited: impl Fn(CallId) -> bool,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let now = Instant::now();
        link.up = true;
        link.since = since;
        for (tag, command) in std::mem::take(&mut link.waiting) {
            let allowed = self.may_leave(key, &command, &awaited);
            let Some(link) = self.links.get_mut(&key) else { return };
            if command.late(now) || allowed.is_err() {
                if let Err(violation) = allowed
                    && !command.late(now)
                {
                    count.violations.report(violation, &tag);
                }
                if let Some(item) = link.items.remove(&tag) {
                    self.owed.remove(&item.owed);
                    out.push(item.owed.ended(AttemptEnd::NotWritten));
                }
            } else if let Some(item) = link.items.get_mut(&tag) {
                command.write(&mut self.buffer, now);
                item.place = Some(queue(tcp, key, &self.buffer));
            }
        }
        self.settle(tcp, key);
    }

    /// Stops an attempt: nothing about it is wanted any more. Its call may go elsewhere with the next bytes that
    /// leave: so the word that ends it leaves first, or its connection ends now and takes with it what else is
    /// open there.
    pub fn withdraw(
        &mut self,
        tcp: &mut Tcp,
        attempt: AttemptId,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let Some((key, tag)) = self.owed.remove(&Owed::Attempt(attempt)) else { return };
        // What has not begun to leave never does, and its connection is as good as before.
        if self.unsend(tcp, key, &tag) {
            if let Some(link) = self.links.get_mut(&key) {
                link.items.remove(&tag);
            }
            return self.settle(tcp, key);
        }
        let Some(link) = self.links.get_mut(&key) else { return };
        if link.items.remove(&tag).is_some() {
            let mut bytes = Vec::new();
            resp::cancel(&mut bytes, &tag);
            if tcp.send(key, &bytes).is_none() || !tcp.flush(key) {
                debug!(worker = link.worker.0, tag, ?key, "its end can't be told: the connection ends");
                count.cut_to_withdraw += 1;
                let written = tcp.written(key);
                tcp.close(key);
                return self.broken(key, out, |item| match item.place {
                    Some((_, end)) if end <= written => AttemptEnd::Broken,
                    _ => AttemptEnd::NotWritten,
                });
            }
            // Its answer was awaited and did not come: whether any other would is not known.
            link.draining = true;
        }
        link.over(tag);
        self.settle(tcp, key);
    }

    /// Waits no longer for the answer of an attempt that may not be stopped.
    pub fn abandon(&mut self, tcp: &mut Tcp, attempt: AttemptId) {
        let Some((key, tag)) = self.owed.remove(&Owed::Attempt(attempt)) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        link.items.remove(&tag);
        link.draining = true;
        link.over(tag);
        self.settle(tcp, key);
    }

    /// An order that nobody wants any more does not leave, if it has not left.
    pub fn unwanted(&mut self, tcp: &mut Tcp, request_id: ControlRequestId, out: &mut Vec<Event>) {
        let owed = Owed::Order(request_id);
        let Some((key, tag)) = self.owed.get(&owed).cloned() else { return };
        if self.unsend(tcp, key, &tag) {
            self.owed.remove(&owed);
            if let Some(link) = self.links.get_mut(&key) {
                link.items.remove(&tag);
            }
            out.push(owed.ended(AttemptEnd::Cancelled));
            self.settle(tcp, key);
        }
    }

    /// An order or a probe ran out of time: nothing about it is wanted any more.
    pub fn forget(&mut self, tcp: &mut Tcp, request_id: ControlRequestId) {
        let order = self.owed.remove(&Owed::Order(request_id));
        let Some((key, tag)) = order.or_else(|| self.owed.remove(&Owed::Probe(request_id))) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        let item = link.items.remove(&tag);
        // Cleared by the next byte that comes there.
        link.suspect |= item.is_some_and(|item| matches!(item.owed, Owed::Probe(_)) && item.place.is_some());
        link.waiting.retain(|(waits, _)| *waits != tag);
        link.over(tag);
        self.settle(tcp, key);
    }

    /// Ends as not written what has not left for this invoker.
    pub(super) fn give_back(&mut self, tcp: &mut Tcp, id: WorkerId, out: &mut Vec<Event>) {
        let keys = self.workers.get(&id).map(|w| w.links.clone()).unwrap_or_default();
        for key in keys {
            let tags = self.links.get(&key).map(|l| l.items.keys().cloned().collect::<Vec<_>>());
            let mut ends = Vec::new();
            for tag in tags.unwrap_or_default() {
                let probe = |i: &Item| matches!(i.owed, Owed::Probe(_));
                if self.links[&key].items.get(&tag).is_none_or(probe) || !self.unsend(tcp, key, &tag) {
                    continue;
                }
                let Some(item) = self.links.get_mut(&key).and_then(|l| l.items.remove(&tag)) else {
                    continue;
                };
                self.owed.remove(&item.owed);
                ends.push(item.owed);
            }
            ends.sort();
            out.extend(ends.into_iter().map(|owed| owed.ended(AttemptEnd::NotWritten)));
            self.settle(tcp, key);
        }
    }

    /// Takes a command back that has not begun to leave. False: it has, or may have.
    pub(super) fn unsend(&mut self, tcp: &mut Tcp, key: TcpKey, tag: &str) -> bool {
        let Some(link) = self.links.get_mut(&key) else { return false };
        match link.items.get(tag).and_then(|item| item.place) {
            None => {
                let before = link.waiting.len();
                link.waiting.retain(|(waits, _)| waits != tag);
                before > link.waiting.len()
            }
            Some((from, to)) if tcp.unsend(key, from, to) => {
                for (begin, end) in link.items.values_mut().filter_map(|item| item.place.as_mut()) {
                    if *begin >= to && *begin != u64::MAX {
                        (*begin, *end) = (*begin - (to - from), *end - (to - from));
                    }
                }
                true
            }
            Some(_) => false,
        }
    }
}

/// Queues a command, and gives its place. A connection that is just ending takes nothing: its end is told, and
/// finds this not written.
fn queue(tcp: &mut Tcp, key: TcpKey, bytes: &[u8]) -> (u64, u64) {
    tcp.send(key, bytes).map_or(NOWHERE, |end| (end - bytes.len() as u64, end))
}
