//! A node's row in the membership table.

use std::net::SocketAddr;

use yuccapass_types::{Incarnation, NodeId, Revision, TokensPerSecond, ZoneId};

/// A node's state as it reports it itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowState {
    /// It accepts requests.
    Up,
    /// It finishes its running requests and then stops.
    Leaving,
    /// It has stopped.
    Left,
}

/// A node's load, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Number of running requests.
    pub running_requests: u32,
    /// Number of queued requests.
    pub queued_requests: u32,
    /// Rate of tokens through the node.
    pub tokens_per_s: TokensPerSecond,
}

/// A node's row, written by the node itself and forwarded by others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The node slot.
    pub node: NodeId,
    /// The process in the slot.
    pub incarnation: Incarnation,
    /// Heartbeat counter of the process.
    pub heartbeat: u64,
    /// The node's zone.
    pub zone: ZoneId,
    /// Address for messages between nodes.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// State of the node.
    pub state: RowState,
    /// Load of the node.
    pub load: LoadSummary,
}

impl Row {
    /// Returns whether this row is newer than `other`, a row of the same node.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)
    }

    /// Returns whether anything but the heartbeat counter and the load differs.
    pub(crate) fn differs_in_content(&self, other: &Self) -> bool {
        let content = |row: &Self| {
            (row.incarnation, row.peer_address, row.admin_address, row.revision, row.state)
        };
        content(self) != content(other) || self.zone != other.zone
    }

    /// Returns an upper bound of the encoded size of the row in a message.
    pub(crate) fn encoded_bytes(&self) -> usize {
        // Each field has a one-byte key; strings and nested messages also have one or two bytes of
        // length.
        let strings = 4 + self.node.as_str().len() + self.zone.as_str().len();
        let addresses = address_bytes(&self.peer_address) + address_bytes(&self.admin_address);
        let numbers = [
            self.incarnation.get(),
            self.heartbeat,
            self.revision.get(),
            u64::from(self.load.running_requests),
            u64::from(self.load.queued_requests),
            self.load.tokens_per_s.get(),
        ];
        let varints: usize = numbers.into_iter().map(|number| 1 + varint_bytes(number)).sum();
        3 + strings + addresses + varints + 2
    }
}

/// Returns the number that identifies a row's process in a heartbeat counter.
pub(crate) fn process_id(row: &Row) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&row.incarnation.get().to_be_bytes());
    hasher.update(row.node.as_str().as_bytes());
    let hash = hasher.finalize();
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_be_bytes([a, b, c, d])
}

pub(crate) fn varint_bytes(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// An address is sent as its IP bytes followed by two bytes of port.
fn address_bytes(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(_) => 2 + 4 + 2,
        SocketAddr::V6(_) => 2 + 16 + 2,
    }
}
