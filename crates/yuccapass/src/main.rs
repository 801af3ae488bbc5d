//! `yuccapass`, the operators' tool.
//!
//! * `options`: flags and environment variables.
//! * `input`: the sentences from arguments or standard input.
//! * `run`: sends the sentences and decides the exit code.
//! * `output`: texts for a person and JSON for a script.
//! * `secret`: random keys and command ids.

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

fn main() -> ExitCode {
    let options = Options::parse();
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
