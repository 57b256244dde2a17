//! What is remembered over a loss of power, and how far it is believed. One table: each row says what harm a
//! wrong belief does, and what is assumed in its place.

use crate::Millis;

/// A thing that a life may find from the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Thing {
    /// The tenants' book.
    Book,
    /// The worker list.
    WorkerList,
    /// The settings file.
    Settings,
    /// Load orders given within the ration's window.
    OrdersGiven,
    /// When workers were seen to start.
    WorkerStarts,
    /// Windows of keyed calls that may have run.
    KeyedWindows,
    /// What tenants have used of their rates.
    RatesUsed,
    /// The longest span for which an administration gave leases.
    LeasesGiven,
}

/// How far it is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// As it stands.
    AsItStands,
    /// Until something newer is told, and never against something newer.
    UntilNewer,
    /// It says where to look first, and proves nothing.
    Hint,
    /// Not at all: the worst is assumed.
    Never,
}

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// What.
    pub thing: Thing,
    /// How far.
    pub belief: Belief,
    /// Older than this it is not believed; `None`: of any age.
    pub most_age_ms: Option<Millis>,
    /// Harm of a wrong belief.
    pub harm: &'static str,
    /// What is assumed where it is not believed.
    pub instead: &'static str,
}

const HOUR: Millis = 3_600_000;

/// The table.
pub const TABLE: [Row; 8] = [
    Row {
        thing: Thing::Book,
        belief: Belief::UntilNewer,
        most_age_ms: None,
        harm: "a tenant who was suspended or removed since is served until the administration is heard",
        instead: "no tenant is served until the administration or a peer gives its book",
    },
    Row {
        thing: Thing::WorkerList,
        belief: Belief::UntilNewer,
        most_age_ms: Some(HOUR),
        harm: "calls, loads and connections go to addresses that others have by now",
        instead: "no worker is known until the list is read: calls are refused at once",
    },
    Row {
        thing: Thing::Settings,
        belief: Belief::AsItStands,
        most_age_ms: None,
        harm: "none that the operator did not write: the file is his own word",
        instead: "the program does not start, and says what is wrong",
    },
    Row {
        thing: Thing::OrdersGiven,
        belief: Belief::Never,
        most_age_ms: None,
        harm: "the ration of load orders is exceeded across the loss",
        instead: "the free orders of the window count as given; calls taken in this life alone earn further ones",
    },
    Row {
        thing: Thing::WorkerStarts,
        belief: Belief::Never,
        most_age_ms: None,
        harm: "a cold worker is taken for warm and pushed over",
        instead: "what the list tells; the module's share of a cold worker counts from its start",
    },
    Row {
        thing: Thing::KeyedWindows,
        belief: Belief::Never,
        most_age_ms: None,
        harm: "a keyed call is repeated outside its group or window",
        instead: "calls of an earlier life are their clients' to repeat: none is repeated by this one",
    },
    Row {
        thing: Thing::RatesUsed,
        belief: Belief::Never,
        most_age_ms: None,
        harm: "a tenant gets a second burst",
        instead: "bursts are taken as used up, and rates go on",
    },
    Row {
        thing: Thing::LeasesGiven,
        belief: Belief::AsItStands,
        most_age_ms: None,
        harm: "a change is said to be in force everywhere while a lease of before still runs",
        instead: "leases of the longest span there is run since the start",
    },
];

/// The row of a thing.
pub fn row(thing: Thing) -> &'static Row {
    // Each thing has its row: the test below holds the table against the list.
    TABLE.iter().find(|row| row.thing == thing).unwrap_or(&TABLE[0])
}

/// What was found of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Something is there that can be read.
    pub sound: bool,
    /// When it was kept, by the wall clock; `None`: nobody knows.
    pub at_ms: Option<Millis>,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is put in force so far.
    Use(Belief),
    /// It is not, for this reason.
    Not(&'static str),
}

/// The wall clock may have been set back by so much between two lives without harm.
pub const CLOCK_SLACK: Millis = 60_000;

/// Is it believed, at this time of the wall clock?
pub fn judge(thing: Thing, held: &Held, now_ms: Millis) -> Verdict {
    let row = row(thing);
    if !held.sound {
        return Verdict::Not("there is none that is sound");
    }
    if row.belief == Belief::Never {
        return Verdict::Not("a life does not believe it of another");
    }
    match (row.most_age_ms, held.at_ms) {
        (None, _) => Verdict::Use(row.belief),
        (Some(_), None) => Verdict::Not("nobody knows how old it is"),
        // Of the future: the clock was set back, and ages by it say nothing.
        (Some(_), Some(at)) if at > now_ms.saturating_add(CLOCK_SLACK) => {
            Verdict::Not("it is younger than the clock: the clock was set back")
        }
        (Some(most), Some(at)) if now_ms.saturating_sub(at) > most => Verdict::Not("it is too old"),
        (Some(_), Some(_)) => Verdict::Use(row.belief),
    }
}

#[cfg(test)]
mod tests;
