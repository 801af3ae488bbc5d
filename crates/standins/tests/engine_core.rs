//! The engine without threads and time: scheduling, cache, orders, cold start.

mod common;

use common::{salt_of, version};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yuccapass_endpoints::{
    CacheEvent, CacheEventKind, ChecksummedBlock, EndpointState, Order, OrderKind,
};
use yuccapass_standins::engine::{
    EngineConfig, EngineCore, FaultAction, Faults, Refusal, RunEnd, RunId, RunRequest, RunSignal,
    SubmitError, block_payload,
};
use yuccapass_types::{
    FencingNumber, Incarnation, Instant, SortedMap, Tokens, TokensPerSecond, block_hash_chain,
};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn config() -> EngineConfig {
    EngineConfig::default().prefill_rate(TokensPerSecond::new(1_000))
}

fn core(config: EngineConfig) -> EngineCore {
    EngineCore::new(config, at(0))
}

fn request(name: &str, prompt: &str) -> RunRequest {
    RunRequest {
        request_id: name.parse().unwrap(),
        attempt: "1".to_owned(),
        priority: 0,
        salt: salt_of("org-a", "v1"),
        version: None,
        adapter: None,
        resume_offset: Tokens::ZERO,
        prompt: prompt.as_bytes().to_vec(),
    }
}

/// A prompt of that many tokens that has no prefix in common with one of another letter.
fn prompt(letter: &str, tokens: usize) -> String {
    letter.repeat(tokens * 4)
}

/// Advances and returns the runs that began to decode.
fn decoding(core: &mut EngineCore, now_ms: u64) -> Vec<RunId> {
    core.advance(at(now_ms));
    let signals = core.take_signals().into_iter();
    let decoding = signals.filter_map(|signal| match signal {
        RunSignal::Decode(run, _) => Some(run),
        _ => None,
    });
    decoding.collect()
}

fn digest_of(core: &mut EngineCore, number: u64, request: RunRequest, now_ms: u64) -> String {
    let run = RunId::new(number);
    core.submit(run, request, at(now_ms)).unwrap();
    core.advance(at(now_ms + 1_000_000));
    let signals = core.take_signals();
    core.finish(run, RunEnd::Completed, at(now_ms + 1_000_000));
    let digest = signals.into_iter().find_map(|signal| match signal {
        RunSignal::Decode(id, digest) if id == run => Some(digest),
        _ => None,
    });
    digest.unwrap()
}

fn order(fencing: u64, kind: OrderKind) -> Order {
    Order { fencing: FencingNumber::new(fencing), kind }
}

fn load_version(fencing: u64, name: &str) -> Order {
    order(fencing, OrderKind::LoadVersion { version: version(name) })
}

/// Guards against a prefill rate that each run has to itself, and against a missing priority.
#[test]
fn prefill_rate_is_shared_and_goes_to_the_larger_priority_first() {
    // Arrange
    let mut core = core(config());
    let [low, high] = [RunId::new(0), RunId::new(1)];
    let urgent = RunRequest { priority: 5, ..request("r1", &prompt("b", 500)) };

    // Act
    core.submit(low, request("r0", &prompt("a", 1_000)), at(0)).unwrap();
    core.submit(high, urgent, at(400)).unwrap();

    // Assert: 400 ms of the first run's work are done, then the urgent one takes 500 ms.
    assert_eq!(decoding(&mut core, 899), []);
    assert_eq!(decoding(&mut core, 900), [high]);
    assert_eq!(decoding(&mut core, 1_499), []);
    assert_eq!(decoding(&mut core, 1_500), [low]);
}

/// Guards against a batch above its limit and against a queue that ignores priorities.
#[test]
fn full_batch_makes_requests_wait_by_priority() {
    // Arrange
    let mut core = core(config().max_running_requests(1).max_queued_requests(2));
    core.submit(RunId::new(0), request("r0", "x"), at(0)).unwrap();
    core.submit(RunId::new(1), request("r1", "y"), at(0)).unwrap();
    let urgent = RunRequest { priority: 1, ..request("r2", "z") };
    core.submit(RunId::new(2), urgent, at(0)).unwrap();

    // Act
    let refused = core.submit(RunId::new(3), request("r3", "w"), at(0));
    core.finish(RunId::new(0), RunEnd::Completed, at(10));

    // Assert
    assert_eq!(refused, Err(SubmitError::Refused(Refusal::Overloaded)));
    let begun: Vec<String> =
        core.journal().entries.into_iter().map(|entry| entry.request_id).collect();
    assert_eq!(begun, ["r0", "r2"]);
}

/// Guards against cached prompts that are computed again and uncached ones that are not.
#[test]
fn cached_prefix_is_not_computed_again() {
    // Arrange
    let mut core = core(config());
    let long = prompt("a", 640);
    digest_of(&mut core, 0, request("r0", &long), 0);

    // Act: the whole prompt returns with 64 tokens more.
    let returned = format!("{long}{}", prompt("b", 64));
    core.submit(RunId::new(1), request("r1", &returned), at(2_000_000)).unwrap();

    // Assert
    assert_eq!(core.stats().cached_prompt_tokens, 640);
    assert_eq!(decoding(&mut core, 2_000_063), []);
    assert_eq!(decoding(&mut core, 2_000_064), [RunId::new(1)]);
}

/// Guards against answers that hide a mix-up of organisations or weight versions, and against a
/// cache that is shared between organisations.
#[test]
fn answers_depend_on_prompt_organisation_and_version() {
    // Arrange
    let mut core = core(config().swap_ms(10));
    let text = prompt("a", 640);
    let other = RunRequest { salt: salt_of("org-b", "v1"), ..request("r1", &text) };

    // Act
    let first = digest_of(&mut core, 0, request("r0", &text), 0);
    let of_other = digest_of(&mut core, 1, other, 2_000_000);
    let again = digest_of(&mut core, 2, request("r2", &text), 4_000_000);
    assert!(core.start_order(&load_version(1, "v2"), at(6_000_000)));
    let of_version = digest_of(&mut core, 3, request("r3", &text), 8_000_000);

    // Assert: only the repetition by the same organisation agrees and used the cache.
    assert_eq!(first, again);
    assert_ne!(first, of_other);
    assert_ne!(first, of_version);
    assert_eq!(core.stats().cached_prompt_tokens, 640);
}

fn replay(events: &[CacheEvent]) -> Vec<yuccapass_types::BlockHash> {
    let mut blocks = SortedMap::new();
    for event in events {
        match event.kind {
            CacheEventKind::Stored => blocks.insert(event.block, ()),
            CacheEventKind::Evicted => blocks.remove(&event.block),
        };
    }
    blocks.keys().copied().collect()
}

/// Guards against a cache above its bound, and against events that do not add up to the listing.
#[test]
fn events_replay_to_the_listing() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    // A failure is reported with its input; files beside the test are not wanted.
    let cases = Config { failure_persistence: None, ..Config::with_cases(64) };
    let mut runner = TestRunner::new_with_rng(cases, rng);
    let prompts = prop::collection::vec((0..4usize, 0..12usize), 1..30);
    let property = |prompts: Vec<(usize, usize)>| {
        // Arrange
        let mut core = core(config().cache_capacity_blocks(8));

        // Act
        for (number, (letter, blocks)) in prompts.iter().enumerate() {
            let text = prompt(["a", "b", "c", "d"][*letter], blocks * 64 + 1);
            digest_of(&mut core, number as u64, request("r", &text), number as u64 * 2_000_000);
        }

        // Assert
        let listing = core.block_listing();
        let events = core.cache_events(0, at(u64::MAX)).events;
        let listed: Vec<_> = listing.blocks.iter().map(|listed| listed.block).collect();
        prop_assert!(listed.len() <= 8);
        prop_assert_eq!(replay(&events), listed);
        prop_assert_eq!(listing.sequence, events.len() as u64);
        Ok(())
    };
    runner.run(&prompts, property).unwrap();
}

/// Guards against an eviction that begins with the first block, without which the rest is useless.
#[test]
fn eviction_takes_the_end_of_the_prompt_that_was_not_used_for_longest() {
    // Arrange
    let mut core = core(config().cache_capacity_blocks(4));
    let old = prompt("a", 128);
    digest_of(&mut core, 0, request("r0", &old), 0);
    digest_of(&mut core, 1, request("r1", &prompt("b", 128)), 2_000_000);

    // Act
    digest_of(&mut core, 2, request("r2", &prompt("c", 64)), 4_000_000);

    // Assert
    let chain = block_hash_chain(salt_of("org-a", "v1"), old.as_bytes());
    let listed: Vec<_> = core.block_listing().blocks.iter().map(|listed| listed.block).collect();
    assert!(listed.contains(&chain[0]) && !listed.contains(&chain[1]));
}

/// Guards against events that are published early, or whose loss leaves no gap.
#[test]
fn events_come_late_and_lost_ones_leave_gaps() {
    // Arrange
    let faults = Faults { lost_event_probability: 0.5, ..Faults::default() };
    let mut core = core(config().event_lag_ms(500).faults(faults));
    core.submit(RunId::new(0), request("r0", &prompt("a", 64 * 100)), at(0)).unwrap();

    // Act
    core.advance(at(6_400));
    let early = core.cache_events(0, at(6_899)).events;
    let events = core.cache_events(0, at(6_900)).events;

    // Assert
    assert_eq!(early, []);
    assert!(!events.is_empty() && events.len() < 100);
    assert_eq!(core.block_listing().sequence, 100);
    let after = events[0].sequence;
    assert_eq!(core.cache_events(after, at(6_900)).events, events[1..]);
}

/// Guards against a cold engine that bears more than it says, or that never becomes warm.
#[test]
fn cold_engine_falls_over_or_becomes_warm_after_serving() {
    // Arrange
    let cold = config().cold_requests(2).starts_cold(true).warm_up_ms(1_000);
    let [mut loaded, mut patient] = [core(cold.clone()), core(cold)];
    for core in [&mut loaded, &mut patient] {
        core.submit(RunId::new(0), request("r0", "x"), at(0)).unwrap();
        core.submit(RunId::new(1), request("r1", "y"), at(0)).unwrap();
        core.take_signals();
    }

    // Act
    let too_many = loaded.submit(RunId::new(2), request("r2", "z"), at(999));
    let later = patient.submit(RunId::new(2), request("r2", "z"), at(1_000));

    // Assert
    assert_eq!(too_many, Err(SubmitError::Crashed));
    assert_eq!(loaded.incarnation(), Incarnation::new(2));
    let cut = [RunSignal::Crashed(RunId::new(0)), RunSignal::Crashed(RunId::new(1))];
    assert_eq!(loaded.take_signals(), cut);
    assert_eq!(loaded.load_report(at(999)).state, EndpointState::Cold);
    assert_eq!(later, Ok(()));
    assert_eq!(patient.load_report(at(1_000)).state, EndpointState::Warm);
}

/// Guards against a fall back to cold that cuts runs or keeps the cache.
#[test]
fn fall_back_to_cold_keeps_runs_and_loses_the_cache() {
    // Arrange
    let mut core = core(config().cold_requests(2));
    digest_of(&mut core, 0, request("r0", &prompt("a", 64)), 0);
    core.submit(RunId::new(1), request("r1", "x"), at(2_000_000)).unwrap();

    // Act
    core.trigger_fault(FaultAction::FallBackToCold, at(2_000_000));

    // Assert
    let report = core.load_report(at(2_000_000));
    assert_eq!((report.state, report.sustainable_requests), (EndpointState::Cold, 2));
    assert_eq!(report.incarnation, Incarnation::new(1));
    assert_eq!(core.block_listing().blocks, []);
    assert_eq!(decoding(&mut core, 2_000_001), [RunId::new(1)]);
}

/// Guards against a swap that accepts a version that is not active, changes a run in progress, or
/// is not slower when many swap.
#[test]
fn version_swap_takes_its_time_and_leaves_runs_alone() {
    // Arrange
    let faults = Faults { swapping_replicas: 6, ..Faults::default() };
    let mut core = core(config().swap_ms(1_000).max_swapping_replicas(3).faults(faults));
    let run = request("r0", &prompt("a", 5_000));
    let expected = digest_of(&mut EngineCore::new(config(), at(0)), 0, run.clone(), 0);
    core.submit(RunId::new(0), run, at(0)).unwrap();
    let with_version = |name| RunRequest { version: Some(version(name)), ..request("r1", "x") };
    let refused = Err(SubmitError::Refused(Refusal::WrongVersion));

    // Act
    assert!(core.start_order(&load_version(1, "v2"), at(0)));

    // Assert
    assert_eq!(core.submit(RunId::new(1), with_version("v2"), at(1_999)), refused);
    assert_eq!(core.submit(RunId::new(2), with_version("v1"), at(1_999)), refused);
    assert_eq!(core.submit(RunId::new(3), with_version("v1"), at(2_000)), refused);
    assert_eq!(core.submit(RunId::new(4), with_version("v2"), at(2_000)), Ok(()));
    core.advance(at(10_000));
    assert!(core.take_signals().contains(&RunSignal::Decode(RunId::new(0), expected)));
    assert_eq!(core.block_listing().blocks, [], "blocks of the old version were stored");
}

/// Guards against an old order that is carried out, or refused by an engine that ignores numbers.
#[test]
fn fencing_is_checked_or_ignored_as_configured() {
    for (checks, expected) in [(true, false), (false, true)] {
        // Arrange
        let mut core = core(config().checks_fencing(checks));
        let leave = |fencing, leaving| order(fencing, OrderKind::SetLeaving { leaving });
        assert!(core.start_order(&leave(7, true), at(0)));

        // Act
        let is_accepted = core.start_order(&leave(6, false), at(0));

        // Assert
        assert_eq!(is_accepted, expected);
        let is_leaving = core.load_report(at(0)).state == EndpointState::Leaving;
        assert_eq!(is_leaving, checks);
    }
}

/// Guards against a crash that is not recorded, and against a journal without a bound.
#[test]
fn marked_prompt_crashes_and_is_in_the_bounded_journal() {
    // Arrange
    let faults = Faults { crash_marker: Some("boom".to_owned()), ..Faults::default() };
    let mut core = core(config().max_journal_entries(1).faults(faults));
    core.submit(RunId::new(0), request("r0", "fine"), at(0)).unwrap();

    // Act
    let crashed = core.submit(RunId::new(1), request("r1", "old [[m-1]] boom [[m-2]]"), at(0));

    // Assert
    assert_eq!(crashed, Err(SubmitError::Crashed));
    let journal = core.journal();
    assert_eq!((journal.removed_entries, journal.entries.len()), (1, 1));
    let entry = &journal.entries[0];
    assert_eq!((entry.request_id.as_str(), entry.marker.as_str()), ("r1", "m-2"));
    assert_eq!(core.stats().crashes, 1);
}

/// Guards against a block of another weight version that changes nothing visible when it is used.
#[test]
fn answer_from_a_block_of_another_version_is_recognisable() {
    // Arrange
    let text = prompt("a", 128);
    let block = block_hash_chain(salt_of("org-a", "v1"), text.as_bytes())[0];
    let sealed =
        |name| ChecksummedBlock::new(block, 1, block_payload(block, 1, &version(name), 16_384));
    let expected = digest_of(&mut core(config()), 0, request("r", &text), 0);
    let [mut right, mut wrong] = [core(config()), core(config())];

    // Act
    assert!(right.import_block(sealed("v1"), at(0)));
    assert!(wrong.import_block(sealed("v0"), at(0)));

    // Assert
    assert_eq!(digest_of(&mut right, 0, request("r0", &text), 0), expected);
    assert_eq!(right.stats().cached_prompt_tokens, 64);
    assert_eq!(digest_of(&mut wrong, 0, request("r0", &text), 0), "wrongblock");
}

/// Guards against load reports without the configured lag.
#[test]
fn load_report_lags() {
    // Arrange
    let mut core = core(config().load_lag_ms(300));
    core.submit(RunId::new(0), request("r0", &prompt("a", 5_000)), at(1_000)).unwrap();

    // Act
    let before = core.load_report(at(1_299));
    let after = core.load_report(at(1_300));

    // Assert
    assert_eq!((before.running_requests, before.age_ms), (0, 300));
    assert_eq!((after.running_requests, after.age_ms), (1, 300));
    assert_eq!(after.queued_prefill_tokens, Tokens::new(5_000));
}

/// Guards against a slow fault that slows nothing, or goes on after it was switched off.
#[test]
fn slow_engine_takes_longer_until_it_is_switched_off() {
    // Arrange
    let mut core = core(config());
    core.set_faults(Faults { slow_factor: 3, ..Faults::default() });
    core.submit(RunId::new(0), request("r0", &prompt("a", 100)), at(0)).unwrap();

    // Act
    core.set_faults(Faults::default());
    core.submit(RunId::new(1), request("r1", &prompt("b", 100)), at(0)).unwrap();

    // Assert
    assert_eq!(decoding(&mut core, 299), []);
    assert_eq!(decoding(&mut core, 300), [RunId::new(0)]);
    assert_eq!(decoding(&mut core, 400), [RunId::new(1)]);
}

/// Guards against a crashed engine that serves before its restart is complete, or remembers work.
#[test]
fn crashed_engine_serves_only_after_its_restart() {
    // Arrange
    let mut core = core(config().restart_ms(500));
    digest_of(&mut core, 0, request("r0", &prompt("a", 64)), 0);

    // Act
    core.trigger_fault(FaultAction::Crash, at(2_000_000));
    let early = core.submit(RunId::new(1), request("r1", "x"), at(2_000_499));
    let late = core.submit(RunId::new(2), request("r2", "x"), at(2_000_500));

    // Assert
    assert_eq!((early, late), (Err(SubmitError::Crashed), Ok(())));
    assert_eq!(core.block_listing().blocks, []);
    let begun: Vec<String> =
        core.journal().entries.into_iter().map(|entry| entry.request_id).collect();
    assert_eq!(begun, ["r0", "r2"]);
}

/// Guards against an adapter that is used before it is loaded, or that does not change the answer.
#[test]
fn adapter_is_loaded_by_order_and_changes_the_answer() {
    // Arrange
    let mut core = core(config().adapter_load_ms(100));
    let adapter: yuccapass_types::AdapterId = "clips".parse().unwrap();
    let adapted = RunRequest { adapter: Some(adapter.clone()), ..request("r1", "x") };
    let plain = digest_of(&mut core, 0, request("r0", "x"), 0);

    // Act
    assert!(core.start_order(&order(1, OrderKind::LoadAdapter { adapter }), at(2_000_000)));
    let early = core.submit(RunId::new(1), adapted.clone(), at(2_000_099));

    // Assert
    assert_eq!(early, Err(SubmitError::Refused(Refusal::WrongVersion)));
    assert_ne!(digest_of(&mut core, 2, adapted, 2_000_100), plain);
}
