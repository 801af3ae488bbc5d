//! Sends heartbeats and acts on what they tell.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::task;
use yuccapass_decisions::crash_guard::{CrashReport, Fingerprint};
use yuccapass_decisions::membership::{
    CrashCount, Heartbeat, LoadSummary, MAX_CRASHES, MAX_USAGE, MemberEvent, OrganisationUsage,
};
use yuccapass_http::sleep_until;
use yuccapass_peers::{PeerMessage, TcpTransport};
use yuccapass_types::{Deadline, TokensPerSecond};

use crate::fleet::ConfigurationSync;
use crate::request_path::Core;

/// Period of heartbeats.
const PERIOD_MS: u64 = 1_000;

/// Period of asking again for chunks that did not arrive.
const POLL_PERIOD_MS: u64 = 100;

/// Sends a heartbeat each second; ends only with the process.
pub(crate) async fn send_heartbeats(
    core: Arc<Core>,
    sync: Arc<ConfigurationSync>,
    transport: Arc<TcpTransport>,
) {
    loop {
        let next = Deadline::after_ms(core.clock.now(), PERIOD_MS);
        describe_node(&core);
        let (heartbeats, events) = core.members.tick();
        for (address, heartbeat) in heartbeats {
            send(&core, &sync, address, heartbeat);
        }
        act_on(&sync, events);
        transport.close_idle();
        core.votes.drop_expired();
        sleep_until(&*core.clock, next).await;
    }
}

/// Tells the zone at once of each crash that this node counted: until the next heartbeat, the
/// caller could take the request to each node of the zone. Ends only with the process.
pub(crate) async fn tell_crashes(
    core: Arc<Core>,
    sync: Arc<ConfigurationSync>,
    counted: Receiver<()>,
) {
    while counted.recv().await.is_ok() {
        describe_node(&core);
        for (address, heartbeat) in core.members.zone_heartbeats() {
            send(&core, &sync, address, heartbeat);
        }
    }
}

/// Sends a heartbeat and takes in the reply.
fn send(
    core: &Arc<Core>,
    sync: &Arc<ConfigurationSync>,
    address: SocketAddr,
    heartbeat: Heartbeat,
) {
    let (core, sync) = (Arc::clone(core), Arc::clone(sync));
    task::spawn(async move {
        let message = PeerMessage::Heartbeat(heartbeat);
        let deadline = Deadline::after_ms(core.clock.now(), PERIOD_MS);
        match sync.transport.call(address, message, deadline).await {
            Ok(received) => {
                if let PeerMessage::Heartbeat(reply) = received.message {
                    receive(&core, &sync, &reply);
                }
            }
            Err(error) => log::debug!(peer:% = address; "a heartbeat was not answered: {error}"),
        }
    });
}

/// Asks again for missing parts of a configuration; ends only with the process.
pub(crate) async fn poll_configuration(sync: Arc<ConfigurationSync>) {
    loop {
        let next = Deadline::after_ms(sync.clock.now(), POLL_PERIOD_MS);
        sync.poll().await;
        sleep_until(&*sync.clock, next).await;
    }
}

/// Takes in a heartbeat of another node.
pub(crate) fn receive(core: &Core, sync: &Arc<ConfigurationSync>, heartbeat: &Heartbeat) {
    let events = core.members.receive(heartbeat);
    act_on(sync, events);
    if heartbeat.own.zone == core.members.identity().zone {
        let report = |crash: &CrashCount| CrashReport {
            node: heartbeat.own.node.clone(),
            incarnation: heartbeat.own.incarnation,
            fingerprint: Fingerprint::from_bits(crash.fingerprint),
            number: crash.number,
            crashes: crash.count,
            age_ms: crash.age_ms,
        };
        let reports: Vec<CrashReport> = heartbeat.crashes.iter().map(report).collect();
        core.crash_guard.merge(&reports);
        core.metrics.blocked_requests(core.crash_guard.blocked() as u64);
        let now = core.clock.now();
        for (organisation, _) in core.limits.largest_demands(MAX_USAGE, now) {
            if let Some(demand) = core.members.other_demand(&organisation) {
                core.limits.set_other_demand(&organisation, demand, now);
            }
        }
    }
}

fn describe_node(core: &Core) {
    let usage = core.limits.largest_demands(MAX_USAGE, core.clock.now()).into_iter();
    let usage = usage
        .map(|(organisation, tokens_per_s)| OrganisationUsage { organisation, tokens_per_s })
        .collect();
    let crashes = core.crash_guard.reports(MAX_CRASHES).into_iter();
    let crashes = crashes
        .map(|report| CrashCount {
            fingerprint: report.fingerprint.to_bits(),
            number: report.number,
            count: report.crashes,
            age_ms: report.age_ms,
        })
        .collect();
    core.metrics.blocked_requests(core.crash_guard.blocked() as u64);
    let load = LoadSummary {
        running_requests: core.endpoints.running_requests(),
        queued_requests: core.admission.waiting_requests(),
        tokens_per_s: TokensPerSecond::ZERO,
    };
    let active = core.configuration.active();
    core.votes.adopt(active.document());
    let revision = core.configuration.revision();
    core.members.update(|table| {
        table.set_usage(usage);
        table.set_crashes(crashes);
        table.set_load(load);
        table.set_revision(revision);
    });
}

fn act_on(sync: &Arc<ConfigurationSync>, events: Vec<MemberEvent>) {
    for event in events {
        match event {
            MemberEvent::Changed { node, state } => {
                log::info!(node = node.as_str(); "a node is {state:?}");
            }
            MemberEvent::NewerRevision { node, address, revision } => {
                let sync = Arc::clone(sync);
                task::spawn(async move { sync.neighbour_has(node, address, revision).await });
            }
            MemberEvent::Superseded => {
                log::error!("another process runs under this node's id and is newer");
            }
        }
    }
}
