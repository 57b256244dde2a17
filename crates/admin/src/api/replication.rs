//! What controllers that follow ask: the whole book, and the changes after a revision, each with a lease.

use std::time::Duration;

use serde_json::{Value, json};

use crate::message::Answer;
use crate::problem::Problem;

use super::query::Query;
use super::{Api, Holds, Keep, Live, MOST_WAIT, next, now_told, serving};

/// A controller that follows.
struct Follower {
    /// Its number, as its settings say.
    number: u32,
    /// Which of its incarnations.
    life: u64,
}

impl<K: Keep> Api<K> {
    /// The whole book, and a lease on it.
    pub(super) fn read_snapshot(&self, query: &Query, live: &mut impl Live) -> Result<Answer, Problem> {
        let follower = follows(query, live)?;
        serving(live)?;
        let (store, epoch) = &self.store;
        let sum = self.book.checksum();
        let lease = follower.and_then(|follower| live.lease(follower.number, follower.life));
        let ((lease_ms, place), clock) = (lease.unzip(), read_clock(live, Duration::ZERO));
        let body = json!({
            "store": store,
            "epoch": epoch,
            "sum": sum,
            "book": self.book,
            "lease_ms": lease_ms,
            "place": place,
            "clock": clock,
        });
        now_told(200, &body)
    }

    /// Entries after a revision, and a lease where they are the last ones; waits for one where there is none.
    pub(super) fn watch(
        &self,
        query: &Query,
        live: &mut impl Live,
        waited: Duration,
    ) -> Result<Answer, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let wait = Duration::from_millis(query.number("wait_ms", 0, MOST_WAIT, 0)?);
        let who = follows(query, live)?;
        serving(live)?;
        let epoch = query.number("epoch", 0, u64::MAX, self.store.1)?;
        if query.text("store").is_some_and(|store| store != self.store.0) || epoch != self.store.1 {
            return Err(Problem::new(410, "another-store", "this is another store: take the snapshot"));
        }
        if after > self.book.revision() {
            let detail = format!("revision {after} is not there; the last one is {}", self.book.revision());
            return Err(Problem::new(409, "ahead", detail));
        }
        if after == self.book.revision() && waited < wait {
            return Ok(Answer::Later(wait));
        }
        let all = self.keep.audit(after, rows, None).map_err(|what| Problem::new(500, "internal", what))?;
        // A book that began from a snapshot does not have what came before it.
        if all.first().is_some_and(|entry| entry.revision != after + 1) {
            return Err(Problem::new(410, "too-old", "changes so old are not kept: take the snapshot"));
        }
        let next = next(&all, rows, |e| e.revision);
        // Who has not all of it yet may act on none of it.
        let whole = all.last().map_or(after, |entry| entry.revision) == self.book.revision();
        let lease = who.filter(|_| whole).and_then(|follower| live.lease(follower.number, follower.life));
        let ((lease_ms, place), clock) = (lease.unzip(), read_clock(live, waited));
        let page =
            json!({ "entries": all, "next": next, "lease_ms": lease_ms, "place": place, "clock": clock });
        now_told(200, &page)
    }
}

/// What our clock reads as the answer leaves, and for how long the request was held.
fn read_clock(live: &impl Live, held: Duration) -> Value {
    let (by, at_ms) = live.clock();
    json!({ "by": by, "at_ms": at_ms, "held_ms": held.as_millis() as u64 })
}

/// A controller that asks tells which book it holds.
fn follows(query: &Query, live: &mut impl Live) -> Result<Option<Follower>, Problem> {
    if query.text("controller").is_none() {
        return Ok(None);
    }
    let number = query.number("controller", 0, u64::from(u32::MAX), 0)?;
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    let revision = query.number("after", 0, u64::MAX, 0)?;
    let life = query.number("life", 0, u64::MAX, 0)?;
    // Earlier versions tell no life, and what they hold is what they act on.
    let same = if life == 0 { revision } else { 0 };
    let holds = Holds {
        store: query.text("store").unwrap_or("").to_owned(),
        epoch: query.number("epoch", 0, u64::MAX, 0)?,
        revision,
        sum: query.number("sum", 0, u64::from(u32::MAX), 0)? as u32,
        life,
        in_force: query.number("in_force", 0, u64::MAX, same)?,
        kept: query.number("kept", 0, u64::MAX, 0)?,
        ends: query.number("ends", 0, 1, 0)? == 1,
        ended: query.number("ended", 0, 1, 0)? == 1,
    };
    live.follows(number, holds)?;
    Ok(Some(Follower { number, life }))
}
