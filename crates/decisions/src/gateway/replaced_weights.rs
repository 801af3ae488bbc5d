//! Since when no endpoint serves old weights any more.

use yuccapass_types::{Instant, WeightRevision};

use super::directory::Directory;

/// Time after the last endpoint has taken new weights for which parts of the old ones are kept:
/// longer than a fetch that it began before may take.
const KEEP_MS: u64 = 2_500;

/// Tells which parts in stores nobody needs, because no endpoint serves their weights.
#[derive(Debug, Clone, Default)]
pub struct ReplacedWeights {
    // The oldest weights that an endpoint serves, and since when they are the oldest.
    oldest: Option<(WeightRevision, Instant)>,
}

impl ReplacedWeights {
    /// Returns the oldest weights whose parts are still needed, once they have been the oldest for
    /// long enough. Endpoints that are about to leave count as well.
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
