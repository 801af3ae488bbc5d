//! `yuccapassd`, the yuccapass daemon.

use std::fmt::Display;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use clap::Parser;
use futures::StreamExt;
use futures::future::{Either, select};
use log::LevelFilter;
use yuccapassd::gateway::{self, GatewaySettings};
use yuccapassd::settings::{Front, Invocation};
use yuccapassd::{Node, Settings, logs};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let invocation = Invocation::parse();
    match (invocation.front, invocation.settings) {
        (Some(Front::Gateway(settings)), _) => run_gateway(*settings),
        (None, Some(settings)) => run_node(settings),
        (None, None) => {
            eprintln!("yuccapassd: settings are missing; see yuccapassd --help");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

fn run_gateway(settings: GatewaySettings) -> ExitCode {
    match prepare(settings.validate(), settings.check, settings.log_level) {
        Some(code) => code,
        None => async_std::task::block_on(gateway::run(settings)),
    }
}

fn run_node(settings: Settings) -> ExitCode {
    match prepare(settings.validate(), settings.check, settings.log_level) {
        Some(code) => code,
        None => async_std::task::block_on(run(settings)),
    }
}

/// Handles invalid settings and `--check`, then starts the log; returns an exit code if the process
/// has to exit now.
fn prepare<E: Display>(
    validity: Result<(), E>,
    checks_only: bool,
    log_level: LevelFilter,
) -> Option<ExitCode> {
    if let Err(error) = validity {
        eprintln!("yuccapassd: {error}");
        return Some(ExitCode::from(EXIT_INVALID_SETTINGS));
    }
    if checks_only {
        println!("the settings are valid");
        return Some(ExitCode::SUCCESS);
    }
    if let Err(error) = logs::init(log_level) {
        eprintln!("yuccapassd: {error}");
        return Some(ExitCode::FAILURE);
    }
    None
}

async fn run(settings: Settings) -> ExitCode {
    let mut signals = match Signals::new([Signal::Term, Signal::Int]) {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("cannot install signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => {
            log::error!("cannot start the node: {error}");
            return ExitCode::FAILURE;
        }
    };
    signals.next().await;
    log::info!("stopping gracefully");
    let stopping = Box::pin(node.stop());
    match select(stopping, signals.next()).await {
        Either::Left(_) => ExitCode::SUCCESS,
        Either::Right(_) => {
            log::warn!("a second signal ends the process at once");
            ExitCode::FAILURE
        }
    }
}
