//! Towards invokers: attempts, orders and probes on RESP connections, and how each of them ended, as a fact.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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
    /// Where its command ends among the bytes queued there; `None`: it waits for the connection.
    end: Option<u64>,
}

struct Link {
    worker: WorkerId,
    up: bool,
    items: BTreeMap<String, Item>,
    waiting: VecDeque<(String, Vec<u8>)>,
    ended: HashSet<String>,
    ended_order: VecDeque<String>,
    /// Takes nothing new: it closes after its last answer.
    leaving: bool,
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
    address: SocketAddr,
    listed: bool,
    links: Vec<TcpKey>,
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
pub struct Attempt<'a> {
    /// Which.
    pub id: AttemptId,
    /// The call's id as the client gave it.
    pub name: &'a str,
    /// The class.
    pub sort: &'a str,
    /// The function.
    pub asset: &'a str,
    /// How long we wait, milliseconds.
    pub patience_ms: u64,
    /// The body.
    pub body: &'a Bytes,
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

    /// The list: every invoker that may be sent anything, and where.
    pub fn list(&mut self, tcp: &mut Tcp, listed: &BTreeMap<WorkerId, SocketAddr>) {
        let mut leaving = Vec::new();
        for (id, worker) in &mut self.workers {
            let address = listed.get(id);
            worker.listed = address.is_some();
            if address != Some(&worker.address) {
                worker.address = address.copied().unwrap_or(worker.address);
                leaving.extend(worker.links.iter().copied());
            }
        }
        for (id, address) in listed {
            let fresh = || Worker { address: *address, listed: true, links: Vec::new() };
            self.workers.entry(*id).or_insert_with(fresh);
        }
        for key in leaving {
            if let Some(link) = self.links.get_mut(&key) {
                link.leaving = true;
            }
            self.settle(tcp, key);
        }
        self.workers.retain(|_, w| w.listed || !w.links.is_empty());
    }

    /// Begins an attempt.
    pub fn start(
        &mut self,
        tcp: &mut Tcp,
        worker: WorkerId,
        attempt: &Attempt,
        out: &mut Vec<Event>,
        count: &mut Counters,
    ) {
        let Attempt { id, name, sort, asset, patience_ms, body } = attempt;
        let mut bytes = std::mem::take(&mut self.buffer);
        bytes.clear();
        resp::call(&mut bytes, name, sort, asset, *patience_ms, body);
        let link = self.choose(tcp, worker, name, count);
        self.begin(tcp, link, name, Owed::Attempt(*id), &bytes, out);
        self.buffer = bytes;
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
        self.begin(tcp, link, &tag, Owed::Order(errand), &bytes, out);
    }

    /// Sends word to unload; nothing comes back.
    pub fn unload(&mut self, tcp: &mut Tcp, worker: WorkerId, asset: &str) {
        let links = self.workers.get(&worker).map(|w| w.links.as_slice()).unwrap_or_default();
        let up = links.iter().find(|key| self.links.get(key).is_some_and(|l| l.up && !l.leaving));
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
        self.begin(tcp, link, &tag, Owed::Probe(errand), &bytes, out);
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
            let link = self.links.get(key).filter(|l| l.up && !l.leaving && !l.suspect)?;
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
        let Some(worker) = self.workers.get_mut(&id) else { return Err(Ended::NotConnected) };
        let room = |key: &&TcpKey| {
            self.links.get(key).is_some_and(|l| {
                let taken = l.items.contains_key(tag) || l.ended.contains(tag);
                !l.leaving && !l.suspect && l.items.len() < self.streams && !taken
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
            ended: HashSet::new(),
            ended_order: VecDeque::new(),
            leaving: false,
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
        bytes: &[u8],
        out: &mut Vec<Event>,
    ) {
        let key = match link {
            Ok(key) => key,
            Err(how) => return out.push(owed.ended(how)),
        };
        let Some(link) = self.links.get_mut(&key) else { return };
        debug!(worker = link.worker.0, tag, ?owed, ?key, "begun");
        let end = if link.up {
            if link.partial.is_none() {
                tcp.alarm(key, None);
            }
            // A connection that is just ending takes nothing: its end is told, and finds this not written.
            Some(tcp.send(key, bytes).unwrap_or(u64::MAX))
        } else {
            link.waiting.push_back((tag.to_owned(), bytes.to_vec()));
            None
        };
        link.items.insert(tag.to_owned(), Item { owed, since: Instant::now(), end });
        self.owed.insert(owed, (key, tag.to_owned()));
    }

    /// A connection came about: what waited for it leaves.
    pub fn connected(&mut self, tcp: &mut Tcp, key: TcpKey) {
        let Some(link) = self.links.get_mut(&key) else { return };
        link.up = true;
        for (tag, bytes) in std::mem::take(&mut link.waiting) {
            if let Some(item) = link.items.get_mut(&tag) {
                item.end = Some(tcp.send(key, &bytes).unwrap_or(u64::MAX));
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
        let Some(link) = self.links.get_mut(&key) else { return };
        let sent = link.items.remove(&tag).is_some_and(|item| item.end.is_some());
        if sent {
            let mut bytes = Vec::new();
            resp::cancel(&mut bytes, &tag);
            if tcp.send(key, &bytes).is_none() || !tcp.flush(key) {
                debug!(worker = link.worker.0, tag, ?key, "its end can't be told: the connection ends");
                count.cut_to_withdraw += 1;
                let written = tcp.written(key);
                tcp.close(key);
                return self.broken(key, out, |item| match item.end {
                    Some(end) if end <= written => Ended::Broken,
                    _ => Ended::NotWritten,
                });
            }
            // Its answer was awaited and did not come: whether any other would is not known.
            link.leaving = true;
        } else {
            link.waiting.retain(|(waits, _)| *waits != tag);
        }
        link.over(tag);
        self.settle(tcp, key);
    }

    /// An order or a probe ran out of time: nothing about it is wanted any more.
    pub fn forget(&mut self, tcp: &mut Tcp, errand: ErrandId) {
        let order = self.owed.remove(&Owed::Order(errand));
        let Some((key, tag)) = order.or_else(|| self.owed.remove(&Owed::Probe(errand))) else { return };
        let Some(link) = self.links.get_mut(&key) else { return };
        let item = link.items.remove(&tag);
        // Cleared by the next byte that comes there.
        link.suspect |= item.is_some_and(|item| matches!(item.owed, Owed::Probe(_)) && item.end.is_some());
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
        self.broken(key, out, |item| match (why, item.end) {
            (Gone::Refused | Gone::NotConnected, _) => Ended::NotConnected,
            (_, None) => Ended::NotWritten,
            (Gone::Slow, _) => Ended::Broken,
            (_, Some(end)) if end > written => Ended::NotWritten,
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
            if !worker.listed && worker.links.is_empty() {
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
        let Some(link) = self.links.get(&key).filter(|l| l.items.is_empty()) else { return };
        if link.leaving {
            self.drop_link(tcp, key);
        } else {
            tcp.alarm(key, self.idle.map(|idle| Instant::now() + idle));
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
        } else if link.items.is_empty() {
            self.drop_link(tcp, key);
        }
    }

    fn drop_link(&mut self, tcp: &mut Tcp, key: TcpKey) {
        tcp.finish(key);
        self.broken(key, &mut Vec::new(), |_| Ended::Broken);
    }
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
mod tests {
    use super::*;

    use std::io::Read;
    use std::net::{TcpListener, TcpStream};

    use nettleferry_engine::CallId;
    use nettleferry_net::tcp::{TcpEvent, TcpLimits};

    const W: WorkerId = WorkerId(7);

    /// Links to one invoker that accepts and reads nothing, over one or two connections.
    struct Rig {
        tcp: Tcp,
        links: Links,
        peer: TcpListener,
        sockets: Vec<TcpStream>,
        told: Vec<Event>,
        count: Counters,
        next: u64,
    }

    impl Rig {
        fn new() -> Self {
            let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
            let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
            let bounds = Bounds { clients: 1, links: 2, open_calls: 9, body_bytes: 9, functions: 9 };
            let mut links = Links::new(bounds, 10_000, None, false);
            links.list(&mut tcp, &BTreeMap::from([(W, peer.local_addr().expect("bound"))]));
            Self {
                tcp,
                links,
                peer,
                sockets: Vec::new(),
                told: Vec::new(),
                count: Counters::default(),
                next: 0,
            }
        }

        fn start(&mut self, bytes: usize) -> AttemptId {
            self.next += 1;
            let id = AttemptId { call: CallId(self.next), number: 0 };
            let (name, body) = (format!("{:016x}", self.next), Bytes::from(vec![b'x'; bytes]));
            let attempt = Attempt { id, name: &name, sort: "safe", asset: "f", patience_ms: 9, body: &body };
            self.links.start(&mut self.tcp, W, &attempt, &mut self.told, &mut self.count);
            id
        }

        fn turn(&mut self) {
            let mut events = Vec::new();
            self.tcp.turn(Some(Duration::from_millis(1)), &mut events).expect("a poll");
            for event in events {
                if let TcpEvent::Connected(key) = event {
                    self.links.connected(&mut self.tcp, key);
                    self.sockets.push(self.peer.accept().expect("connected").0);
                }
            }
        }

        fn at(&self, id: AttemptId) -> (TcpKey, Option<u64>) {
            let (key, tag) = self.links.owed.get(&Owed::Attempt(id)).expect("it is out");
            (*key, self.links.links[key].items[tag].end)
        }

        fn left(&self, id: AttemptId) -> bool {
            let (key, end) = self.at(id);
            end.is_some_and(|end| end <= self.tcp.written(key))
        }

        fn withdraw(&mut self, id: AttemptId) {
            self.links.withdraw(&mut self.tcp, id, &mut self.told, &mut self.count);
        }
    }

    #[test]
    fn the_word_that_ends_an_attempt_leaves_before_anything_that_follows() {
        let mut rig = Rig::new();
        // Three on two connections: one of them carries two.
        let all: Vec<AttemptId> = (0..3).map(|_| rig.start(10)).collect();
        while !all.iter().all(|id| rig.left(*id)) {
            rig.turn();
        }
        let shared = all.iter().find(|id| rig.links.links[&rig.at(**id).0].items.len() == 2).expect("shared");
        let key = rig.at(*shared).0;
        let before = rig.tcp.written(key);
        rig.withdraw(*shared);
        assert!(rig.tcp.written(key) > before, "it has left, without a turn");
        assert_eq!((rig.count.cut_to_withdraw, rig.told.len()), (0, 0), "what shares its connection goes on");
    }

    #[test]
    fn where_an_attempt_s_end_can_t_be_told_its_connection_ends_before_its_call_goes_on() {
        let mut rig = Rig::new();
        let first = rig.start(10);
        while !rig.left(first) {
            rig.turn();
        }
        let key = rig.at(first).0;
        let mut there = vec![first];
        // Until the system takes no more of what is sent there.
        for _ in 0..20_000 {
            let id = rig.start(16 << 10);
            if rig.at(id).0 == key {
                there.push(id);
            }
            rig.turn();
            if !there.iter().all(|id| rig.left(*id)) {
                break;
            }
        }
        let unsent: Vec<AttemptId> = there.iter().copied().filter(|id| !rig.left(*id)).collect();
        assert!(
            !unsent.is_empty() && rig.left(first),
            "the connection takes no more, and the first has left"
        );
        rig.withdraw(first);
        assert_eq!(rig.count.cut_to_withdraw, 1);
        assert!(!rig.links.owns(key) && rig.tcp.input(key).is_none(), "the connection is gone at once");
        let mut ends = BTreeMap::new();
        for event in &rig.told {
            if let Event::Ended { attempt, how, .. } = event {
                assert!(ends.insert(*attempt, how.clone()).is_none(), "one end each");
            }
        }
        assert_eq!(
            ends.len(),
            there.len() - 1,
            "all that shared it have ended, the withdrawn one in silence"
        );
        for id in &there[1..] {
            let how = if unsent.contains(id) { Ended::NotWritten } else { Ended::Broken };
            assert_eq!(ends.get(id), Some(&how));
        }
        // Its invoker sees the end as soon as it looks.
        let mut seen = Vec::new();
        let _ = rig.sockets[0].read_to_end(&mut seen);
        assert!(!seen.is_empty());
    }
}
