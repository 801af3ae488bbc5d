//! `yuccapass`, the operators' tool.
//!
//! * `options`: flags and environment variables.
//! * `explain`: the way of one request from log files; asks no node.
//! * `input`: the sentences from arguments or standard input.
//! * `run`: sends the sentences and decides the exit code.
//! * `output`: texts for a person and JSON for a script.
//! * `secret`: random keys and command ids.

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
use crate::run::{Done, Session};

/// The command that reads log files and asks no node.
const EXPLAIN: &str = "explain";

fn main() -> ExitCode {
    let options = Options::parse();
    if let Some((word, arguments)) = options.words.split_first()
        && word == EXPLAIN
    {
        return match explain::explain(arguments, &mut std::io::stdout().lock()) {
            Ok(()) => Done::Yes.into(),
            Err(error) => {
                output::error(options.output, &error.to_string());
                Done::Usage.into()
            }
        };
    }
    let sentences = match input::sentences(&options.words) {
        Ok(sentences) => sentences,
        Err(error) => {
            output::error(options.output, &error.to_string());
            return Done::Usage.into();
        }
    };
    let mut session = Session::new(options, Arc::new(MonotonicClock::new()));
    async_std::task::block_on(session.run(&sentences)).into()
}
