//! The operators' changes to the configuration.
//!
//! The pure function [`apply`] applies a [`Change`] to a document. [`execute`] does so for a
//! [`Command`], whose id makes it take effect only once if it is sent repeatedly, and detects a
//! conflict with another operator's command.

mod apply;
mod edit;
mod execute;
mod object;
mod sentence;

pub use apply::apply;
pub use execute::{Command, Conflict, ExecuteError, ExecuteOutcome, NextConfig, execute};
pub use object::{ObjectRef, ParseObjectError};
pub use sentence::{ApprovalTarget, Change, TargetKind};
