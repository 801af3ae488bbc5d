//! Counts of messages and bytes, for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts what a node exchanges with others.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

/// The counts at one moment; bytes include the length in front of each frame.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Frames sent.
    pub sent_messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_messages: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

impl PeerCounters {
    /// Returns the counts since the start.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            sent_messages: self.sent_messages.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_messages: self.received_messages.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent_messages.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.received_messages.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
