//! Simulated faults of voters and proposers, which must never produce two winners at a time.

mod common;

use common::{Network, node, voters, zone};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use yuccapass_decisions::quorum::{
    AttemptId, Proposal, ProposalState, RequestDigest, VoteKey, VoteReply, VoteRequest, Voter,
    VoterConfig, VoterList, VoterListId,
};
use yuccapass_types::{EndpointId, Incarnation, Instant};

const NODES: usize = 6;
const LIFETIME_MS: u64 = 5_000;
const END_MS: u64 = 120_000;

#[derive(Debug, Clone)]
enum Event {
    Request { from: usize, to: usize, request: VoteRequest },
    Reply { to: usize, attempt: AttemptId, voter: usize, reply: VoteReply },
    Release { to: usize, key: VoteKey, attempt: AttemptId },
    ListInUse { to: usize, node: usize, list: VoterListId },
    Propose,
    Withdraw,
    Restart,
    Pause,
    ChangeList,
    Gossip,
}

struct Process {
    voter: Voter,
    list: VoterList,
    /// Simulated time at which the process's clock started.
    origin_ms: u64,
    paused_until_ms: u64,
    proposals: Vec<Proposal>,
}

/// A proposal of a process that has ended, with the origin of that process's clock.
type EndedProposal = (u64, Proposal);

struct World {
    network: Network<Event>,
    processes: Vec<Process>,
    ended_proposals: Vec<EndedProposal>,
    lists: [VoterList; 2],
    attempts: u64,
    wins: usize,
}

fn permit_key() -> VoteKey {
    let endpoint: EndpointId = "endpoint".parse().unwrap();
    VoteKey::permit(&endpoint, Incarnation::new(1))
}

fn process(index: usize, list: &VoterList, origin_ms: u64) -> Process {
    let started = Instant::from_ms(0);
    let voter = Voter::new(node(index), list.clone(), VoterConfig::default(), started);
    Process { voter, list: list.clone(), origin_ms, paused_until_ms: 0, proposals: Vec::new() }
}

fn world(seed: u64, loss: f64, max_delay_ms: u64, restarts: u64, list_changes: u64) -> World {
    let old = voters(&[0, 1, 2, 3], 1);
    let new = voters(&[2, 3, 4, 5], 1).with_replaced(old.voters().to_vec());
    let lists = [old, new];
    let processes = (0..NODES).map(|index| process(index, &lists[0], 0)).collect();
    let mut network = Network::new(seed, loss, max_delay_ms);
    for (count, event) in [
        (300, Event::Propose),
        (60, Event::Withdraw),
        (restarts, Event::Restart),
        (20, Event::Pause),
        (list_changes, Event::ChangeList),
        (100, Event::Gossip),
    ] {
        for _ in 0..count {
            let ms = network.rng.random_range(0..END_MS);
            network.at(ms, event.clone());
        }
    }
    World { network, processes, ended_proposals: Vec::new(), lists, attempts: 0, wins: 0 }
}

impl World {
    fn local_now(&self, index: usize) -> Instant {
        Instant::from_ms(self.network.now_ms - self.processes[index].origin_ms)
    }

    fn run(&mut self) {
        while let Some(event) = self.network.next(END_MS) {
            self.handle(event);
            assert!(self.count_winners() <= 1, "two winners at {} ms", self.network.now_ms);
        }
    }

    fn count_winners(&mut self) -> usize {
        let now_ms = self.network.now_ms;
        let won = |origin_ms: u64, proposal: &Proposal| {
            proposal.state(Instant::from_ms(now_ms - origin_ms)) == ProposalState::Won
        };
        let running = self.processes.iter().flat_map(|process| {
            process.proposals.iter().map(|proposal| (process.origin_ms, proposal))
        });
        let ended = self.ended_proposals.iter().map(|(origin_ms, proposal)| (*origin_ms, proposal));
        let count = running.chain(ended).filter(|(origin_ms, p)| won(*origin_ms, p)).count();
        self.wins += count;
        count
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Request { to, .. }
            | Event::Reply { to, .. }
            | Event::Release { to, .. }
            | Event::ListInUse { to, .. } => *to,
            _ => self.network.pick(NODES),
        };
        let resumes_ms = self.processes[target].paused_until_ms;
        if resumes_ms > self.network.now_ms && !matches!(event, Event::Restart) {
            return self.network.at(resumes_ms, event);
        }
        match event {
            Event::Propose => self.propose(target),
            Event::Withdraw => self.withdraw(target),
            Event::Restart => self.restart(target),
            Event::Pause => {
                let ms = self.network.rng.random_range(0..2 * LIFETIME_MS);
                self.processes[target].paused_until_ms = self.network.now_ms + ms;
            }
            Event::ChangeList => self.change_list(target),
            Event::Gossip => self.gossip(target),
            other => self.deliver(target, other),
        }
    }

    fn deliver(&mut self, target: usize, event: Event) {
        let now = self.local_now(target);
        match event {
            Event::Request { from, request, .. } => {
                let reply = self.processes[target].voter.handle_request(&request, now);
                let attempt = request.attempt;
                self.network.send(Event::Reply { to: from, attempt, voter: target, reply });
            }
            Event::Reply { attempt, voter, reply, .. } => {
                let mut proposals = self.processes[target].proposals.iter_mut();
                if let Some(proposal) = proposals.find(|p| *p.attempt() == attempt) {
                    proposal.record_reply(&node(voter), reply);
                }
            }
            Event::Release { key, attempt, .. } => {
                self.processes[target].voter.release(&key, &attempt, now);
            }
            Event::ListInUse { node: other, list, .. } => {
                self.processes[target].voter.record_list_in_use(&node(other), list, now);
            }
            _ => unreachable!("not a message"),
        }
    }

    fn propose(&mut self, target: usize) {
        self.attempts += 1;
        let incarnation = Incarnation::new(self.processes[target].origin_ms);
        let attempt = AttemptId { node: node(target), incarnation, number: self.attempts };
        let panel = self.processes[target].list.permit_panel(&permit_key(), &zone(0));
        let now = self.local_now(target);
        let digest = RequestDigest::default();
        let proposal = Proposal::new(permit_key(), attempt, digest, panel, LIFETIME_MS, now);
        let request = proposal.request(&zone(0));
        for to in 0..NODES {
            if proposal.panel().contains(&node(to)) {
                self.network.send(Event::Request { from: target, to, request: request.clone() });
            }
        }
        self.processes[target].proposals.push(proposal);
    }

    fn withdraw(&mut self, target: usize) {
        let Some(proposal) = self.processes[target].proposals.last_mut() else { return };
        let (key, attempt) = (*proposal.key(), proposal.attempt().clone());
        let released = proposal.withdraw().unwrap();
        for to in (0..NODES).filter(|&to| released.contains(&node(to))) {
            self.network.send(Event::Release { to, key, attempt: attempt.clone() });
        }
    }

    fn restart(&mut self, target: usize) {
        let list = self.processes[target].list.clone();
        let new = process(target, &list, self.network.now_ms);
        let old = std::mem::replace(&mut self.processes[target], new);
        let ended_proposals = old.proposals.into_iter().map(|proposal| (old.origin_ms, proposal));
        self.ended_proposals.extend(ended_proposals);
    }

    /// Makes a node use the second list; a configuration never reverts.
    fn change_list(&mut self, target: usize) {
        let list = self.lists[1].clone();
        let now = self.local_now(target);
        self.processes[target].voter.replace_list(list.clone(), now);
        self.processes[target].list = list;
        self.gossip(target);
    }

    fn gossip(&mut self, target: usize) {
        let list = self.processes[target].list.id();
        for to in 0..NODES {
            self.network.send(Event::ListInUse { to, node: target, list });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against two winners of a key at the same time under loss, delay, duplication,
    /// reordering, restarts and pauses.
    #[test]
    fn key_has_one_winner_at_a_time(
        seed: u64, loss in 0.0..0.5, max_delay_ms in 1_u64..8_000, restarts in 0_u64..40,
    ) {
        // Arrange
        let mut world = world(seed, loss, max_delay_ms, restarts, 0);

        // Act
        world.run();

        // Assert: `run` checks the winners after each event; with few faults some attempt must win.
        prop_assert!(loss > 0.1 || max_delay_ms > 1_000 || restarts > 5 || world.wins > 0);
    }

    /// Guards against two winners while some nodes use an old voter list and some a new one.
    #[test]
    fn key_has_one_winner_during_a_change_of_voters(
        seed: u64, loss in 0.0..0.3, max_delay_ms in 1_u64..3_000, list_changes in 1_u64..30,
        restarts in 0_u64..10,
    ) {
        // Arrange
        let mut world = world(seed, loss, max_delay_ms, restarts, list_changes);

        // Act and assert: `run` checks the winners after each event.
        world.run();
    }
}
