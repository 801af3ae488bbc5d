//! Waiting with deadlines.

use std::future::Future;

use snafu::Snafu;
use yuccapass_types::{Clock, Deadline};

/// Reports that the deadline passed before a future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the deadline passed"))]
pub struct Expired;

/// Waits for `future` until the deadline.
///
/// # Errors
///
/// Returns [`Expired`] if the deadline passes first; the future is then dropped.
pub async fn with_deadline<F: Future>(
    clock: &dyn Clock,
    deadline: Deadline,
    future: F,
) -> Result<F::Output, Expired> {
    if deadline == Deadline::NEVER {
        return Ok(future.await);
    }
    let remaining = deadline.remaining(clock.now());
    async_std::future::timeout(remaining, future).await.map_err(|_| Expired)
}

/// Waits until the deadline passes.
pub async fn sleep_until(clock: &dyn Clock, deadline: Deadline) {
    async_std::task::sleep(deadline.remaining(clock.now())).await;
}
