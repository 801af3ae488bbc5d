//! Compact numbers for the endpoints and store tiers that hold blocks.

use yuccapass_types::{EndpointId, StoreId};

/// Maximum number of holders at the same time. A slot takes 12 bits of an index entry; the limit is
/// several times the 850 replicas of the target deployment.
pub const MAX_HOLDERS: usize = 1 << 12;

/// The number of a holder in the index of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderSlot(u16);

impl HolderSlot {
    /// Returns the slot with this number, or `None` if it is not below [`MAX_HOLDERS`].
    pub const fn new(number: u16) -> Option<Self> {
        match (number as usize) < MAX_HOLDERS {
            true => Some(Self(number)),
            false => None,
        }
    }

    /// Returns the number.
    pub const fn get(self) -> u16 {
        self.0
    }

    pub(crate) const fn from_low_bits(bits: u64) -> Self {
        Self((bits & (MAX_HOLDERS as u64 - 1)) as u16)
    }
}

/// A tier of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreTier {
    /// Memory of the store VM.
    Memory,
    /// Disk of the store VM.
    Disk,
}

/// A cache that holds blocks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Holder {
    /// The prefix cache of an endpoint.
    Endpoint(EndpointId),
    /// A tier of a store.
    Store(StoreId, StoreTier),
}

/// Assigns slots to holders and reuses released ones.
#[derive(Debug, Default)]
pub struct HolderSlots {
    holders: Vec<Option<Holder>>,
}

impl HolderSlots {
    /// Returns the slot of a holder, assigning a free one if it has none.
    ///
    /// Returns `None` if all slots are in use.
    pub fn assign(&mut self, holder: &Holder) -> Option<HolderSlot> {
        if let Some(slot) = self.slot(holder) {
            return Some(slot);
        }
        let free = self.holders.iter().position(Option::is_none).unwrap_or(self.holders.len());
        let slot = HolderSlot::new(u16::try_from(free).ok()?)?;
        if free == self.holders.len() {
            self.holders.push(None);
        }
        self.holders[free] = Some(holder.clone());
        Some(slot)
    }

    /// Returns the slot of a holder, if it has one.
    pub fn slot(&self, holder: &Holder) -> Option<HolderSlot> {
        let position = self.holders.iter().position(|entry| entry.as_ref() == Some(holder))?;
        HolderSlot::new(u16::try_from(position).ok()?)
    }

    /// Returns the holder of a slot, if the slot is in use.
    pub fn holder(&self, slot: HolderSlot) -> Option<&Holder> {
        self.holders.get(usize::from(slot.0))?.as_ref()
    }

    /// Frees a slot.
    ///
    /// [`PrefixIndex::remove_holder`](super::index::PrefixIndex::remove_holder) has to be called for
    /// the slot first, or its next holder inherits the entries.
    pub fn release(&mut self, slot: HolderSlot) {
        if let Some(entry) = self.holders.get_mut(usize::from(slot.0)) {
            *entry = None;
        }
    }
}
