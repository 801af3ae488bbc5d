//! Nodes, endpoints and a store in two regions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::endpoint_health::{EndpointCondition, EndpointPhase};
use yuccapass_decisions::routing::holder::HolderSlot;
use yuccapass_decisions::routing::index::{CacheChange, IndexSettings, PrefixIndex};
use yuccapass_decisions::routing::link_budget::LinkBudget;
use yuccapass_decisions::routing::placement::{
    Candidate, ImportSource, Placement, PlacementPolicy, PlacementRequest, ZoneDistance,
    set_cached_blocks,
};
use yuccapass_types::{BytesPerSecond, Incarnation, Instant, Tokens, TokensPerSecond};

use super::engine::{
    BlockCache, DECODE_US_PER_TOKEN, Engine, Job, MAX_RUNNING, PREFILL_TOKENS_PER_S, Report,
    SUSTAINABLE,
};
use super::workload::{BLOCK_TOKENS, Prompt, Workload};

/// Zone of each endpoint and node; zones 0 and 1 are one region, zone 2 is the other.
const ENDPOINT_ZONES: [usize; 20] = [0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2, 2, 2];
const NODE_ZONES: [usize; 10] = [0, 0, 0, 0, 1, 1, 1, 1, 2, 2];
/// About 9 prompts; all caches together hold a seventh of the conversations.
const CACHE_BLOCKS: usize = 500;
/// Memory and disk of the store, in blocks, with their rates and latencies.
const TIERS: [(usize, u64, u64); 2] = [(16_000, 400_000_000, 2), (160_000, 150_000_000, 10)];
/// Nodes in the region of the store.
const STORE_NODES: u32 = 8;
const REPORT_EVERY_US: u64 = 500_000;
const REPORT_LAG_US: u64 = 200_000;
const WARM_UP_US: u64 = 90_000_000;
const END_US: u64 = 195_000_000;
/// Requests without a first token by then are late; those that arrive in the last of this time are
/// not counted.
const DEADLINE_US: u64 = 15_000_000;
const MEAN_RUN_MS: u64 = 2_200;
/// Longest wait at a node, the time in which 95 % of requests are to have their first token.
const MAX_NODE_WAIT_US: u64 = 1_200_000;

/// Makes the policy of one node.
pub type MakePolicy = fn() -> Box<dyn PlacementPolicy>;

/// Results of runs.
#[derive(Default)]
pub struct Outcome {
    pub first_token_us: Vec<u64>,
    pub prompt_tokens: u64,
    pub recomputed_tokens: u64,
    pub imported_tokens: u64,
    pub arrived: u64,
    pub refused: u64,
}

impl Outcome {
    /// Returns the requests that were not refused and yet had no first token in time.
    pub fn late(&self) -> u64 {
        let timely = self.first_token_us.iter().filter(|&&us| us <= DEADLINE_US).count();
        self.arrived - self.refused - timely as u64
    }
}

fn is_counted(arrived_us: u64) -> bool {
    (WARM_UP_US..END_US - DEADLINE_US).contains(&arrived_us)
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// The request in this place of `in_transfer` reaches its endpoint.
    Sent(usize),
    PrefillEnd(usize),
    DecodeEnd(usize),
    MakeReports,
    DeliverReports,
}

struct Node {
    zone: usize,
    policy: Box<dyn PlacementPolicy>,
    /// Requests that no endpoint could take, with their arrival.
    waiting: VecDeque<(u64, Prompt)>,
    reports: Vec<Report>,
    /// Time and tokens of what was sent to each endpoint since its report.
    sent: Vec<Vec<(u64, u64)>>,
    /// This node's part of the link of each tier.
    links: [LinkBudget; 2],
}

pub struct Simulation {
    random: StdRng,
    workload: Workload,
    gap_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_number: u64,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    in_flight_reports: Vec<Report>,
    in_transfer: Vec<Option<(usize, Job)>>,
    indexes: [PrefixIndex; 2],
    store: Vec<BlockCache>,
    /// When the link of each tier is free again.
    store_free_us: [u64; 2],
}

fn region(zone: usize) -> usize {
    zone / 2
}

fn slot(number: usize) -> HolderSlot {
    HolderSlot::new(number as u16).expect("there are fewer holders than slots")
}

fn tier_slot(tier: usize) -> HolderSlot {
    slot(ENDPOINT_ZONES.len() + tier)
}

fn instant(us: u64) -> Instant {
    Instant::from_ms(us / 1_000)
}

impl Simulation {
    pub fn new(make_policy: MakePolicy, load_percent: u64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let workload = Workload::new(&mut random);
        let prompt_us = workload.mean_prompt_tokens() * 1_000_000 / PREFILL_TOKENS_PER_S;
        let gap_us = prompt_us * 100 / load_percent / ENDPOINT_ZONES.len() as u64;
        let endpoints = ENDPOINT_ZONES.len();
        let nodes = NODE_ZONES.iter().map(|&zone| Node {
            zone,
            policy: make_policy(),
            waiting: VecDeque::new(),
            reports: vec![Report::default(); endpoints],
            sent: vec![Vec::new(); endpoints],
            links: TIERS.map(|(_, rate, _)| {
                LinkBudget::new(BytesPerSecond::new(rate), STORE_NODES, instant(0))
            }),
        });
        let indexes = [0, 1].map(|_| PrefixIndex::new(IndexSettings::default()));
        for (number, &zone) in ENDPOINT_ZONES.iter().enumerate() {
            indexes[region(zone)].apply_listing(
                slot(number),
                Incarnation::new(1),
                0,
                &[],
                instant(0),
            );
        }
        let mut simulation = Self {
            random,
            workload,
            gap_us,
            events: BinaryHeap::new(),
            event_number: 0,
            engines: (0..endpoints).map(|_| Engine::new(CACHE_BLOCKS)).collect(),
            nodes: nodes.collect(),
            in_flight_reports: Vec::new(),
            in_transfer: Vec::new(),
            indexes,
            store: TIERS.iter().map(|&(blocks, _, _)| BlockCache::new(blocks)).collect(),
            store_free_us: [0; 2],
        };
        simulation.schedule(0, Event::Arrival);
        simulation.schedule(0, Event::MakeReports);
        simulation
    }

    pub fn run(mut self, outcome: &mut Outcome) {
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us >= END_US {
                break;
            }
            match event {
                Event::Arrival => self.arrive(now_us, outcome),
                Event::Sent(place) => self.reach_endpoint(place, now_us, outcome),
                Event::PrefillEnd(endpoint) => self.end_prefill(endpoint, now_us, outcome),
                Event::DecodeEnd(endpoint) => {
                    self.engines[endpoint].end_decode();
                    self.start_prefill(endpoint, now_us);
                }
                Event::MakeReports => self.make_reports(now_us),
                Event::DeliverReports => self.deliver_reports(now_us, outcome),
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((at_us, self.event_number, event)));
    }

    fn arrive(&mut self, now_us: u64, outcome: &mut Outcome) {
        let wait: f64 = -(1.0 - self.random.random::<f64>()).ln();
        self.schedule(now_us + (wait * self.gap_us as f64) as u64, Event::Arrival);
        outcome.arrived += u64::from(is_counted(now_us));
        let node = self.random.random_range(0..self.nodes.len());
        let prompt = self.workload.next(&mut self.random);
        if !self.nodes[node].waiting.is_empty() || !self.try_place(node, &prompt, now_us, now_us) {
            self.nodes[node].waiting.push_back((now_us, prompt));
        }
    }

    /// Sends the request if an endpoint can take it.
    fn try_place(&mut self, node: usize, prompt: &Prompt, arrived_us: u64, now_us: u64) -> bool {
        let (request, candidates) = self.view(node, prompt, now_us);
        let placed = self.nodes[node].policy.place(&request, &candidates, &mut self.random);
        if let Ok(placement) = placed {
            self.send(node, placement, prompt.clone(), arrived_us, now_us);
        }
        placed.is_ok()
    }

    /// Places what waits at a node, in order, and refuses what waited too long.
    fn place_waiting(&mut self, node: usize, now_us: u64, outcome: &mut Outcome) {
        while let Some((arrived_us, prompt)) = self.nodes[node].waiting.pop_front() {
            if now_us - arrived_us >= MAX_NODE_WAIT_US {
                outcome.refused += u64::from(is_counted(arrived_us));
            } else if !self.try_place(node, &prompt, arrived_us, now_us) {
                self.nodes[node].waiting.push_front((arrived_us, prompt));
                return;
            }
        }
    }

    fn view(
        &mut self,
        node: usize,
        prompt: &Prompt,
        now_us: u64,
    ) -> (PlacementRequest, Vec<Candidate>) {
        let own_region = region(self.nodes[node].zone);
        let matches = self.indexes[own_region].lookup(&prompt.chain, instant(now_us));
        let mut candidates: Vec<Candidate> = (0..self.engines.len())
            .map(|endpoint| self.candidate(node, endpoint, now_us))
            .collect();
        set_cached_blocks(&mut candidates, &matches);
        let mut request = prompt.request();
        let is_in_region = |zone: &&usize| region(**zone) == own_region;
        request.sending_nodes = NODE_ZONES.iter().filter(is_in_region).count() as u32;
        for (tier, &(_, rate, latency_ms)) in TIERS.iter().enumerate() {
            request.sources.push(ImportSource {
                // The store is in the first region, and each region has an index of its own.
                blocks: matches
                    .iter()
                    .find(|m| m.holder == tier_slot(tier))
                    .map_or(0, |m| m.blocks),
                rate: BytesPerSecond::new(rate),
                latency_ms,
                allowance: self.nodes[node].links[tier].available(instant(now_us)),
            });
        }
        (request, candidates)
    }

    fn candidate(&self, node: usize, endpoint: usize, now_us: u64) -> Candidate {
        let node = &self.nodes[node];
        let report = node.reports[endpoint];
        let zone = ENDPOINT_ZONES[endpoint];
        let sent = &node.sent[endpoint];
        Candidate {
            endpoint: slot(endpoint),
            distance: match (zone == node.zone, region(zone) == region(node.zone)) {
                (true, _) => ZoneDistance::SameZone,
                (false, true) => ZoneDistance::SameRegion,
                (false, false) => ZoneDistance::OtherRegion,
            },
            health: EndpointCondition {
                phase: EndpointPhase::Warm,
                sustainable_requests: SUSTAINABLE,
            },
            running_requests: report.running,
            queued_requests: report.queued,
            prefill_backlog: Tokens::new(report.backlog_tokens),
            report_age_ms: (now_us - report.made_us) / 1_000,
            requests_sent_since_report: sent.len() as u32,
            tokens_sent_since_report: Tokens::new(sent.iter().map(|&(_, tokens)| tokens).sum()),
            max_running_requests: MAX_RUNNING,
            prefill_rate: TokensPerSecond::new(PREFILL_TOKENS_PER_S),
            mean_run_ms: MEAN_RUN_MS,
            cached_blocks: 0,
            runs_other_suspect: false,
        }
    }

    fn send(
        &mut self,
        node: usize,
        placement: Placement,
        prompt: Prompt,
        arrived_us: u64,
        now_us: u64,
    ) {
        let endpoint = placement.candidate;
        let mut sent_us = now_us;
        let mut imported_blocks = 0;
        if let Some(import) = placement.import {
            self.nodes[node].links[import.source].try_take(import.bytes, instant(now_us));
            let (_, rate, latency_ms) = TIERS[import.source];
            let free_us = self.store_free_us[import.source].max(now_us);
            let done_us = free_us + import.bytes.get() * 1_000_000 / rate;
            self.store_free_us[import.source] = done_us;
            sent_us = done_us + latency_ms * 1_000;
            imported_blocks = (import.from_block + import.blocks) as usize;
        }
        self.nodes[node].sent[endpoint].push((now_us, placement.prefill_tokens.get()));
        self.in_transfer.push(Some((endpoint, Job { prompt, arrived_us, imported_blocks })));
        self.schedule(sent_us, Event::Sent(self.in_transfer.len() - 1));
    }

    fn reach_endpoint(&mut self, place: usize, now_us: u64, outcome: &mut Outcome) {
        let Some((endpoint, job)) = self.in_transfer[place].take() else { return };
        let arrived_us = job.arrived_us;
        if self.engines[endpoint].accept(job, now_us) {
            self.start_prefill(endpoint, now_us);
        } else {
            outcome.refused += u64::from(is_counted(arrived_us));
        }
    }

    fn start_prefill(&mut self, endpoint: usize, now_us: u64) {
        if let Some(end_us) = self.engines[endpoint].start_prefill(now_us) {
            self.schedule(end_us, Event::PrefillEnd(endpoint));
        }
    }

    fn end_prefill(&mut self, endpoint: usize, now_us: u64, outcome: &mut Outcome) {
        let Some(done) = self.engines[endpoint].end_prefill(now_us) else { return };
        let prompt = &done.job.prompt;
        self.workload.complete(prompt);
        let decode_us = prompt.answer_tokens * DECODE_US_PER_TOKEN;
        if is_counted(done.job.arrived_us) {
            let new_blocks = prompt.chain.len() - prompt.processed_blocks;
            let new_tokens = new_blocks as u64 * BLOCK_TOKENS;
            outcome.first_token_us.push(now_us - done.job.arrived_us);
            outcome.prompt_tokens += prompt.tokens();
            outcome.recomputed_tokens += done.uncached_tokens.saturating_sub(new_tokens);
            outcome.imported_tokens += done.job.imported_blocks as u64 * BLOCK_TOKENS;
        }
        if region(ENDPOINT_ZONES[endpoint]) == 0 {
            self.export(prompt, now_us);
        }
        self.schedule(now_us + decode_us, Event::DecodeEnd(endpoint));
        self.start_prefill(endpoint, now_us);
    }

    fn export(&mut self, prompt: &Prompt, now_us: u64) {
        for (tier, store) in self.store.iter_mut().enumerate() {
            store.touch(&prompt.chain, now_us);
            self.indexes[0].record_chain(tier_slot(tier), &prompt.chain, instant(now_us));
            for (kind, _, block) in store.changes.drain(..) {
                if kind == CacheChange::Evicted {
                    self.indexes[0].remove(tier_slot(tier), block);
                }
            }
        }
    }

    fn make_reports(&mut self, now_us: u64) {
        self.in_flight_reports = self.engines.iter().map(|engine| engine.report(now_us)).collect();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let index = &self.indexes[region(ENDPOINT_ZONES[number])];
            let events = engine.take_events();
            index.apply_events(slot(number), Incarnation::new(1), &events, instant(now_us));
        }
        self.schedule(now_us + REPORT_LAG_US, Event::DeliverReports);
        self.schedule(now_us + REPORT_EVERY_US, Event::MakeReports);
    }

    fn deliver_reports(&mut self, now_us: u64, outcome: &mut Outcome) {
        for node in &mut self.nodes {
            node.reports.clone_from(&self.in_flight_reports);
            for (sent, report) in node.sent.iter_mut().zip(&self.in_flight_reports) {
                sent.retain(|&(sent_us, _)| sent_us > report.made_us);
            }
        }
        for node in 0..self.nodes.len() {
            self.place_waiting(node, now_us, outcome);
        }
    }
}
