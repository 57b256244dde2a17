//! What goes into the engine and what comes out. Times and spans are whole microseconds.

use bytes::Bytes;
use nettleferry::{ClassId, LoadNote, Micros, Report, TenantId, WorkerId, WorkerState};
use std::sync::Arc;

use crate::outcome::Ended;

/// A call, unique in a controller's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An attempt of a call, numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// Its number.
    pub number: u32,
}

/// An order to load or a probe, unique in a controller's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ErrandId(pub u64);

/// A call that a front wants made.
#[derive(Clone, Debug)]
pub struct Open {
    /// The front's own mark, handed back with each command of this call.
    pub front: u64,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// The model's name.
    pub model: Arc<str>,
    /// The model's version; empty: the worker's choice.
    pub version: Arc<str>,
    /// Time until the client gives up.
    pub left: Micros,
    /// Work it is thought to need, where told.
    pub work_hint: Option<Micros>,
    /// Calls that one copy of the model runs at once.
    pub lanes: u32,
    /// Usual time of a load, where told.
    pub load_time: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// The front's group of models, handed back in [`Note::Ended`].
    pub group: u32,
    /// The answer may come in parts, each delivered as it comes.
    pub streamed: bool,
    /// The request as it came; handed to links as it is.
    pub body: Bytes,
}

/// A line of the worker list, in names.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The worker's name: it keeps it when its process restarts.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its weight.
    pub weight: f64,
    /// Its cell: workers that share which keys they have seen.
    pub cell: String,
    /// Its state.
    pub state: WorkerState,
    /// When it last started, on the engine's clock.
    pub born: Option<Micros>,
}

/// Something the engine learns. Calls are opened with [`crate::Engine::open`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, whole or as changes.
    Workers {
        /// What kind of news it is.
        form: nettleferry::ListForm,
        /// Its lines.
        members: Vec<Member>,
    },
    /// The client left.
    ClientGone {
        /// Its call.
        call: CallId,
    },
    /// Clients left, all that are known to have at one moment: what one of them frees must not be given to another
    /// of them.
    ClientsLeft {
        /// Their calls.
        calls: Vec<Left>,
    },
    /// The client does not take its answer: the attempt is to wait.
    ClientSlow {
        /// Its call.
        call: CallId,
    },
    /// The client takes its answer again.
    ClientReady {
        /// Its call.
        call: CallId,
    },
    /// A part of an answer came.
    Part {
        /// The attempt.
        attempt: AttemptId,
        /// The part, as it is to be delivered.
        payload: Bytes,
        /// The worker marked it as the last.
        last: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        how: Ended,
        /// What its answer tells.
        news: News,
    },
    /// An order to load was answered.
    Loaded {
        /// The order.
        errand: ErrandId,
        /// How it ended.
        how: Ended,
        /// Copies that stand there.
        copies: u32,
    },
    /// A probe was answered.
    Probed {
        /// The probe.
        errand: ErrandId,
        /// How it ended.
        how: Ended,
        /// The load report, where attached.
        report: Option<Report>,
    },
    /// A tenant is gone: its open calls have their final answers now.
    Evict {
        /// The tenant.
        tenant: TenantId,
    },
    /// Time has passed.
    Tick,
}

/// A client that has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    /// Its call.
    pub call: CallId,
    /// Its connection still takes an answer: it gets its final one at once.
    pub answered: bool,
}

/// What the end of an attempt tells besides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct News {
    /// Of loaded copies.
    pub note: Option<LoadNote>,
    /// Calls of the model the worker held.
    pub crowd: Option<u32>,
    /// Its load report.
    pub report: Option<Report>,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An attempt broke off and may have run.
    Aborted,
    /// A worker failed it.
    Internal,
    /// Its time ran out.
    Deadline,
}

/// Why a call was refused: for the message to people, not for the promise, which is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// [`crate::EngineLimits::open_calls`].
    TooManyOpen,
    /// No worker of the list may be sent anything.
    NoWorker,
    /// No worker had room in time, or each attempt was turned away.
    NoRoom,
    /// [`Event::Evict`], and nothing of it can have run.
    TenantGone,
    /// [`Event::ClientsLeft`], and nothing of it can have run.
    ClientLeft,
}

/// A call's one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Served; what was held back until the end was certain is handed over with it.
    Served {
        /// The last part, or the whole answer of a call that is not streamed.
        last: Option<Bytes>,
    },
    /// The worker answered that the call itself is wrong.
    Rejected {
        /// The worker's words.
        message: String,
    },
    /// Not served, and another try is harmless.
    Refused {
        /// Why.
        why: Refusal,
        /// Advice of the module to stay away so long.
        retry_after: Option<Micros>,
    },
    /// Failed; nothing is promised.
    Failed {
        /// Why.
        cause: Cause,
        /// What is known, for people.
        message: String,
    },
}

/// Something the program is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Begin an attempt.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Where.
        worker: WorkerId,
        /// The answer may come in parts.
        streamed: bool,
        /// Time until the client gives up.
        left: Micros,
        /// The request.
        body: Bytes,
    },
    /// Stop an attempt; no event about it is wanted any more.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Take no more of an attempt's answer for now.
    Pause {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Take more of it.
    Resume {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver a part to the client.
    Part {
        /// The call.
        call: CallId,
        /// The front's mark.
        front: u64,
        /// The part.
        payload: Bytes,
    },
    /// Give the client its final answer. Nothing of the call follows.
    End {
        /// The call.
        call: CallId,
        /// The front's mark.
        front: u64,
        /// The answer.
        end: End,
    },
    /// Order copies; answered by [`Event::Loaded`].
    Load {
        /// The order.
        errand: ErrandId,
        /// Where.
        worker: WorkerId,
        /// The model's name.
        model: Arc<str>,
        /// The model's version.
        version: Arc<str>,
        /// Copies wanted.
        copies: u32,
    },
    /// Unload idle copies. No answer is wanted.
    Unload {
        /// Where.
        worker: WorkerId,
        /// The model's name.
        model: Arc<str>,
        /// The model's version.
        version: Arc<str>,
    },
    /// Probe a worker; answered by [`Event::Probed`].
    Probe {
        /// The probe.
        errand: ErrandId,
        /// Whom.
        worker: WorkerId,
    },
    /// Give up an order or a probe that ran out of time; no event about it is wanted any more.
    Forget {
        /// Which.
        errand: ErrandId,
    },
    /// Nobody wants an order any more: it is answered by [`Event::Loaded`] with [`crate::Ended::Cancelled`] where it
    /// has not left, and goes on where it has.
    Unwanted {
        /// Which.
        errand: ErrandId,
    },
    /// The answer of an attempt that can't be stopped is not waited for any longer: nothing is sent for it.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Subscribe to the worker list.
    WatchList,
    /// Ask for the complete list once.
    FetchList,
    /// A line of the module for the log.
    Log(String),
}

/// Something worth counting, for whoever keeps figures: see [`crate::Engine::notes`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A call has ended.
    Ended {
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// Its group of models.
        group: u32,
        /// How.
        how: EndKind,
        /// From its coming to its end.
        took: Micros,
    },
    /// An attempt was begun.
    Attempt {
        /// How the one before it ended; `None`: it is the first.
        after: Option<nettleferry::Outcome>,
    },
    /// An answer told of loaded copies.
    Copy(LoadNote),
    /// A load order was sent.
    OrderSent,
    /// A load order ended.
    Order(nettleferry::Outcome),
    /// A probe ended.
    Probe {
        /// The worker answered it.
        answered: bool,
    },
}

/// A step of a call, for whoever counts what is in hand: see [`crate::Engine::phases`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// The front's mark of the call.
    pub front: u64,
    /// What happened.
    pub step: Step,
}

/// A step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A worker has it.
    Began,
    /// The worker has it no more.
    Back,
    /// It has had its end; a worker that had it is [`Step::Back`] first.
    Ended(EndKind),
}

/// Kinds of [`End`], and a client that left first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// [`End::Served`].
    Served,
    /// [`End::Rejected`].
    Rejected,
    /// [`End::Refused`].
    Refused,
    /// [`End::Failed`].
    Failed,
    /// The client left.
    Gone,
}
