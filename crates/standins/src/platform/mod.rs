//! A stand-in for the platform: key-value service and VM list in memory, with faults.
//!
//! Besides the platform's own interface it has `POST /faults`, `GET /stats` and `POST /vms`.
//!
//! * `key_value_store`: keys, history and leases, without HTTP.
//! * `app`, `watch`: the HTTP interface.
//! * `faults`, `stats`: faults that can be injected, and counts of calls.
//! * `shared`, `subcommand`: the state that all calls share, and the command line.

mod app;
mod faults;
mod key_value_store;
mod shared;
mod stats;
mod subcommand;
mod watch;

pub use app::build_app;
pub use faults::{Faults, Outage};
pub use key_value_store::{KeyValueStore, KeyValueStoreError};
pub use shared::{PlatformState, StandinConfig};
pub use stats::{KindStats, Stats};
pub use subcommand::{PlatformArguments, run};
