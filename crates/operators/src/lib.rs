//! The interface for operators: the command language and its HTTP interface.
//!
//! * [`statement`] and [`mod@parse`]: statements of the command language, and their parser.
//! * [`mod@help`]: the texts of the `help` command.
//! * [`handler`]: the trait that the daemon implements, and the types of its answers.
//! * [`view`]: answers to the queries that need only the configuration.
//! * [`app`]: the tide application for the admin address.
//! * [`client`]: a client that sends commands to the admin addresses of several nodes.
//! * [`wire`]: the JSON messages.

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
