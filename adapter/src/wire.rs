//! Conversion between the simulator's wire format and the library's types.

mod actions;
mod error;
mod events;
mod fields;
mod names;

pub(crate) use actions::write_action;
pub(crate) use error::{EventError, WireError};
pub(crate) use events::read_event;
pub(crate) use fields::Fields;
pub(crate) use names::Names;
pub(crate) use nettleferry_platform_settings::micros;
