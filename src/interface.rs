//! The public data types of a controller: settings, events and actions.
//!
//! All times and durations are in whole microseconds.

mod actions;
mod events;
mod ids;
mod settings;
mod workers;

pub use actions::Action;
pub use events::{Event, LoadNote, Outcome, Request};
pub use ids::{CellId, ClassId, FunctionId, KindId, Micros, PeerId, RequestId, TenantId, WorkerId, ZoneId};
pub use settings::{
    Class, Discovery, Effect, KeyScope, Limits, Loading, Reports, Rules, Settings, SettingsError, Tenant,
    Weights, WhenAbsent,
};
pub use workers::{Health, ListForm, Report, WorkerEntry, WorkerState};
