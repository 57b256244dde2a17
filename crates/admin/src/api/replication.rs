//! Requests of followers: the snapshot, and the changes after a revision. Both responses can grant a lease.

use std::time::Duration;

use serde_json::{Value, json};

use crate::message::Outcome;
use crate::problem::Problem;

use super::Api;
use super::limits::MAX_WATCH_WAIT_MS;
use super::ports::{ChangeStore, ClockReading, ControllerState, Runtime, StoreIdentity};
use super::query::Query;
use super::responses::{check_serving, internal, next_cursor, ready_json};

/// The controller that sent a replication request.
struct Follower {
    /// The controller's number in its settings.
    number: u32,
    /// The controller's incarnation; 0 if it reports none, as earlier versions do.
    incarnation: u64,
}

impl<S: ChangeStore> Api<S> {
    /// Returns the snapshot. If a follower requests it, the response can include a lease on it.
    pub(super) fn read_snapshot(
        &self,
        query: &Query,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let follower = record_follower(query, runtime)?;
        check_serving(runtime)?;
        let StoreIdentity { name, epoch } = &self.identity;
        let lease = follower.and_then(|f| runtime.grant_lease(f.number, f.incarnation));
        let clock = clock_json(runtime, Duration::ZERO);
        let body = json!({
            "store": name,
            "epoch": epoch,
            "sum": self.snapshot.checksum(),
            "book": self.snapshot,
            "lease_ms": lease.map(|lease| lease.duration_ms),
            "place": lease.map(|lease| lease.fencing_token),
            "clock": clock,
        });
        ready_json(200, &body)
    }

    /// Returns the entries after a revision. A follower that has the newest snapshot once it has applied them also gets
    /// a lease. If there are no entries yet, the request waits for one, at most for its parameter `wait_ms`.
    pub(super) fn watch(
        &self,
        query: &Query,
        runtime: &mut impl Runtime,
        held_for: Option<Duration>,
    ) -> Result<Outcome, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let wait = Duration::from_millis(query.number("wait_ms", 0, MAX_WATCH_WAIT_MS, 0)?);
        let follower = match held_for {
            None => record_follower(query, runtime)?,
            // The state was recorded on arrival. Recording it again could overwrite a newer report of this follower.
            Some(_) => check_follower(query, runtime)?,
        };
        check_serving(runtime)?;
        let epoch = query.number("epoch", 0, u64::MAX, self.identity.epoch)?;
        if query.text("store").is_some_and(|store| store != self.identity.name)
            || epoch != self.identity.epoch
        {
            return Err(Problem::new(
                410,
                "another-store",
                "the revision belongs to another store or epoch: request /v1/snapshot",
            ));
        }
        if after > self.snapshot.revision() {
            let detail =
                format!("revision {after} does not exist yet: the last one is {}", self.snapshot.revision());
            return Err(Problem::new(409, "ahead", detail));
        }
        if after == self.snapshot.revision() && held_for.unwrap_or_default() < wait {
            return Ok(Outcome::Wait(wait));
        }
        let all = self.store.entries(after, rows, None).map_err(internal)?;
        // A store that was filled from a snapshot may lack the changes before that snapshot.
        if all.first().is_some_and(|entry| entry.revision != after + 1) {
            let detail =
                format!("the store no longer has all changes after revision {after}: request /v1/snapshot");
            return Err(Problem::new(410, "too-old", detail));
        }
        let next = next_cursor(&all, rows, |e| e.revision);
        // A lease covers the newest snapshot only, so a follower that still lacks a change gets none.
        let complete = all.last().map_or(after, |entry| entry.revision) == self.snapshot.revision();
        let lease = follower.filter(|_| complete).and_then(|f| runtime.grant_lease(f.number, f.incarnation));
        let clock = clock_json(runtime, held_for.unwrap_or_default());
        let page = json!({
            "entries": all,
            "next": next,
            "lease_ms": lease.map(|lease| lease.duration_ms),
            "place": lease.map(|lease| lease.fencing_token),
            "clock": clock,
        });
        ready_json(200, &page)
    }
}

/// The current reading of the administration's clock, and how long the request was held, as JSON.
fn clock_json(runtime: &impl Runtime, held: Duration) -> Value {
    let ClockReading { incarnation, at_ms } = runtime.read_clock();
    json!({ "by": incarnation, "at_ms": at_ms, "held_ms": held.as_millis() as u64 })
}

/// The follower that sent a request; `None` if the request names no controller.
fn follower(query: &Query) -> Result<Option<Follower>, Problem> {
    if query.text("controller").is_none() {
        return Ok(None);
    }
    let number = query.number("controller", 0, u64::from(u32::MAX), 0)?;
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    let incarnation = query.number("life", 0, u64::MAX, 0)?;
    Ok(Some(Follower { number, incarnation }))
}

/// The follower that sent a held request, whose state was recorded on arrival. Fails if the follower's incarnation was
/// fenced or has ended since.
fn check_follower(query: &Query, runtime: &impl Runtime) -> Result<Option<Follower>, Problem> {
    let follower = follower(query)?;
    if let Some(Follower { number, incarnation }) = follower {
        runtime.check_member(number, incarnation)?;
    }
    Ok(follower)
}

/// Records the state that a follower reports with its request; `None` if the request names no controller.
fn record_follower(query: &Query, runtime: &mut impl Runtime) -> Result<Option<Follower>, Problem> {
    let Some(Follower { number, incarnation }) = follower(query)? else { return Ok(None) };
    let revision = query.number("after", 0, u64::MAX, 0)?;
    // Earlier versions report neither an incarnation nor `in_force`. They act on the revision that they have.
    let default_in_force = if incarnation == 0 { revision } else { 0 };
    let state = ControllerState {
        store: query.text("store").unwrap_or("").to_owned(),
        epoch: query.number("epoch", 0, u64::MAX, 0)?,
        revision,
        checksum: query.number("sum", 0, u64::from(u32::MAX), 0)? as u32,
        incarnation,
        in_force: query.number("in_force", 0, u64::MAX, default_in_force)?,
        persisted: query.number("kept", 0, u64::MAX, 0)?,
        requires_lease: query.number("ends", 0, 1, 0)? == 1,
        stopped: query.number("ended", 0, 1, 0)? == 1,
    };
    runtime.record_state(number, state)?;
    Ok(Some(Follower { number, incarnation }))
}
