//! Sends heartbeats and handles received ones.

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

use crate::fleet::ConfigurationFetcher;
use crate::request_handler::Core;

/// Period of heartbeats, and timeout for the reply to one.
const HEARTBEAT_PERIOD_MS: u64 = 1_000;

/// Period of checks for configuration chunks to request again.
const CHUNK_RETRY_PERIOD_MS: u64 = 100;

/// Sends heartbeats each second; never returns.
pub(crate) async fn send_heartbeats(
    core: Arc<Core>,
    fetcher: Arc<ConfigurationFetcher>,
    transport: Arc<TcpTransport>,
) {
    loop {
        let next = Deadline::after_ms(core.clock.now(), HEARTBEAT_PERIOD_MS);
        update_own_state(&core);
        let (heartbeats, events) = core.members.tick();
        for (address, heartbeat) in heartbeats {
            send(&core, &fetcher, address, heartbeat);
        }
        handle_events(&fetcher, events);
        transport.close_idle();
        core.votes.drop_expired();
        sleep_until(&*core.clock, next).await;
    }
}

/// Sends heartbeats to the whole zone as soon as this node has counted a crash; never returns.
///
/// Until the next regular heartbeat, the caller could send the crashing request to every other node
/// of the zone.
pub(crate) async fn broadcast_crashes(
    core: Arc<Core>,
    fetcher: Arc<ConfigurationFetcher>,
    crash_signals: Receiver<()>,
) {
    while crash_signals.recv().await.is_ok() {
        update_own_state(&core);
        for (address, heartbeat) in core.members.zone_heartbeats() {
            send(&core, &fetcher, address, heartbeat);
        }
    }
}

/// Sends a heartbeat in the background and handles the reply.
fn send(
    core: &Arc<Core>,
    fetcher: &Arc<ConfigurationFetcher>,
    address: SocketAddr,
    heartbeat: Heartbeat,
) {
    let (core, fetcher) = (Arc::clone(core), Arc::clone(fetcher));
    task::spawn(async move {
        let message = PeerMessage::Heartbeat(heartbeat);
        let deadline = Deadline::after_ms(core.clock.now(), HEARTBEAT_PERIOD_MS);
        match fetcher.transport.call(address, message, deadline).await {
            Ok(reply) => {
                if let PeerMessage::Heartbeat(heartbeat) = reply.message {
                    receive(&core, &fetcher, &heartbeat);
                }
            }
            Err(error) => log::debug!(peer:% = address; "no reply to a heartbeat: {error}"),
        }
    });
}

/// Requests missing configuration chunks again; never returns.
pub(crate) async fn retry_configuration_chunks(fetcher: Arc<ConfigurationFetcher>) {
    loop {
        let next = Deadline::after_ms(fetcher.clock.now(), CHUNK_RETRY_PERIOD_MS);
        fetcher.retry_missing_chunks().await;
        sleep_until(&*fetcher.clock, next).await;
    }
}

/// Applies a heartbeat, or the reply to one, from another node.
pub(crate) fn receive(core: &Core, fetcher: &Arc<ConfigurationFetcher>, heartbeat: &Heartbeat) {
    let events = core.members.receive(heartbeat);
    handle_events(fetcher, events);
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
        core.metrics.set_blocked_requests(core.crash_guard.blocked_count() as u64);
        let now = core.clock.now();
        for (organisation, _) in core.limits.largest_demands(MAX_USAGE, now) {
            if let Some(demand) = core.members.other_demand(&organisation) {
                core.limits.set_other_demand(&organisation, demand, now);
            }
        }
    }
}

/// Updates the load, usage, crash counts and revision that heartbeats of this node report.
fn update_own_state(core: &Core) {
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
    core.metrics.set_blocked_requests(core.crash_guard.blocked_count() as u64);
    let load = LoadSummary {
        running_requests: core.endpoints.running_requests(),
        queued_requests: core.admission.waiting_requests(),
        tokens_per_s: TokensPerSecond::ZERO,
    };
    let active = core.configuration.active();
    let revision = active.document().revision;
    core.votes.update_voters(active.document());
    core.votes.record_revisions(&core.members.revisions(), revision);
    core.members.update(|table| {
        table.set_usage(usage);
        table.set_crashes(crashes);
        table.set_load(load);
        table.set_revision(revision);
    });
}

fn handle_events(fetcher: &Arc<ConfigurationFetcher>, events: Vec<MemberEvent>) {
    for event in events {
        match event {
            MemberEvent::Changed { node, state } => {
                log::info!(node = node.as_str(); "node state changed to {state:?}");
            }
            MemberEvent::NewerRevision { node, address, revision } => {
                let fetcher = Arc::clone(fetcher);
                task::spawn(async move { fetcher.fetch_revision(node, address, revision).await });
            }
            MemberEvent::Superseded => {
                log::error!("a newer process runs under this node's id");
            }
        }
    }
}
