//! How far a controller uses state that it persisted before a restart or a power loss. A table has one rule
//! for each kind of state, with the harm that wrong state can do and what is assumed if the state is not
//! used. The owner of the state reads it.

use crate::Millis;

/// A kind of state that an earlier incarnation of the controller may have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PersistedState {
    /// The snapshot of the tenants.
    Snapshot,
    /// The last worker list that was in force.
    WorkerList,
    /// The settings file, which the operator maintains.
    Settings,
    /// Load orders sent within the window of their rate limit.
    LoadOrders,
    /// Start times of workers, as the controller observed them.
    WorkerStarts,
    /// Retry windows of calls with an idempotency key that may have been executed.
    KeyedWindows,
    /// The part of their rate limits that tenants have used.
    RatesUsed,
    /// The longest span for which a leader granted leases.
    LongestLease,
}

/// The extent to which persisted state is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// The state is used without reservation.
    Full,
    /// The state is used until newer state is received, which it never replaces.
    UntilNewer,
    /// The state is used only as a hint where to look first.
    Hint,
    /// The state is not used: the worst case is assumed.
    Never,
}

/// The rule for one kind of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Kind of state that the rule is for.
    pub state: PersistedState,
    /// The extent to which the state is used.
    pub trust: Trust,
    /// Maximum age of the state in milliseconds. Older state is not used. `None` for any age.
    pub max_age_ms: Option<Millis>,
    /// The harm that wrong state can do.
    pub harm: &'static str,
    /// The assumption made if the state is not used.
    pub fallback: &'static str,
}

const HOUR: Millis = 3_600_000;

/// The rules, one for each kind of state.
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
        harm: "calls, load orders and connections go to addresses that other processes use by now",
        fallback: "no worker is known until the list is read: calls are rejected at once",
    },
    Rule {
        state: PersistedState::Settings,
        trust: Trust::Full,
        max_age_ms: None,
        harm: "none: the operator maintains the file",
        fallback: "the program does not start and reports what is wrong",
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
        fallback: "calls of an earlier incarnation are not retried; their clients may retry them",
    },
    Rule {
        state: PersistedState::RatesUsed,
        trust: Trust::Never,
        max_age_ms: None,
        harm: "a tenant gets a second burst",
        fallback: "bursts count as used up, and rates apply from the start",
    },
    Rule {
        state: PersistedState::LongestLease,
        trust: Trust::Full,
        max_age_ms: None,
        harm: "a change is acknowledged as in force everywhere while an earlier lease still runs",
        fallback: "leases of the longest possible span are assumed to run since the start",
    },
];

/// Returns the rule for a kind of state.
pub fn rule(state: PersistedState) -> &'static Rule {
    // Every kind has a rule, which a test verifies.
    RULES.iter().find(|rule| rule.state == state).unwrap_or(&RULES[0])
}

/// Persisted state that was found after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredState {
    /// Whether the state exists and can be read.
    pub readable: bool,
    /// Time at which the state was persisted, by the wall clock, in milliseconds; `None` if unknown.
    pub saved_at_ms: Option<Millis>,
}

/// Whether state that was found is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The state is used to this extent.
    Use(Trust),
    /// The state is not used, for the given reason.
    Discard(&'static str),
}

/// Maximum time by which persisted state may be dated in the future, in milliseconds. It tolerates a wall
/// clock that was set back by as much between two incarnations.
pub const CLOCK_SLACK: Millis = 60_000;

/// Decides whether state that was found is used. `now_ms` is the time of the wall clock.
pub fn judge(state: PersistedState, found: &StoredState, now_ms: Millis) -> Verdict {
    let rule = rule(state);
    if !found.readable {
        return Verdict::Discard("the state can't be read");
    }
    if rule.trust == Trust::Never {
        return Verdict::Discard("state of this kind is not used after a restart");
    }
    match (rule.max_age_ms, found.saved_at_ms) {
        (None, _) => Verdict::Use(rule.trust),
        (Some(_), None) => Verdict::Discard("the age of the state is unknown"),
        // The clock was set back, so the age can't be determined.
        (Some(_), Some(saved_at)) if saved_at > now_ms.saturating_add(CLOCK_SLACK) => {
            Verdict::Discard("the state is dated in the future: the clock was set back")
        }
        (Some(max_age), Some(saved_at)) if now_ms.saturating_sub(saved_at) > max_age => {
            Verdict::Discard("the state is too old")
        }
        (Some(_), Some(_)) => Verdict::Use(rule.trust),
    }
}

#[cfg(test)]
mod tests;
