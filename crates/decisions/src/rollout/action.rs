//! What a driver does and learns.

use yuccapass_types::{Deadline, EndpointId, FencingNumber, Instant};

use super::plan::Target;
use super::progress::{Progress, StopReason};

/// An order to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOrder {
    /// Take no new work.
    Drain,
    /// Load the target.
    Load(Target),
    /// Take new work again.
    Return,
}

/// Distinguishes the orders of one driver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub(super) u64);

/// How a driver's work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DriverOutcome {
    /// All replicas have the target.
    Finished,
    /// The rollout stopped.
    Stopped(StopReason),
    /// The driver's own deadline for its lease passed; another driver continues.
    LeaseLost,
    /// Another driver has a newer number, or the written progress is not this driver's.
    Superseded,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the progress if it is still what this driver wrote or read last, and tell the outcome.
    WriteProgress(Box<Progress>),
    /// Give an order and tell the result; it must not be sent at or after the deadline.
    SendOrder {
        /// Goes with the result.
        id: OrderId,
        /// The replica.
        endpoint: EndpointId,
        /// The order.
        order: ReplicaOrder,
        /// The driver's number.
        fencing: FencingNumber,
        /// Before this driver's lease can have expired.
        deadline: Deadline,
    },
    /// Nothing until this instant or until a result arrives.
    WaitUntil(Instant),
    /// Tell the operators; the driver does nothing more.
    Report(DriverOutcome),
}

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The replica has carried it out.
    Done,
    /// The replica has seen a newer number.
    Fenced,
    /// It failed or was not answered; it may have been carried out.
    Failed,
}

/// The outcome of a write of the progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// It certainly did not take effect; it may be tried again.
    NotWritten,
    /// Somebody else has written, or the outcome cannot be found out.
    Conflict,
}
