//! Clients for the platform's key-value service and VM list.
//!
//! * [`key_value`]: the trait of the key-value service, with its request and response types.
//! * [`vm_list`]: the trait of the VM list, and its implementation over HTTP.
//! * [`http_key_value`]: the key-value service over the JSON gateway of the etcd v3 protocol.
//! * [`client`]: a client that adds a call budget, call ranks, backoff and detection of
//!   restorations.
//! * [`idempotent_transaction`]: transactions that take effect at most once, and whose outcome is
//!   determined even if a response is lost.
//! * [`lease_lock`]: a lock that at most one node holds at a time.
//! * [`progress_store`]: the progress of a rollout.
//! * [`wire`]: the JSON messages.
//! * [`ids`]: checked keys, values, revisions and lease ids.
//! * [`error`]: what can fail, and what is then known about a write.

pub mod client;
pub mod error;
pub mod http_key_value;
pub mod idempotent_transaction;
pub mod ids;
pub mod key_value;
pub mod lease_lock;
pub mod progress_store;
mod transport;
pub mod vm_list;
pub mod wire;

pub use client::{CallObserver, KeyValueClient, PlatformClient, PlatformClientConfig};
pub use error::{PlatformError, PlatformErrorKind};
pub use http_key_value::HttpKeyValue;
pub use idempotent_transaction::{IdempotentTransaction, SettleOutcome};
pub use ids::{
    Key, KeyValueRevision, LeaseId, LeaseTtl, MAX_VALUE_BYTES, PageCursor, StoreEra, Value, VmId,
};
pub use key_value::{
    Change, ChangeKind, Compare, Entry, GetResponse, KeyRange, KeyValue, LeaseGrant, Page,
    RangeRequest, Transaction, TransactionOutcome, WatchOutcome, WatchRequest, Write,
};
pub use lease_lock::{LeaseLock, LockStatus};
pub use progress_store::ProgressStore;
pub use transport::PlatformTransportConfig;
pub use vm_list::{HttpVmList, Vm, VmList, VmListing, VmState};
