//! Changes whose answers wait until they are held and, where they bind, in force: made, durable here, and told as
//! soon as what is wanted is so. When that is, is decided by `nettleferry_fleet::membership`.

use std::collections::BTreeMap;

use nettleferry_admin::{Problem, Response};
use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::{Membership, Progress, Version};
use serde_json::{Value, json};

/// A change for which there is no bound is answered after this span, and so is one that nobody else's disk takes:
/// both are said.
pub const NO_BOUND: Millis = 2_000;
/// And one with a later bound after this one, with the bound: clients of the API wait no longer than 20 s.
pub const MOST_WAIT: Millis = 15_000;
/// Answers that wait at the most; one more is given as things stand.
const MOST_WAITING: usize = 256;

/// One that waits.
struct Change {
    response: Response,
    at: Version,
    binds: bool,
    /// It is answered then as things stand.
    until: Millis,
}

/// What a change wants, and how things stand.
pub struct Here<'a> {
    pub roll: &'a Membership,
    /// What the calls of the administration's own controller act on.
    pub own: Version,
    /// Disks of others that are to hold it.
    pub disks: usize,
    pub now: Millis,
}

impl Here<'_> {
    pub fn progress(&self, at: Version) -> Progress {
        self.roll.progress(self.now, at, self.disks)
    }

    fn is_done(&self, at: Version, binds: bool) -> bool {
        let progress = self.progress(at);
        progress.is_persisted() && (!binds || progress.is_in_force() && self.own >= at)
    }
}

/// Those that wait.
#[derive(Default)]
pub struct Changes {
    next: u64,
    waiting: BTreeMap<u64, Change>,
    /// Changes that take something away and were told to be in force everywhere, until they are recorded.
    pub everywhere: Vec<Version>,
}

/// What becomes of an answer.
pub enum Told {
    /// It is given.
    Answer(Response),
    /// It waits for so long at the most, under this ticket.
    Waits(Millis, u64),
}

impl Changes {
    /// A change was made.
    pub fn made(&mut self, here: &Here, response: Response, at: Version, binds: bool) -> Told {
        if here.is_done(at, binds) || self.waiting.len() >= MOST_WAITING {
            return Told::Answer(self.finish(here, response, at, binds));
        }
        let progress = here.progress(at);
        let bound = if binds { progress.bound(here.now) } else { None };
        // A little later than the bound, so that what is then asked finds it over.
        let until = bound.map_or(here.now + NO_BOUND, |at| at.max(here.now + NO_BOUND) + 1);
        let until = until.min(here.now + MOST_WAIT);
        self.next += 1;
        self.waiting.insert(self.next, Change { response, at, binds, until });
        Told::Waits(until - here.now, self.next)
    }

    /// One that waits is asked for again. `None`: there is none under this ticket.
    pub fn again(&mut self, here: &Here, ticket: u64) -> Option<Told> {
        let change = self.waiting.get(&ticket)?;
        if !here.is_done(change.at, change.binds) && here.now < change.until {
            return Some(Told::Waits(change.until - here.now, ticket));
        }
        let Change { response, at, binds, .. } = self.waiting.remove(&ticket)?;
        Some(Told::Answer(self.finish(here, response, at, binds)))
    }

    /// Is one of them to be answered now?
    pub fn due(&self, here: &Here) -> bool {
        self.waiting.values().any(|c| here.is_done(c.at, c.binds) || here.now >= c.until)
    }

    /// When one of them is to be looked at by the passing of time.
    pub fn next(&self, here: &Here) -> Option<Millis> {
        let until = self.waiting.values().map(|c| c.until).min()?;
        Some(here.roll.next_expiry(here.now).map_or(until, |at| at.min(until)))
    }

    /// Forgets those whose clients are gone: a while after they should have been asked for.
    pub fn sweep(&mut self, now: Millis) {
        self.waiting.retain(|_, c| now < c.until + NO_BOUND);
    }

    fn finish(&mut self, here: &Here, response: Response, at: Version, binds: bool) -> Response {
        let progress = here.progress(at);
        let everywhere = progress.is_in_force() && here.own >= at;
        if !progress.is_persisted() {
            let detail = format!(
                "the change was made as revision {} and goes out, but {} of {} other disks hold it so far: see GET /v1/fleet/change",
                at.revision, progress.persisted, progress.required
            );
            return Problem::new(503, "not-held", detail).response();
        }
        let mut response = response;
        let in_force = match (everywhere, progress.bound(here.now)) {
            (true, _) => "everywhere".to_owned(),
            (false, Some(bound)) => format!("within {} ms", bound.saturating_sub(here.now)),
            (false, None) => format!("not everywhere: {} may act without it", progress.pending.len()),
        };
        if binds && everywhere {
            self.everywhere.push(at);
        }
        if binds && !everywhere {
            // Made, and not yet so for all: RFC 9110, 15.3.3.
            response.status = 202;
        }
        response
            .headers
            .push(("Nettleferry-Held", format!("{} of {}", progress.persisted, progress.required)));
        response.headers.push(("Nettleferry-In-Force", in_force));
        response
    }
}

/// For the API.
pub fn shown(progress: &Progress, at: Version, now: Millis, own: bool) -> Value {
    let waits: Vec<Value> = progress
        .pending
        .iter()
        .map(|w| {
            json!({
                "controller": w.incarnation.map(|who| who.controller), "life": w.incarnation.map(|who| format!("{:016x}", who.incarnation)),
                "within_ms": w.lease_over.map(|out| out.saturating_sub(now)),
            })
        })
        .collect();
    json!({
        "revision": at.revision, "held": progress.persisted, "wanted": progress.required,
        "everywhere": progress.is_in_force() && own,
        "within_ms": progress.bound(now).map(|bound| bound.saturating_sub(now)), "waits": waits,
    })
}
