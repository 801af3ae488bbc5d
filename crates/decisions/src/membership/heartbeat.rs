//! The heartbeat message and its size limits.

use yuccapass_types::{OrganisationId, TokensPerSecond};

use super::row::{Row, varint_bytes};

/// Maximum size of an encoded heartbeat.
///
/// With 2.5 heartbeats and as many replies per second in each direction, a node exchanges at most
/// 16 KB/s of the 23 KB/s that all control work may use.
pub const MAX_HEARTBEAT_BYTES: usize = 2_048;

/// Maximum size of an encoded reply to a heartbeat.
pub const MAX_REPLY_BYTES: usize = 1_024;

/// Maximum number of rows of other nodes in a heartbeat.
pub const MAX_ROWS: usize = 24;

/// Maximum number of organisations whose usage is in a heartbeat.
pub const MAX_USAGE: usize = 32;

/// Maximum number of crash counts in a heartbeat.
pub const MAX_CRASHES: usize = 16;

/// Maximum encoded size of the usage in a heartbeat.
const MAX_USAGE_BYTES: usize = 640;

/// One part in this many of a message is kept free of counters, for rows.
const ROW_SHARE_DIVISOR: usize = 4;

/// Maximum number of counters in a heartbeat, by their smallest encoded size.
pub const MAX_HEARTBEAT_COUNTERS: usize = MAX_HEARTBEAT_BYTES / 5;

/// An organisation's usage of the sending node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationUsage {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its token rate, prompts and responses together.
    pub tokens_per_s: TokensPerSecond,
}

/// How often a request crashed endpoints, as counted by the sending node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashCount {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Sequence number of the count within the sending process; a larger number is newer.
    pub number: u64,
    /// Number of crashes.
    pub count: u32,
    /// Time since the last crash.
    pub age_ms: u64,
}

/// A member's heartbeat counter without its row, for receivers that have the row.
///
/// It takes a tenth of the bytes of a row, so each heartbeat can carry the counters of a whole zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatCounter {
    /// Identifies the process: a hash of its node id and incarnation.
    ///
    /// The 32 bits collide among 340 processes with a probability of 1 in 75,000. The counters of
    /// the two processes are then confused, which can hide the death of one of them.
    pub process: u32,
    /// The member's counter.
    pub heartbeat: u64,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's own row.
    pub own: Row,
    /// Counters of other nodes.
    pub counters: Vec<HeartbeatCounter>,
    /// Rows of other nodes.
    pub rows: Vec<Row>,
    /// Usage of the sender by organisations.
    pub usage: Vec<OrganisationUsage>,
    /// Crashes that the sender counted.
    pub crashes: Vec<CrashCount>,
}

impl Heartbeat {
    /// Creates a heartbeat without counters and rows of other nodes, and with as much of the usage
    /// and as many crash counts as fit.
    pub(crate) fn new(own: Row, usage: &[OrganisationUsage], crashes: &[CrashCount]) -> Self {
        let mut remaining_bytes = MAX_USAGE_BYTES;
        let fits = |usage: &&OrganisationUsage| {
            let bytes = usage_bytes(usage);
            let fits = bytes <= remaining_bytes;
            remaining_bytes -= if fits { bytes } else { 0 };
            fits
        };
        let usage = usage.iter().take(MAX_USAGE).filter(fits).cloned().collect();
        let crashes = crashes.iter().take(MAX_CRASHES).copied().collect();
        Self { own, counters: Vec::new(), rows: Vec::new(), usage, crashes }
    }

    /// Adds counters in the given order until only the bytes reserved for rows are left.
    pub(crate) fn fill_counters(
        &mut self,
        counters: impl Iterator<Item = HeartbeatCounter>,
        max_bytes: usize,
    ) {
        let mut bytes = self.encoded_bytes();
        for counter in counters {
            bytes += counter_bytes(&counter);
            if bytes + max_bytes / ROW_SHARE_DIVISOR > max_bytes {
                return;
            }
            self.counters.push(counter);
        }
    }

    /// Adds rows in the given order until the message has no room left or [`MAX_ROWS`] rows.
    pub(crate) fn fill_rows<'a>(&mut self, rows: impl Iterator<Item = &'a Row>, max_bytes: usize) {
        let mut bytes = self.encoded_bytes();
        for row in rows {
            let row_bytes = row.encoded_bytes();
            if self.rows.len() == MAX_ROWS || bytes + row_bytes > max_bytes {
                return;
            }
            bytes += row_bytes;
            self.rows.push(row.clone());
        }
    }

    /// Returns an upper bound of the encoded size of the message, without its envelope.
    pub fn encoded_bytes(&self) -> usize {
        let rows: usize = self.rows.iter().map(Row::encoded_bytes).sum();
        let usage: usize = self.usage.iter().map(usage_bytes).sum();
        let crashes: usize = self.crashes.iter().map(crash_bytes).sum();
        let counters: usize = self.counters.iter().map(counter_bytes).sum();
        // Each of the two packed fields of the counters has a one-byte key and up to two bytes of
        // length.
        self.own.encoded_bytes() + rows + usage + crashes + counters + 6
    }
}

fn counter_bytes(counter: &HeartbeatCounter) -> usize {
    4 + varint_bytes(counter.heartbeat)
}

fn usage_bytes(usage: &OrganisationUsage) -> usize {
    2 + 2 + usage.organisation.as_str().len() + 1 + varint_bytes(usage.tokens_per_s.get())
}

fn crash_bytes(crash: &CrashCount) -> usize {
    let numbers = [crash.number, u64::from(crash.count), crash.age_ms];
    2 + 1 + 8 + numbers.into_iter().map(|number| 1 + varint_bytes(number)).sum::<usize>()
}
