//! Tests of the platform client: repetition of reads, idempotent transactions and the lease lock.

mod fakes;

use std::sync::{Arc, Mutex};

use async_std::task::block_on;
use fakes::{FakeKeyValue, Fault, JumpingClock};
use yuccapass_decisions::platform_budget::settle_write::Settled;
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank, LeaseTerms};
use yuccapass_platform::{
    CallObserver, IdempotentTransaction, Key, KeyRange, KeyValue, KeyValueClient, KeyValueRevision,
    LeaseId, LeaseLock, LockStatus, PlatformClient, PlatformClientConfig, PlatformErrorKind,
    StoreEra, Transaction, Value, WatchOutcome, WatchRequest, Write,
};
use yuccapass_types::{Clock, Deadline, FencingNumber};

/// Generous timeout for calls that are expected to end before it.
const LIMIT_MS: u64 = 60_000;

struct Setup {
    fake: Arc<FakeKeyValue>,
    clock: Arc<JumpingClock>,
    client: Arc<PlatformClient>,
}

fn setup(faults: &[Fault]) -> Setup {
    let fake = Arc::new(FakeKeyValue::with_faults(faults));
    let clock = Arc::new(JumpingClock::default());
    let config = PlatformClientConfig::new(1, 7);
    let client = PlatformClient::new(fake.clone(), clock.clone(), &config);
    Setup { fake, clock, client }
}

impl Setup {
    fn limit(&self) -> Deadline {
        Deadline::after_ms(self.clock.now(), LIMIT_MS)
    }

    fn key_value(&self, rank: CallRank) -> KeyValueClient {
        self.client.key_value(rank)
    }

    fn lock(&self, node: &str) -> LeaseLock {
        let terms = LeaseTerms::new(30_000);
        let key_value = self.key_value(CallRank::Lease);
        LeaseLock::new(key_value, &key("driver"), node.parse().unwrap(), terms).unwrap()
    }
}

fn key(text: &str) -> Key {
    text.parse().unwrap()
}

fn idempotent_put(id: &str) -> IdempotentTransaction {
    let write = Write::Put { key: key("zone"), value: Value::default(), lease: None };
    IdempotentTransaction::new(key(id), Transaction { compares: Vec::new(), writes: vec![write] })
}

/// Guards against a read that gives up although the platform is back before the deadline.
#[test]
fn reads_are_repeated_until_the_platform_returns() {
    // Arrange
    let setup = setup(&[Fault::NotSent, Fault::LostBeforeEffect, Fault::NotSent]);

    // Act
    let answer = block_on(setup.key_value(CallRank::Command).get(&key("a"), setup.limit()));

    // Assert
    assert!(answer.is_ok());
    assert_eq!(setup.fake.data.lock().unwrap().calls.len(), 4);
}

/// Guards against a call that waits past its deadline while the platform is down.
#[test]
fn reads_fail_at_their_deadline_while_the_platform_is_down() {
    // Arrange
    let setup = setup(&[Fault::NotSent; 1_000]);
    let deadline = Deadline::after_ms(setup.clock.now(), 300);

    // Act
    let answer = block_on(setup.key_value(CallRank::Refresh).get(&key("a"), deadline));

    // Assert
    assert_eq!(answer.unwrap_err().kind(), PlatformErrorKind::Unavailable);
    assert!(setup.client.is_down());
}

/// Counts calls, and those that are not answered.
#[derive(Default)]
struct Calls {
    made: Mutex<Vec<CallPurpose>>,
    unanswered: Mutex<Vec<CallPurpose>>,
}

impl CallObserver for Calls {
    fn record_call(&self, purpose: CallPurpose) {
        self.made.lock().unwrap().push(purpose);
    }

    fn record_unanswered(&self, purpose: CallPurpose) {
        self.unanswered.lock().unwrap().push(purpose);
    }
}

/// Guards against calls that are paid for and missing in the count by purpose, such as repeated ones, and
/// against purposes that are confused.
#[test]
fn each_call_counts_for_its_purpose() {
    // Arrange
    let setup = setup(&[Fault::NotSent]);
    let calls = Arc::new(Calls::default());
    setup.client.observe_calls(calls.clone());
    let reader = setup.key_value(CallRank::Command).with_purpose(CallPurpose::Settings);
    let writer = setup.key_value(CallRank::Report).with_purpose(CallPurpose::Evidence);
    let report = Transaction { compares: Vec::new(), writes: Vec::new() };

    // Act: the first attempt of the read fails.
    block_on(reader.get(&key("a"), setup.limit())).unwrap();
    block_on(writer.compare_and_swap(&report, setup.limit())).unwrap();

    // Assert
    let expected = [CallPurpose::Settings, CallPurpose::Settings, CallPurpose::Evidence];
    assert_eq!(*calls.made.lock().unwrap(), expected);
    assert_eq!(*calls.unanswered.lock().unwrap(), [CallPurpose::Settings]);
}

/// Guards against a failed report after which the node does not read its configuration for a while: a
/// report may fail because the link is busy with reports.
#[test]
fn a_failed_report_is_no_outage() {
    // Arrange
    let setup = setup(&[Fault::NotSent]);
    let report = Transaction { compares: Vec::new(), writes: Vec::new() };

    // Act
    let key_value = setup.key_value(CallRank::Report);
    let answer = block_on(key_value.compare_and_swap(&report, setup.limit()));

    // Assert
    assert_eq!(answer.unwrap_err().kind(), PlatformErrorKind::Unavailable);
    assert!(!setup.client.is_down());
}

/// Guards against a transaction that takes effect twice, or whose outcome is reported wrongly,
/// after a lost response.
#[test]
fn idempotent_transactions_take_effect_once_whatever_is_lost() {
    // Arrange
    let cases: [&[Fault]; 5] = [
        &[Fault::LostAfterEffect],
        &[Fault::LostBeforeEffect],
        &[Fault::NotSent, Fault::LostAfterEffect, Fault::NotSent],
        &[Fault::LostBeforeEffect, Fault::NotSent, Fault::None, Fault::LostAfterEffect],
        &[Fault::LostAfterEffect, Fault::LostBeforeEffect, Fault::LostBeforeEffect],
    ];
    for faults in cases {
        let setup = setup(faults);

        // Act
        let key_value = setup.key_value(CallRank::Command);
        let outcome = block_on(key_value.settle(&idempotent_put("c1"), setup.limit()));

        // Assert
        assert_eq!(outcome.settled, Settled::Committed, "{faults:?}");
        assert_eq!(setup.fake.data.lock().unwrap().effects, 1, "{faults:?}");
    }
}

/// Guards against repeating a write whose response was lost without reading its record back first.
#[test]
fn lost_response_is_followed_by_a_read() {
    // Arrange
    let setup = setup(&[Fault::LostBeforeEffect]);

    // Act
    let key_value = setup.key_value(CallRank::Command);
    block_on(key_value.settle(&idempotent_put("c1"), setup.limit()));

    // Assert
    assert_eq!(setup.fake.data.lock().unwrap().calls, ["write", "get", "write"]);
}

/// Guards against a platform that was restored from an older state and is taken for current.
#[test]
fn read_of_an_older_state_fails_once_and_is_counted() {
    // Arrange
    let setup = setup(&[]);
    let key_value = setup.key_value(CallRank::Refresh);
    setup.fake.data.lock().unwrap().revision = 50;
    block_on(key_value.get(&key("a"), setup.limit())).unwrap();
    setup.fake.data.lock().unwrap().revision = 40;

    // Act
    let first = block_on(key_value.get(&key("a"), setup.limit()));
    let second = block_on(key_value.get(&key("a"), setup.limit()));

    // Assert
    assert_eq!(first.unwrap_err().kind(), PlatformErrorKind::Restored);
    assert_eq!(second.unwrap().revision, KeyValueRevision::new(40));
    assert_eq!(setup.client.restorations(), 1);
}

/// Guards against a restoration that goes undetected because the revision has caught up, against one that is
/// counted by each call, and against reads that fail although they show the new era.
#[test]
fn each_rise_of_the_era_is_counted_once() {
    // Arrange
    let setup = setup(&[]);
    let key_value = setup.key_value(CallRank::Refresh);
    setup.fake.data.lock().unwrap().revision = 50;
    block_on(key_value.get(&key("a"), setup.limit())).unwrap();
    let before = setup.client.restorations();
    setup.fake.data.lock().unwrap().era = StoreEra::new(1);
    setup.fake.data.lock().unwrap().revision = 60;

    // Act: an answer without a revision names the new era first.
    block_on(key_value.lease_keep_alive(LeaseId::new(1), setup.limit())).unwrap();
    let at_renewal = setup.client.restorations();
    let answers =
        [0; 2].map(|_| block_on(key_value.get(&key("a"), setup.limit())).map(|it| it.revision));

    // Assert
    let expected = KeyValueRevision::new(60).in_era(StoreEra::new(1));
    assert!(answers.iter().all(|answer| answer.as_ref().is_ok_and(|&it| it == expected)));
    assert_eq!((before, at_renewal, setup.client.restorations()), (0, 1, 1));
    assert_eq!(setup.client.era(), StoreEra::new(1));
}

/// Guards against a restoration that is counted again by each watch that goes on in the ended era, so that
/// locks are given up again.
#[test]
fn a_watch_of_an_ended_era_counts_no_second_restoration() {
    let setup = setup(&[]);
    let key_value = setup.key_value(CallRank::Refresh);
    setup.fake.data.lock().unwrap().revision = 50;
    block_on(key_value.get(&key("a"), setup.limit())).unwrap();
    setup.fake.data.lock().unwrap().era = StoreEra::new(1);
    block_on(key_value.get(&key("a"), setup.limit())).unwrap();

    let range = KeyRange::Prefix(key("a"));
    let request = WatchRequest { range, from: KeyValueRevision::new(51) };
    let outcomes = [0; 2].map(|_| block_on(key_value.watch(&request, setup.limit())));

    let is_restored = |outcome: &Result<_, _>| matches!(outcome, Ok(WatchOutcome::Restored { .. }));
    assert!(outcomes.iter().all(is_restored));
    assert_eq!(setup.client.restorations(), 1);
}

/// Guards against a node that takes a lock for not acquired because the response was lost, and
/// against two holders.
#[test]
fn lock_has_one_holder_also_when_the_response_is_lost() {
    // Arrange: the reads of the holder and the fencing number and the lease grant are answered; the
    // response to the acquisition is lost.
    let setup = setup(&[Fault::None, Fault::None, Fault::None, Fault::LostAfterEffect]);
    let (first, second) = (setup.lock("node-1"), setup.lock("node-2"));

    // Act
    let first_status = block_on(first.step(setup.limit())).unwrap();
    let second_status = block_on(second.step(setup.limit())).unwrap();

    // Assert
    assert!(matches!(first_status, LockStatus::Held(_)));
    assert_eq!(second_status, LockStatus::HeldByOther);
    assert_eq!(first.permit().unwrap().fencing, FencingNumber::new(1));
    assert!(first.held_condition().is_some());
    assert_eq!(second.permit(), None);
}

/// Guards against a holder that keeps its permit over a pause of its process longer than the lease,
/// and against a fencing number that is used twice.
#[test]
fn holder_loses_its_permit_in_a_pause_and_returns_with_a_higher_fencing_number() {
    // Arrange
    let setup = setup(&[]);
    let lock = setup.lock("node-1");
    block_on(lock.step(setup.limit())).unwrap();
    let before = lock.permit().unwrap().fencing;

    // Act
    setup.clock.jump_ms(30_000);
    let after_pause = lock.permit();
    block_on(lock.step(setup.limit())).unwrap();

    // Assert
    assert_eq!(after_pause, None);
    assert!(lock.permit().unwrap().fencing > before);
}

/// Guards against a holder that keeps its permit after a restored platform has lost its lease.
#[test]
fn restoration_ends_the_permit_for_a_lease_lifetime() {
    // Arrange
    let setup = setup(&[]);
    let lock = setup.lock("node-1");
    block_on(lock.step(setup.limit())).unwrap();
    let key_value = setup.key_value(CallRank::Refresh);
    block_on(key_value.get(&key("a"), setup.limit())).unwrap();
    setup.fake.data.lock().unwrap().revision = 0;

    // Act
    let _ = block_on(key_value.get(&key("a"), setup.limit()));
    let status = block_on(lock.step(setup.limit())).unwrap();

    // Assert
    assert_eq!(status, LockStatus::HeldByOther);
    assert_eq!(lock.permit(), None);
}

/// Guards against failed renewals that are repeated at the shortest interval until the lease ends,
/// by each holder of a lock, while the platform is in trouble.
#[test]
fn pauses_between_failed_renewals_grow() {
    // Arrange
    let setup = setup(&[]);
    let lock = setup.lock("node-1");
    block_on(lock.step(setup.limit())).unwrap();
    setup.clock.jump_ms(10_000);
    setup.fake.data.lock().unwrap().faults = [Fault::NotSent; 20].into();

    // Act
    let mut pauses_ms = Vec::new();
    for _ in 0..8 {
        block_on(lock.step(setup.limit())).unwrap_err();
        let LockStatus::Held(next) = block_on(lock.step(setup.limit())).unwrap() else {
            panic!("the lock was lost before its lease ended");
        };
        let pause_ms = next.ms_since(setup.clock.now());
        setup.clock.jump_ms(pause_ms);
        pauses_ms.push(pause_ms);
    }

    // Assert: after the first failure, a pause is at most 200 ms long.
    assert!(pauses_ms.iter().any(|&pause_ms| pause_ms > 200), "{pauses_ms:?}");
    assert!(pauses_ms.iter().all(|&pause_ms| pause_ms <= 1_100), "{pauses_ms:?}");
}

/// Guards against attempts that are all given up at the same age: if pages take longer than that on
/// a busy link, no attempt ever ends, and all of them together keep the link busy.
#[test]
fn attempts_of_a_read_get_more_time() {
    // Arrange
    let setup = setup(&[Fault::NotSent; 5]);
    let started_at = setup.clock.now();

    // Act
    block_on(setup.key_value(CallRank::Refresh).get(&key("a"), setup.limit())).unwrap();

    // Assert: by default an attempt has 2 s, and the pauses before the last ones are short.
    let data = setup.fake.data.lock().unwrap();
    let ends_ms: Vec<u64> =
        data.deadlines.iter().map(|deadline| deadline.instant().ms_since(started_at)).collect();
    assert!((2_000..3_900).contains(&ends_ms[0]), "{ends_ms:?}");
    assert!(ends_ms[1] >= 4_000 && ends_ms[2..].iter().all(|&end| end >= 8_000), "{ends_ms:?}");
}
