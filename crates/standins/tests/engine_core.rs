//! Tests of the engine's logic without threads and clock: scheduling, cache, orders, cold start.

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

/// Returns a prompt of `tokens` tokens; prompts of different letters share no prefix.
fn prompt(letter: &str, tokens: usize) -> String {
    letter.repeat(tokens * 4)
}

/// Advances the engine and returns the runs that started to decode.
fn decoding(core: &mut EngineCore, now_ms: u64) -> Vec<RunId> {
    core.advance(at(now_ms));
    let signals = core.take_signals().into_iter();
    let decoding = signals.filter_map(|signal| match signal {
        RunSignal::Decode(run, _) => Some(run),
        _ => None,
    });
    decoding.collect()
}

/// Runs a request to its end and returns the digest of its answer.
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

/// Guards against a prefill rate that applies to each run instead of the whole engine, and against
/// ignored priorities.
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

/// Guards against a batch that exceeds its limit and against a queue that ignores priorities.
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
    let started: Vec<String> =
        core.journal().entries.into_iter().map(|entry| entry.request_id).collect();
    assert_eq!(started, ["r0", "r2"]);
}

/// Guards against computing cached blocks again, and against skipping blocks that are not cached.
#[test]
fn cached_prefix_is_not_computed_again() {
    // Arrange
    let mut core = core(config());
    let long = prompt("a", 640);
    digest_of(&mut core, 0, request("r0", &long), 0);

    // Act: the same prompt, extended by 64 tokens.
    let extended = format!("{long}{}", prompt("b", 64));
    core.submit(RunId::new(1), request("r1", &extended), at(2_000_000)).unwrap();

    // Assert
    assert_eq!(core.stats().cached_prompt_tokens, 640);
    assert_eq!(decoding(&mut core, 2_000_063), []);
    assert_eq!(decoding(&mut core, 2_000_064), [RunId::new(1)]);
}

/// Guards against equal answers for different organisations or weight versions, with which tests
/// would miss a mix-up, and against a cache that is shared between organisations.
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

    // Assert: only the repetition by the same organisation gets the same answer and uses the cache.
    assert_eq!(first, again);
    assert_ne!(first, of_other);
    assert_ne!(first, of_version);
    assert_eq!(core.stats().cached_prompt_tokens, 640);
}

/// Returns the blocks that are cached after the events.
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

/// Guards against a cache that exceeds its capacity, and against events whose replay differs from
/// the listing.
#[test]
fn events_replay_to_the_listing() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    // The failing input is printed, so no regression file is written next to the test.
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

/// Guards against evicting the first block of a prompt before the later ones, which are unusable
/// without it.
#[test]
fn eviction_starts_at_the_end_of_the_least_recently_used_prompt() {
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

/// Guards against events that are published before their lag, and against lost events that leave no
/// gap in the numbers.
#[test]
fn events_are_published_after_the_lag_and_lost_ones_leave_gaps() {
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

/// Guards against a cold engine that survives more requests than its limit, or never becomes warm.
#[test]
fn cold_engine_crashes_above_its_limit_or_becomes_warm_after_serving() {
    // Arrange
    let cold = config().cold_requests(2).starts_cold(true).warm_up_ms(1_000);
    let [mut overloaded, mut served] = [core(cold.clone()), core(cold)];
    for core in [&mut overloaded, &mut served] {
        core.submit(RunId::new(0), request("r0", "x"), at(0)).unwrap();
        core.submit(RunId::new(1), request("r1", "y"), at(0)).unwrap();
        core.take_signals();
    }

    // Act
    let too_many = overloaded.submit(RunId::new(2), request("r2", "z"), at(999));
    let later = served.submit(RunId::new(2), request("r2", "z"), at(1_000));

    // Assert
    assert_eq!(too_many, Err(SubmitError::Crashed));
    assert_eq!(overloaded.incarnation(), Incarnation::new(2));
    let crashed = [RunSignal::Crashed(RunId::new(0)), RunSignal::Crashed(RunId::new(1))];
    assert_eq!(overloaded.take_signals(), crashed);
    assert_eq!(overloaded.load_report(at(999)).state, EndpointState::Cold);
    assert_eq!(later, Ok(()));
    assert_eq!(served.load_report(at(1_000)).state, EndpointState::Warm);
}

/// Guards against a fallback to cold that ends runs or keeps the cache.
#[test]
fn fallback_to_cold_keeps_runs_and_loses_the_cache() {
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

/// Guards against accepting a version that is not active, against a swap that affects a running
/// request, and against swaps that are not slower when many replicas swap at once.
#[test]
fn version_swap_takes_its_configured_time_and_keeps_running_requests() {
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

/// Guards against executing an order with an old fencing number, and against refusing it if the
/// engine is configured to ignore fencing numbers.
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

/// Guards against a journal that omits the run that crashed the engine, and against an unbounded
/// one.
#[test]
fn prompt_with_crash_marker_crashes_and_is_in_the_bounded_journal() {
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

/// Guards against answers that do not show that a block of another weight version was used.
#[test]
fn answer_from_a_block_of_another_version_is_recognisable() {
    // Arrange
    let text = prompt("a", 128);
    let block = block_hash_chain(salt_of("org-a", "v1"), text.as_bytes())[0];
    let checksummed =
        |name| ChecksummedBlock::new(block, 1, block_payload(block, 1, &version(name), 16_384));
    let expected = digest_of(&mut core(config()), 0, request("r", &text), 0);
    let [mut right, mut wrong] = [core(config()), core(config())];

    // Act
    assert!(right.import_block(checksummed("v1"), at(0)));
    assert!(wrong.import_block(checksummed("v0"), at(0)));

    // Assert
    assert_eq!(digest_of(&mut right, 0, request("r0", &text), 0), expected);
    assert_eq!(right.stats().cached_prompt_tokens, 64);
    assert_eq!(digest_of(&mut wrong, 0, request("r0", &text), 0), "wrongblock");
}

/// Guards against load reports that ignore the configured lag.
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

/// Guards against a slow-down that has no effect, or still affects runs that start after it was
/// switched off.
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

/// Guards against a crashed engine that serves before its restart is complete, or keeps its cache.
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
    let started: Vec<String> =
        core.journal().entries.into_iter().map(|entry| entry.request_id).collect();
    assert_eq!(started, ["r0", "r2"]);
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
