//! The signal for the two phases of a server's stop.
//!
//! While *draining*, a server asks clients to close their connections but still accepts requests,
//! since the load balancer takes some time to notice that the node is not ready. Once *closed*, it
//! accepts nothing new and finishes the running requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::channel::{Receiver, Sender, bounded};

/// Starts the phases of a stop; dropping it closes the signal.
#[derive(Debug)]
pub struct StopController {
    draining: Arc<AtomicBool>,
    // Nothing is ever sent; dropping it wakes all receivers.
    _close: Sender<()>,
}

/// Observes the phases of a stop; clones observe the same stop.
#[derive(Debug, Clone)]
pub struct StopSignal {
    draining: Arc<AtomicBool>,
    closed: Receiver<()>,
}

/// Creates a controller and the signal that observes it.
pub fn stop_pair() -> (StopController, StopSignal) {
    let (sender, receiver) = bounded(1);
    let draining = Arc::new(AtomicBool::new(false));
    let controller = StopController { draining: Arc::clone(&draining), _close: sender };
    (controller, StopSignal { draining, closed: receiver })
}

impl StopController {
    /// Starts draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Closes the signal: from now on nothing new is accepted.
    pub fn close(self) {
        self.drain();
    }
}

impl StopSignal {
    /// Returns whether draining has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire) || self.is_closed()
    }

    /// Returns whether nothing new is to be accepted.
    pub fn is_closed(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until nothing new is to be accepted.
    pub async fn closed(&self) {
        // Nothing is ever sent, so this returns with an error when the controller is dropped.
        let _ = self.closed.recv().await;
    }
}
