//! The actions of a driver and their results.

use yuccapass_types::{Deadline, EndpointId, FencingNumber, Instant};

use super::plan::Target;
use super::progress::{Progress, StopReason};

/// An order to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOrder {
    /// Take no new requests.
    Drain,
    /// Load the target.
    Load(Target),
    /// Take new requests again.
    Return,
}

/// Identifies an order among those of one driver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub(super) u64);

/// How a driver ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DriverOutcome {
    /// All replicas have the target.
    Finished,
    /// The rollout stopped.
    Stopped(StopReason),
    /// The driver's own deadline for its lease has passed; another driver continues.
    LeaseLost,
    /// Another driver has a newer fencing number or has written the progress.
    Superseded,
}

/// What the caller of the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the progress by compare-and-swap against what this driver wrote or read last, and pass
    /// the outcome to [`Driver::progress_written`](super::Driver::progress_written).
    WriteProgress(Box<Progress>),
    /// Send an order, but not at or after the deadline, and pass the result to
    /// [`Driver::order_answered`](super::Driver::order_answered).
    SendOrder {
        /// Passed back with the result.
        id: OrderId,
        /// The replica.
        endpoint: EndpointId,
        /// The order.
        order: ReplicaOrder,
        /// The driver's fencing number.
        fencing: FencingNumber,
        /// The deadline of the order, which is before this driver's lease can have expired.
        deadline: Deadline,
    },
    /// Do nothing until this instant or until a result arrives.
    WaitUntil(Instant),
    /// Report the outcome to the operators; the driver does nothing more.
    Report(DriverOutcome),
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The replica has carried it out.
    Done,
    /// The replica has seen a newer fencing number.
    Fenced,
    /// The order failed or was not answered; it may have been carried out.
    Failed,
}

/// The outcome of writing the progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// The write certainly did not take effect; it may be tried again.
    NotWritten,
    /// Another driver has written the progress, or the outcome cannot be determined.
    Conflict,
}
