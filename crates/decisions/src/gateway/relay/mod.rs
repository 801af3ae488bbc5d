//! Changes that a few nodes of each zone read from their origin and pass on to the zone.
//!
//! If each of hundreds of nodes watched the key-value service and polled every store, the calls to
//! them would grow with the number of nodes. So in a zone with many nodes only the first few in the
//! order of their ids, the [`relays`], read from the origin: the key-value service or a store. The
//! others follow one of them. Who is a relay follows from the registrations, so there is no
//! election; nodes that disagree about it only make more calls.
//!
//! * [`RelayTopics`] is what a node has read from its origins, and its answers to followers.
//! * [`ChangeLog`] has the recent changes that a relay has read from an origin.
//! * [`HeldTopics`] has all that a node knows of its topics. A node that starts gets the list of a topic from
//!   one of its [`list_sources`].
//! * [`HeldValues`] has the large values that a node knows. A relay sends references to them.
//! * [`EncodedValues`] and [`ValueTransfer`] are the two ends of the transfer of such a value.
//! * [`RelaySources`] decides whether a node reads from the origin or follows a relay.
//! * [`EraStep`] decides what a follower does when its relay reads another era of the key-value service.
//! * [`OutageEnds`] decides which outages that relays report are those of the origin.
//! * [`confirmed_at`] converts the age of a relay's knowledge to an instant of the follower.
//!
//! What a follower hears is never newer than it claims to be: a relay that is frozen, slow or cut
//! off from the origin sends old ages or nothing, and one that the origin does not answer sends nothing. Its followers then go to another relay, or to
//! one of the few other nodes of their zone that read from the origin without relays. A relay passes on only what it read from the origin itself, so an age cannot be
//! lost on the way.

mod contents;
mod eras;
mod held_values;
mod log;
mod outage_ends;
mod sources;
mod topics;
mod value_transfer;

use smol_str::SmolStr;
use yuccapass_types::{Bytes, Instant};

pub use contents::{HeldTopics, KnownPosition, ListOffer};
pub use eras::EraStep;
pub use held_values::{HeldValues, LARGE_VALUE, RelayedReference, ValueDigest};
pub use log::ChangeLog;
pub use outage_ends::OutageEnds;
pub use sources::{
    ChangeSource, RelayFailure, RelaySources, is_relayed, list_sources, relay_count, relays,
};
pub use topics::{Crossing, OriginRead, RelayTopics, TopicClass, TopicRequest, TopicUpdate};
pub use value_transfer::{
    EncodedValues, MAX_PIECE, TransferStep, ValuePiece, ValueRequest, ValueTransfer,
};

use super::part_store::PartEvent;

/// An entry of the key-value service that was written or deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedEntry {
    /// The key.
    pub key: SmolStr,
    /// The value, or `None` if the entry was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub revision: u64,
}

/// A change that a relay passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayItem {
    /// A change in the key-value service.
    Entry(RelayedEntry),
    /// A change in the key-value service to a large value, which the follower may hold or ask for.
    Reference(RelayedReference),
    /// A change of the contents of a store of prompt parts.
    Part(PartEvent),
}

impl RelayItem {
    /// Returns about how many bytes the item takes in a message.
    pub fn size(&self) -> Bytes {
        let bytes = match self {
            Self::Entry(entry) => entry.key.len() + entry.value.as_ref().map_or(0, Vec::len),
            Self::Reference(reference) => reference.key.len(),
            Self::Part(event) => event.namespace.as_str().len() + event.part.as_str().len(),
        };
        // The lengths, numbers and tags of the fields take less than this.
        const OTHER_BYTES: usize = 40;
        Bytes::new((bytes + OTHER_BYTES) as u64)
    }
}

/// Returns when the origin has confirmed what a relay knows, as an instant of the follower that
/// sent the request at `sent_at`. The relay replied `held_ms` after it got the request, and its
/// knowledge had been confirmed `age_ms` before that.
///
/// The reply cannot have been sent before `sent_at` plus `held_ms`, so the result is never too
/// late, however long the request or the reply was on its way or either node was frozen.
pub fn confirmed_at(sent_at: Instant, held_ms: u64, age_ms: u64) -> Instant {
    Instant::from_ms((sent_at.as_ms() + held_ms).saturating_sub(age_ms))
}
