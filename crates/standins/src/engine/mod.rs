//! A stand-in for a model endpoint.
//!
//! The engine's logic takes the current instant as an argument ([`EngineCore`] and the modules that
//! it uses); [`Engine`] adds threads and a clock, and [`build_app`] adds HTTP.
//!
//! * `config`, `faults`: settings, and faults that can be injected.
//! * `scheduler`: continuous batching with priorities and a shared prefill rate.
//! * `cache`, `events`, `payload`: the prefix cache, its published changes and its exported blocks.
//! * `serving_state`: weight version, adapters, leaving, and orders with fencing numbers.
//! * `warm_up`, `load_history`, `started_run`: cold start, load reports with a lag, and entries of
//!   the journal of started runs.
//! * `answer`: the tokens of an answer.
//! * `core`, `shared`, `http`: the engine itself, its thread-safe form and its HTTP interface.

mod answer;
mod cache;
mod config;
mod core;
mod events;
mod faults;
mod http;
mod load_history;
mod payload;
mod scheduler;
mod serving_state;
mod shared;
mod started_run;
mod warm_up;

pub use answer::{AnswerSource, answer_text};
pub use cache::PrefixCache;
pub use config::EngineConfig;
pub use core::{EngineCore, EngineStats, Refusal, RunEnd, RunRequest, RunSignal, SubmitError};
pub use faults::{FaultAction, FaultCommand, Faults};
pub use http::build_app;
pub use payload::block_payload;
pub use scheduler::{RunId, Scheduler};
pub use shared::Engine;
pub use started_run::StartedRun;
