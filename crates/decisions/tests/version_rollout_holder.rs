//! Tests of the holder of a roll-out while it fails, with a fake of the key-value service.

mod rollout_fleet;

use rollout_fleet::{id, order};
use yuccapass_decisions::gateway::version_rollout::{
    FleetView, HolderAction, RollbackReason, RolloutHolder, RolloutLimits, RolloutOrder,
    RolloutProgress, Stage, Verdict,
};
use yuccapass_types::{FencingNumber, RolloutOrderId, SoftwareVersion, TrafficShare};

const DURATION_MS: u64 = 12_000;

/// A write that a holder has sent.
#[derive(Debug, Clone)]
struct Transaction {
    expected: Option<u64>,
    fencing: FencingNumber,
    progress: RolloutProgress,
}

/// The key of the progress and the lock.
#[derive(Debug, Default)]
struct FakeStore {
    revision: u64,
    stored: Option<(u64, RolloutProgress)>,
    lock: FencingNumber,
    // All progress that was ever stored.
    history: Vec<RolloutProgress>,
}

impl FakeStore {
    fn transact(&mut self, transaction: Transaction) -> Option<u64> {
        let revision = self.stored.as_ref().map(|(revision, _)| *revision);
        if transaction.expected != revision || transaction.fencing != self.lock {
            return None;
        }
        self.revision += 1;
        self.history.push(transaction.progress.clone());
        self.stored = Some((self.revision, transaction.progress));
        Some(self.revision)
    }

    fn stage(&self) -> Option<Stage> {
        self.stored.as_ref().map(|(_, progress)| progress.stage)
    }
}

/// What a test changes about the view of a holder.
#[derive(Debug, Clone)]
struct World {
    order: Option<RolloutOrder>,
    elapsed_ms: u64,
    verdict: Verdict,
    outstanding_base: u64,
    unreported_nodes: usize,
}

fn world(elapsed_ms: u64) -> World {
    World {
        order: Some(order(5, "v2", DURATION_MS)),
        elapsed_ms,
        verdict: Verdict::Sound,
        outstanding_base: 0,
        unreported_nodes: 0,
    }
}

/// Returns what the holder wants to write; it first reads the store if it has to.
fn next(holder: &mut RolloutHolder, store: &FakeStore, world: &World) -> Option<Transaction> {
    loop {
        let progress = holder.progress().cloned();
        let base_versions: [SoftwareVersion; 1] = [id("v1")];
        let view = FleetView {
            order: world.order.as_ref(),
            progress: progress.as_ref(),
            elapsed_ms: world.elapsed_ms,
            ready_targets: 6,
            base_versions: &base_versions,
            verdict: world.verdict,
            target_answers: 1_000,
            nodes: 9,
            sent: 10_000,
            outstanding_base: world.outstanding_base,
            unreported_nodes: world.unreported_nodes,
            has_alarm: false,
        };
        match holder.next(&view, &RolloutLimits::default()) {
            HolderAction::Read => holder.record_read(store.stored.clone()),
            HolderAction::Wait => return None,
            HolderAction::Write { expected, progress } => {
                let fencing = holder.fencing();
                return Some(Transaction { expected, fencing, progress: *progress });
            }
        }
    }
}

/// Lets the holder write what is due, with an answer to each write.
fn step(holder: &mut RolloutHolder, store: &mut FakeStore, world: &World) {
    if let Some(transaction) = next(holder, store, world) {
        match store.transact(transaction) {
            Some(revision) => holder.record_written(revision),
            None => holder.record_unknown(),
        }
    }
}

/// Makes a node the holder with the next fencing number.
fn take_lock(store: &mut FakeStore) -> RolloutHolder {
    store.lock = FencingNumber::new(store.lock.get() + 1);
    RolloutHolder::new(store.lock)
}

/// Goes on until the order has ended.
fn finish(holder: &mut RolloutHolder, store: &mut FakeStore, from_ms: u64) {
    for elapsed_ms in (from_ms..=DURATION_MS).step_by(250) {
        step(holder, store, &world(elapsed_ms));
    }
}

/// Runs an order until its stage is this one; returns the holder and the elapsed time.
fn run_until(store: &mut FakeStore, stage: Stage) -> (RolloutHolder, u64) {
    let mut holder = take_lock(store);
    for elapsed_ms in (0..DURATION_MS).step_by(250) {
        // Nothing is completed while requests are left at the old version.
        step(&mut holder, store, &World { outstanding_base: 1, ..world(elapsed_ms) });
        if store.stage() == Some(stage) {
            return (holder, elapsed_ms);
        }
    }
    panic!("the stage {stage} is not reached: {store:?}");
}

const RUNNING: [Stage; 5] =
    [Stage::Waiting, Stage::Observing, Stage::Raising(0), Stage::Raising(1), Stage::Full];

/// Guards against an order that stays where a holder that was killed has left it.
#[test]
fn another_holder_goes_on_after_a_kill_at_any_stage() {
    for stage in RUNNING {
        // Arrange
        let mut store = FakeStore::default();
        let (_, elapsed_ms) = run_until(&mut store, stage);

        // Act: the lease of the holder takes 3 s to expire.
        let mut second = take_lock(&mut store);
        finish(&mut second, &mut store, elapsed_ms + 3_000);
        let ended_by_deadline = store.stage() == Some(Stage::Completed);

        // Assert: no stage is repeated, and the order is completed in its time.
        let steps: Vec<u32> = store.history.iter().map(|progress| progress.step).collect();
        assert!(steps.is_sorted_by(|a, b| a < b), "{stage}: {steps:?}");
        assert!(ended_by_deadline, "{stage}: {store:?}");
    }
}

/// Guards against a holder that wakes after a freeze and writes what it had decided before.
#[test]
fn a_holder_that_was_frozen_does_not_write() {
    for stage in RUNNING {
        // Arrange: it has decided on a write, and freezes before it is sent.
        let mut store = FakeStore::default();
        let (mut frozen, elapsed_ms) = run_until(&mut store, stage);
        let later = world(elapsed_ms.max(4_000) + 4_000);
        let decided = next(&mut frozen, &store, &later).expect("a stage follows");
        let mut second = take_lock(&mut store);
        let bad = Verdict::Bad(RollbackReason::Failures);
        step(&mut second, &mut store, &World { verdict: bad, ..later.clone() });
        step(&mut second, &mut store, &World { verdict: bad, ..later.clone() });

        // Act
        let written = store.transact(decided);
        frozen.record_unknown();
        step(&mut frozen, &mut store, &later);

        // Assert
        assert_eq!(written, None, "{stage}");
        let rolled_back = Stage::RolledBack(RollbackReason::Failures);
        assert_eq!(store.stage(), Some(rolled_back), "{stage}");
    }
}

/// Guards against a holder that is cut off from the store and, after its return, goes on from what it
/// knew before.
#[test]
fn a_holder_that_was_cut_off_follows_what_the_next_one_wrote() {
    // Arrange
    let mut store = FakeStore::default();
    let (mut cut_off, elapsed_ms) = run_until(&mut store, Stage::Observing);
    let mut second = take_lock(&mut store);
    let withdrawn = World { order: None, ..world(elapsed_ms + 3_000) };
    step(&mut second, &mut store, &withdrawn);

    // Act: the write of the first holder does not arrive.
    assert!(next(&mut cut_off, &store, &world(11_000)).is_some());
    cut_off.record_unknown();
    let after_return = next(&mut cut_off, &store, &world(11_500)).map(|write| write.progress);

    // Assert
    assert_eq!(store.stage(), Some(Stage::RolledBack(RollbackReason::Withdrawn)));
    assert_eq!(after_return, None);
}

/// Guards against a write without an answer that is repeated although it was carried out.
#[test]
fn a_write_whose_answer_is_lost_is_read_before_the_next_one() {
    for stage in RUNNING {
        // Arrange
        let mut store = FakeStore::default();
        let (mut holder, elapsed_ms) = run_until(&mut store, stage);
        let later = world(elapsed_ms.max(4_000) + 4_000);
        let write = next(&mut holder, &store, &later).expect("a stage follows");

        // Act
        store.transact(write.clone());
        holder.record_unknown();
        let following = next(&mut holder, &store, &later);

        // Assert
        assert_eq!(holder.progress(), Some(&write.progress), "{stage}");
        let is_repeated = following.is_some_and(|following| following.progress == write.progress);
        assert!(!is_repeated, "{stage}");
    }
}

/// Guards against a write that is carried out after the holder has decided otherwise.
#[test]
fn a_late_write_does_not_undo_a_roll_back() {
    // Arrange: the write that begins the last stage is on its way, and the holder hears nothing.
    let mut store = FakeStore::default();
    let (mut holder, elapsed_ms) = run_until(&mut store, Stage::Raising(1));
    let late = next(&mut holder, &store, &world(elapsed_ms + 2_000)).expect("a stage follows");
    holder.record_unknown();
    let bad =
        World { verdict: Verdict::Bad(RollbackReason::Slowness), ..world(elapsed_ms + 2_500) };

    for is_before in [false, true] {
        let mut store = FakeStore { stored: store.stored.clone(), history: Vec::new(), ..store };
        let mut holder = holder.clone();

        // Act: it is carried out after the roll-back, or between its decision and its write.
        let roll_back = next(&mut holder, &store, &bad).expect("the version is bad");
        if is_before {
            assert!(store.transact(late.clone()).is_some());
        }
        match store.transact(roll_back) {
            Some(revision) => holder.record_written(revision),
            None => holder.record_unknown(),
        }
        step(&mut holder, &mut store, &bad);
        let is_refused = store.transact(late.clone()).is_none();

        // Assert
        assert!(is_refused, "{is_before}");
        let rolled_back = Stage::RolledBack(RollbackReason::Slowness);
        assert_eq!(store.stage(), Some(rolled_back), "{is_before}");
    }
}

/// Guards against an order that is lost, or two that run at once, if operators change their mind.
#[test]
fn a_second_order_replaces_a_running_one() {
    for stage in RUNNING {
        // Arrange
        let mut store = FakeStore::default();
        let (mut holder, _) = run_until(&mut store, stage);

        // Act
        let second = World { order: Some(order(6, "v3", DURATION_MS)), ..world(0) };
        step(&mut holder, &mut store, &second);

        // Assert
        let (_, progress) = store.stored.clone().expect("the order is taken");
        assert_eq!(progress.order, RolloutOrderId::new(6), "{stage}");
        assert_eq!((progress.stage, progress.share), (Stage::Waiting, TrafficShare::NONE));
        assert_eq!(progress.barred, [id("v2")], "{stage}");
    }
}

/// Guards against an order for a version that was rolled back and stays barred, or is completed on the
/// earlier evidence.
#[test]
fn the_same_target_starts_anew_after_a_roll_back() {
    // Arrange
    let mut store = FakeStore::default();
    let (mut holder, elapsed_ms) = run_until(&mut store, Stage::Observing);
    let bad = Verdict::Bad(RollbackReason::Failures);
    step(&mut holder, &mut store, &World { verdict: bad, ..world(elapsed_ms) });

    // Act
    let again = World { order: Some(order(6, "v2", DURATION_MS)), ..world(0) };
    step(&mut holder, &mut store, &again);

    // Assert
    let (_, progress) = store.stored.clone().expect("the order is taken");
    assert_eq!((progress.stage, progress.barred), (Stage::Waiting, Vec::new()));
}

/// Guards against a status that says completed while requests still run at the old version.
#[test]
fn an_order_is_not_completed_while_requests_are_left_at_the_old_version() {
    // Arrange
    let mut store = FakeStore::default();
    let (mut holder, elapsed_ms) = run_until(&mut store, Stage::Full);

    // Act: also long after its deadline.
    for later_ms in (elapsed_ms..60_000).step_by(250) {
        let left = World { outstanding_base: 1, ..world(later_ms) };
        step(&mut holder, &mut store, &left);
    }
    let before = store.stage();
    step(&mut holder, &mut store, &world(60_000));

    // Assert
    assert_eq!((before, store.stage()), (Some(Stage::Full), Some(Stage::Completed)));
}

/// Guards against a completion before nodes have learnt that the old version gets nothing more, and
/// against one that waits for ever for a node that is cut off.
#[test]
fn a_completion_waits_for_nodes_that_do_not_report_for_a_bounded_time() {
    // Arrange
    let mut store = FakeStore::default();
    let (mut holder, elapsed_ms) = run_until(&mut store, Stage::Full);
    let unreported = |later_ms| World { unreported_nodes: 1, ..world(elapsed_ms + later_ms) };

    // Act
    step(&mut holder, &mut store, &unreported(3_750));
    let before = store.stage();
    step(&mut holder, &mut store, &unreported(4_000));

    // Assert
    assert_eq!((before, store.stage()), (Some(Stage::Full), Some(Stage::Completed)));
}
