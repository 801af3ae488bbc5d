//! Tests of the prefix index.

mod property_config;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use yuccapass_decisions::routing::holder::{Holder, HolderSlot, HolderSlots, StoreTier};
use yuccapass_decisions::routing::index::{
    CacheChange, CacheEvent, IndexAction, IndexSettings, ListedBlock, PrefixIndex,
};
use yuccapass_types::{
    BLOCK_PROMPT_BYTES, BlockHash, CacheSalt, Incarnation, Instant, OrganisationId,
    block_hash_chain,
};

const NOW: Instant = Instant::from_ms(0);
const FIRST: Incarnation = Incarnation::new(1);
const SECOND: Incarnation = Incarnation::new(2);
/// Blocks that all prompts of [`prompt_chain`] have in common.
const SHARED_BLOCKS: usize = 3;

fn slot(number: u16) -> HolderSlot {
    HolderSlot::new(number).unwrap()
}

fn index() -> PrefixIndex {
    PrefixIndex::new(IndexSettings::default())
}

fn salt(organisation: &str) -> CacheSalt {
    let organisation: OrganisationId = organisation.parse().unwrap();
    CacheSalt::derive(&organisation, &"m".parse().unwrap(), &"v".parse().unwrap(), None)
}

fn prompt_chain(number: usize, blocks: usize) -> Vec<BlockHash> {
    let mut text = vec![b'a'; SHARED_BLOCKS * BLOCK_PROMPT_BYTES];
    text.resize(blocks * BLOCK_PROMPT_BYTES, b'b' + number as u8);
    block_hash_chain(salt("org"), &text)
}

fn stored(first_sequence: u64, first_position: u32, blocks: &[BlockHash]) -> Vec<CacheEvent> {
    let events = blocks.iter().enumerate().map(|(offset, &block)| CacheEvent {
        sequence: first_sequence + offset as u64,
        kind: CacheChange::Stored,
        position_blocks: first_position + offset as u32,
        block,
    });
    events.collect()
}

fn listed(chain: &[BlockHash]) -> Vec<ListedBlock> {
    let blocks = (1..).zip(chain);
    blocks.map(|(position_blocks, &block)| ListedBlock { position_blocks, block }).collect()
}

fn blocks_at(index: &PrefixIndex, holder: HolderSlot, chain: &[BlockHash]) -> u32 {
    let matches = index.lookup(chain, NOW);
    matches.iter().find(|found| found.holder == holder).map_or(0, |found| found.blocks)
}

/// Registers a holder with an empty listing, which it needs on first contact.
fn register(index: &PrefixIndex, holder: HolderSlot, incarnation: Incarnation) {
    index.apply_listing(holder, incarnation, 0, &[], NOW);
}

/// Guards against matching a repeated prompt only up to the last power of two.
#[test]
fn last_block_of_a_prompt_is_known() {
    // Arrange
    let index = index();
    let chain = prompt_chain(0, 23);
    register(&index, slot(1), FIRST);

    // Act
    index.apply_events(slot(1), FIRST, &stored(1, 1, &chain), NOW);

    // Assert
    assert_eq!(blocks_at(&index, slot(1), &chain), 23);
    assert_eq!(blocks_at(&index, slot(1), &prompt_chain(0, 31)), 23);
    assert_eq!(blocks_at(&index, slot(1), &prompt_chain(0, 9)), 8);
}

/// Guards against an index that does not notice lost events.
#[test]
fn lost_events_ask_for_a_listing_until_it_arrives() {
    // Arrange
    let index = index();
    let chain = prompt_chain(0, 8);
    register(&index, slot(1), FIRST);
    let before = index.apply_events(slot(1), FIRST, &stored(1, 1, &chain[..2]), NOW);

    // Act
    let at_gap = index.apply_events(slot(1), FIRST, &stored(5, 5, &chain[4..]), NOW);
    let after_gap = index.apply_events(slot(1), FIRST, &[], NOW);
    index.apply_listing(slot(1), FIRST, 8, &listed(&chain), NOW);
    let after_listing = index.apply_events(slot(1), FIRST, &[], NOW);

    // Assert
    assert_eq!(before, IndexAction::None);
    assert_eq!((at_gap, after_gap), (IndexAction::NeedsListing, IndexAction::NeedsListing));
    assert_eq!(after_listing, IndexAction::None);
    assert_eq!(blocks_at(&index, slot(1), &chain), 8);
    assert_eq!(index.events_after(slot(1)), 8);
}

/// Guards against an evicted block that reappears because its first event is delivered again.
#[test]
fn repeated_events_change_nothing() {
    // Arrange
    let index = index();
    let chain = prompt_chain(0, 1);
    register(&index, slot(1), FIRST);
    let store = stored(1, 1, &chain);
    let evict = [CacheEvent { sequence: 2, kind: CacheChange::Evicted, ..store[0] }];
    index.apply_events(slot(1), FIRST, &store, NOW);
    index.apply_events(slot(1), FIRST, &evict, NOW);

    // Act
    let action = index.apply_events(slot(1), FIRST, &store, NOW);

    // Assert
    assert_eq!(action, IndexAction::None);
    assert_eq!(blocks_at(&index, slot(1), &chain), 0);
}

/// Guards against sending a prompt to a restarted endpoint because of blocks that it has lost.
#[test]
fn new_incarnation_clears_and_old_one_is_ignored() {
    // Arrange
    let index = index();
    let (old, new) = (prompt_chain(0, 5), prompt_chain(1, 6));
    register(&index, slot(1), FIRST);
    index.apply_events(slot(1), FIRST, &stored(1, 1, &old), NOW);

    // Act
    let action = index.apply_events(slot(1), SECOND, &stored(1, 1, &new), NOW);
    index.apply_events(slot(1), FIRST, &stored(6, 1, &old), NOW);
    index.apply_listing(slot(1), FIRST, 9, &listed(&old), NOW);

    // Assert
    assert_eq!(action, IndexAction::None);
    assert_eq!(blocks_at(&index, slot(1), &old), 2);
    assert_eq!(blocks_at(&index, slot(1), &new), 6);
}

/// Guards against matching the blocks of one organisation with an equal prompt of another one.
#[test]
fn equal_prompts_of_two_organisations_do_not_match() {
    // Arrange
    let index = index();
    let prompt = vec![b'x'; 8 * BLOCK_PROMPT_BYTES];
    register(&index, slot(1), FIRST);
    index.apply_events(slot(1), FIRST, &stored(1, 1, &block_hash_chain(salt("a"), &prompt)), NOW);

    // Act
    let matches = index.lookup(&block_hash_chain(salt("b"), &prompt), NOW);

    // Assert
    assert!(matches.is_empty());
}

/// Guards against an index that grows without bound, and against evicting entries that are in use.
#[test]
fn full_index_evicts_the_least_recently_used_entries() {
    // Arrange
    let settings = IndexSettings::default().max_entries(4096 * 8).epoch_ms(1);
    let index = PrefixIndex::new(settings);
    let block = |number: u64| {
        let hash = blake3::hash(&number.to_be_bytes());
        BlockHash::from_bits(u128::from_be_bytes(hash.as_bytes()[..16].try_into().unwrap()))
    };
    let used: Vec<BlockHash> = (0..100).map(block).collect();
    for &block in &used {
        index.record_chain(slot(1), &[block], NOW);
    }

    // Act
    for number in 100..60_000 {
        let now = Instant::from_ms(1 + number / 2_000);
        index.record_chain(slot(1), &[block(number)], now);
        if number % 2_000 == 0 {
            used.iter().for_each(|&block| drop(index.lookup(&[block], now)));
        }
    }

    // Assert
    assert!(index.size().entries <= 4096 * 8);
    let kept = used.iter().filter(|&&block| blocks_at(&index, slot(1), &[block]) == 1).count();
    assert_eq!(kept, used.len());
}

/// Guards against an entry for every block when an engine processes several prompts at once.
#[test]
fn mixed_events_of_two_prompts_index_only_their_ends() {
    // Arrange
    let index = index();
    let chains = [prompt_chain(0, 30), prompt_chain(1, 30)];
    register(&index, slot(1), FIRST);
    let mut events = stored(1, 1, &chains[0]);
    events.extend(stored(1, 1, &chains[1]));
    events.sort_by_key(|event| event.position_blocks);
    (1..).zip(&mut events).for_each(|(sequence, event)| event.sequence = sequence);

    // Act
    index.apply_events(slot(1), FIRST, &events, NOW);

    // Assert: positions 1 and 2 are shared; 4, 8, 16 and 30 are not.
    assert_eq!(index.size().entries, 2 + 2 * 4);
    assert!(chains.iter().all(|chain| blocks_at(&index, slot(1), chain) == 30));
}

/// Guards against indexing every block of a listing that is not in the order of the prompts.
#[test]
fn unordered_listing_indexes_powers_of_two() {
    // Arrange
    let index = index();
    let chain = prompt_chain(0, 32);
    let mut blocks = listed(&chain);
    blocks.reverse();

    // Act
    index.apply_listing(slot(1), FIRST, 32, &blocks, NOW);

    // Assert
    assert_eq!(index.size().entries, 6);
    assert_eq!(blocks_at(&index, slot(1), &chain), 32);
}

/// Guards against assigning a slot to two holders.
#[test]
fn slots_are_unique_and_reused_only_after_release() {
    // Arrange
    let mut slots = HolderSlots::default();
    let endpoint = Holder::Endpoint("e-1".parse().unwrap());
    let store = Holder::Store("s".parse().unwrap(), StoreTier::Disk);

    // Act
    let first = slots.assign(&endpoint).unwrap();
    let second = slots.assign(&store).unwrap();
    let again = slots.assign(&endpoint).unwrap();
    slots.release(first);
    let third = slots.assign(&Holder::Endpoint("e-2".parse().unwrap())).unwrap();

    // Assert
    assert_eq!((first, third), (again, first));
    assert_ne!(first, second);
    assert_eq!(slots.holder(second), Some(&store));
    assert_eq!(slots.slot(&endpoint), None);
}

/// Reference model of an endpoint: all blocks that it holds, and the events not yet delivered.
#[derive(Debug, Default)]
struct ReferenceEndpoint {
    incarnation: u64,
    sequence: u64,
    held: BTreeSet<(u32, BlockHash)>,
    unsent: Vec<CacheEvent>,
}

impl ReferenceEndpoint {
    fn change(&mut self, kind: CacheChange, position_blocks: u32, block: BlockHash) {
        let is_change = match kind {
            CacheChange::Stored => self.held.insert((position_blocks, block)),
            CacheChange::Evicted => self.held.remove(&(position_blocks, block)),
        };
        if is_change {
            self.sequence += 1;
            let sequence = self.sequence;
            self.unsent.push(CacheEvent { sequence, kind, position_blocks, block });
        }
    }

    fn prefix(&self, chain: &[BlockHash]) -> u32 {
        let held = (1..).zip(chain).take_while(|&(at, &block)| self.held.contains(&(at, block)));
        held.count() as u32
    }

    fn listing(&self) -> Vec<ListedBlock> {
        let blocks = self.held.iter();
        blocks.map(|&(position_blocks, block)| ListedBlock { position_blocks, block }).collect()
    }
}

#[derive(Debug, Clone)]
enum Step {
    Store {
        prompt: usize,
        blocks: usize,
    },
    /// Evicts the blocks of a prompt after the first `keep` ones.
    Evict {
        prompt: usize,
        keep: usize,
    },
    Restart,
    /// Delivers the unsent events to the index.
    Deliver,
    /// Loses the newest undelivered event.
    LoseOne,
}

fn steps() -> impl Strategy<Value = Vec<(u16, Step)>> {
    let step = prop_oneof![
        4 => (0..4usize, 1..24usize).prop_map(|(prompt, blocks)| Step::Store { prompt, blocks }),
        2 => (0..4usize, 0..24usize).prop_map(|(prompt, keep)| Step::Evict { prompt, keep }),
        1 => Just(Step::Restart),
        4 => Just(Step::Deliver),
        1 => Just(Step::LoseOne),
    ];
    prop::collection::vec((0..3u16, step), 1..40)
}

fn run_step(endpoint: &mut ReferenceEndpoint, step: &Step) {
    match *step {
        Step::Store { prompt, blocks } => {
            for (position, block) in (1..).zip(prompt_chain(prompt, blocks)) {
                endpoint.change(CacheChange::Stored, position, block);
            }
        }
        // Prefix caches evict from the end, so shared blocks go only after all blocks that follow
        // them.
        Step::Evict { prompt, keep } => {
            let prompts = if keep < SHARED_BLOCKS { 0..4 } else { prompt..prompt + 1 };
            for prompt in prompts {
                let chain = prompt_chain(prompt, 24);
                for (position, &block) in chain.iter().enumerate().skip(keep).rev() {
                    endpoint.change(CacheChange::Evicted, position as u32 + 1, block);
                }
            }
        }
        Step::Restart => {
            let incarnation = endpoint.incarnation + 1;
            *endpoint = ReferenceEndpoint { incarnation, ..ReferenceEndpoint::default() };
        }
        Step::Deliver => {}
        Step::LoseOne => drop(endpoint.unsent.pop()),
    }
}

fn deliver(index: &PrefixIndex, holder: HolderSlot, endpoint: &mut ReferenceEndpoint) {
    let incarnation = Incarnation::new(endpoint.incarnation);
    let events = std::mem::take(&mut endpoint.unsent);
    if index.apply_events(holder, incarnation, &events, NOW) == IndexAction::NeedsListing {
        index.apply_listing(holder, incarnation, endpoint.sequence, &endpoint.listing(), NOW);
    }
}

proptest! {
    #![proptest_config(property_config::fixed(48, 0x1d_e4))]

    /// Guards against matches longer than what the endpoints hold, or shorter than the largest
    /// power of two below, compared with plain sets of blocks.
    #[test]
    fn lookup_agrees_with_plain_sets(steps in steps()) {
        // Arrange
        let index = index();
        let mut endpoints: BTreeMap<u16, ReferenceEndpoint> = BTreeMap::new();

        // Act
        for (holder, step) in &steps {
            let endpoint = endpoints.entry(*holder).or_default();
            run_step(endpoint, step);
            if matches!(step, Step::Deliver) {
                deliver(&index, slot(*holder), endpoint);
            }
        }
        for (holder, endpoint) in &mut endpoints {
            // One more event reveals that the last ones were lost.
            endpoint.change(CacheChange::Stored, 1, prompt_chain(9, 1 + SHARED_BLOCKS)[SHARED_BLOCKS]);
            deliver(&index, slot(*holder), endpoint);
        }

        // Assert
        for prompt in 0..4 {
            let chain = prompt_chain(prompt, 24);
            for (holder, endpoint) in &endpoints {
                let known = blocks_at(&index, slot(*holder), &chain);
                let held = endpoint.prefix(&chain);
                prop_assert!(known <= held && (held == 0 || 2 * known > held),
                    "holder {holder}, prompt {prompt}: known {known}, held {held}");
            }
        }
    }
}
