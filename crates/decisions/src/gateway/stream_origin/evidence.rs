//! Whether a node may go on with a stream that nobody knows, by the versions that it knows.

use yuccapass_types::{Instant, SoftwareVersion, ZoneId};

/// The versions that may have begun the streams of a service that are not recorded, as far as a node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownVersions {
    /// This one has begun all of them; `None` for endpoints that name no version.
    Sole(Option<SoftwareVersion>),
    /// Several, or another one than those that serve.
    Several,
    /// The node has not heard of any, as after its start.
    Unknown,
}

/// What a node says about the streams of a service that are not recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionStatement {
    /// The versions that may have begun them.
    pub versions: KnownVersions,
    /// Whether the node has confirmed, since it was asked, that it knows all endpoints.
    pub is_confirmed: bool,
}

/// What shows that a node is not out of step when a caller takes a stream up.
///
/// Nodes that agree may be out of step for the same reason, as those of a zone that is cut off together. So either
/// one of them has confirmed what it knows, or nodes of all zones agree: streams of another version would have begun
/// in one of these zones, and nodes of up to three zones would have been given their records.
#[derive(Debug, Clone)]
pub struct TakeUpEvidence {
    arrived_at: Instant,
    is_confirmed: bool,
    is_confirmed_elsewhere: bool,
    has_differing: bool,
    // The zones with other nodes, none of which has agreed yet. Sorted.
    silent_zones: Vec<ZoneId>,
    agreeing: u32,
}

impl TakeUpEvidence {
    /// Creates the evidence for a request that arrived at this instant, at a node that knows others in these zones.
    pub fn new(arrived_at: Instant, mut zones: Vec<ZoneId>) -> Self {
        zones.sort();
        zones.dedup();
        Self {
            arrived_at,
            is_confirmed: false,
            is_confirmed_elsewhere: false,
            has_differing: false,
            silent_zones: zones,
            agreeing: 0,
        }
    }

    /// Records that all endpoints were known at an instant. The stream has begun before the request arrived, so a
    /// later confirmation covers the version that began it.
    pub fn record_confirmation(&mut self, at: Instant) {
        self.is_confirmed |= at >= self.arrived_at;
    }

    /// Records what a node of a zone says, which was asked after the request had arrived. `sole` is the version
    /// that this node knows.
    pub fn record_statement(
        &mut self,
        zone: &ZoneId,
        statement: &VersionStatement,
        sole: &Option<SoftwareVersion>,
    ) {
        match &statement.versions {
            KnownVersions::Sole(version) if version == sole => {}
            // It neither agrees nor differs, and its zone stays silent if no other node agrees.
            KnownVersions::Unknown => return,
            KnownVersions::Sole(_) | KnownVersions::Several => {
                self.has_differing = true;
                return;
            }
        }
        self.agreeing += 1;
        self.is_confirmed_elsewhere |= statement.is_confirmed;
        if let Ok(position) = self.silent_zones.binary_search(zone) {
            self.silent_zones.remove(position);
        }
    }

    /// Returns whether the node may go on with the stream.
    pub fn is_sufficient(&self) -> bool {
        let agree_all = self.agreeing > 0 && self.silent_zones.is_empty();
        self.is_confirmed || (!self.has_differing && (self.is_confirmed_elsewhere || agree_all))
    }
}
