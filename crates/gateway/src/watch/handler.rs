//! What watches of keys pass on.

use yuccapass_platform::{Change, Entry};
use yuccapass_types::Instant;

/// Handles the entries and changes of a watched prefix.
pub(crate) trait WatchHandler: Send + Sync {
    /// Handles the complete list of entries.
    fn replace(&self, entries: &[Entry]);

    /// Handles changes, in their order.
    fn change(&self, changes: &[Change]);

    /// Handles the confirmation of what was passed on before.
    fn confirmed(&self, _confirmation: Confirmation) {}

    /// Returns whether what is known is used only while it is confirmed. An answer with changes then confirms
    /// nothing: the service may have cut it off, whatever its size, and a short call follows that shows whether
    /// there are more.
    fn relies_on_confirmations(&self) -> bool {
        false
    }

    /// Returns the longest time for which a watch call may wait now, if it is shorter than the usual one.
    fn max_watch_ms(&self) -> Option<u64> {
        None
    }

    /// Handles a failure of the service to answer. A service that comes back from an older copy has failed,
    /// also if no call of this node did: what it acknowledged since the copy is gone.
    fn lost(&self) {}

    /// Handles the first answer of the service after a failure or a restoration, before its content. The
    /// service has answered since then, this node or a relay.
    fn recovered(&self, _since: Instant) {}
}

/// When it was confirmed that no changes of the watched keys are missing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Confirmation {
    /// When the call was sent that has returned all changes up to then.
    pub(crate) sent_at: Instant,
    /// All changes before this instant are known. A call that waited without changes returns all changes up to
    /// the end of the wait.
    pub(crate) known_until: Instant,
}

impl Confirmation {
    /// The confirmation by a call that did not wait.
    pub(super) fn at(sent_at: Instant) -> Self {
        Self { sent_at, known_until: sent_at }
    }
}
