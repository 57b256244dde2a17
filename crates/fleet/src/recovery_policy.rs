//! What is remembered over a loss of power, and how far it is believed. One table: each row says what harm a
//! wrong belief does, and what is assumed in its place.

use crate::Millis;

/// A thing that a life may find from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PersistedState {
    /// The tenants' book.
    Snapshot,
    /// The worker list.
    WorkerList,
    /// The settings file.
    Settings,
    /// Load orders given within the ration's window.
    LoadOrders,
    /// When workers were seen to start.
    WorkerStarts,
    /// Windows of keyed calls that may have run.
    KeyedWindows,
    /// What tenants have used of their rates.
    RatesUsed,
    /// The longest span for which an administration gave leases.
    LongestLease,
}

/// How far it is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As it stands.
    Full,
    /// Until something newer is told, and never against something newer.
    UntilNewer,
    /// It says where to look first, and proves nothing.
    Hint,
    /// Not at all: the worst is assumed.
    Never,
}

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// What.
    pub state: PersistedState,
    /// How far.
    pub trust: Trust,
    /// Older than this it is not believed; `None`: of any age.
    pub max_age_ms: Option<Millis>,
    /// Harm of a wrong belief.
    pub harm: &'static str,
    /// What is assumed where it is not believed.
    pub fallback: &'static str,
}

const HOUR: Millis = 3_600_000;

/// The table.
pub const RULES: [Rule; 8] = [
    Rule {
        state: PersistedState::Snapshot,
        trust: Trust::UntilNewer,
        max_age_ms: None,
        harm: "a tenant who was suspended or removed since is served until the administration is heard",
        fallback: "no tenant is served until the administration or a peer gives its book",
    },
    Rule {
        state: PersistedState::WorkerList,
        trust: Trust::UntilNewer,
        max_age_ms: Some(HOUR),
        harm: "calls, loads and connections go to addresses that others have by now",
        fallback: "no worker is known until the list is read: calls are refused at once",
    },
    Rule {
        state: PersistedState::Settings,
        trust: Trust::Full,
        max_age_ms: None,
        harm: "none that the operator did not write: the file is his own word",
        fallback: "the program does not start, and says what is wrong",
    },
    Rule {
        state: PersistedState::LoadOrders,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "the ration of load orders is exceeded across the loss",
        fallback: "the free orders of the window count as given; calls taken in this life alone earn further ones",
    },
    Rule {
        state: PersistedState::WorkerStarts,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a cold worker is taken for warm and pushed over",
        fallback: "what the list tells; the module's share of a cold worker counts from its start",
    },
    Rule {
        state: PersistedState::KeyedWindows,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a keyed call is repeated outside its group or window",
        fallback: "calls of an earlier life are their clients' to repeat: none is repeated by this one",
    },
    Rule {
        state: PersistedState::RatesUsed,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a tenant gets a second burst",
        fallback: "bursts are taken as used up, and rates go on",
    },
    Rule {
        state: PersistedState::LongestLease,
        trust: Trust::Full,
        max_age_ms: None,
        harm: "a change is said to be in force everywhere while a lease of before still runs",
        fallback: "leases of the longest span there is run since the start",
    },
];

/// The row of a thing.
pub fn rule(thing: PersistedState) -> &'static Rule {
    // Each thing has its row: the test below holds the table against the list.
    RULES.iter().find(|row| row.state == thing).unwrap_or(&RULES[0])
}

/// What was found of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// Something is there that can be read.
    pub readable: bool,
    /// When it was kept, by the wall clock; `None`: nobody knows.
    pub saved_at_ms: Option<Millis>,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is put in force so far.
    Use(Trust),
    /// It is not, for this reason.
    Discard(&'static str),
}

/// The wall clock may have been set back by so much between two lives without harm.
pub const CLOCK_SLACK: Millis = 60_000;

/// Is it believed, at this time of the wall clock?
pub fn judge(thing: PersistedState, held: &StoredState, now_ms: Millis) -> Verdict {
    let row = rule(thing);
    if !held.readable {
        return Verdict::Discard("there is none that is sound");
    }
    if row.trust == Trust::Never {
        return Verdict::Discard("a life does not believe it of another");
    }
    match (row.max_age_ms, held.saved_at_ms) {
        (None, _) => Verdict::Use(row.trust),
        (Some(_), None) => Verdict::Discard("nobody knows how old it is"),
        // Of the future: the clock was set back, and ages by it say nothing.
        (Some(_), Some(at)) if at > now_ms.saturating_add(CLOCK_SLACK) => {
            Verdict::Discard("it is younger than the clock: the clock was set back")
        }
        (Some(most), Some(at)) if now_ms.saturating_sub(at) > most => Verdict::Discard("it is too old"),
        (Some(_), Some(_)) => Verdict::Use(row.trust),
    }
}

#[cfg(test)]
mod tests;
