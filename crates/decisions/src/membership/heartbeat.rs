//! The message that nodes send each other.

use yuccapass_types::{OrganisationId, TokensPerSecond};

use super::row::{Row, varint_bytes};

/// Largest encoded heartbeat.
///
/// At 2.5 heartbeats and as many replies a second in each direction, a node exchanges at most 16 KB/s
/// of the 23 KB/s that all control work may use.
pub const MAX_HEARTBEAT_BYTES: usize = 2_048;

/// Largest encoded reply to a heartbeat.
pub const MAX_REPLY_BYTES: usize = 1_024;

/// Most rows of other nodes in a heartbeat.
pub const MAX_ROWS: usize = 24;

/// Most organisations whose usage is in a heartbeat.
pub const MAX_USAGE: usize = 32;

/// Most crash counts in a heartbeat.
pub const MAX_CRASHES: usize = 16;

/// Bytes that usage may take.
const MAX_USAGE_BYTES: usize = 640;

/// Share of a message that is kept free of pulses, for rows.
const ROW_SHARE: usize = 4;

/// Most pulses in a heartbeat, by their smallest size.
pub const MAX_HEARTBEAT_COUNTERS: usize = MAX_HEARTBEAT_BYTES / 5;

/// An organisation's use of the sending node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationUsage {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its tokens, prompt and response together.
    pub tokens_per_s: TokensPerSecond,
}

/// How often a request crashed endpoints, as the sending node saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashCount {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Orders what the sending process says about crashes; larger is newer.
    pub number: u64,
    /// Crashes.
    pub count: u32,
    /// Time since the last of them.
    pub age_ms: u64,
}

/// A member's counter without its row, for receivers that have the row.
///
/// It takes a tenth of a row's bytes, so that each heartbeat can carry the counters of a whole zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatCounter {
    /// Identifies the process: a hash of its node id and incarnation.
    ///
    /// Two of 340 processes share the 32 bits with a probability of 1 in 75,000; the counters of
    /// both would then be mixed up, which can hide the death of one.
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
    /// Use of the sender by organisations.
    pub usage: Vec<OrganisationUsage>,
    /// Crashes that the sender saw.
    pub crashes: Vec<CrashCount>,
}

impl Heartbeat {
    /// Makes a heartbeat without rows of other nodes; what does not fit is left out.
    pub(crate) fn new(own: Row, usage: &[OrganisationUsage], crashes: &[CrashCount]) -> Self {
        let mut room_bytes = MAX_USAGE_BYTES;
        let fits = |usage: &&OrganisationUsage| {
            let bytes = usage_bytes(usage);
            let fits = bytes <= room_bytes;
            room_bytes -= if fits { bytes } else { 0 };
            fits
        };
        let usage = usage.iter().take(MAX_USAGE).filter(fits).cloned().collect();
        let crashes = crashes.iter().take(MAX_CRASHES).copied().collect();
        Self { own, counters: Vec::new(), rows: Vec::new(), usage, crashes }
    }

    /// Adds pulses in their order until only the bytes for rows are left.
    pub(crate) fn fill_counters(
        &mut self,
        pulses: impl Iterator<Item = HeartbeatCounter>,
        max_bytes: usize,
    ) {
        let mut bytes = self.encoded_bytes();
        for pulse in pulses {
            bytes += pulse_bytes(&pulse);
            if bytes + max_bytes / ROW_SHARE > max_bytes {
                return;
            }
            self.counters.push(pulse);
        }
    }

    /// Adds rows in their order until the message or the number of rows is full.
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

    /// Returns the most bytes that the message takes when it is encoded, without its envelope.
    pub fn encoded_bytes(&self) -> usize {
        let rows: usize = self.rows.iter().map(Row::encoded_bytes).sum();
        let usage: usize = self.usage.iter().map(usage_bytes).sum();
        let crashes: usize = self.crashes.iter().map(crash_bytes).sum();
        let pulses: usize = self.counters.iter().map(pulse_bytes).sum();
        // The two packed fields of pulses have a key and a length of up to two bytes each.
        self.own.encoded_bytes() + rows + usage + crashes + pulses + 6
    }
}

fn pulse_bytes(pulse: &HeartbeatCounter) -> usize {
    4 + varint_bytes(pulse.heartbeat)
}

fn usage_bytes(usage: &OrganisationUsage) -> usize {
    2 + 2 + usage.organisation.as_str().len() + 1 + varint_bytes(usage.tokens_per_s.get())
}

fn crash_bytes(crash: &CrashCount) -> usize {
    let numbers = [crash.number, u64::from(crash.count), crash.age_ms];
    2 + 1 + 8 + numbers.into_iter().map(|number| 1 + varint_bytes(number)).sum::<usize>()
}
