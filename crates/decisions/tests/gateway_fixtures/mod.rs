//! Fixtures for the tests of the gateway's decisions.

#![allow(dead_code, reason = "each test file uses some of them")]

use std::net::SocketAddr;
use std::str::FromStr;

use yuccapass_decisions::gateway::{
    Directory, EndpointRecord, EndpointState, Priority, PromptPart, Route, RouteKind,
    TargetDeadlines, WeightedService,
};
use yuccapass_types::{
    Deadline, Instant, ModelId, RegionId, SortedMap, Tokens, WeightRevision, ZoneId,
};

pub fn id<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the fixture's text is valid")
}

pub fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

pub fn after(now: Instant, ms: u64) -> Deadline {
    Deadline::after_ms(now, ms)
}

/// Returns deadlines of a target that both pass `ms` milliseconds after `now`.
pub fn deadlines(now: Instant, ms: u64) -> TargetDeadlines {
    TargetDeadlines { bound_end: after(now, ms), swap_by: after(now, ms) }
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Two zones in the region `west` and one in `east`.
pub fn zones() -> SortedMap<ZoneId, RegionId> {
    [("w1", "west"), ("w2", "west"), ("e1", "east")]
        .into_iter()
        .map(|(zone, region)| (id(zone), id(region)))
        .collect()
}

pub fn record(zone: &str) -> EndpointRecord {
    EndpointRecord {
        service: id("models"),
        address: address(8_000),
        zone: id(zone),
        software: Some(id("v1")),
        slots: 8,
        state: EndpointState::Ready,
        cold_until: None,
        started_unix_ms: None,
        sequence: None,
        weights: vec![(model(), WeightRevision::new(1))],
    }
}

pub fn model() -> ModelId {
    id("m0")
}

/// Returns a directory with endpoints of one service in these zones, named `e0`, `e1` and so on.
pub fn directory(endpoint_zones: &[&str]) -> Directory {
    let mut directory = Directory::new(zones());
    for (number, zone) in endpoint_zones.iter().enumerate() {
        directory.register(id(&format!("e{number}")), record(zone));
    }
    directory
}

pub fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        id: id("r"),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: Priority::new(0),
        services: vec![WeightedService { service: id(service), weight: 1 }],
        max_attempts: 2,
        is_public: false,
        is_sticky: false,
        allowed_regions: Vec::new(),
    }
}

pub fn part(name: &str, tokens: u64) -> PromptPart {
    PromptPart { id: id(name), tokens: Tokens::new(tokens) }
}
