//! Answers of invokers, and connections that end under what is owed on them.

use std::time::Instant;

use bytes::Bytes;
use nettleferry::{LoadNote, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptReport, Event};
use nettleferry_net::tcp::{Gone, Tcp, TcpKey};
use nettleferry_platform::answer::{Told, Word};
use nettleferry_platform::resp;
use tracing::debug;

use super::Links;
use super::link::{Item, Owed};
use crate::limits::{Counters, WHOLE_ANSWER};

impl Links {
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
                    return self.broken(key, out, |_| AttemptEnd::Broken);
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
                return self.broken(key, out, |_| AttemptEnd::Broken);
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
    pub(super) fn give_up_suspects(&mut self, tcp: &mut Tcp, worker: WorkerId, out: &mut Vec<Event>) {
        let links = self.workers.get(&worker).map(|w| w.links.clone()).unwrap_or_default();
        for key in links {
            if self.links.get(&key).is_some_and(|l| l.suspect) {
                tcp.close(key);
                self.broken(key, out, |_| AttemptEnd::TimedOut);
            }
        }
    }

    pub(super) fn answered(
        &mut self,
        owed: Owed,
        word: Word,
        told: &Told,
        body: Bytes,
        out: &mut Vec<Event>,
    ) {
        self.owed.remove(&owed);
        match owed {
            Owed::Attempt(attempt) => {
                let news =
                    AttemptReport { load_note: told.note, queue_depth: None, load_report: told.report };
                if word == Word::Served {
                    out.push(Event::ResponsePart { attempt, payload: body, last: true });
                }
                out.push(Event::AttemptEnded { attempt, end: ended(word, told), report: news });
            }
            Owed::Order(request_id) => {
                let copies = told.instances.unwrap_or(0);
                out.push(Event::LoadEnded { request_id, end: ended(word, told), copies });
            }
            Owed::Probe(request_id) => {
                let how = if word == Word::Green { AttemptEnd::Served } else { ended(word, told) };
                out.push(Event::ProbeEnded { request_id, end: how, load_report: told.report });
            }
        }
    }

    /// A connection is gone: what was open on it has ended as far as was written.
    pub fn closed(&mut self, tcp: &Tcp, key: TcpKey, why: Gone, out: &mut Vec<Event>) {
        let written = tcp.written(key);
        self.broken(key, out, |item| match (why, item.place) {
            (Gone::Refused | Gone::NotConnected, _) => AttemptEnd::NotConnected,
            (_, None) => AttemptEnd::NotWritten,
            (Gone::Slow, _) => AttemptEnd::Broken,
            (_, Some((_, end))) if end > written => AttemptEnd::NotWritten,
            _ => AttemptEnd::Broken,
        });
    }

    pub(super) fn broken(&mut self, key: TcpKey, out: &mut Vec<Event>, how: impl Fn(&Item) -> AttemptEnd) {
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

    /// A connection's alarm came due: it was idle, or an answer did not come whole.
    pub fn alarm(&mut self, tcp: &mut Tcp, key: TcpKey, out: &mut Vec<Event>, count: &mut Counters) {
        let Some(link) = self.links.get(&key) else { return };
        if link.partial.is_some_and(|since| Instant::now() >= since + WHOLE_ANSWER) {
            debug!(worker = link.worker.0, "an answer stopped short");
            count.bad_answers += 1;
            tcp.close(key);
            self.broken(key, out, |_| AttemptEnd::Broken);
        } else if link.items.is_empty()
            && self
                .idle
                .is_some_and(|idle| link.idle_since.is_some_and(|since| Instant::now() >= since + idle))
        {
            self.drop_link(tcp, key);
        }
    }
}

/// What a word proves of a request; see the engine's table.
fn ended(word: Word, told: &Told) -> AttemptEnd {
    match word {
        Word::Served => AttemptEnd::Served,
        Word::NotHere if told.note == Some(LoadNote::Failed) => AttemptEnd::MarkedLoadFailed,
        Word::NotHere => AttemptEnd::MarkedMiss,
        Word::Overload => AttemptEnd::MarkedFull,
        Word::Crashed => AttemptEnd::Status { message: "the invoker failed it".to_owned() },
        Word::Nobody => AttemptEnd::Unwanted,
        Word::Green | Word::Red => AttemptEnd::Status { message: "the invoker is not in service".to_owned() },
    }
}
