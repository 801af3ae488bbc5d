//! A stand-in for a model endpoint.
//!
//! The engine is plain code that takes the current instant as an argument ([`EngineCore`] and the
//! modules that it is made of); [`Engine`] adds threads and time, and [`build_app`] adds HTTP.
//!
//! * `config`, `faults`: settings, and failures that can be switched on.
//! * `scheduler`: continuous batching with priorities and a shared prefill rate.
//! * `cache`, `events`, `payload`: the prefix cache, its published changes and its exported blocks.
//! * `deployment`: weight version, adapters, leaving, and orders with fencing numbers.
//! * `warm_up`, `load`, `journal`: cold start, lagged load reports, and a record of begun runs.
//! * `answer`: the tokens of an answer.
//! * `core`, `shared`, `http`: everything together; see above.

mod answer;
mod cache;
mod config;
mod core;
mod deployment;
mod events;
mod faults;
mod http;
mod journal;
mod load;
mod payload;
mod scheduler;
mod shared;
mod warm_up;

pub use answer::{AnswerSource, answer_text};
pub use cache::PrefixCache;
pub use config::EngineConfig;
pub use core::{EngineCore, EngineStats, Refusal, RunEnd, RunRequest, RunSignal, SubmitError};
pub use faults::{FaultAction, FaultCommand, Faults, draw};
pub use http::build_app;
pub use journal::{Journal, JournalEntry, JournalListing, marker_of};
pub use payload::block_payload;
pub use scheduler::{RunId, Scheduler};
pub use shared::Engine;
