//! The wire's words and the library's, side by side.

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
