//! The operators' settings that a node has read, with the confirmation that they are the newest.

use std::sync::Arc;

use yuccapass_types::Instant;

use super::configuration::Configuration;
use super::settings_validity::{SettingsBounds, SettingsValidity};

/// The newest configuration that a node has read, and how long it may rely on it.
///
/// A read may return an outdated document, for example from a replica that lags, so a configuration is never
/// replaced by one with a smaller revision.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    configuration: Option<Arc<Configuration>>,
    validity: SettingsValidity,
}

impl OperatorSettings {
    /// Creates the state of a node that has not read any settings.
    pub fn new(bounds: SettingsBounds) -> Self {
        Self { configuration: None, validity: SettingsValidity::new(bounds) }
    }

    /// Replaces the configuration if this one is newer; returns whether it was replaced.
    pub fn offer(&mut self, configuration: Configuration) -> bool {
        let known = self.configuration.as_ref().map(|known| known.revision());
        let is_newer = known.is_none_or(|known| known < configuration.revision());
        if is_newer {
            self.configuration = Some(Arc::new(configuration));
        }
        is_newer
    }

    /// Records that a read sent at `sent_at` has returned the newest settings. All that it has returned must have
    /// been [offered](Self::offer) before.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.validity.confirm(sent_at);
    }

    /// Returns the configuration and its confirmation as of now, if a configuration was read.
    pub fn current(&self) -> Option<ConfirmedConfiguration> {
        let configuration = Arc::clone(self.configuration.as_ref()?);
        Some(ConfirmedConfiguration { configuration, validity: self.validity })
    }
}

/// A configuration, with the last confirmation before it was replaced or this value was taken.
///
/// The confirmation of a later configuration says nothing about this one, so the two are taken together and stay as
/// they are. Whoever waits in between takes both again.
#[derive(Debug, Clone)]
pub struct ConfirmedConfiguration {
    configuration: Arc<Configuration>,
    validity: SettingsValidity,
}

impl ConfirmedConfiguration {
    /// Returns the configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns how long the configuration may be relied on.
    pub fn validity(&self) -> SettingsValidity {
        self.validity
    }
}
