//! Permits for requests to cold endpoints, which limit the load from all nodes together.
//!
//! An elected node, the owner, grants the permits for one endpoint process. A panel of voters
//! elects the owner for a term.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::task;
use yuccapass_decisions::permits::{
    ClaimState, PERMIT_TERM_MS, PermitClaim, PermitId, PermitOwner, PermitReply,
};
use yuccapass_decisions::quorum::{Proposal, ProposalState, RequestDigest, VoteKey};
use yuccapass_endpoints::LoadReport;
use yuccapass_http::sleep_until;
use yuccapass_peers::{PeerMessage, PermitAction, PermitRequest};
use yuccapass_types::{
    Clock, Deadline, EndpointId, Incarnation, Instant, NodeId, Sharded, SortedMap, ZoneId,
};

use crate::fleet::{Identity, Votes};

/// Timeout for a panel member's reply to a permit request.
const PERMIT_TIMEOUT_MS: u64 = 300;

/// Period of renewing terms and permits; leaves several attempts within half a term.
const RENEW_PERIOD_MS: u64 = 500;

/// Identifies a process of an endpoint.
type Process = (EndpointId, Incarnation);

/// An endpoint process to which a request needs a permit.
#[derive(Debug, Clone)]
pub(crate) struct ColdProcess {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    /// Maximum number of concurrent requests from all nodes together.
    pub(crate) max_requests: u32,
}

/// The ownership of one endpoint process, held by this node.
struct OwnerEntry {
    owner: PermitOwner,
    zone: ZoneId,
    last_request: Instant,
}

/// A permit that this node holds.
struct HeldPermit {
    claim: PermitClaim,
    cold: ColdProcess,
}

/// The permits that this node grants as an owner, and those that it holds.
pub(crate) struct Permits {
    identity: Identity,
    votes: Arc<Votes>,
    owners: Sharded<SortedMap<Process, OwnerEntry>>,
    /// Endpoint processes for which this node is currently running for election as the owner.
    campaigns: Sharded<SortedMap<Process, ()>>,
    held: Sharded<SortedMap<PermitId, HeldPermit>>,
    next_number: AtomicU64,
    clock: Arc<dyn Clock>,
}

impl Permits {
    pub(crate) fn new(identity: Identity, votes: Arc<Votes>, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            identity,
            votes,
            owners: Sharded::default(),
            campaigns: Sharded::default(),
            held: Sharded::default(),
            next_number: AtomicU64::new(0),
            clock,
        })
    }

    /// Requests a permit from the owner of a cold process; `None` if none is available now.
    pub(crate) async fn acquire(self: &Arc<Self>, cold: &ColdProcess) -> Option<Permit> {
        let id = PermitId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let mut claim = PermitClaim::new(id.clone(), self.clock.now());
        let reply = self.request_from_panel(cold, &id, PermitAction::Acquire).await?;
        claim.record_reply(reply);
        if claim.state(self.clock.now()) != ClaimState::MayStart {
            return None;
        }
        self.held
            .with(&id, |held| held.insert(id.clone(), HeldPermit { claim, cold: cold.clone() }));
        Some(Permit { permits: Arc::clone(self), id, cold: cold.clone() })
    }

    /// Sends a permit request to the panel members in order until one replies as the owner.
    async fn request_from_panel(
        self: &Arc<Self>,
        cold: &ColdProcess,
        id: &PermitId,
        action: PermitAction,
    ) -> Option<PermitReply> {
        for node in self.panel(cold) {
            let reply = if node == self.identity.node {
                Some(self.handle_request(cold, id, action))
            } else {
                self.request_from_node(&node, cold, id, action).await
            };
            match reply {
                None | Some(PermitReply::NotOwner) => {}
                Some(reply) => return Some(reply),
            }
        }
        None
    }

    async fn request_from_node(
        &self,
        node: &NodeId,
        cold: &ColdProcess,
        id: &PermitId,
        action: PermitAction,
    ) -> Option<PermitReply> {
        let request = PermitRequest {
            endpoint: cold.endpoint.clone(),
            incarnation: cold.incarnation,
            permit: id.clone(),
            action,
        };
        let deadline = Deadline::after_ms(self.clock.now(), PERMIT_TIMEOUT_MS);
        let message = PeerMessage::PermitRequest(request);
        match self.votes.call_voter(node, message, deadline).await? {
            PeerMessage::PermitReply(reply) => Some(reply),
            _ => None,
        }
    }

    /// Returns the voters that elect the owner of a process.
    fn panel(&self, cold: &ColdProcess) -> Vec<NodeId> {
        let key = VoteKey::permit(&cold.endpoint, cold.incarnation);
        self.votes.directory().list.permit_panel(&key, &cold.zone).nodes().to_vec()
    }

    /// Handles a permit request as a panel member. If this node is not the owner, it runs for
    /// election.
    pub(crate) fn handle_request(
        self: &Arc<Self>,
        cold: &ColdProcess,
        id: &PermitId,
        action: PermitAction,
    ) -> PermitReply {
        let now = self.clock.now();
        let process = (cold.endpoint.clone(), cold.incarnation);
        let reply = self.owners.with(&process, |owners| {
            let entry = owners.get_mut(&process)?;
            entry.last_request = now;
            match action {
                PermitAction::Acquire => Some(entry.owner.acquire(id, now)),
                PermitAction::Renew => Some(entry.owner.renew(id, now)),
                PermitAction::Release => {
                    entry.owner.release(id);
                    Some(PermitReply::NotReady)
                }
            }
        });
        match reply {
            Some(reply) if reply != PermitReply::NotOwner => reply,
            _ if action == PermitAction::Release => PermitReply::NotOwner,
            _ => {
                self.start_campaign(cold, process);
                PermitReply::NotOwner
            }
        }
    }

    /// Starts an election for the ownership of a process, unless one is in progress.
    fn start_campaign(self: &Arc<Self>, cold: &ColdProcess, process: Process) {
        let is_in_progress = self
            .campaigns
            .with(&process, |campaigns| campaigns.insert(process.clone(), ()).is_some());
        if is_in_progress {
            return;
        }
        let (permits, cold) = (Arc::clone(self), cold.clone());
        task::spawn(async move {
            permits.run_campaign(&cold, &process).await;
            permits.campaigns.with(&process, |campaigns| campaigns.remove(&process));
        });
    }

    async fn run_campaign(&self, cold: &ColdProcess, process: &Process) {
        let key = VoteKey::permit(&cold.endpoint, cold.incarnation);
        let panel = self.votes.directory().list.permit_panel(&key, &cold.zone);
        let now = self.clock.now();
        let attempt = self.votes.next_attempt();
        let digest = RequestDigest::default();
        let mut proposal = Proposal::new(key, attempt, digest, panel, PERMIT_TERM_MS, now);
        self.collect_votes(&mut proposal, &cold.zone).await;
        let now = self.clock.now();
        if proposal.state(now) != ProposalState::Won {
            let nodes = proposal.withdraw().unwrap_or_default();
            self.votes.release(proposal.key(), proposal.attempt(), &nodes).await;
            return;
        }
        let won = PermitOwner::from_won(proposal, cold.incarnation, cold.max_requests, now);
        if let Some(owner) = won {
            log::info!(endpoint = cold.endpoint.as_str(); "elected owner of the endpoint's permits");
            let entry = OwnerEntry { owner, zone: cold.zone.clone(), last_request: now };
            self.owners.with(process, |owners| owners.insert(process.clone(), entry));
        }
    }

    async fn collect_votes(&self, proposal: &mut Proposal, zone: &ZoneId) {
        let nodes: Vec<NodeId> = proposal.panel().nodes().to_vec();
        let vote_request = proposal.request(zone);
        let clock = &self.clock;
        self.votes
            .collect(&vote_request, &nodes, |node, reply| {
                proposal.record_reply(node, reply);
                proposal.state(clock.now()) == ProposalState::Waiting
            })
            .await;
    }

    /// Applies a load report that was requested at `requested_at`, and the number of requests that
    /// the endpoint sustains now.
    pub(crate) fn record_report(
        &self,
        endpoint: &EndpointId,
        report: &LoadReport,
        sustainable_requests: Option<u32>,
        requested_at: Instant,
    ) {
        let taken_at = Instant::from_ms(requested_at.as_ms().saturating_sub(report.age_ms));
        let load = report.running_requests.saturating_add(report.queued_requests);
        self.owners.fold((), |(), owners| {
            for entry in owners.iter_mut().filter(|((id, _), _)| id == endpoint) {
                let owner = &mut entry.1.owner;
                owner.record_report(report.incarnation, load, taken_at);
                if let Some(max_requests) = sustainable_requests {
                    owner.set_max_requests(max_requests);
                }
            }
        });
    }

    /// Renews terms and permits periodically; never returns.
    pub(crate) async fn run_renewals(self: Arc<Self>) {
        loop {
            let next = Deadline::after_ms(self.clock.now(), RENEW_PERIOD_MS);
            self.renew_terms().await;
            self.renew_permits().await;
            sleep_until(&*self.clock, next).await;
        }
    }

    async fn renew_terms(&self) {
        let now = self.clock.now();
        let due = self.owners.fold(Vec::new(), |mut due, owners| {
            // A term expires if no permit was requested under it for some time.
            owners.retain(|_, entry| !entry.owner.has_ended(now));
            for (process, entry) in owners.iter() {
                let is_used = now.ms_since(entry.last_request) < 2 * PERMIT_TERM_MS;
                if let Some(renewal) = entry.owner.renewal(now).filter(|_| is_used) {
                    due.push((process.clone(), entry.zone.clone(), renewal));
                }
            }
            due
        });
        for (process, zone, mut renewal) in due {
            self.collect_votes(&mut renewal, &zone).await;
            let now = self.clock.now();
            self.owners.with(&process, |owners| {
                if let Some(entry) = owners.get_mut(&process) {
                    entry.owner.record_renewal(renewal, now);
                }
            });
        }
    }

    async fn renew_permits(self: &Arc<Self>) {
        let now = self.clock.now();
        let due = self.held.fold(Vec::new(), |mut due, held| {
            let expiring = held.iter().filter(|(_, held)| held.claim.renewal_is_due(now));
            due.extend(expiring.map(|(id, held)| (id.clone(), held.cold.clone())));
            due
        });
        for (id, cold) in due {
            let requested_at = self.clock.now();
            let Some(reply) = self.request_from_panel(&cold, &id, PermitAction::Renew).await else {
                continue;
            };
            self.held.with(&id, |held| {
                if let Some(held) = held.get_mut(&id) {
                    held.claim.record_renewal(reply, requested_at);
                }
            });
        }
    }
}

/// A permit for one request; dropping it releases the permit.
pub(crate) struct Permit {
    permits: Arc<Permits>,
    id: PermitId,
    cold: ColdProcess,
}

impl Permit {
    /// Marks the request as being sent. Returns false if the permit has expired.
    #[must_use]
    pub(crate) fn start(&self) -> bool {
        let now = self.permits.clock.now();
        self.permits
            .held
            .with(&self.id, |held| held.get_mut(&self.id).is_some_and(|held| held.claim.start(now)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.permits.held.with(&self.id, |held| held.remove(&self.id));
        let (permits, id, cold) = (Arc::clone(&self.permits), self.id.clone(), self.cold.clone());
        task::spawn(async move {
            // The release goes to all panel members, since the owner may have changed.
            for node in permits.panel(&cold) {
                if node == permits.identity.node {
                    permits.handle_request(&cold, &id, PermitAction::Release);
                } else {
                    permits.request_from_node(&node, &cold, &id, PermitAction::Release).await;
                }
            }
        });
    }
}
