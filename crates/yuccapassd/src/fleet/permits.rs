//! Permits for requests to cold endpoints.

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

/// How long a panel member may take to answer a request for a permit.
const PERMIT_TIMEOUT_MS: u64 = 300;

/// Period of renewing terms and permits: several tries within half a term.
const RENEW_PERIOD_MS: u64 = 500;

/// A process of an endpoint.
type Process = (EndpointId, Incarnation);

/// An endpoint's process for which permits are needed.
#[derive(Debug, Clone)]
pub(crate) struct ColdProcess {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    /// Requests that it sustains from all nodes together.
    pub(crate) max_requests: u32,
}

struct OwnerEntry {
    owner: PermitOwner,
    zone: ZoneId,
    last_asked: Instant,
}

/// A permit that this node holds.
struct Held {
    claim: PermitClaim,
    cold: ColdProcess,
}

/// The permits that this node hands out and holds.
pub(crate) struct Permits {
    identity: Identity,
    votes: Arc<Votes>,
    owners: Sharded<SortedMap<Process, OwnerEntry>>,
    /// Processes for which this node asks for ownership at the moment.
    campaigns: Sharded<SortedMap<Process, ()>>,
    held: Sharded<SortedMap<PermitId, Held>>,
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

    /// Asks the owner of a cold process for a permit; `None` if there is none to be had now.
    pub(crate) async fn acquire(self: &Arc<Self>, cold: &ColdProcess) -> Option<Permit> {
        let id = PermitId {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let mut claim = PermitClaim::new(id.clone(), self.clock.now());
        let reply = self.ask_panel(cold, &id, PermitAction::Acquire).await?;
        claim.record_reply(reply);
        if claim.state(self.clock.now()) != ClaimState::MayStart {
            return None;
        }
        self.held.with(&id, |held| held.insert(id.clone(), Held { claim, cold: cold.clone() }));
        Some(Permit { permits: Arc::clone(self), id, cold: cold.clone() })
    }

    /// Asks the panel members in their order until one is the owner.
    async fn ask_panel(
        self: &Arc<Self>,
        cold: &ColdProcess,
        id: &PermitId,
        action: PermitAction,
    ) -> Option<PermitReply> {
        for node in self.panel(cold) {
            let reply = if node == self.identity.node {
                Some(self.answer(cold, id, action))
            } else {
                self.ask_node(&node, cold, id, action).await
            };
            match reply {
                None | Some(PermitReply::NotOwner) => {}
                Some(reply) => return Some(reply),
            }
        }
        None
    }

    async fn ask_node(
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

    fn panel(&self, cold: &ColdProcess) -> Vec<NodeId> {
        let key = VoteKey::permit(&cold.endpoint, cold.incarnation);
        self.votes.book().list.permit_panel(&key, &cold.zone).nodes().to_vec()
    }

    /// Answers a request for a permit; a panel member that is not the owner tries to become it.
    pub(crate) fn answer(
        self: &Arc<Self>,
        cold: &ColdProcess,
        id: &PermitId,
        action: PermitAction,
    ) -> PermitReply {
        let now = self.clock.now();
        let process = (cold.endpoint.clone(), cold.incarnation);
        let reply = self.owners.with(&process, |owners| {
            let entry = owners.get_mut(&process)?;
            entry.last_asked = now;
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
                self.campaign(cold, process);
                PermitReply::NotOwner
            }
        }
    }

    /// Tries to become the owner of a process, unless that is under way.
    fn campaign(self: &Arc<Self>, cold: &ColdProcess, process: Process) {
        let is_under_way = self
            .campaigns
            .with(&process, |campaigns| campaigns.insert(process.clone(), ()).is_some());
        if is_under_way {
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
        let panel = self.votes.book().list.permit_panel(&key, &cold.zone);
        let now = self.clock.now();
        let attempt = self.votes.next_attempt();
        let digest = RequestDigest::default();
        let mut proposal = Proposal::new(key, attempt, digest, panel, PERMIT_TERM_MS, now);
        self.gather(&mut proposal, &cold.zone).await;
        let now = self.clock.now();
        if proposal.state(now) != ProposalState::Won {
            let nodes = proposal.withdraw().unwrap_or_default();
            self.votes.release(proposal.key(), proposal.attempt(), &nodes).await;
            return;
        }
        let won = PermitOwner::from_won(proposal, cold.incarnation, cold.max_requests, now);
        if let Some(owner) = won {
            log::info!(endpoint = cold.endpoint.as_str(); "this node owns the endpoint's permits");
            let entry = OwnerEntry { owner, zone: cold.zone.clone(), last_asked: now };
            self.owners.with(process, |owners| owners.insert(process.clone(), entry));
        }
    }

    async fn gather(&self, proposal: &mut Proposal, zone: &ZoneId) {
        let nodes: Vec<NodeId> = proposal.panel().nodes().to_vec();
        let ask = proposal.request(zone);
        let clock = &self.clock;
        self.votes
            .gather(&ask, &nodes, |node, answer| {
                proposal.record_reply(node, answer);
                proposal.state(clock.now()) == ProposalState::Waiting
            })
            .await;
    }

    /// Takes in a load report that was asked for at `asked`, and what the endpoint sustains now.
    pub(crate) fn reported(
        &self,
        endpoint: &EndpointId,
        report: &LoadReport,
        sustainable_requests: Option<u32>,
        asked: Instant,
    ) {
        let taken_at = Instant::from_ms(asked.as_ms().saturating_sub(report.age_ms));
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

    /// Renews terms and permits; ends only with the process.
    pub(crate) async fn keep_up(self: Arc<Self>) {
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
            // A term that nobody asks for any more runs out.
            owners.retain(|_, entry| !entry.owner.has_ended(now));
            for (process, entry) in owners.iter() {
                let is_wanted = now.ms_since(entry.last_asked) < 2 * PERMIT_TERM_MS;
                if let Some(renewal) = entry.owner.renewal(now).filter(|_| is_wanted) {
                    due.push((process.clone(), entry.zone.clone(), renewal));
                }
            }
            due
        });
        for (process, zone, mut renewal) in due {
            self.gather(&mut renewal, &zone).await;
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
            let lapsing = held.iter().filter(|(_, held)| held.claim.renewal_is_due(now));
            due.extend(lapsing.map(|(id, held)| (id.clone(), held.cold.clone())));
            due
        });
        for (id, cold) in due {
            let asked_at = self.clock.now();
            let Some(reply) = self.ask_panel(&cold, &id, PermitAction::Renew).await else {
                continue;
            };
            self.held.with(&id, |held| {
                if let Some(held) = held.get_mut(&id) {
                    held.claim.record_renewal(reply, asked_at);
                }
            });
        }
    }
}

/// A permit for one request; dropping it gives it back.
pub(crate) struct Permit {
    permits: Arc<Permits>,
    id: PermitId,
    cold: ColdProcess,
}

impl Permit {
    /// Notes that the request is sent now; returns false if it must not be.
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
            // All panel members are told, since the owner may have changed.
            for node in permits.panel(&cold) {
                if node == permits.identity.node {
                    permits.answer(&cold, &id, PermitAction::Release);
                } else {
                    permits.ask_node(&node, &cold, &id, PermitAction::Release).await;
                }
            }
        });
    }
}
