//! Towards invokers: attempts, orders and probes on RESP connections, and how each of them ended, as a fact.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use nettleferry::{LoadNote, WorkerId};
use nettleferry_engine::{AttemptId, Ended, ErrandId, Event, News};
use nettleferry_net::tcp::{Gone, Tcp, TcpKey};
use nettleferry_platform::answer::{Told, Word};
use nettleferry_platform::resp;
use tracing::debug;

use crate::limits::{Bounds, Counters, WHOLE_ANSWER};

/// Ids that ended on a connection and are remembered: an answer that comes twice must not be taken for that of
/// a later attempt.
const REMEMBERED: usize = 512;

/// Whose answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Owed {
    // In this order where a connection ends: what is told of it is known before what was lost with it.
    Probe(ErrandId),
    Attempt(AttemptId),
    Order(ErrandId),
}

impl Owed {
    /// It ended without an answer.
    fn ended(self, how: Ended) -> Event {
        match self {
            Self::Attempt(attempt) => Event::Ended { attempt, how, news: News::default() },
            Self::Order(errand) => Event::Loaded { errand, how, copies: 0 },
            Self::Probe(errand) => Event::Probed { errand, how, report: None },
        }
    }
}

struct Item {
    owed: Owed,
    since: Instant,
    /// Where its command begins and ends among the bytes queued there; `None`: it waits for the connection.
    place: Option<(u64, u64)>,
}

/// The place of what the connection did not take: it is never written.
const NOWHERE: (u64, u64) = (u64::MAX, u64::MAX);

/// A command as it is to leave: how long we wait is told as of the moment in which it leaves.
enum Outgoing {
    Call(Attempt),
    Other(Vec<u8>),
}

impl Outgoing {
    fn write(&self, out: &mut Vec<u8>, now: Instant) {
        out.clear();
        match self {
            Self::Call(call) => call.write(out, now),
            Self::Other(bytes) => out.extend_from_slice(bytes),
        }
    }

    /// Its time is over, or a repeat of it would not be dropped any more.
    fn late(&self, now: Instant) -> bool {
        let over = |call: &Attempt| call.until <= now || call.leave_by.is_some_and(|by| by <= now);
        matches!(self, Self::Call(call) if over(call))
    }
}

struct Link {
    worker: WorkerId,
    up: bool,
    items: BTreeMap<String, Item>,
    waiting: VecDeque<(String, Outgoing)>,
    /// When it came about, Unix milliseconds.
    since_ms: u64,
    /// Nothing is open on it since then.
    idle_since: Option<Instant>,
    ended: HashSet<String>,
    ended_order: VecDeque<String>,
    /// Takes nothing new: it closes after its last answer.
    draining: bool,
    /// A probe sent there was not answered, and nothing has come since.
    suspect: bool,
    /// When the answer in hand began.
    partial: Option<Instant>,
}

impl Link {
    fn over(&mut self, tag: String) {
        if self.ended.insert(tag.clone()) {
            self.ended_order.push_back(tag);
        }
        if self.ended_order.len() > REMEMBERED
            && let Some(old) = self.ended_order.pop_front()
        {
            self.ended.remove(&old);
        }
    }
}

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
    /// When it started, Unix milliseconds, where told.
    pub born_ms: Option<u64>,
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

/// What an attempt sends.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Which.
    pub id: AttemptId,
    /// The call's id as the client gave it.
    pub name: Arc<str>,
    /// The class.
    pub sort: Arc<str>,
    /// The function.
    pub asset: Arc<str>,
    /// The key by which repeats are dropped, where the client gave one.
    pub key: Option<Arc<str>>,
    /// Until when we wait.
    pub until: Instant,
    /// Until when it may leave, where repeats of what may have run are dropped for a while only.
    pub leave_by: Option<Instant>,
    /// The body.
    pub body: Bytes,
}

impl Attempt {
    fn write(&self, out: &mut Vec<u8>, now: Instant) {
        let left = self.until.saturating_duration_since(now);
        // To the nearest: the way from the engine to here takes some microseconds.
        let patience_ms = (left.as_micros() as u64 + 500) / 1000;
        resp::call(out, &self.name, &self.sort, &self.asset, self.key.as_deref(), patience_ms, &self.body);
    }
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
            if new.born_ms.is_some() && old.is_some_and(|old| old.born_ms != new.born_ms) {
                // Another process is there: what stood before it started leads nowhere.
                let before = |key: &&TcpKey| {
                    self.links.get(key).is_some_and(|l| !l.up || Some(l.since_ms) <= new.born_ms)
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

    /// Ends as not written what has not left for this invoker.
    fn give_back(&mut self, tcp: &mut Tcp, id: WorkerId, out: &mut Vec<Event>) {
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
            out.extend(ends.into_iter().map(|owed| owed.ended(Ended::NotWritten)));
            self.settle(tcp, key);
        }
    }

    /// Takes a command back that has not begun to leave. False: it has, or may have.
    fn unsend(&mut self, tcp: &mut Tcp, key: TcpKey, tag: &str) -> bool {
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
        self.begin(tcp, link, &tag, owed, Outgoing::Call(attempt), out);
    }

    /// Sends an order to load.
    pub fn load(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        errand: ErrandId,
        (asset, instances): (&str, u32),
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let tag = format!("o{}", errand.0);
        let mut bytes = Vec::new();
        resp::load(&mut bytes, &tag, asset, instances);
        let link = self.choose(tcp, worker, &tag, count);
        self.begin(tcp, link, &tag, Owed::Order(errand), Outgoing::Other(bytes), out);
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
        errand: ErrandId,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let tag = format!("p{}", errand.0);
        let mut bytes = Vec::new();
        resp::probe(&mut bytes, &tag, self.reports);
        let link = self.choose_for_probe(tcp, worker, &tag, count);
        self.begin(tcp, link, &tag, Owed::Probe(errand), Outgoing::Other(bytes), out);
    }

    /// A probe asks where an answer has been owed longest: its own silence then tells of that connection.
    fn choose_for_probe(
        &mut self,
        tcp: &mut Tcp,
        id: WorkerId,
        tag: &str,
        count: &mut Counters,
    ) -> Result<TcpKey, Ended> {
        let links = self.workers.get(&id).map(|w| w.links.as_slice()).unwrap_or_default();
        let owing = links.iter().filter_map(|key| {
            let link = self.links.get(key).filter(|l| l.up && !l.draining && !l.suspect)?;
            let attempts = link.items.values().filter(|item| matches!(item.owed, Owed::Attempt(_)));
            Some((attempts.map(|item| item.since).min()?, *key))
        });
        match owing.min() {
            Some((_, key)) => Ok(key),
            None => self.choose(tcp, id, tag, count),
        }
    }

    /// A connection to the invoker with room for one more: one that is idle, else a new one, else the one with
    /// the least open. What a connection carries is lost with it: so each carries one while there are enough.
    fn choose(
        &mut self,
        tcp: &mut Tcp,
        id: WorkerId,
        tag: &str,
        count: &mut Counters,
    ) -> Result<TcpKey, Ended> {
        let each = (self.bounds.links / self.workers.len().max(1)).max(2);
        let known = self.workers.get_mut(&id).filter(|w| w.listed.is_some());
        let Some(worker) = known else { return Err(Ended::NotConnected) };
        let now = Instant::now();
        // Its end by idleness is due, and this process may have been away: the other end may have closed it.
        let over = |l: &Link| {
            self.idle.zip(l.idle_since).is_some_and(|(idle, since)| l.items.is_empty() && now >= since + idle)
        };
        let room = |key: &&TcpKey| {
            self.links.get(key).is_some_and(|l| {
                let taken = l.items.contains_key(tag) || l.ended.contains(tag);
                !l.draining && !l.suspect && !over(l) && l.items.len() < self.streams && !taken
            })
        };
        let load = |key: &&TcpKey| self.links.get(key).map(|l| (!l.up, l.items.len()));
        let idle = |key: &&TcpKey| self.links.get(key).is_some_and(|l| l.up && l.items.is_empty());
        if let Some(key) = worker.links.iter().filter(room).find(idle) {
            return Ok(*key);
        }
        let full = worker.links.len() >= each || tcp.made() >= self.bounds.links;
        if let Some(key) = worker.links.iter().filter(room).min_by_key(load).filter(|_| full) {
            return Ok(*key);
        }
        if full {
            count.over_links += 1;
            return Err(Ended::NoRoom);
        }
        let before = tcp.counters().over_made;
        let Some(key) = tcp.connect(worker.address) else {
            if tcp.counters().over_made > before {
                count.over_links += 1;
                return Err(Ended::NoRoom);
            }
            return Err(Ended::NotConnected);
        };
        worker.links.push(key);
        debug!(worker = id.0, tag, ?key, links = worker.links.len(), "a new connection");
        let link = Link {
            worker: id,
            up: false,
            items: BTreeMap::new(),
            waiting: VecDeque::new(),
            since_ms: 0,
            idle_since: None,
            ended: HashSet::new(),
            ended_order: VecDeque::new(),
            draining: false,
            suspect: false,
            partial: None,
        };
        self.links.insert(key, link);
        Ok(key)
    }

    /// Begins what is owed on the connection that was chosen, or tells why there is none.
    fn begin(
        &mut self,
        tcp: &mut Tcp,
        link: Result<TcpKey, Ended>,
        tag: &str,
        owed: Owed,
        command: Outgoing,
        out: &mut Vec<Event>,
    ) {
        let key = match link {
            Ok(key) => key,
            Err(how) => return out.push(owed.ended(how)),
        };
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
            link.waiting.push_back((tag.to_owned(), command));
            None
        };
        link.items.insert(tag.to_owned(), Item { owed, since: now, place });
        self.owed.insert(owed, (key, tag.to_owned()));
    }

    /// A connection came about: what waited for it leaves, but for what has no time left.
    pub fn connected(&mut self, tcp: &mut Tcp, key: TcpKey, out: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let (now, clock) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH));
        link.up = true;
        link.since_ms = clock.map_or(0, |since| since.as_millis() as u64);
        for (tag, command) in std::mem::take(&mut link.waiting) {
            if command.late(now) {
                if let Some(item) = link.items.remove(&tag) {
                    self.owed.remove(&item.owed);
                    out.push(item.owed.ended(Ended::NotWritten));
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
                    Some((_, end)) if end <= written => Ended::Broken,
                    _ => Ended::NotWritten,
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
    pub fn unwanted(&mut self, tcp: &mut Tcp, errand: ErrandId, out: &mut Vec<Event>) {
        let owed = Owed::Order(errand);
        let Some((key, tag)) = self.owed.get(&owed).cloned() else { return };
        if self.unsend(tcp, key, &tag) {
            self.owed.remove(&owed);
            if let Some(link) = self.links.get_mut(&key) {
                link.items.remove(&tag);
            }
            out.push(owed.ended(Ended::Cancelled));
            self.settle(tcp, key);
        }
    }

    /// An order or a probe ran out of time: nothing about it is wanted any more.
    pub fn forget(&mut self, tcp: &mut Tcp, errand: ErrandId) {
        let order = self.owed.remove(&Owed::Order(errand));
        let Some((key, tag)) = order.or_else(|| self.owed.remove(&Owed::Probe(errand))) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        let item = link.items.remove(&tag);
        // Cleared by the next byte that comes there.
        link.suspect |= item.is_some_and(|item| matches!(item.owed, Owed::Probe(_)) && item.place.is_some());
        link.waiting.retain(|(waits, _)| *waits != tag);
        link.over(tag);
        self.settle(tcp, key);
    }

    /// Bytes came from an invoker.
    pub fn data(&mut self, tcp: &mut Tcp, key: TcpKey, out: &mut Vec<Event>, count: &mut Counters) {
        if let Some(link) = self.links.get_mut(&key) {
            link.suspect = false;
        }
        loop {
            let Some(input) = tcp.input(key) else { return };
            let answer = match resp::next(input) {
                Ok(Some(answer)) => answer,
                Ok(None) if input.is_empty() => break,
                Ok(None) => {
                    let Some(link) = self.links.get_mut(&key) else { return };
                    let since = *link.partial.get_or_insert_with(Instant::now);
                    tcp.alarm(key, Some(since + WHOLE_ANSWER));
                    return;
                }
                Err(error) => {
                    debug!(%error, "an answer can't be read");
                    count.bad_answers += 1;
                    tcp.close(key);
                    return self.broken(key, out, |_| Ended::Broken);
                }
            };
            let Some(link) = self.links.get_mut(&key) else { return };
            // It came whole, whoever's it is.
            if link.partial.take().is_some() {
                tcp.alarm(key, None);
            }
            let word = Word::read(&answer.word).zip(Told::read(&answer.fields));
            let Some((word, told)) = word else {
                count.bad_answers += 1;
                tcp.close(key);
                return self.broken(key, out, |_| Ended::Broken);
            };
            let Some(item) = link.items.remove(&answer.id) else {
                count.stray_answers += 1;
                continue;
            };
            debug!(worker = link.worker.0, tag = answer.id, ?word, fields = answer.fields, age = ?item.since.elapsed(), "answered");
            link.over(answer.id);
            let worker = link.worker;
            if matches!(item.owed, Owed::Probe(_)) {
                self.give_up_suspects(tcp, worker, out);
            }
            self.answered(item.owed, word, &told, answer.body, out);
        }
        self.settle(tcp, key);
    }

    /// The invoker answers here: where it did not answer a probe before, the connection is of no further use.
    fn give_up_suspects(&mut self, tcp: &mut Tcp, worker: WorkerId, out: &mut Vec<Event>) {
        let links = self.workers.get(&worker).map(|w| w.links.clone()).unwrap_or_default();
        for key in links {
            if self.links.get(&key).is_some_and(|l| l.suspect) {
                tcp.close(key);
                self.broken(key, out, |_| Ended::TimedOut);
            }
        }
    }

    fn answered(&mut self, owed: Owed, word: Word, told: &Told, body: Bytes, out: &mut Vec<Event>) {
        self.owed.remove(&owed);
        match owed {
            Owed::Attempt(attempt) => {
                let news = News { note: told.note, crowd: None, report: told.report };
                if word == Word::Served {
                    out.push(Event::Part { attempt, payload: body, last: true });
                }
                out.push(Event::Ended { attempt, how: ended(word, told), news });
            }
            Owed::Order(errand) => {
                let copies = told.instances.unwrap_or(0);
                out.push(Event::Loaded { errand, how: ended(word, told), copies });
            }
            Owed::Probe(errand) => {
                let how = if word == Word::Green { Ended::Served } else { ended(word, told) };
                out.push(Event::Probed { errand, how, report: told.report });
            }
        }
    }

    /// A connection is gone: what was open on it has ended as far as was written.
    pub fn closed(&mut self, tcp: &Tcp, key: TcpKey, why: Gone, out: &mut Vec<Event>) {
        let written = tcp.written(key);
        self.broken(key, out, |item| match (why, item.place) {
            (Gone::Refused | Gone::NotConnected, _) => Ended::NotConnected,
            (_, None) => Ended::NotWritten,
            (Gone::Slow, _) => Ended::Broken,
            (_, Some((_, end))) if end > written => Ended::NotWritten,
            _ => Ended::Broken,
        });
    }

    fn broken(&mut self, key: TcpKey, out: &mut Vec<Event>, how: impl Fn(&Item) -> Ended) {
        let Some(link) = self.links.remove(&key) else { return };
        if !link.items.is_empty() {
            debug!(
                worker = link.worker.0,
                open = link.items.len(),
                "a connection ended under what was open on it"
            );
        }
        if let Some(worker) = self.workers.get_mut(&link.worker) {
            worker.links.retain(|other| *other != key);
            if worker.listed.is_none() && worker.links.is_empty() {
                self.workers.remove(&link.worker);
            }
        }
        let mut items: Vec<_> = link.items.into_iter().collect();
        items.sort_by_key(|(_, item)| item.owed);
        for (tag, item) in items {
            let how = how(&item);
            debug!(worker = link.worker.0, tag, ?key, age = ?item.since.elapsed(), ?how, "ended with its connection");
            self.owed.remove(&item.owed);
            out.push(item.owed.ended(how));
        }
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

    /// A connection's alarm came due: it was idle, or an answer did not come whole.
    pub fn alarm(&mut self, tcp: &mut Tcp, key: TcpKey, out: &mut Vec<Event>, count: &mut Counters) {
        let Some(link) = self.links.get(&key) else { return };
        if link.partial.is_some_and(|since| Instant::now() >= since + WHOLE_ANSWER) {
            debug!(worker = link.worker.0, "an answer stopped short");
            count.bad_answers += 1;
            tcp.close(key);
            self.broken(key, out, |_| Ended::Broken);
        } else if link.items.is_empty()
            && self
                .idle
                .is_some_and(|idle| link.idle_since.is_some_and(|since| Instant::now() >= since + idle))
        {
            self.drop_link(tcp, key);
        }
    }

    fn drop_link(&mut self, tcp: &mut Tcp, key: TcpKey) {
        tcp.finish(key);
        self.broken(key, &mut Vec::new(), |_| Ended::Broken);
    }
}

/// Queues a command, and gives its place. A connection that is just ending takes nothing: its end is told, and
/// finds this not written.
fn queue(tcp: &mut Tcp, key: TcpKey, bytes: &[u8]) -> (u64, u64) {
    tcp.send(key, bytes).map_or(NOWHERE, |end| (end - bytes.len() as u64, end))
}

/// What a word proves of a request; see the engine's table.
fn ended(word: Word, told: &Told) -> Ended {
    match word {
        Word::Served => Ended::Served,
        Word::NotHere if told.note == Some(LoadNote::Failed) => Ended::MarkedLoadFailed,
        Word::NotHere => Ended::MarkedMiss,
        Word::Overload => Ended::MarkedFull,
        Word::Crashed => Ended::Status { message: "the invoker failed it".to_owned() },
        Word::Nobody => Ended::Unwanted,
        Word::Green | Word::Red => Ended::Status { message: "the invoker is not in service".to_owned() },
    }
}

#[cfg(test)]
mod tests;
