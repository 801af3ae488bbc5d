//! `yuccapass`, the operators' command-line tool.
//!
//! * `options`: flags and environment variables.
//! * `explain`: shows how one request was processed; it reads log files and contacts no node.
//! * `input`: reads statements from the arguments or from standard input.
//! * `run`: executes the statements and determines the exit status.
//! * `output`: prints text for people or JSON for scripts.
//! * `secret`: generates random keys and command ids.

mod explain;
mod input;
mod options;
mod output;
mod run;
mod secret;

use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use yuccapass_types::MonotonicClock;

use crate::options::Options;
use crate::run::{ExitStatus, Session};

/// The command that reads log files and contacts no node.
const EXPLAIN: &str = "explain";

fn main() -> ExitCode {
    let options = Options::parse();
    if let Some((word, arguments)) = options.words.split_first()
        && word == EXPLAIN
    {
        return match explain::explain(arguments, &mut std::io::stdout().lock()) {
            Ok(()) => ExitStatus::Success.into(),
            Err(error) => {
                output::error(options.output, &error.to_string());
                ExitStatus::Usage.into()
            }
        };
    }
    let statements = match input::read_statements(&options.words) {
        Ok(statements) => statements,
        Err(error) => {
            output::error(options.output, &error.to_string());
            return ExitStatus::Usage.into();
        }
    };
    let mut session = Session::new(options, Arc::new(MonotonicClock::new()));
    async_std::task::block_on(session.run(&statements)).into()
}
