//! Tests of the platform client against the stand-in platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use futures::future::join;
use http_types::Method;
use yuccapass_decisions::platform_budget::settle_write::Settled;
use yuccapass_decisions::platform_budget::{CallRank, LeaseTerms};
use yuccapass_decisions::rollout::{Plan, Progress, Target, WriteOutcome};
use yuccapass_http::{
    ClientConfig, ConnectionChoice, HttpClient, RejectReason, ServerConfig, StopController, serve,
    stop_pair,
};
use yuccapass_platform::wire::{Base64Bytes, PutBody};
use yuccapass_platform::{
    Change, ChangeKind, Compare, HttpKeyValue, HttpVmList, IdempotentTransaction, Key, KeyRange,
    KeyValue, KeyValueClient, KeyValueRevision, LeaseLock, LeaseTtl, LockStatus, PlatformClient,
    PlatformClientConfig, PlatformErrorKind, PlatformTransportConfig, ProgressStore, RangeRequest,
    Transaction, TransactionOutcome, Value, VmList, VmListing, WatchOutcome, WatchRequest, Write,
};
use yuccapass_standins::platform::{Faults, Outage, PlatformState, StandinConfig, build_app};
use yuccapass_types::{Clock, Deadline, MonotonicClock};

/// Generous limit for calls that are expected to end before it.
const LIMIT_MS: u64 = 60_000;

/// Deadline of calls that get no response; it only has to be long enough to send them.
const SEND_LIMIT_MS: u64 = 2_000;

struct Standin {
    state: PlatformState,
    address: SocketAddr,
    clock: Arc<MonotonicClock>,
    _controller: StopController,
}

fn start(config: StandinConfig) -> Standin {
    let state = PlatformState::new(config);
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let (controller, stop) = stop_pair();
    let reject = |_: RejectReason| (503, String::new());
    task::spawn(serve(listener, build_app(state.clone()), ServerConfig::new(reject), stop));
    Standin { state, address, clock: Arc::default(), _controller: controller }
}

fn start_default() -> Standin {
    start(StandinConfig::default())
}

impl Standin {
    fn key_value(&self) -> HttpKeyValue {
        HttpKeyValue::new(&PlatformTransportConfig::new(vec![self.address]), self.clock.clone())
    }

    fn client(&self, rank: CallRank) -> KeyValueClient {
        let config = PlatformClientConfig::new(1, 3).attempt_timeout_ms(SEND_LIMIT_MS);
        let inner = Arc::new(self.key_value());
        PlatformClient::new(inner, self.clock.clone(), &config).key_value(rank)
    }

    fn limit(&self) -> Deadline {
        self.after_ms(LIMIT_MS)
    }

    fn after_ms(&self, ms: u64) -> Deadline {
        Deadline::after_ms(self.clock.now(), ms)
    }

    fn put(&self, name: &str) -> KeyValueRevision {
        let swap = transaction(Vec::new(), name);
        let key_value = self.key_value();
        match block_on(key_value.compare_and_swap(&swap, self.limit())).unwrap() {
            TransactionOutcome::Committed { revision } => revision,
            TransactionOutcome::Conflict { .. } => panic!("a put without conditions conflicted"),
        }
    }

    /// Sets a key as another writer does.
    fn put_bytes(&self, key: Vec<u8>) {
        let put = PutBody { key: Base64Bytes(key), ..PutBody::default() };
        let body = serde_json::to_vec(&put).unwrap();
        let client = HttpClient::new(self.address, ClientConfig::default(), self.clock.clone());
        let mut request = client.request(Method::Post, "/v3/kv/put");
        request.set_body(body);
        let sending = client.send(request, ConnectionChoice::New, self.limit());
        assert!(block_on(sending).unwrap().response().status().is_success());
    }

    fn watch(&self, from: u64) -> WatchOutcome {
        let range = KeyRange::Prefix(key("z/"));
        let request = WatchRequest { range, from: KeyValueRevision::new(from) };
        block_on(self.key_value().watch(&request, self.limit())).unwrap()
    }
}

fn key(text: &str) -> Key {
    text.parse().unwrap()
}

fn transaction(compares: Vec<Compare>, name: &str) -> Transaction {
    let value = Value::new(name.as_bytes().to_vec()).unwrap();
    Transaction { compares, writes: vec![Write::Put { key: key(name), value, lease: None }] }
}

fn with_outage(outage: Outage) -> Faults {
    Faults { outage, ..Faults::default() }
}

/// Waits until a condition holds; fails after [`LIMIT_MS`].
fn wait_until(standin: &Standin, condition: impl Fn() -> bool) {
    let limit = standin.limit();
    while !condition() {
        assert!(
            !limit.has_passed(standin.clock.now()),
            "the condition did not hold within {LIMIT_MS} ms"
        );
        block_on(task::sleep(std::time::Duration::from_millis(5)));
    }
}

/// Guards against pages that omit or repeat keys, or that show different revisions.
#[test]
fn pages_show_all_keys_of_one_revision() {
    // Arrange
    let standin = start_default();
    for name in ["a", "z/1", "z/2", "z/3", "z/4", "z0"] {
        standin.put(name);
    }
    let key_value = standin.key_value();
    let range = KeyRange::Prefix(key("z/"));
    let mut request =
        RangeRequest { range, start: None, limit: 3, revision: None, may_be_stale: false };

    // Act
    let first = block_on(key_value.range(&request, standin.limit())).unwrap();
    standin.put("z/5");
    request.start = first.next.clone();
    request.revision = Some(first.revision);
    let second = block_on(key_value.range(&request, standin.limit())).unwrap();

    // Assert
    let keys = first.entries.iter().chain(&second.entries).map(|entry| entry.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["z/1", "z/2", "z/3", "z/4"]);
    assert_eq!(second.next, None);
}

/// Guards against a key that is not valid here and that hides all others in lists and watches.
#[test]
fn keys_of_other_writers_do_not_hide_the_others() {
    // Arrange
    let standin = start_default();
    let odd_keys = ["z/a b", "z/a\u{1}b", "z/\u{e9}"].map(|name| name.as_bytes().to_vec());
    let not_text = vec![b'z', b'/', 0xff];
    standin.put("z/a");
    for key in odd_keys.into_iter().chain([not_text]) {
        standin.put_bytes(key);
    }
    standin.put("z/i");
    let key_value = standin.key_value();
    let range = KeyRange::Prefix(key("z/"));
    let mut request =
        RangeRequest { range, start: None, limit: 1, revision: None, may_be_stale: false };

    // Act
    let mut listed = Vec::new();
    let mut pages = 0;
    loop {
        let page = block_on(key_value.range(&request, standin.limit())).unwrap();
        listed.extend(page.entries.into_iter().map(|entry| entry.key));
        pages += 1;
        request.start = page.next;
        if request.start.is_none() {
            break;
        }
    }
    let watched = standin.watch(1);

    // Assert
    assert_eq!((listed, pages), (vec![key("z/a"), key("z/i")], 6));
    let WatchOutcome::Changes(changes) = watched else { panic!("{watched:?}") };
    assert_eq!(changes.len(), 2);
}

/// Guards against a list that goes on without end, since its next page begins where it does.
#[test]
fn a_page_that_does_not_lead_on_is_an_error() {
    // Arrange
    let standin = start_default();
    standin.put("z/1");
    let key_value = standin.key_value();
    let range = KeyRange::Prefix(key("z/1"));
    let request =
        RangeRequest { range, start: None, limit: 0, revision: None, may_be_stale: false };

    // Act
    let page = block_on(key_value.range(&request, standin.limit()));

    // Assert
    assert_eq!(page.map_err(|error| error.kind()), Err(PlatformErrorKind::Protocol));
}

/// Guards against two writers that both succeed in changing the same revision.
#[test]
fn of_two_concurrent_writers_one_wins_and_the_other_sees_the_change() {
    // Arrange
    let standin = start_default();
    let revision = standin.put("z/1");
    let swap = transaction(vec![Compare::ModRevision(key("z/1"), revision)], "z/1");
    let (first, second) = (standin.key_value(), standin.key_value());

    // Act
    let both = join(
        first.compare_and_swap(&swap, standin.limit()),
        second.compare_and_swap(&swap, standin.limit()),
    );
    let (first, second) = block_on(both);

    // Assert
    let outcomes = [first.unwrap(), second.unwrap()];
    let conflicts = outcomes.iter().filter_map(|outcome| match outcome {
        TransactionOutcome::Conflict { entries, .. } => Some(entries[0].mod_revision),
        TransactionOutcome::Committed { .. } => None,
    });
    assert_eq!(conflicts.collect::<Vec<_>>(), [revision.next()]);
}

/// Guards against a lost response that is reported as a failed write, and against writing twice.
#[test]
fn lost_response_is_unknown_and_is_settled_by_reading_back() {
    // Arrange
    let standin = start_default();
    standin.state.set_faults(Faults { lost_answers: 2, ..Faults::default() });
    let idempotent = IdempotentTransaction::new(key("commands/1"), transaction(Vec::new(), "z/1"));
    let swap = transaction(Vec::new(), "z/2");

    // Act
    let key_value = standin.key_value();
    let plain = block_on(key_value.compare_and_swap(&swap, standin.after_ms(SEND_LIMIT_MS)));
    let client = standin.client(CallRank::Command);
    let outcome = block_on(client.settle(&idempotent, standin.limit()));

    // Assert
    assert_eq!(plain.unwrap_err().kind(), PlatformErrorKind::Unknown);
    assert_eq!(outcome.settled, Settled::Committed);
    assert_eq!(standin.state.stats().revision, 2);
}

/// Guards against a client that needs the platform when it starts, and one that does not notice
/// when the platform becomes available.
#[test]
fn platform_that_is_down_at_the_start_is_reached_when_it_returns() {
    // Arrange
    let faults = with_outage(Outage::Refuses);
    let standin = start(StandinConfig { faults, ..StandinConfig::default() });
    let client = standin.client(CallRank::Refresh);
    let early = block_on(client.get(&key("a"), standin.after_ms(SEND_LIMIT_MS)));

    // Act
    let reading = task::spawn({
        let (client, limit) = (client.clone(), standin.limit());
        async move { client.get(&key("a"), limit).await }
    });
    let before = standin.state.stats().reads.total;
    wait_until(&standin, || standin.state.stats().reads.total > before);
    standin.state.set_faults(Faults::default());
    let late = block_on(reading);

    // Assert
    assert_eq!(early.unwrap_err().kind(), PlatformErrorKind::Unavailable);
    assert!(late.is_ok());
}

/// Guards against calls that a silent or slow platform delays past their deadline.
#[test]
fn silent_and_slow_platforms_end_calls_at_their_deadline() {
    // Arrange
    let slow = Faults { slow_ms: LIMIT_MS, ..Faults::default() };
    for faults in [with_outage(Outage::Silent), slow] {
        let standin = start(StandinConfig { faults, ..StandinConfig::default() });
        let key_value = standin.key_value();
        let swap = transaction(Vec::new(), "z/1");

        // Act
        let read = block_on(key_value.get(&key("a"), standin.after_ms(SEND_LIMIT_MS)));
        let write = block_on(key_value.compare_and_swap(&swap, standin.after_ms(SEND_LIMIT_MS)));

        // Assert
        assert_eq!(read.unwrap_err().kind(), PlatformErrorKind::Unavailable);
        assert_eq!(write.unwrap_err().kind(), PlatformErrorKind::Unknown);
    }
}

/// Guards against reads that fail although another platform address responds, and against a write
/// that is sent to a second address although the first may have executed it.
#[test]
fn reads_move_to_the_next_address_and_sent_writes_do_not() {
    // Arrange
    let (broken, healthy) = (start_default(), start_default());
    broken.state.set_faults(with_outage(Outage::Silent));
    let addresses = PlatformTransportConfig::new(vec![broken.address, healthy.address]);
    let (reader, writer) = (
        HttpKeyValue::new(&addresses, healthy.clock.clone()),
        HttpKeyValue::new(&addresses, healthy.clock.clone()),
    );

    // Act
    let read = block_on(reader.get(&key("a"), healthy.after_ms(2 * SEND_LIMIT_MS)));
    let swap = transaction(Vec::new(), "z/1");
    let write = block_on(writer.compare_and_swap(&swap, healthy.after_ms(SEND_LIMIT_MS)));

    // Assert
    assert!(read.is_ok());
    assert_eq!(write.unwrap_err().kind(), PlatformErrorKind::Unknown);
    assert_eq!(healthy.state.stats().writes.total, 0);
}

/// Guards against changes that a watch misses, and against watches that remain after their client
/// has disconnected.
#[test]
fn watch_reports_changes_and_is_counted_while_it_waits() {
    // Arrange
    let standin = start_default();
    let watching = task::spawn({
        let (key_value, limit) = (standin.key_value(), standin.limit());
        let range = KeyRange::Prefix(key("z/"));
        let request = WatchRequest { range, from: KeyValueRevision::new(1) };
        async move { key_value.watch(&request, limit).await }
    });
    wait_until(&standin, || standin.state.stats().waiting_watches == 1);

    // Act
    standin.put("a");
    standin.put("z/1");
    let outcome = block_on(watching).unwrap();

    // Assert
    let WatchOutcome::Changes(changes) = outcome else { panic!("no changes: {outcome:?}") };
    let [Change { revision, kind: ChangeKind::Put(entry) }] = &changes[..] else {
        panic!("not one put: {changes:?}")
    };
    assert_eq!((revision.get(), entry.key.as_str()), (2, "z/1"));
    wait_until(&standin, || standin.state.stats().waiting_watches == 0);
}

/// Guards against a watcher that misses changes after a compaction, a restored older state or a
/// dropped connection.
#[test]
fn watch_reports_when_the_client_must_read_again() {
    // Arrange
    let standin = start_default();
    for _ in 0..9 {
        standin.put("z/1");
    }
    let dropped = Faults { watch_drop_percent: 100, ..Faults::default() };

    // Act
    standin.state.set_faults(dropped);
    let range = KeyRange::Prefix(key("z/"));
    let request = WatchRequest { range, from: KeyValueRevision::new(9) };
    let dropped = block_on(standin.key_value().watch(&request, standin.limit()));
    standin.state.set_faults(Faults { compact: true, ..Faults::default() });
    let compacted = standin.watch(3);
    standin.state.set_faults(Faults { restore_revision: Some(5), ..Faults::default() });
    let restored = standin.watch(10);

    // Assert
    assert_eq!(dropped.unwrap_err().kind(), PlatformErrorKind::Unavailable);
    assert_eq!(compacted, WatchOutcome::Compacted);
    assert_eq!(restored, WatchOutcome::Restored { revision: KeyValueRevision::new(5) });
}

/// Guards against a lock that is not released when its holder is dead.
#[test]
fn lock_is_acquired_with_a_higher_fencing_number_when_the_lease_expires() {
    // Arrange
    let standin = start_default();
    let lock = |node: &str| {
        let client = standin.client(CallRank::Lease);
        let terms = LeaseTerms::new(1_000);
        LeaseLock::new(client, &key("driver"), node.parse().unwrap(), terms).unwrap()
    };
    let (first, second) = (lock("node-1"), lock("node-2"));
    block_on(first.step(standin.limit())).unwrap();

    // Act: the first holder no longer renews its lease.
    wait_until(&standin, || {
        matches!(block_on(second.step(standin.limit())), Ok(LockStatus::Held(_)))
            && second.permit().is_some()
    });

    // Assert
    assert_eq!(first.permit(), None);
    let renewal = block_on(
        standin.key_value().lease_keep_alive(yuccapass_platform::LeaseId::new(1), standin.limit()),
    );
    assert_eq!(renewal.unwrap_err().kind(), PlatformErrorKind::LeaseNotFound);
}

/// Guards against progress that is written by a node that no longer holds the lock, and against a
/// lost response that is taken for a failed write.
#[test]
fn progress_is_written_only_under_the_lock() {
    // Arrange
    let standin = start_default();
    let lock = |node: &str| {
        let client = standin.client(CallRank::Lease);
        let terms = LeaseTerms::new(LIMIT_MS);
        LeaseLock::new(client, &key("driver"), node.parse().unwrap(), terms).unwrap()
    };
    let store = || ProgressStore::new(standin.client(CallRank::Lease), key("progress"));
    let target = |text: &str| Target::Version(text.parse().unwrap());
    let plan = Plan::new("m".parse().unwrap(), target("v1"), target("v2"), 2);
    let progress = Progress::new(plan, ["replica-1".parse().unwrap()]);
    let (first, second) = (lock("node-1"), lock("node-2"));
    let (mut first_store, mut second_store) = (store(), store());
    block_on(first.step(standin.limit())).unwrap();
    let old_condition = first.held_condition().unwrap();

    // Act
    standin.state.set_faults(Faults { lost_answers: 1, ..Faults::default() });
    let written = block_on(first_store.write(&progress, &first, standin.limit()));
    block_on(first.release(standin.limit())).unwrap();
    block_on(second.step(standin.limit())).unwrap();
    let loaded = block_on(second_store.load(standin.limit())).unwrap();
    let old_write = transaction(vec![old_condition], "progress");
    let old_write = block_on(standin.key_value().compare_and_swap(&old_write, standin.limit()));
    let old_holder = block_on(first_store.write(&progress, &first, standin.limit()));
    let new_holder = block_on(second_store.write(&progress, &second, standin.limit()));

    // Assert
    assert_eq!(written, WriteOutcome::Written);
    assert_eq!(loaded, Some(progress));
    assert!(matches!(old_write, Ok(TransactionOutcome::Conflict { .. })));
    assert_eq!(old_holder, WriteOutcome::Conflict);
    assert_eq!(new_holder, WriteOutcome::Written);
}

/// Guards against a renewal that has no effect, and a revocation that keeps the lease's keys.
#[test]
fn revoked_lease_deletes_its_keys() {
    // Arrange
    let standin = start_default();
    let key_value = standin.key_value();
    let ttl = LeaseTtl::new(LIMIT_MS / 1_000);
    let grant = block_on(key_value.lease_grant(ttl, standin.limit())).unwrap();
    let write = Write::Put { key: key("z/1"), value: Value::default(), lease: Some(grant.id) };
    let swap = Transaction { compares: vec![Compare::Absent(key("z/1"))], writes: vec![write] };
    block_on(key_value.compare_and_swap(&swap, standin.limit())).unwrap();

    // Act
    let renewed = block_on(key_value.lease_keep_alive(grant.id, standin.limit())).unwrap();
    block_on(key_value.lease_revoke(grant.id, standin.limit())).unwrap();
    let after = block_on(key_value.get(&key("z/1"), standin.limit())).unwrap();

    // Assert
    assert_eq!(renewed, grant);
    assert_eq!(after.entry, None);
}

/// Guards against a value of the largest allowed size that cannot be stored or read.
#[test]
fn largest_value_is_stored_and_read() {
    // Arrange
    let standin = start_default();
    let key_value = standin.key_value();
    let value = Value::new(vec![0xa5; yuccapass_platform::MAX_VALUE_BYTES]).unwrap();
    let write = Write::Put { key: key("z/1"), value: value.clone(), lease: None };
    let swap = Transaction { compares: Vec::new(), writes: vec![write] };

    // Act
    block_on(key_value.compare_and_swap(&swap, standin.limit())).unwrap();
    let answer = block_on(key_value.get(&key("z/1"), standin.limit())).unwrap();

    // Assert
    assert!(answer.entry.unwrap().value == value);
}

/// Guards against a VM list that changes before the lag, or never.
#[test]
fn vm_list_lags_behind_its_changes() {
    // Arrange
    let lagging = StandinConfig { vm_lag_ms: LIMIT_MS, ..StandinConfig::default() };
    let json = r#"{"vms":[{"id":"vm-1","address":"127.0.0.1:9","zone":"z","state":"leaving"}]}"#;
    let listing: VmListing = serde_json::from_str(json).unwrap();
    for (config, expected_vms) in [(lagging, 0), (StandinConfig::default(), 1)] {
        let standin = start(config);
        let config = PlatformTransportConfig::new(vec![standin.address]);
        let vm_list = HttpVmList::new(&config, standin.clock.clone());

        // Act
        standin.state.set_vms(listing.clone());
        let read = block_on(vm_list.list(standin.limit())).unwrap();

        // Assert
        assert_eq!(read.vms.len(), expected_vms);
    }
}
