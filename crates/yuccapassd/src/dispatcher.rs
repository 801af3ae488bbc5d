//! Lets waiting requests go when endpoints have room.

use std::sync::Arc;

use async_std::channel::Receiver;
use yuccapass_http::with_deadline;
use yuccapass_types::{Deadline, ModelId};

use crate::request_path::Core;

/// Longest time between two looks at the queues: reports and passed deadlines wake nobody.
const PERIOD_MS: u64 = 50;

/// Follows the queues; ends only with the process.
pub(crate) async fn dispatch(core: Arc<Core>, woken: Receiver<ModelId>) {
    loop {
        let period = Deadline::after_ms(core.clock.now(), PERIOD_MS);
        match with_deadline(&*core.clock, period, woken.recv()).await {
            Ok(Ok(model)) => offer(&core, &model),
            Ok(Err(_)) => return,
            Err(_) => core.admission.waiting_models().iter().for_each(|model| offer(&core, model)),
        }
    }
}

/// Lets one request go if there is room; it wakes the dispatcher again once it is placed.
fn offer(core: &Core, model: &ModelId) {
    let active = core.configuration.active();
    if core.admission.has_waiting(model) && core.placer.has_room(active.document(), model) {
        core.admission.release_next(model);
    }
}
