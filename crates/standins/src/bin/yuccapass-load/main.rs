//! `yuccapass-load`, the load and experiment tool.

mod compare;
mod plan;
mod run;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Drives running nodes, checks every answer and reports. It starts no process.
#[derive(Debug, Parser)]
#[command(name = "yuccapass-load", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Run(Box<run::RunArguments>),
    Plan(plan::PlanArguments),
    Compare(compare::CompareArguments),
}

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run(arguments) => async_std::task::block_on(run::run(*arguments)),
        Command::Plan(arguments) => plan::run(&arguments).map(|()| true),
        Command::Compare(arguments) => compare::run(&arguments).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        // The report has listed the violations.
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("yuccapass-load: {error}");
            ExitCode::FAILURE
        }
    }
}
