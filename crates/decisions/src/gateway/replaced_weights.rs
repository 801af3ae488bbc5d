//! Which weights no endpoint serves any more.

use yuccapass_types::{Instant, WeightRevision};

use super::directory::Directory;

/// How long the parts of old weights are kept after the last endpoint has swapped to new ones:
/// longer than a fetch that it began before the swap may take.
const KEEP_MS: u64 = 2_500;

/// Determines which parts in stores can be freed because no endpoint serves their weights.
#[derive(Debug, Clone, Default)]
pub struct ReplacedWeights {
    // The oldest weights that any endpoint serves, and since when they have been the oldest.
    oldest: Option<(WeightRevision, Instant)>,
}

impl ReplacedWeights {
    /// Returns the oldest weights whose parts are still needed, once they have been the oldest for
    /// long enough to free the parts of all older ones. Draining endpoints count as well.
    pub fn oldest_needed(&mut self, directory: &Directory, now: Instant) -> Option<WeightRevision> {
        let served = directory.endpoints().flat_map(|(_, record)| record.weights.iter());
        let oldest = served.map(|&(_, weights)| weights).min()?;
        let since = match self.oldest {
            Some((known, since)) if known == oldest => since,
            _ => now,
        };
        self.oldest = Some((oldest, since));
        (now.ms_since(since) >= KEEP_MS).then_some(oldest)
    }
}
