//! The parts that crashes implicate, by the number of crashes.

use yuccapass_types::{PromptPartId, SortedMap};

/// The suspected parts, and which of them have changed.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspects {
    // The number of crashes that implicate each part, at least 1.
    crashes: SortedMap<PromptPartId, usize>,
    changed: Vec<PromptPartId>,
}

impl Suspects {
    pub(super) fn contains(&self, part: &PromptPartId) -> bool {
        self.crashes.contains_key(part)
    }

    /// Returns the largest number of crashes that implicate a part.
    pub(super) fn max_crashes(&self) -> usize {
        self.crashes.values().copied().max().unwrap_or_default()
    }

    /// Adds a crash that implicates a part.
    pub(super) fn add(&mut self, part: &PromptPartId) {
        let crashes = self.crashes.get_or_insert_with(part.clone(), || 0);
        *crashes += 1;
        if *crashes == 1 {
            self.changed.push(part.clone());
        }
    }

    /// Removes a crash that implicated a part.
    pub(super) fn remove(&mut self, part: &PromptPartId) {
        let Some(crashes) = self.crashes.get_mut(part) else { return };
        *crashes -= 1;
        if *crashes == 0 {
            self.crashes.remove(part);
            self.changed.push(part.clone());
        }
    }

    /// Records that the status of a part may have changed for another reason.
    pub(super) fn record_changed(&mut self, part: &PromptPartId) {
        self.changed.push(part.clone());
    }

    /// Returns the parts that have changed since the last call, each once.
    pub(super) fn take_changed(&mut self) -> Vec<PromptPartId> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort();
        changed.dedup();
        changed
    }
}
