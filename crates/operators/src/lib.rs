//! The interface that operators use: the command language and its HTTP binding.
//!
//! * [`statement`] and [`mod@parse`]: sentences of the command language as typed values.
//! * [`mod@help`]: the texts of `help`.
//! * [`handler`]: the trait object that the daemon implements, and its messages.
//! * [`view`]: answers to the queries that the configuration alone can answer.
//! * [`app`]: the tide application for the admin address.
//! * [`client`]: a client of several nodes' admin addresses.

pub mod app;
pub mod client;
pub mod handler;
pub mod help;
pub mod parse;
mod parse_error;
pub mod statement;
pub mod view;
pub mod wire;

pub use app::{COMMANDS_PATH, OperatorLimits, add_operator_routes, build_app};
pub use client::{CommandClient, SendError};
pub use handler::{Acceptance, CommandHandler, CommandOutcome, ConflictDetails, Refusal, Table};
pub use help::help;
pub use parse::{MAX_STATEMENT_BYTES, parse};
pub use parse_error::ParseError;
pub use statement::{Field, Filter, Query, Statement, Subject};
pub use view::show_document;
pub use wire::{CommandReply, CommandRequest};
