//! Permits under faults, against the requirement that an endpoint never has more than it sustains.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Network, node, voters, zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use yuccapass_decisions::permits::{ClaimState, PermitClaim, PermitId, PermitOwner, PermitReply};
use yuccapass_decisions::quorum::{
    AttemptId, Proposal, ProposalState, RequestDigest, VoteKey, VoteReply, VoteRequest, Voter,
    VoterConfig, VoterList,
};
use yuccapass_types::{Incarnation, Instant};

const NODES: usize = 5;
const TERM_MS: u64 = 5_000;
const END_MS: u64 = 120_000;
const PROCESS: Incarnation = Incarnation::new(1);

#[derive(Debug, Clone)]
enum Event {
    Ask { from: usize, to: usize, ask: VoteRequest, asked_at: Instant },
    Answer { to: usize, asked_at: Instant, voter: usize, answer: VoteReply },
    Acquire { from: usize, to: usize, id: PermitId },
    Acquired { to: usize, id: PermitId, reply: PermitReply },
    Renew { from: usize, to: usize, id: PermitId, asked_at: Instant },
    Renewed { to: usize, id: PermitId, reply: PermitReply, asked_at: Instant },
    Release { to: usize, id: PermitId },
    AskLoad { from: usize, taken_at: Instant, origin_ms: u64 },
    Load { to: usize, running: u32, taken_at: Instant, origin_ms: u64 },
    Arrive { id: PermitId },
    Finish { node: usize, id: PermitId },
    Tick { node: usize },
    Work,
    Restart,
    Pause,
}

struct Process {
    voter: Voter,
    origin_ms: u64,
    paused_until_ms: u64,
    proposal: Option<Proposal>,
    renewal: Option<Proposal>,
    owner: Option<PermitOwner>,
    claims: BTreeMap<PermitId, PermitClaim>,
    /// Where this node believes the owner to be; often wrong.
    believed_owner: usize,
}

struct World {
    network: Network<Event>,
    list: VoterList,
    processes: Vec<Process>,
    /// Requests that were sent to the endpoint and have not finished, and those that it has.
    sent: BTreeSet<PermitId>,
    arrived: BTreeSet<PermitId>,
    max_requests: u32,
    numbers: u64,
    started: usize,
}

fn process(index: usize, list: &VoterList, origin_ms: u64) -> Process {
    let started = Instant::from_ms(0);
    Process {
        voter: Voter::new(node(index), list.clone(), VoterConfig::default(), started),
        origin_ms,
        paused_until_ms: 0,
        proposal: None,
        renewal: None,
        owner: None,
        claims: BTreeMap::new(),
        believed_owner: 0,
    }
}

fn world(seed: u64, loss: f64, max_delay_ms: u64, max_requests: u32, faults: usize) -> World {
    let list = voters(&[0, 1, 2], 1);
    let processes = (0..NODES).map(|index| process(index, &list, 0)).collect();
    let mut network = Network::new(seed, loss, max_delay_ms);
    for (count, event) in [(600, Event::Work), (faults, Event::Restart), (faults, Event::Pause)] {
        for _ in 0..count {
            let ms = network.rng.random_range(0..END_MS);
            network.at(ms, event.clone());
        }
    }
    for index in 0..NODES {
        network.at(index as u64, Event::Tick { node: index });
    }
    let (sent, arrived) = (BTreeSet::new(), BTreeSet::new());
    World { network, list, processes, sent, arrived, max_requests, numbers: 0, started: 0 }
}

impl World {
    fn now(&self, index: usize) -> Instant {
        Instant::from_ms(self.network.now_ms - self.processes[index].origin_ms)
    }

    fn run(&mut self) {
        while let Some(event) = self.network.next(END_MS) {
            self.handle(event);
            let present = self.sent.len();
            assert!(present <= self.max_requests as usize, "{present} requests at once");
        }
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Ask { to, .. }
            | Event::Answer { to, .. }
            | Event::Acquire { to, .. }
            | Event::Acquired { to, .. }
            | Event::Renew { to, .. }
            | Event::Renewed { to, .. }
            | Event::Release { to, .. }
            | Event::Load { to, .. }
            | Event::Tick { node: to } => *to,
            Event::Arrive { .. } | Event::Finish { .. } | Event::AskLoad { .. } => {
                return self.endpoint(event);
            }
            Event::Work | Event::Restart | Event::Pause => self.network.pick(NODES),
        };
        let resumes_ms = self.processes[target].paused_until_ms;
        if resumes_ms > self.network.now_ms && !matches!(event, Event::Restart) {
            return self.network.at(resumes_ms, event);
        }
        match event {
            Event::Work => self.work(target),
            Event::Tick { .. } => self.tick(target),
            Event::Restart => {
                // Requests of the ended process go on running at the endpoint.
                self.processes[target] = process(target, &self.list, self.network.now_ms);
                self.network.at(self.network.now_ms, Event::Tick { node: target });
            }
            Event::Pause => {
                let ms = self.network.rng.random_range(0..2 * TERM_MS);
                self.processes[target].paused_until_ms = self.network.now_ms + ms;
            }
            message => self.deliver(target, message),
        }
    }

    fn endpoint(&mut self, event: Event) {
        match event {
            Event::Arrive { id } => {
                self.arrived.insert(id);
            }
            Event::Finish { node, id } => {
                self.arrived.remove(&id);
                self.sent.remove(&id);
                self.processes[node].claims.remove(&id);
                for to in 0..NODES {
                    self.network.send(Event::Release { to, id: id.clone() });
                }
            }
            Event::AskLoad { from, taken_at, origin_ms } => {
                let running = self.arrived.len() as u32;
                self.network.send(Event::Load { to: from, running, taken_at, origin_ms });
            }
            _ => unreachable!("not for the endpoint"),
        }
    }

    fn deliver(&mut self, target: usize, event: Event) {
        let now = self.now(target);
        let process = &mut self.processes[target];
        match event {
            Event::Ask { from, ask, asked_at, .. } => {
                let answer = process.voter.handle_request(&ask, now);
                self.network.send(Event::Answer { to: from, asked_at, voter: target, answer });
            }
            Event::Answer { asked_at, voter, answer, .. } => {
                let from_this = |proposal: &Proposal| {
                    proposal.deadline().instant().ms_since(asked_at) == TERM_MS
                };
                for proposal in [&mut process.proposal, &mut process.renewal].into_iter().flatten()
                {
                    if from_this(proposal) {
                        proposal.record_reply(&node(voter), answer.clone());
                    }
                }
            }
            Event::Acquire { from, id, .. } => {
                let reply = process.owner.as_mut().map(|owner| owner.acquire(&id, now));
                let reply = reply.unwrap_or(PermitReply::NotOwner);
                self.network.send(Event::Acquired { to: from, id, reply });
            }
            Event::Acquired { id, reply, .. } => {
                if let Some(claim) = process.claims.get_mut(&id) {
                    claim.record_reply(reply);
                }
                self.start(target, &id);
            }
            Event::Renew { from, id, asked_at, .. } => {
                let reply = process.owner.as_mut().map(|owner| owner.renew(&id, now));
                let reply = reply.unwrap_or(PermitReply::NotOwner);
                self.network.send(Event::Renewed { to: from, id, reply, asked_at });
            }
            Event::Renewed { id, reply, asked_at, .. } => {
                if let Some(claim) = process.claims.get_mut(&id) {
                    claim.record_renewal(reply, asked_at);
                }
            }
            Event::Release { id, .. } => {
                if let Some(owner) = &mut process.owner {
                    owner.release(&id);
                }
            }
            Event::Load { running, taken_at, origin_ms, .. } => {
                if let Some(owner) = &mut process.owner
                    && origin_ms == process.origin_ms
                {
                    owner.record_report(PROCESS, running, taken_at);
                }
            }
            _ => unreachable!("not a message"),
        }
    }

    fn work(&mut self, target: usize) {
        self.numbers += 1;
        let incarnation = Incarnation::new(self.processes[target].origin_ms);
        let id = PermitId { node: node(target), incarnation, number: self.numbers };
        let claim = PermitClaim::new(id.clone(), self.now(target));
        self.processes[target].claims.insert(id.clone(), claim);
        let to = self.processes[target].believed_owner;
        self.network.send(Event::Acquire { from: target, to, id });
    }

    fn start(&mut self, target: usize, id: &PermitId) {
        let now = self.now(target);
        let Some(claim) = self.processes[target].claims.get_mut(id) else { return };
        if !claim.start(now) {
            return;
        }
        self.started += 1;
        self.sent.insert(id.clone());
        let arrival_ms = self.network.now_ms + self.network.rng.random_range(0..1_000);
        let finish_ms = arrival_ms + self.network.rng.random_range(100..15_000);
        self.network.at(arrival_ms, Event::Arrive { id: id.clone() });
        self.network.at(finish_ms, Event::Finish { node: target, id: id.clone() });
    }

    fn tick(&mut self, target: usize) {
        self.network.at(self.network.now_ms + 500, Event::Tick { node: target });
        let now = self.now(target);
        let ended = |owner: &PermitOwner| owner.has_ended(now);
        if self.processes[target].owner.as_ref().is_none_or(ended) {
            self.processes[target].owner = None;
            self.seek_ownership(target, now);
        } else {
            self.act_as_owner(target, now);
        }
        self.renew_claims(target, now);
    }

    fn seek_ownership(&mut self, target: usize, now: Instant) {
        let process = &mut self.processes[target];
        if let Some(proposal) = process.proposal.take() {
            if let Some(holder) = proposal.tally().holders.first() {
                let is_holder = |&index: &usize| node(index) == holder.attempt.node;
                process.believed_owner = (0..NODES).find(is_holder).unwrap();
            }
            if proposal.state(now) == ProposalState::Won {
                process.believed_owner = target;
                process.owner = PermitOwner::from_won(proposal, PROCESS, self.max_requests, now);
                return;
            }
        }
        if self.network.rng.random_bool(0.3) {
            self.propose(target, now);
        }
    }

    fn propose(&mut self, target: usize, now: Instant) {
        self.numbers += 1;
        let incarnation = Incarnation::new(self.processes[target].origin_ms);
        let attempt = AttemptId { node: node(target), incarnation, number: self.numbers };
        let key = VoteKey::permit(&"endpoint".parse().unwrap(), PROCESS);
        let panel = self.list.permit_panel(&key, &zone(0));
        let digest = RequestDigest::default();
        let proposal = Proposal::new(key, attempt, digest, panel, TERM_MS, now);
        self.send_asks(target, &proposal, now);
        self.processes[target].proposal = Some(proposal);
    }

    fn send_asks(&mut self, target: usize, proposal: &Proposal, now: Instant) {
        let ask = proposal.request(&zone(0));
        for to in 0..3 {
            let ask = ask.clone();
            self.network.send(Event::Ask { from: target, to, ask, asked_at: now });
        }
    }

    fn act_as_owner(&mut self, target: usize, now: Instant) {
        let process = &mut self.processes[target];
        let origin_ms = process.origin_ms;
        let owner = process.owner.as_mut().unwrap();
        if let Some(renewal) = process.renewal.take_if(|p| p.state(now) == ProposalState::Won) {
            owner.record_renewal(renewal, now);
        }
        if let Some(renewal) = owner.renewal(now) {
            self.send_asks(target, &renewal, now);
            self.processes[target].renewal = Some(renewal);
        }
        self.network.send(Event::AskLoad { from: target, taken_at: now, origin_ms });
    }

    fn renew_claims(&mut self, target: usize, now: Instant) {
        let process = &mut self.processes[target];
        process.claims.retain(|_, claim| claim.state(now) != ClaimState::Ended);
        let to = process.believed_owner;
        let due: Vec<PermitId> = process
            .claims
            .values()
            .filter(|claim| claim.renewal_is_due(now))
            .map(|claim| claim.id().clone())
            .collect();
        for id in due {
            self.network.send(Event::Renew { from: target, to, id, asked_at: now });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a cold endpoint getting more requests than it sustains when owners and
    /// holders crash, pause and disagree about who owns the permits.
    #[test]
    fn endpoint_never_has_more_requests_than_it_sustains(
        seed: u64, loss in 0.0..0.4, max_delay_ms in 1_u64..3_000, max_requests in 1_u32..6,
        faults in 0_usize..30,
    ) {
        // Arrange
        let mut world = world(seed, loss, max_delay_ms, max_requests, faults);

        // Act
        world.run();

        // Assert: the run checks after each event; without heavy faults some requests must start.
        prop_assert!(loss > 0.1 || max_delay_ms > 200 || faults > 2 || world.started > 0);
    }
}
