//! Releases waiting requests when endpoints have capacity.

use std::sync::Arc;

use async_std::channel::Receiver;
use yuccapass_http::with_deadline;
use yuccapass_types::{Deadline, ModelId};

use crate::request_handler::Core;

/// Period of checking all queues, since new load reports and expired deadlines send no wake-up.
const CHECK_PERIOD_MS: u64 = 50;

/// Runs the dispatcher; returns only if the wake-up channel is closed.
pub(crate) async fn dispatch(core: Arc<Core>, wakeups: Receiver<ModelId>) {
    loop {
        let period = Deadline::after_ms(core.clock.now(), CHECK_PERIOD_MS);
        match with_deadline(&*core.clock, period, wakeups.recv()).await {
            Ok(Ok(model)) => try_release(&core, &model),
            Ok(Err(_)) => return,
            Err(_) => {
                core.admission.waiting_models().iter().for_each(|model| try_release(&core, model))
            }
        }
    }
}

/// Releases one request if there is capacity. Once placed, it wakes the dispatcher again.
fn try_release(core: &Core, model: &ModelId) {
    let active = core.configuration.active();
    if core.admission.has_waiting(model) && core.placer.has_capacity(active.document(), model) {
        core.admission.release_next(model);
    }
}
