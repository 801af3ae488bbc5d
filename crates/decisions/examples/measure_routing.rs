//! Measures processor time of a placement decision and memory of the prefix index.
//!
//! Run with `cargo run --release -p yuccapass-decisions --example measure_routing`. The prompts have
//! 4 to 60 blocks and share nothing, which is the worst case for the index; one in five is held by
//! two endpoints. The last prompt is held by all endpoints.

use std::error::Error;
use std::hint::black_box;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use yuccapass_decisions::endpoint_health::{EndpointCondition, EndpointPhase};
use yuccapass_decisions::routing::holder::HolderSlot;
use yuccapass_decisions::routing::index::{
    CacheChange, CacheEvent, IndexSettings, PrefixIndex, PrefixMatch,
};
use yuccapass_decisions::routing::placement::{
    Candidate, CostPolicy, ImportSource, PlacementPolicy, PlacementRequest, ZoneDistance,
    set_cached_blocks,
};
use yuccapass_types::{
    BLOCK_PROMPT_BYTES, BlockHash, Bytes, BytesPerSecond, CacheSalt, Incarnation, Instant, Tokens,
    TokensPerSecond, block_hash_chain,
};

const SEED: u64 = 1;
const PROMPTS: usize = 230_000;
const POPULAR_BLOCKS: usize = 32;
const DECISIONS: usize = 20_000;
const NOW: Instant = Instant::from_ms(0);

fn main() -> Result<(), Box<dyn Error>> {
    println!("seed {SEED}, {PROMPTS} prompts, {DECISIONS} decisions per figure");
    println!("{:>9} {:>13} {:>13} {:>13}", "replicas", "returning us", "popular us", "new us");
    for replicas in [10, 100, 850] {
        let fleet = Fleet::build(replicas);
        println!(
            "{replicas:>9} {:>13.1} {:>13.1} {:>13.1}",
            fleet.measure(|fleet, random| {
                let number = random.random_range(0..PROMPTS);
                fleet.chains[number].clone()
            })?,
            fleet.measure(|fleet, _| fleet.chains[PROMPTS].clone())?,
            fleet.measure(|_, random| random_chain(random, 32))?,
        );
        if replicas == 850 {
            fleet.print_memory();
            fleet.measure_updates()?;
        }
    }
    measure_hashing()
}

struct Fleet {
    index: PrefixIndex,
    chains: Vec<Vec<BlockHash>>,
    candidates: Vec<Candidate>,
}

impl Fleet {
    fn build(replicas: usize) -> Self {
        let mut random = StdRng::seed_from_u64(SEED);
        let slots: Vec<HolderSlot> =
            (0..replicas).filter_map(|number| HolderSlot::new(number as u16)).collect();
        let candidates = slots.iter().map(|&slot| candidate(slot, &mut random)).collect();
        let index = PrefixIndex::new(IndexSettings::default());
        let mut chains = Vec::with_capacity(PROMPTS + 1);
        for _ in 0..PROMPTS {
            let blocks = random.random_range(4..=60);
            let chain = random_chain(&mut random, blocks);
            let holders = if random.random_range(0..5) == 0 { 2 } else { 1 };
            for _ in 0..holders {
                index.record_chain(slots[random.random_range(0..replicas)], &chain, NOW);
            }
            chains.push(chain);
        }
        let popular = random_chain(&mut random, POPULAR_BLOCKS);
        slots.iter().for_each(|&slot| index.record_chain(slot, &popular, NOW));
        chains.push(popular);
        Self { index, chains, candidates }
    }

    /// Returns microseconds of processor time per decision.
    fn measure(
        &self,
        next: impl Fn(&Self, &mut StdRng) -> Vec<BlockHash>,
    ) -> Result<f64, Box<dyn Error>> {
        let mut random = StdRng::seed_from_u64(SEED + 1);
        let chains: Vec<_> = (0..DECISIONS).map(|_| next(self, &mut random)).collect();
        let policy = CostPolicy::default();
        let start_ns = processor_ns()?;
        for chain in &chains {
            let matches = self.index.lookup(chain, NOW);
            let request = request(chain.len() as u32);
            let candidates = self.with_matches(&matches);
            black_box(policy.place(&request, &candidates, &mut random)).ok();
        }
        Ok((processor_ns()? - start_ns) as f64 / DECISIONS as f64 / 1000.0)
    }

    fn with_matches(&self, matches: &[PrefixMatch]) -> Vec<Candidate> {
        let mut candidates = self.candidates.clone();
        set_cached_blocks(&mut candidates, matches);
        candidates
    }

    fn print_memory(&self) {
        let size = self.index.size();
        let per_prompt = |bytes: usize| bytes as f64 / (PROMPTS + 1) as f64;
        println!(
            "{} entries, {} bytes allocated, {:.1} bytes per indexed prompt ({:.1} in entries)",
            size.entries,
            size.allocated_bytes,
            per_prompt(size.allocated_bytes),
            per_prompt(size.entries * 8),
        );
    }
}

impl Fleet {
    /// Measures stored blocks and the restart of an endpoint.
    fn measure_updates(&self) -> Result<(), Box<dyn Error>> {
        let incarnation = Incarnation::new(1);
        let slot = self.candidates[0].endpoint;
        self.index.apply_listing(slot, incarnation, 0, &[], NOW);
        let blocks = self.chains.iter().take(1_000).flat_map(|chain| (1..).zip(chain));
        let events: Vec<CacheEvent> = (1..)
            .zip(blocks)
            .map(|(sequence, (position_blocks, &block))| {
                let kind = CacheChange::Stored;
                CacheEvent { sequence, kind, position_blocks, block }
            })
            .collect();
        let start_ns = processor_ns()?;
        for batch in events.chunks(100) {
            self.index.apply_events(slot, incarnation, batch, NOW);
        }
        let stored_ns = processor_ns()?;
        self.index.apply_events(slot, incarnation.next(), &[], NOW);
        let restarted_ns = processor_ns()?;
        println!(
            "a stored block takes {:.2} us, a restart {:.1} ms",
            (stored_ns - start_ns) as f64 / events.len() as f64 / 1e3,
            (restarted_ns - stored_ns) as f64 / 1e6,
        );
        Ok(())
    }
}

fn candidate(slot: HolderSlot, random: &mut StdRng) -> Candidate {
    Candidate {
        endpoint: slot,
        distance: match slot.get() % 3 {
            0 => ZoneDistance::SameZone,
            _ => ZoneDistance::SameRegion,
        },
        health: EndpointCondition { phase: EndpointPhase::Warm, sustainable_requests: 40 },
        running_requests: random.random_range(0..16),
        queued_requests: 0,
        prefill_backlog: Tokens::new(random.random_range(0..5_000)),
        report_age_ms: 500,
        requests_sent_since_report: 0,
        tokens_sent_since_report: Tokens::ZERO,
        max_running_requests: 16,
        prefill_rate: TokensPerSecond::new(10_000),
        mean_run_ms: 4_000,
        cached_blocks: 0,
        runs_other_suspect: false,
    }
}

fn request(prompt_blocks: u32) -> PlacementRequest {
    let source = |blocks, rate| ImportSource {
        blocks,
        rate: BytesPerSecond::new(rate),
        latency_ms: 2,
        allowance: Bytes::new(100_000_000),
    };
    PlacementRequest {
        prompt: Tokens::new(u64::from(prompt_blocks) * 64),
        prompt_blocks,
        block_size: Bytes::new(200_000),
        is_suspect: false,
        sending_nodes: 340,
        sources: vec![source(prompt_blocks / 2, 200_000_000), source(prompt_blocks, 50_000_000)],
    }
}

fn random_chain(random: &mut dyn Rng, blocks: usize) -> Vec<BlockHash> {
    (0..blocks).map(|_| BlockHash::from_bits(random.random())).collect()
}

fn measure_hashing() -> Result<(), Box<dyn Error>> {
    let salt: CacheSalt = "000102030405060708090a0b0c0d0e0f".parse()?;
    let prompt = vec![b'x'; 32 * BLOCK_PROMPT_BYTES];
    let start_ns = processor_ns()?;
    for _ in 0..DECISIONS {
        black_box(block_hash_chain(salt, black_box(&prompt)));
    }
    let us = (processor_ns()? - start_ns) as f64 / DECISIONS as f64 / 1000.0;
    println!("hashing a prompt of 32 blocks takes {us:.1} us in addition");
    Ok(())
}

/// Returns the processor time of this thread.
fn processor_ns() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(text.split(' ').next().unwrap_or_default().parse()?)
}
