//! The operators' changes to the configuration.
//!
//! A [`Change`] is applied to a document by a pure function, [`apply`]. [`execute`] wraps it for a
//! command with an id, so that a command sent twice takes effect once, and detects a conflict with
//! another operator's command.

mod apply;
mod edit;
mod execute;
mod object;
mod sentence;

pub use apply::apply;
pub use execute::{Command, Conflict, ExecuteError, ExecuteOutcome, NextConfig, execute};
pub use object::{ObjectRef, ParseObjectError};
pub use sentence::{ApprovalTarget, Change, TargetKind};
