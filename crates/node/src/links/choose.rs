//! Which connection to an invoker a command leaves on.

use std::time::Instant;

use nettleferry::WorkerId;
use nettleferry_engine::AttemptEnd;
use nettleferry_net::tcp::{Tcp, TcpKey};
use tracing::debug;

use super::Links;
use super::link::{Link, Owed};
use crate::limits::Counters;

impl Links {
    /// A probe asks where an answer has been owed longest: its own silence then tells of that connection.
    pub(super) fn choose_for_probe(
        &mut self,
        tcp: &mut Tcp,
        id: WorkerId,
        tag: &str,
        count: &mut Counters,
    ) -> Result<TcpKey, AttemptEnd> {
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
    pub(super) fn choose(
        &mut self,
        tcp: &mut Tcp,
        id: WorkerId,
        tag: &str,
        count: &mut Counters,
    ) -> Result<TcpKey, AttemptEnd> {
        let each = (self.bounds.links / self.workers.len().max(1)).max(2);
        let known = self.workers.get_mut(&id).filter(|w| w.listed.is_some());
        let Some(worker) = known else { return Err(AttemptEnd::NotConnected) };
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
            return Err(AttemptEnd::NoRoom);
        }
        let before = tcp.counters().over_made;
        let Some(key) = tcp.connect(worker.address) else {
            if tcp.counters().over_made > before {
                count.over_links += 1;
                return Err(AttemptEnd::NoRoom);
            }
            return Err(AttemptEnd::NotConnected);
        };
        worker.links.push(key);
        debug!(worker = id.0, tag, ?key, links = worker.links.len(), "a new connection");
        self.links.insert(key, Link::new(id));
        Ok(key)
    }
}
