//! Conversion of heartbeats.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use yuccapass_decisions::membership::{
    CrashCount, Heartbeat, HeartbeatCounter, LoadSummary, MAX_CRASHES, MAX_HEARTBEAT_COUNTERS,
    MAX_ROWS, MAX_USAGE, OrganisationUsage, Row, RowState,
};
use yuccapass_types::{Incarnation, Revision, TokensPerSecond};

use super::{check_count, parse_id, required, unknown_number};
use crate::error::DecodeError;
use crate::wire::{WireCrash, WireHeartbeat, WireRow, WireUsage};

impl From<Heartbeat> for WireHeartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        let usage = |usage: OrganisationUsage| WireUsage {
            organisation: usage.organisation.to_string(),
            tokens_per_s: usage.tokens_per_s.get(),
        };
        let crash = |crash: CrashCount| WireCrash {
            fingerprint: crash.fingerprint,
            count: crash.count,
            number: crash.number,
            age_ms: crash.age_ms,
        };
        Self {
            own: Some(heartbeat.own.into()),
            pulse_processes: heartbeat.counters.iter().map(|counter| counter.process).collect(),
            pulse_heartbeats: heartbeat.counters.iter().map(|counter| counter.heartbeat).collect(),
            rows: heartbeat.rows.into_iter().map(WireRow::from).collect(),
            usage: heartbeat.usage.into_iter().map(usage).collect(),
            crashes: heartbeat.crashes.into_iter().map(crash).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = DecodeError;

    fn try_from(wire: WireHeartbeat) -> Result<Self, DecodeError> {
        check_count("pulses", wire.pulse_processes.len(), MAX_HEARTBEAT_COUNTERS)?;
        if wire.pulse_heartbeats.len() != wire.pulse_processes.len() {
            return Err(DecodeError::new("pulses", "processes and counters differ in number"));
        }
        check_count("rows", wire.rows.len(), MAX_ROWS)?;
        check_count("usage", wire.usage.len(), MAX_USAGE)?;
        check_count("crashes", wire.crashes.len(), MAX_CRASHES)?;
        let usage = |usage: WireUsage| {
            let organisation = parse_id("usage.organisation", &usage.organisation)?;
            let tokens_per_s = TokensPerSecond::new(usage.tokens_per_s);
            Ok(OrganisationUsage { organisation, tokens_per_s })
        };
        let counter = |(process, heartbeat)| HeartbeatCounter { process, heartbeat };
        let crash = |crash: WireCrash| CrashCount {
            fingerprint: crash.fingerprint,
            number: crash.number,
            count: crash.count,
            age_ms: crash.age_ms,
        };
        Ok(Self {
            own: required("own", wire.own)?.try_into()?,
            counters: wire
                .pulse_processes
                .into_iter()
                .zip(wire.pulse_heartbeats)
                .map(counter)
                .collect(),
            rows: wire.rows.into_iter().map(Row::try_from).collect::<Result<_, _>>()?,
            usage: wire.usage.into_iter().map(usage).collect::<Result<_, DecodeError>>()?,
            crashes: wire.crashes.into_iter().map(crash).collect(),
        })
    }
}

impl From<Row> for WireRow {
    fn from(row: Row) -> Self {
        Self {
            node: row.node.to_string(),
            incarnation: row.incarnation.get(),
            heartbeat: row.heartbeat,
            zone: row.zone.to_string(),
            peer_address: address_to_wire(row.peer_address),
            admin_address: address_to_wire(row.admin_address),
            revision: row.revision.get(),
            state: match row.state {
                RowState::Up => 1,
                RowState::Leaving => 2,
                RowState::Left => 3,
            },
            running_requests: row.load.running_requests,
            queued_requests: row.load.queued_requests,
            tokens_per_s: row.load.tokens_per_s.get(),
        }
    }
}

impl TryFrom<WireRow> for Row {
    type Error = DecodeError;

    fn try_from(wire: WireRow) -> Result<Self, DecodeError> {
        Ok(Self {
            node: parse_id("row.node", &wire.node)?,
            incarnation: Incarnation::new(wire.incarnation),
            heartbeat: wire.heartbeat,
            zone: parse_id("row.zone", &wire.zone)?,
            peer_address: address_from_wire("row.peer_address", &wire.peer_address)?,
            admin_address: address_from_wire("row.admin_address", &wire.admin_address)?,
            revision: Revision::new(wire.revision),
            state: match wire.state {
                1 => RowState::Up,
                2 => RowState::Leaving,
                3 => RowState::Left,
                other => return Err(unknown_number("row.state", other)),
            },
            load: LoadSummary {
                running_requests: wire.running_requests,
                queued_requests: wire.queued_requests,
                tokens_per_s: TokensPerSecond::new(wire.tokens_per_s),
            },
        })
    }
}

fn address_to_wire(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes.into()
}

fn address_from_wire(field: &'static str, bytes: &Bytes) -> Result<SocketAddr, DecodeError> {
    let invalid = || DecodeError::new(field, "it does not have 6 or 18 bytes");
    let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(invalid)?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map(IpAddr::from).map_err(|_| invalid())?,
        16 => <[u8; 16]>::try_from(ip).map(IpAddr::from).map_err(|_| invalid())?,
        _ => return Err(invalid()),
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
