//! How long a node may rely on the operators' settings that it has read.

use yuccapass_types::{Deadline, Instant};

/// Safety margin within the bounds for clock differences between caller and node, and for the
/// network delay of a request.
const MARGIN_MS: u64 = 300;

/// The bounds on the use of settings that may have been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsBounds {
    /// Maximum time for which a revoked API key may still work; `None` for no limit.
    pub revoke_ms: Option<u64>,
    /// Maximum time for which an accepted configuration may be missing where requests are kept in
    /// their regions.
    pub apply_ms: u64,
}

/// Decides whether the settings that a node has read may have been replaced since.
///
/// A read of the operators' settings shows all changes made before the read was sent. So if a
/// request arrives within a bound after that instant, any change that the read missed is younger
/// than the bound, and acting by the earlier settings is still allowed.
#[derive(Debug, Clone, Copy)]
pub struct SettingsValidity {
    bounds: SettingsBounds,
    confirmed_at: Option<Instant>,
}

impl SettingsValidity {
    /// Creates the state of a node that has not read any settings. Each use of them is allowed until its
    /// bound, less a margin, after the last confirmation.
    pub fn new(bounds: SettingsBounds) -> Self {
        Self { bounds, confirmed_at: None }
    }

    /// Records that a read sent at `sent_at` has returned the newest operator settings.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns the instant of the last confirmation.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns whether the API keys are valid for a request that arrives at `now`.
    pub fn are_keys_valid(&self, now: Instant) -> bool {
        self.is_within(self.bounds.revoke_ms, now)
    }

    /// Returns whether a request that only some regions may serve may be sent at `now` to those
    /// that the settings name.
    ///
    /// The keys of callers have their own bound, and many requests need no key; a region that is no
    /// longer allowed must not be used either way.
    pub fn are_regions_valid(&self, now: Instant) -> bool {
        self.is_within(Some(self.bounds.apply_ms), now)
    }

    fn is_within(&self, bound_ms: Option<u64>, now: Instant) -> bool {
        let Some(confirmed_at) = self.confirmed_at else { return false };
        bound_ms.is_none_or(|bound_ms| {
            let valid_ms = bound_ms.saturating_sub(MARGIN_MS);
            !Deadline::after_ms(confirmed_at, valid_ms).has_passed(now)
        })
    }
}
