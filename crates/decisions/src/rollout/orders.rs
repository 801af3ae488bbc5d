//! The orders that a driver gives.

use yuccapass_types::{Deadline, EndpointId, Instant};

use crate::platform_budget::LeasePermit;

use super::action::{Action, OrderId, OrderResult, ReplicaOrder};
use super::driver::Driver;
use super::progress::Step;

/// How long an order may take; loading takes about 1 s, longer when several replicas load.
const ORDER_LIMIT_MS: u64 = 30_000;

/// Pause before a failed order is given again.
const RETRY_MS: u64 = 1_000;

/// Returns the orders that are due. The progress that they follow from has been written.
pub(super) fn due(driver: &mut Driver, permit: LeasePermit, now: Instant) -> Vec<Action> {
    let target = driver.progress.target().clone();
    let deadline = Deadline::after_ms(now, ORDER_LIMIT_MS).earlier(permit.deadline);
    let mut actions = Vec::new();
    for replica in &driver.progress.replicas {
        let order = match replica.step {
            Step::Draining => ReplicaOrder::Drain,
            Step::Swapping => ReplicaOrder::Load(target.clone()),
            Step::Returning => ReplicaOrder::Return,
            Step::Pending | Step::Done | Step::Failed => continue,
        };
        let Some(attempt) = driver.attempts.get_mut(&replica.endpoint) else { continue };
        let is_under_way = attempt.outstanding.is_some_and(|(_, limit)| !limit.has_passed(now));
        if is_under_way || attempt.confirmed.is_some() || now < attempt.retry_at {
            continue;
        }
        driver.last_order.0 += 1;
        let (id, fencing) = (driver.last_order, driver.fencing);
        attempt.outstanding = Some((id, deadline));
        let endpoint = replica.endpoint.clone();
        actions.push(Action::SendOrder { id, endpoint, order, fencing, deadline });
    }
    actions
}

/// Notes the result of an order.
pub(super) fn answered(
    driver: &mut Driver,
    endpoint: &EndpointId,
    id: OrderId,
    result: OrderResult,
    now: Instant,
) {
    let Some(attempt) = driver.attempts.get_mut(endpoint) else { return };
    // The result of an earlier order says nothing about the present one.
    if attempt.outstanding.is_none_or(|(outstanding, _)| outstanding != id) {
        return;
    }
    attempt.outstanding = None;
    match result {
        OrderResult::Done => attempt.confirmed = Some(now),
        _ => attempt.retry_at = Deadline::after_ms(now, RETRY_MS).instant(),
    }
}
