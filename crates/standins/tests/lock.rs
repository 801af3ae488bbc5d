//! Property test of the lease lock: pauses, lost responses and lease expiry at any call.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::task::block_on;
use async_trait::async_trait;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccapass_decisions::platform_budget::{CallRank, FleetRates, LeaseTerms};
use yuccapass_platform::wire::{
    Base64Bytes, CompareBody, OperationBody, PutBody, RangeBody, TxnBody,
};
use yuccapass_platform::{
    Compare, Entry, GetResponse, Key, KeyValue, KeyValueRevision, LeaseGrant, LeaseId, LeaseLock,
    LeaseTtl, Page, PlatformClient, PlatformClientConfig, PlatformError, PlatformErrorKind,
    RangeRequest, Transaction, TransactionOutcome, Value, WatchOutcome, WatchRequest, Write,
};
use yuccapass_standins::platform::KeyValueStore;
use yuccapass_types::{Clock, Deadline, FencingNumber, Instant, MonotonicClock, RequestsPerSecond};

/// Time to live of the lock's lease.
const LEASE_MS: u64 = 10_000;

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
enum Event {
    Answered,
    NotSent,
    LostAfterEffect,
    LostBeforeEffect,
    /// A third node acquires the lock if it is free, and the call has no effect and no response.
    AcquiredByOther,
    /// After the call took effect the process is paused, for this percentage of the lease's TTL.
    Pause(u64),
}

/// A real clock that can also jump ahead, as a process sees it after a pause.
#[derive(Default)]
struct JumpingClock {
    clock: MonotonicClock,
    jumped_ms: AtomicU64,
}

impl Clock for JumpingClock {
    fn now(&self) -> Instant {
        Instant::from_ms(self.clock.now().as_ms() + self.jumped_ms.load(Ordering::SeqCst))
    }
}

/// The stand-in's key-value store without a network, whose calls follow a script of events.
struct ScriptedStore {
    store: Mutex<KeyValueStore>,
    script: Mutex<VecDeque<Event>>,
    clock: Arc<JumpingClock>,
}

fn failure(kind: PlatformErrorKind) -> PlatformError {
    PlatformError::new(kind, "scripted")
}

fn bytes(key: &Key) -> Base64Bytes {
    Base64Bytes(key.as_str().as_bytes().to_vec())
}

impl ScriptedStore {
    fn call<T>(
        &self,
        lost: PlatformErrorKind,
        action: impl FnOnce(&mut KeyValueStore, Instant) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let event = self.script.lock().unwrap().pop_front().unwrap_or(Event::Answered);
        let now = self.clock.now();
        let mut store = self.store.lock().unwrap();
        store.expire(now);
        match event {
            Event::Answered => action(&mut store, now),
            Event::NotSent => Err(failure(PlatformErrorKind::Unavailable)),
            Event::LostBeforeEffect => Err(failure(lost)),
            Event::AcquiredByOther => {
                acquire_for_other(&mut store, now);
                Err(failure(lost))
            }
            Event::LostAfterEffect => {
                let _ = action(&mut store, now);
                Err(failure(lost))
            }
            Event::Pause(percent) => {
                let answer = action(&mut store, now);
                self.clock.jumped_ms.fetch_add(LEASE_MS * percent / 100, Ordering::SeqCst);
                answer
            }
        }
    }

    fn write<T>(
        &self,
        action: impl FnOnce(&mut KeyValueStore, Instant) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.call(PlatformErrorKind::Unknown, action)
    }
}

/// The key in which the lock stores its holder.
const HOLDER_KEY: &str = "driver/holder";

/// Acquires the lock for a third node if it is free.
fn acquire_for_other(store: &mut KeyValueStore, now: Instant) {
    let key = Base64Bytes(HOLDER_KEY.as_bytes().to_vec());
    let lease = store.grant(LEASE_MS / 1_000, now);
    let put = PutBody { key: key.clone(), value: Base64Bytes(b"other".to_vec()), lease };
    let put = OperationBody { request_put: Some(put), ..Default::default() };
    let absent = CompareBody { key, ..Default::default() };
    let body = TxnBody { compare: vec![absent], success: vec![put], failure: Vec::new() };
    store.transact(&body).unwrap();
}

/// Returns the node that holds the lock according to the store.
fn stored_holder(store: &ScriptedStore) -> Option<Vec<u8>> {
    let mut state = store.store.lock().unwrap();
    state.expire(store.clock.now());
    let key = Base64Bytes(HOLDER_KEY.as_bytes().to_vec());
    let kv = state.range(&RangeBody { key, ..Default::default() }).unwrap().kvs.pop();
    kv.map(|kv| kv.value.0)
}

fn txn_body(transaction: &Transaction) -> TxnBody {
    let compare = transaction.compares.iter().map(|compare| {
        let (key, mod_revision) = match compare {
            Compare::Absent(key) => (key, 0),
            Compare::ModRevision(key, revision) => (key, revision.get()),
        };
        CompareBody { key: bytes(key), mod_revision, ..Default::default() }
    });
    let success = transaction.writes.iter().map(|write| {
        let Write::Put { key, value, lease } = write else { panic!("the lock deletes no key") };
        let value = Base64Bytes(value.as_bytes().to_vec());
        let lease = lease.unwrap_or_default().get();
        let put = PutBody { key: bytes(key), value, lease };
        OperationBody { request_put: Some(put), ..Default::default() }
    });
    TxnBody { compare: compare.collect(), success: success.collect(), failure: Vec::new() }
}

#[async_trait]
impl KeyValue for ScriptedStore {
    async fn get(&self, key: &Key, _: Deadline) -> Result<GetResponse, PlatformError> {
        self.call(PlatformErrorKind::Unavailable, |store, _| {
            let body = RangeBody { key: bytes(key), ..Default::default() };
            let kv = store.range(&body).unwrap().kvs.pop();
            let entry = kv.map(|kv| Entry {
                key: key.clone(),
                value: Value::new(kv.value.0).unwrap(),
                mod_revision: KeyValueRevision::new(kv.mod_revision),
                lease: (kv.lease != 0).then(|| LeaseId::new(kv.lease)),
            });
            Ok(GetResponse { revision: KeyValueRevision::new(store.revision()), entry })
        })
    }

    async fn range(&self, _: &RangeRequest, _: Deadline) -> Result<Page, PlatformError> {
        Err(failure(PlatformErrorKind::InvalidRequest))
    }

    async fn compare_and_swap(
        &self,
        transaction: &Transaction,
        _: Deadline,
    ) -> Result<TransactionOutcome, PlatformError> {
        self.write(|store, _| {
            let answer = store
                .transact(&txn_body(transaction))
                .map_err(|_| failure(PlatformErrorKind::LeaseNotFound))?;
            let revision = KeyValueRevision::new(store.revision());
            Ok(match answer.succeeded {
                true => TransactionOutcome::Committed { revision },
                false => TransactionOutcome::Conflict { revision, entries: Vec::new() },
            })
        })
    }

    async fn lease_grant(&self, ttl: LeaseTtl, _: Deadline) -> Result<LeaseGrant, PlatformError> {
        self.write(|store, now| {
            Ok(LeaseGrant { id: LeaseId::new(store.grant(ttl.get(), now)), ttl })
        })
    }

    async fn lease_keep_alive(
        &self,
        lease: LeaseId,
        _: Deadline,
    ) -> Result<LeaseGrant, PlatformError> {
        self.write(|store, now| match store.keep_alive(lease.get(), now) {
            0 => Err(failure(PlatformErrorKind::LeaseNotFound)),
            ttl_s => Ok(LeaseGrant { id: lease, ttl: LeaseTtl::new(ttl_s) }),
        })
    }

    async fn lease_revoke(&self, lease: LeaseId, _: Deadline) -> Result<(), PlatformError> {
        self.write(|store, _| {
            store.revoke(lease.get()).map_err(|_| failure(PlatformErrorKind::LeaseNotFound))
        })
    }

    async fn watch(&self, _: &WatchRequest, _: Deadline) -> Result<WatchOutcome, PlatformError> {
        Err(failure(PlatformErrorKind::InvalidRequest))
    }
}

fn lock(store: &Arc<ScriptedStore>, node: &str, seed: u64) -> LeaseLock {
    let unlimited = RequestsPerSecond::new(1_000_000);
    let config = PlatformClientConfig::new(1, seed).rates(FleetRates::new(unlimited, unlimited));
    let client = PlatformClient::new(store.clone(), store.clock.clone(), &config);
    let terms = LeaseTerms::new(LEASE_MS);
    let key_value = client.key_value(CallRank::Lease);
    LeaseLock::new(key_value, &"driver".parse().unwrap(), node.parse().unwrap(), terms).unwrap()
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => Just(Event::Answered),
        1 => Just(Event::NotSent),
        1 => Just(Event::LostAfterEffect),
        1 => Just(Event::LostBeforeEffect),
        1 => Just(Event::AcquiredByOther),
        2 => (0u64..150).prop_map(Event::Pause),
    ];
    prop::collection::vec(event, 0..14)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        cases: 48,
        ..ProptestConfig::default()
    })]

    /// Guards against two holders at the same time and against a fencing number that two holders
    /// use, whichever calls are lost and whenever a holder is paused.
    #[test]
    fn at_most_one_node_holds_the_lock(
        script in events(),
        steps in prop::collection::vec((0usize..2, 0u64..60), 1..14),
    ) {
        // Arrange
        let store = Arc::new(ScriptedStore {
            store: Mutex::default(),
            script: Mutex::new(script.into()),
            clock: Arc::default(),
        });
        let locks = [lock(&store, "node-1", 1), lock(&store, "node-2", 2)];
        let mut last_holder: Option<(usize, FencingNumber)> = None;
        for (index, pause_percent) in steps {
            // Act
            let limit = Deadline::after_ms(store.clock.now(), 2 * LEASE_MS);
            let _ = block_on(locks[index].step(limit));
            store.clock.jumped_ms.fetch_add(LEASE_MS * pause_percent / 100, Ordering::SeqCst);

            // Assert
            let permits = [locks[0].permit(), locks[1].permit()];
            prop_assert!(permits.iter().flatten().count() <= 1, "two holders");
            for (node, permit) in ["node-1", "node-2"].iter().zip(permits) {
                let holds = stored_holder(&store).as_deref() == Some(node.as_bytes());
                prop_assert!(permit.is_none() || holds, "{} acts without the lock", node);
            }
            let holder = (0..2).find_map(|index| Some((index, permits[index]?.fencing)));
            if let (Some((last, last_number)), Some((now, number))) = (last_holder, holder) {
                let least = if last == now { last_number } else { last_number.next() };
                prop_assert!(number >= least, "fencing number {} after {}", number, last_number);
            }
            last_holder = holder.or(last_holder);
        }
    }
}
