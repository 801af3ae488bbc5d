//! A stand-in for the platform: key-value service and VM list in memory, with faults.
//!
//! Besides the platform's own interface it has `POST /faults`, `GET /stats` and `POST /vms`.

mod app;
mod faults;
mod program;
mod shared;
mod stats;
mod store;
mod watch;

pub use app::build_app;
pub use faults::{Faults, Outage};
pub use program::{PlatformArguments, run};
pub use shared::{PlatformState, StandinConfig};
pub use stats::{KindStats, Stats};
pub use store::{Store, StoreError};
