//! A stand-in for a model endpoint.
//!
//! The engine is plain code that takes the current instant as an argument ([`EngineCore`] and the
//! modules that it is made of); [`Engine`] adds threads and time, and [`build_app`] adds HTTP.
//!
//! * `config`, `faults`: settings, and failures that can be switched on.
//! * `scheduler`: continuous batching with priorities and a shared prefill rate.
//! * `cache`, `events`, `payload`: the prefix cache, its published changes and its exported blocks.
//! * `deployment`: weight version, adapters, leaving, and orders with fencing numbers.
//! * `warm_up`, `load`, `begun_run`: cold start, lagged load reports, and a record of begun runs.
//! * `answer`: the tokens of an answer.
//! * `core`, `shared`, `http`: everything together; see above.

mod answer;
mod begun_run;
mod cache;
mod config;
mod core;
mod deployment;
mod events;
mod faults;
mod http;
mod load;
mod payload;
mod scheduler;
mod shared;
mod warm_up;

pub use answer::{AnswerSource, answer_text};
pub use begun_run::BegunRun;
pub use cache::PrefixCache;
pub use config::EngineConfig;
pub use core::{EngineCore, EngineStats, Refusal, RunEnd, RunRequest, RunSignal, SubmitError};
pub use faults::{FaultAction, FaultCommand, Faults};
pub use http::build_app;
pub use payload::block_payload;
pub use scheduler::{RunId, Scheduler};
pub use shared::Engine;
