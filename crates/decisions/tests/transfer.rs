//! Tests of the policies of block transfer.

mod property_config;

use std::net::SocketAddr;

use proptest::prelude::*;
use yuccapass_decisions::routing::holder::StoreTier;
use yuccapass_decisions::transfer::backoff::StoreBackoff;
use yuccapass_decisions::transfer::export::{AnsweredPrompt, ExportSelector, ExportSettings};
use yuccapass_decisions::transfer::owner::owner_of;
use yuccapass_decisions::transfer::source::{import_source, probe_positions, stored_prefix};
use yuccapass_types::{BlockHash, Bytes, BytesPerSecond, Instant};

const RATE: u64 = 10_000;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
}

fn blocks() -> impl Iterator<Item = BlockHash> {
    (0..1_000).map(|number| BlockHash::from_bits(number * 0x1234_5678_9abc))
}

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Decides block by block and computes the budget anew from all earlier exports.
struct NaiveChoice {
    min_blocks: u32,
    spent: Vec<(u64, u64)>,
}

impl NaiveChoice {
    fn choose(&mut self, prompt: &AnsweredPrompt, now_ms: u64) -> Vec<u32> {
        let mut chosen = Vec::new();
        for position in 0..prompt.prompt_blocks {
            let is_wanted =
                position >= prompt.stored_blocks && prompt.prompt_blocks >= self.min_blocks;
            if is_wanted && self.level(now_ms) >= prompt.block_size.get() {
                self.spent.push((now_ms, prompt.block_size.get()));
                chosen.push(position);
            }
        }
        chosen
    }

    fn level(&self, now_ms: u64) -> u64 {
        let (mut level_milli, mut ms) = (0_u64, 0);
        for &(spent_ms, bytes) in &self.spent {
            level_milli = (level_milli + RATE * (spent_ms - ms)).min(RATE * 1_000);
            level_milli -= bytes * 1_000;
            ms = spent_ms;
        }
        (level_milli + RATE * (now_ms - ms)).min(RATE * 1_000) / 1_000
    }
}

proptest! {
    #![proptest_config(property_config::fixed(256, 0x7a_45))]

    /// Guards against exports of short prompts, of stored or partial blocks, or above the budget.
    #[test]
    fn export_choice_matches_the_naive_one(
        min_blocks in 0_u32..6,
        prompts in proptest::collection::vec(
            (0_u64..900, 0_u32..20, 0_u32..24, 1_u64..2_000), 1..30,
        ),
    ) {
        // Arrange
        let settings =
            ExportSettings::default().min_blocks(min_blocks).rate(BytesPerSecond::new(RATE));
        let mut choice = ExportSelector::new(settings, at(0));
        let mut naive = NaiveChoice { min_blocks, spent: Vec::new() };
        let mut now_ms = 0;
        for (pause_ms, prompt_blocks, stored_blocks, bytes) in prompts {
            now_ms += pause_ms;
            let block_size = Bytes::new(bytes);
            let prompt = AnsweredPrompt { prompt_blocks, stored_blocks, block_size };

            // Act
            let chosen: Vec<u32> = choice.choose(&prompt, at(now_ms)).collect();

            // Assert
            prop_assert_eq!(chosen, naive.choose(&prompt, now_ms));
        }
    }

    /// Guards against a prefix that is longer than what the store has at the asked positions.
    #[test]
    fn stored_prefix_ends_before_the_first_missing_block(
        prompt_blocks in 0_u32..300, stored in 0_u32..300, on_disk in 0_u32..300,
    ) {
        // Arrange
        let positions = probe_positions(prompt_blocks);
        let tier = |position: u32| match position >= on_disk {
            true => StoreTier::Disk,
            false => StoreTier::Memory,
        };
        let answers: Vec<_> = positions
            .iter()
            .map(|&position| (position <= stored).then(|| tier(position)))
            .collect();

        // Act
        let prefix = stored_prefix(&positions, &answers);

        // Assert
        let longest = (1..=prompt_blocks.min(stored))
            .rfind(|position| position.is_power_of_two() || *position == prompt_blocks);
        prop_assert_eq!(prefix, longest.map(|position| (position, tier(position))));
    }
}

/// Guards against a dead VM that takes blocks of other VMs with it, and against idle VMs.
#[test]
fn dead_vm_loses_only_its_own_share() {
    // Arrange
    let addresses = addresses(4);
    let dead = addresses[1];
    let mut lost = 0;
    for block in blocks() {
        // Act
        let before = owner_of(block, &addresses, |_| true).unwrap();
        let after = owner_of(block, &addresses, |address| *address != dead).unwrap();

        // Assert
        if before == dead {
            lost += 1;
            assert_ne!(after, dead);
        } else {
            assert_eq!(after, before);
        }
    }
    assert!((150..=350).contains(&lost), "{lost} of 1000 blocks at one of four VMs");
    assert_eq!(owner_of(BlockHash::from_bits(1), &addresses, |_| false), None);
}

/// Guards against calls to a VM that failed, and against one that is never tried again.
#[test]
fn failed_vm_is_skipped_for_longer_each_time() {
    // Arrange
    let mut backoff = StoreBackoff::default();
    let mut now_ms = 0;
    for pause_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        // Act
        backoff.record_failure(at(now_ms));
        backoff.record_failure(at(now_ms));

        // Assert
        assert!(!backoff.may_read(at(now_ms + pause_ms - 1)));
        assert!(!backoff.may_write(at(now_ms + pause_ms - 1)));
        now_ms += pause_ms;
        assert!(backoff.may_read(at(now_ms)));
    }
    backoff.record_answer(at(now_ms));
    backoff.record_failure(at(now_ms));
    assert!(backoff.may_read(at(now_ms + 1_000)));
}

/// Guards against exports to a full VM, and against not reading what it has.
#[test]
fn full_vm_is_read_but_not_written() {
    // Arrange
    let mut backoff = StoreBackoff::default();

    // Act
    backoff.record_full(at(0));

    // Assert
    assert!(backoff.may_read(at(0)));
    assert!(!backoff.may_write(at(9_999)));
    assert!(backoff.may_write(at(10_000)));
}

/// Guards against imports over the link between regions and from stores without a usable VM.
#[test]
fn only_usable_stores_of_the_region_are_offered() {
    // Arrange
    let offer = |blocks, region, vm| import_source(blocks, StoreTier::Memory, region, vm);

    // Act
    let offered = offer(8, true, true);

    // Assert
    assert_eq!(offered.map(|source| source.blocks), Some(8));
    assert_eq!(offer(8, false, true), None);
    assert_eq!(offer(8, true, false), None);
    assert_eq!(offer(0, true, true), None);
}
