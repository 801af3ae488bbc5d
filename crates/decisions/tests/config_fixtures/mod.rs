//! Fixtures: documents, commands and configurations.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use yuccapass_decisions::change::{Change, Command, ExecuteOutcome, NextConfig, execute};
use yuccapass_decisions::config::{
    ActiveConfig, DEFAULT_BLOCK_PAYLOAD, Document, Model, Organisation, Zone, ZoneState,
};
use yuccapass_types::{KeyHash, Revision, TokensPerSecond};

/// Parses an id of any type.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// A document with one zone, one model and some organisations, each with a key.
pub fn document(organisation_count: usize) -> Document {
    let organisation = |number: usize| Organisation {
        id: id(&format!("organisation-{number:06}")),
        key_hashes: vec![KeyHash::of_key(&format!("key-{number}"))],
        models: vec![id("clip-models")],
        services: Vec::new(),
        share: 1,
        limit_tokens_per_s: TokensPerSecond::new(5_000),
    };
    let zone = |name: &str| Zone {
        id: id(name),
        region: id("lower-mainland"),
        state: ZoneState::In,
        voters: Vec::new(),
        replaced_voters: Vec::new(),
    };
    let model = Model {
        id: id("clip-models"),
        version: id("v1"),
        adapter: None,
        store: None,
        block_payload_bytes: DEFAULT_BLOCK_PAYLOAD,
        max_swapping_replicas: 3,
        zone_versions: Vec::new(),
        zone_adapters: Vec::new(),
    };
    Document {
        revision: Revision::new(1),
        zones: vec![zone("burnaby-yard"), zone("kamloops-yard")],
        models: vec![model],
        organisations: (0..organisation_count).map(|number| organisation(number).into()).collect(),
        ..Document::default()
    }
}

/// A configuration at revision 1.
pub fn config(organisation_count: usize) -> ActiveConfig {
    ActiveConfig::from_document(document(organisation_count)).unwrap()
}

/// A command that expects no revision.
pub fn command(command_id: &str, change: Change) -> Command {
    Command { id: id(command_id), change, expected_revision: None }
}

/// Sets the share of one of the organisations of [`document`].
pub fn set_share(number: usize, share: u32) -> Change {
    Change::SetShare(id(&format!("organisation-{number:06}")), share)
}

/// Executes a command that makes a new configuration.
pub fn execute_new(current: &ActiveConfig, command: &Command) -> NextConfig {
    match execute(current, command).unwrap() {
        ExecuteOutcome::Write(next) => *next,
        other => panic!("{other:?} writes nothing"),
    }
}
