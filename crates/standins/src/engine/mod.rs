//! A stand-in for a model endpoint.

mod app;

pub use app::{EngineConfig, EngineStats, build_app};
