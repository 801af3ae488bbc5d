//! Flags and environment variables.

use std::net::SocketAddr;

use clap::{Parser, ValueEnum};
use yuccapass_types::{CommandId, Revision};

/// The exit codes, as `--help` shows them; `docs/language.md` has the same table.
const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 refused or failed, no effect; 2 options or command not understood, nothing \
sent; 3 conflict with another operator's change, no effect; 4 unknown whether a command takes \
effect; 5 no node reached, nothing done.";

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputForm {
    /// Texts and tables for a person.
    Text,
    /// One JSON object a line for a script.
    Json,
}

/// Queries and changes the configuration of yuccapass.
///
/// Without words, commands are read from standard input, one a line. `yuccapass help` shows the
/// commands. `yuccapass explain REQUEST-ID FILE...` shows the way of a request from log files.
#[derive(Debug, Clone, Parser)]
#[command(name = "yuccapass", version, after_help = EXIT_CODES)]
pub(crate) struct Options {
    /// Admin address of a node; several are tried in order.
    #[arg(
        long = "node",
        env = "YUCCAPASS_NODES",
        value_delimiter = ',',
        value_name = "ADDRESS",
        default_value = "127.0.0.1:8081"
    )]
    pub(crate) nodes: Vec<SocketAddr>,

    /// Operator's key.
    #[arg(long, env = "YUCCAPASS_KEY", hide_env_values = true, default_value = "")]
    pub(crate) key: String,

    /// Form of the output.
    #[arg(long, env = "YUCCAPASS_OUTPUT", value_enum, default_value = "text")]
    pub(crate) output: OutputForm,

    /// How long to wait for each node, in milliseconds.
    #[arg(
        long,
        env = "YUCCAPASS_TIMEOUT_MS",
        default_value_t = 15_000,
        value_parser = clap::value_parser!(u64).range(1..=600_000)
    )]
    pub(crate) timeout_ms: u64,

    /// Check changes without writing anything.
    #[arg(long)]
    pub(crate) dry_run: bool,

    /// Id of the change, to send it again; with several changes, a number is added to it.
    #[arg(long)]
    pub(crate) command_id: Option<CommandId>,

    /// Revision that the change was made for; a later change of the same object is a conflict.
    #[arg(long)]
    pub(crate) expect_revision: Option<Revision>,

    /// The command, in one or several words.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    pub(crate) words: Vec<String>,
}
