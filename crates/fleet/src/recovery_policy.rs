//! What a controller persists over a restart or a loss of power, and how far it is used afterwards. One table: each
//! rule says what harm wrong state does, and what is assumed in its place. Reading the state is left to its owner.

use crate::Millis;

/// A kind of state that an incarnation may find from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PersistedState {
    /// The snapshot of the tenants.
    Snapshot,
    /// The worker list.
    WorkerList,
    /// The settings file.
    Settings,
    /// Load orders sent within the rate limit's window.
    LoadOrders,
    /// When workers were seen to start.
    WorkerStarts,
    /// Windows of calls with an idempotency key that may have run.
    KeyedWindows,
    /// What tenants have used of their rates.
    RatesUsed,
    /// The longest span for which a leader granted leases.
    LongestLease,
}

/// How far state is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// As it is.
    Full,
    /// Until something newer is received, and never in place of something newer.
    UntilNewer,
    /// It says where to look first, and proves nothing.
    Hint,
    /// Not at all: the worst is assumed.
    Never,
}

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The kind of state.
    pub state: PersistedState,
    /// How far it is used.
    pub trust: Trust,
    /// State that is older than this is not used, milliseconds; `None`: of any age.
    pub max_age_ms: Option<Millis>,
    /// The harm that wrong state does.
    pub harm: &'static str,
    /// What is assumed where it is not used.
    pub fallback: &'static str,
}

const HOUR: Millis = 3_600_000;

/// The table.
pub const RULES: [Rule; 8] = [
    Rule {
        state: PersistedState::Snapshot,
        trust: Trust::UntilNewer,
        max_age_ms: None,
        harm: "a tenant who was suspended or removed since is served until the leader responds",
        fallback: "no tenant is served until the leader or a peer sends its snapshot",
    },
    Rule {
        state: PersistedState::WorkerList,
        trust: Trust::UntilNewer,
        max_age_ms: Some(HOUR),
        harm: "calls, loads and connections go to addresses that others have by now",
        fallback: "no worker is known until the list is read: calls are rejected at once",
    },
    Rule {
        state: PersistedState::Settings,
        trust: Trust::Full,
        max_age_ms: None,
        harm: "none that the operator did not write",
        fallback: "the program does not start, and reports what is wrong",
    },
    Rule {
        state: PersistedState::LoadOrders,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "the rate limit of load orders is exceeded across the restart",
        fallback: "the free orders of the window count as sent; only calls accepted since the start earn further ones",
    },
    Rule {
        state: PersistedState::WorkerStarts,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a worker that is warming up is taken for a warm one and overloaded",
        fallback: "what the list states; the warm-up ramp counts from the controller's start",
    },
    Rule {
        state: PersistedState::KeyedWindows,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a call with an idempotency key is repeated outside its group or window",
        fallback: "calls of an earlier incarnation are their clients' to retry: none is retried by this one",
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
        harm: "a change is acknowledged as in force everywhere while an earlier lease still runs",
        fallback: "leases of the longest possible span are assumed to run since the start",
    },
];

/// The rule for a kind of state.
pub fn rule(state: PersistedState) -> &'static Rule {
    // Each kind has its rule: a test compares the table with the list of kinds.
    RULES.iter().find(|rule| rule.state == state).unwrap_or(&RULES[0])
}

/// State that was found after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// Something is there that can be read.
    pub readable: bool,
    /// When it was persisted, by the wall clock; `None`: unknown.
    pub saved_at_ms: Option<Millis>,
}

/// What becomes of state that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is used so far.
    Use(Trust),
    /// It is not used, for this reason.
    Discard(&'static str),
}

/// The wall clock may have been set back by so much between two incarnations without harm, milliseconds.
pub const CLOCK_SLACK: Millis = 60_000;

/// Is state that was found to be used, at this time of the wall clock?
pub fn judge(state: PersistedState, found: &StoredState, now_ms: Millis) -> Verdict {
    let rule = rule(state);
    if !found.readable {
        return Verdict::Discard("there is none that can be read");
    }
    if rule.trust == Trust::Never {
        return Verdict::Discard("an incarnation does not use it of an earlier one");
    }
    match (rule.max_age_ms, found.saved_at_ms) {
        (None, _) => Verdict::Use(rule.trust),
        (Some(_), None) => Verdict::Discard("its age is unknown"),
        // Of the future: the clock was set back, and ages by it say nothing.
        (Some(_), Some(saved_at)) if saved_at > now_ms.saturating_add(CLOCK_SLACK) => {
            Verdict::Discard("it is younger than the clock: the clock was set back")
        }
        (Some(max_age), Some(saved_at)) if now_ms.saturating_sub(saved_at) > max_age => {
            Verdict::Discard("it is too old")
        }
        (Some(_), Some(_)) => Verdict::Use(rule.trust),
    }
}

#[cfg(test)]
mod tests;
