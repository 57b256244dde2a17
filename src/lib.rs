//! placeholder
mod choice;
mod interface;
pub use choice::Controller;
pub use interface::*;
