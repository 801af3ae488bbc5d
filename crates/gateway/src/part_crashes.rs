//! Finds parts of prompts that crash the endpoints that run them, from the crashes that this node
//! sees and the evidence of the other nodes, see `yuccapass_decisions::part_guard`.
//!
//! If the connection of a request breaks or is silent before its answer has ended, the node probes whether the
//! endpoint's process has ended. Only a refused connection shows that: after a loss of power or of
//! the network, connecting times out. Where most other endpoints refuse connections as well, the paths are broken.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use async_std::{future, task};
use yuccapass_decisions::gateway::PromptPart;
use yuccapass_decisions::part_guard::{
    BlockDecision, CrashedProcess, Evidence, PartGuard, PartGuardSettings, PartStatus,
};
use yuccapass_types::{Deadline, Instant, PromptPartId, Sharded, SortedMap};

use crate::attempt::Target;
use crate::own_links;
use crate::state::Shared;

/// Timeout for connecting to an endpoint that may have crashed.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Maximum number of endpoints that wait for a probe. Further ones are ignored.
const MAX_WAITING_PROBES: usize = 64;

/// Maximum number of prompts that are kept for one probe.
const MAX_PROMPTS: usize = 256;

/// An endpoint on which connections broke.
struct BrokenEndpoint {
    process: CrashedProcess,
    address: SocketAddr,
}

/// The parts of a prompt without the last one, which belongs to the request alone.
type SharedParts = Vec<PromptPartId>;

/// What is known of an endpoint while it is probed.
#[derive(Default)]
struct Probed {
    // The prompts that broke there.
    prompts: Vec<SharedParts>,
    // The parts on which an answer has ended since.
    answered: Vec<PromptPartId>,
}

/// Tracks parts of prompts that may crash endpoints.
pub(crate) struct PartCrashTracker {
    guard: Mutex<PartGuard>,
    // The suspected and blocked parts, so that requests need not wait for the guard.
    statuses: Sharded<SortedMap<PromptPartId, PartStatus>>,
    // Usually 0, and then no request looks at the statuses.
    status_count: AtomicUsize,
    probed: Mutex<SortedMap<CrashedProcess, Probed>>,
    // Usually 0, and then an answer need not wait for the lock.
    probed_count: AtomicUsize,
    broken: (Sender<BrokenEndpoint>, Receiver<BrokenEndpoint>),
    changed: (Sender<()>, Receiver<()>),
}

impl Default for PartCrashTracker {
    fn default() -> Self {
        Self {
            guard: Mutex::new(PartGuard::new(PartGuardSettings::default())),
            statuses: Sharded::default(),
            status_count: AtomicUsize::new(0),
            probed: Mutex::default(),
            probed_count: AtomicUsize::new(0),
            broken: bounded(MAX_WAITING_PROBES),
            changed: bounded(1),
        }
    }
}

impl PartCrashTracker {
    /// Returns whether requests with one of these parts are refused.
    pub(crate) fn blocks(&self, parts: &[PromptPart], now: Instant) -> bool {
        self.any_status(parts, |status| match status {
            PartStatus::Blocked(until) => !until.has_passed(now),
            PartStatus::Clear | PartStatus::Suspect => false,
        })
    }

    /// Records that the connection of a request broke or was silent before its answer had ended.
    pub(crate) fn record_broken(&self, parts: &[PromptPart], target: &Target) {
        let prompt: SharedParts = shared(parts).iter().map(|part| part.id.clone()).collect();
        if prompt.is_empty() {
            return;
        }
        let process = CrashedProcess {
            endpoint: target.id.clone(),
            started_unix_ms: target.record.started_unix_ms,
        };
        let mut probed = lock(&self.probed);
        let is_new = !probed.contains_key(&process);
        let prompts = &mut probed.get_or_insert_with(process.clone(), Probed::default).prompts;
        if prompts.len() < MAX_PROMPTS {
            prompts.push(prompt);
        }
        let broken = BrokenEndpoint { process: process.clone(), address: target.record.address };
        if is_new && self.broken.0.try_send(broken).is_err() {
            probed.remove(&process);
        }
        self.probed_count.store(probed.len(), Ordering::Release);
    }

    /// Ends the probe of an endpoint.
    fn take_probed(&self, process: &CrashedProcess) -> Probed {
        let mut probed = lock(&self.probed);
        let taken = probed.remove(process).unwrap_or_default();
        self.probed_count.store(probed.len(), Ordering::Release);
        taken
    }

    /// Records that an answer on these parts has ended whole.
    pub(crate) fn record_answer(&self, parts: &[PromptPart], now: Instant) {
        if self.probed_count.load(Ordering::Acquire) > 0 {
            for probed in lock(&self.probed).values_mut() {
                for part in shared(parts) {
                    if let Err(position) = probed.answered.binary_search(&part.id) {
                        probed.answered.insert(position, part.id.clone());
                    }
                }
            }
        }
        if !self.any_status(parts, |status| status == PartStatus::Suspect) {
            return;
        }
        let ids = shared(parts).iter().map(|part| &part.id);
        self.change(now, |guard| guard.record_answer(ids));
        self.wake();
    }

    /// Blocks a part, as another node has decided.
    pub(crate) fn block(&self, part: PromptPartId, now: Instant) {
        self.change(now, |guard| guard.block(part, now));
    }

    /// Merges the evidence of other nodes.
    pub(crate) fn merge(&self, evidence: &[Evidence], now: Instant) {
        if evidence.is_empty() {
            return;
        }
        self.change(now, |guard| evidence.iter().for_each(|known| guard.merge(known, now)));
        self.wake();
    }

    /// Blocks the parts that the evidence shows to crash endpoints, and returns them.
    pub(crate) fn decide(&self, now: Instant) -> Vec<BlockDecision> {
        self.change(now, |guard| guard.decide(now))
    }

    /// Sets the number of nodes that exchange evidence.
    pub(crate) fn set_fleet_nodes(&self, fleet_nodes: u32) {
        lock(&self.guard).set_fleet_nodes(fleet_nodes);
    }

    /// Returns whether this node has news for the others.
    pub(crate) fn has_news(&self, now: Instant) -> bool {
        lock(&self.guard).has_news(now)
    }

    /// Returns the evidence of this node if it has news for the others.
    pub(crate) fn report(&self, now: Instant) -> Option<Evidence> {
        lock(&self.guard).report(now)
    }

    /// Returns when the evidence must be looked at again if nothing changes until then.
    pub(crate) fn next_check(&self, now: Instant) -> Option<Deadline> {
        lock(&self.guard).next_check(now)
    }

    /// Returns the numbers of suspected and of blocked parts.
    pub(crate) fn counts(&self) -> (u64, u64) {
        self.statuses.fold((0, 0), |(suspects, blocked), shard| {
            let is_blocked = |status: &&PartStatus| matches!(status, PartStatus::Blocked(_));
            let here = shard.values().filter(is_blocked).count();
            (suspects + (shard.len() - here) as u64, blocked + here as u64)
        })
    }

    /// Waits until the evidence has changed.
    pub(crate) async fn changed(&self) {
        // This cannot fail: the sender lives as long as this value.
        let _ = self.changed.1.recv().await;
    }

    fn wake(&self) {
        // One pending signal is enough.
        let _ = self.changed.0.try_send(());
    }

    /// Changes the guard, and copies the statuses that have changed from it.
    fn change<R>(&self, now: Instant, action: impl FnOnce(&mut PartGuard) -> R) -> R {
        let mut guard = lock(&self.guard);
        let result = action(&mut guard);
        for (part, status) in guard.take_changed(now) {
            self.set_status(part, status);
        }
        result
    }

    fn set_status(&self, part: PromptPartId, status: PartStatus) {
        self.statuses.with(&part.clone(), |shard| {
            let previous = match status {
                PartStatus::Clear => shard.remove(&part),
                status => shard.insert(part, status),
            };
            match (previous.is_some(), status != PartStatus::Clear) {
                (false, true) => self.status_count.fetch_add(1, Ordering::AcqRel),
                (true, false) => self.status_count.fetch_sub(1, Ordering::AcqRel),
                _ => 0,
            };
        });
    }

    fn any_status(&self, parts: &[PromptPart], has: impl Fn(PartStatus) -> bool) -> bool {
        if self.status_count.load(Ordering::Acquire) == 0 {
            return false;
        }
        let status =
            |part: &PromptPart| self.statuses.with(&part.id, |shard| shard.get(&part.id).copied());
        shared(parts).iter().filter_map(status).any(has)
    }
}

/// Returns the parts that a prompt may share with others.
fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Probes endpoints whose connections broke, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    while let Ok(broken) = shared.part_crashes.broken.1.recv().await {
        task::spawn(probe(Arc::clone(&shared), broken));
    }
}

async fn probe(shared: Arc<Shared>, broken: BrokenEndpoint) {
    let BrokenEndpoint { process, address } = broken;
    let connecting = TcpStream::connect(address);
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let is_refused = match future::timeout(timeout, connecting).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    // Crashes at almost the same time are one group, so the time of the sample must not count.
    let crashed_at = shared.now();
    let is_path_broken = is_refused && own_links::are_paths_broken(&shared, address).await;
    let tracker = &shared.part_crashes;
    let Probed { prompts, answered } = tracker.take_probed(&process);
    if !is_refused || is_path_broken {
        return;
    }
    tracker.change(shared.now(), |guard| {
        guard.record_crash(&process, &prompts, crashed_at);
        guard.record_answer(answered.iter());
    });
    log::info!(
        endpoint = process.endpoint.as_str(), prompts = prompts.len(),
        suspected_parts = tracker.counts().0;
        "an endpoint has crashed before answers ended"
    );
    tracker.wake();
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
