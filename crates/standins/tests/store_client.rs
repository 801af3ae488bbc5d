//! Tests of the client of store VMs against the stand-in store over TCP, and of the stand-in's
//! tiers and link.

mod common;

use std::sync::Arc;

use async_std::task::block_on;
use common::{LIMIT_MS, Server, start_server};
use http_types::Method;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient, block_headers};
use yuccapass_standins::store::{Link, Store, StoreConfig, StoreFaults, Tiers, build_app};
use yuccapass_stores::{BlockStore, BlockTier, HttpStore, MAX_CONTAINS_BLOCKS, StoreErrorKind};
use yuccapass_types::{
    BlockHash, Bytes, BytesPerSecond, ChecksummedBlock, Clock, Deadline, Incarnation, Instant,
    MonotonicClock, SortedMap,
};

struct StoreFixture {
    store: Arc<Store>,
    client: HttpStore,
    clock: Arc<dyn Clock>,
    server: Server,
}

fn start_store(config: StoreConfig) -> StoreFixture {
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let store = Arc::new(Store::new(config, Arc::clone(&clock)));
    let server = start_server(build_app(Arc::clone(&store)));
    let client_config = ClientConfig::default().connect_timeout_ms(LIMIT_MS);
    let id = "manifest-cache".parse().unwrap();
    let client = HttpStore::new(id, server.address, client_config, Arc::clone(&clock));
    StoreFixture { store, client, clock, server }
}

fn small_config() -> StoreConfig {
    StoreConfig::default().memory_capacity(Bytes::new(200)).disk_capacity(Bytes::new(300))
}

impl StoreFixture {
    fn limit(&self) -> Deadline {
        Deadline::after_ms(self.clock.now(), LIMIT_MS)
    }

    fn put(&self, block: &ChecksummedBlock) -> Result<(), StoreErrorKind> {
        block_on(self.client.put(block, self.limit())).map_err(|error| error.kind())
    }

    fn get(&self, number: u128) -> Result<ChecksummedBlock, StoreErrorKind> {
        let hash = BlockHash::from_bits(number);
        block_on(self.client.get(hash, self.limit())).map_err(|error| error.kind())
    }
}

fn block(number: u128, generation: u64, bytes: usize) -> ChecksummedBlock {
    let payload = (0..bytes).map(|index| (index as u64 + generation) as u8).collect();
    ChecksummedBlock::new(BlockHash::from_bits(number), generation, payload)
}

/// Guards against blocks that change in transfer, are not replaced, or remain after deletion.
#[test]
fn blocks_are_stored_replaced_and_deleted() {
    // Arrange
    let fixture = start_store(StoreConfig::default());
    let [first, second] = [block(1, 1, 100_000), block(1, 2, 50_000)];

    // Act and assert, one call after the other on the same connection
    assert_eq!(fixture.get(1), Err(StoreErrorKind::Missing));
    fixture.put(&first).unwrap();
    assert!(fixture.get(1).unwrap() == first);
    fixture.put(&second).unwrap();
    assert!(fixture.get(1).unwrap() == second);
    block_on(fixture.client.delete(second.hash, fixture.limit())).unwrap();
    block_on(fixture.client.delete(second.hash, fixture.limit())).unwrap();
    assert_eq!(fixture.get(1), Err(StoreErrorKind::Missing));
}

/// Guards against tiers in the wrong order, a wrong tier, and a query that counts as a use.
#[test]
fn store_reports_the_tier_of_each_block() {
    // Arrange: the first block moves to disk.
    let fixture = start_store(small_config());
    for number in 1..=3 {
        fixture.put(&block(number, 1, 100)).unwrap();
    }
    let query_tiers = |numbers: &[u128]| {
        let blocks: Vec<_> = numbers.iter().map(|number| BlockHash::from_bits(*number)).collect();
        block_on(fixture.client.contains(&blocks, fixture.limit())).map_err(|error| error.kind())
    };

    // Act
    let tiers = query_tiers(&[9, 2, 1, 3]).unwrap();
    let too_many = query_tiers(&[1; MAX_CONTAINS_BLOCKS + 1]);
    fixture.put(&block(4, 1, 100)).unwrap();

    // Assert
    let (memory, disk) = (Some(BlockTier::Memory), Some(BlockTier::Disk));
    assert_eq!(tiers, [None, memory, disk, memory]);
    assert_eq!(too_many, Err(StoreErrorKind::Protocol));
    assert_eq!(query_tiers(&[2, 3]).unwrap(), [disk, memory]);
}

/// Guards against tiers that exceed their capacity, and against a full store that is not reported
/// as such.
#[test]
fn blocks_move_from_memory_to_disk_until_both_are_full() {
    // Arrange
    let fixture = start_store(small_config());
    for number in 0..5 {
        fixture.put(&block(number, 1, 100)).unwrap();
    }

    // Act
    let refused = fixture.put(&block(5, 1, 100));
    let status = block_on(fixture.client.status(fixture.limit())).unwrap();

    // Assert
    assert_eq!(refused, Err(StoreErrorKind::Full));
    assert_eq!(status.blocks, 5);
    let used = (status.memory.used_bytes, status.disk.used_bytes);
    assert_eq!(used, (Bytes::new(200), Bytes::new(300)));
    let capacity = (status.memory.capacity_bytes, status.disk.capacity_bytes);
    assert_eq!(capacity, used);
    assert_eq!(fixture.get(0).unwrap(), block(0, 1, 100));
}

/// Guards against a crash that goes unnoticed, keeps memory or loses the disk.
#[test]
fn crash_loses_memory_and_changes_the_incarnation() {
    // Arrange
    let fixture = start_store(small_config());
    for number in 0..3 {
        fixture.put(&block(number, 1, 100)).unwrap();
    }

    // Act
    fixture.store.crash();

    // Assert
    let status = block_on(fixture.client.status(fixture.limit())).unwrap();
    assert_eq!((status.incarnation, status.blocks), (Incarnation::new(2), 1));
    assert!(fixture.get(0).is_ok());
    assert_eq!(fixture.get(1), Err(StoreErrorKind::Missing));
}

/// Guards against a full store that accepts a block, and a torn block that the client returns.
#[test]
fn full_and_torn_faults_are_reported() {
    // Arrange
    let fixture = start_store(StoreConfig::default());
    fixture.put(&block(1, 1, 1_000)).unwrap();

    // Act
    let faults = StoreFaults { full: true, torn_probability: 1.0, ..StoreFaults::default() };
    fixture.store.set_faults(faults);

    // Assert
    assert_eq!(fixture.put(&block(2, 1, 1_000)), Err(StoreErrorKind::Full));
    assert_eq!(fixture.get(1), Err(StoreErrorKind::Torn));
    fixture.store.set_faults(StoreFaults::default());
    assert!(fixture.get(1).is_ok());
}

/// Guards against a torn block that the client sends or that the store accepts.
#[test]
fn torn_block_is_refused_on_both_sides() {
    // Arrange
    let fixture = start_store(StoreConfig::default());
    let mut torn = block(1, 1, 1_000);
    torn.payload.truncate(500);
    let config = ClientConfig::default();
    let raw = HttpClient::new(fixture.server.address, config, Arc::clone(&fixture.clock));
    let mut request = raw.request(Method::Put, &format!("/blocks/{}", torn.hash));
    block_headers::insert(&torn, |name, value| {
        request.insert_header(name, value);
    });
    request.set_body(torn.payload.clone());

    // Act
    let at_client = fixture.put(&torn);
    let at_store = block_on(raw.send(request, ConnectionChoice::New, fixture.limit())).unwrap();

    // Assert
    assert_eq!(at_client, Err(StoreErrorKind::Torn));
    assert_eq!(at_store.response().status(), 422);
    assert_eq!(fixture.get(1), Err(StoreErrorKind::Missing));
}

/// Guards against a transfer, in either direction, that looks complete although a crash cut it.
#[test]
fn crash_in_mid_transfer_breaks_the_connection() {
    // Arrange
    let fixture = start_store(StoreConfig::default());
    fixture.put(&block(1, 1, 500_000)).unwrap();
    fixture.store.set_faults(StoreFaults { crash_probability: 1.0, ..StoreFaults::default() });

    // Act
    let read = fixture.get(1).map(|_| ());
    let written = fixture.put(&block(2, 1, 500_000));

    // Assert
    assert_eq!(read, Err(StoreErrorKind::Connection));
    assert_eq!(written, Err(StoreErrorKind::Connection));
    fixture.store.set_faults(StoreFaults::default());
    assert_eq!(fixture.get(2), Err(StoreErrorKind::Missing));
}

/// Guards against a call that waits for a slow link beyond its deadline.
#[test]
fn call_on_a_slow_link_ends_at_the_deadline() {
    // Arrange
    let fixture = start_store(StoreConfig::default());
    fixture.put(&block(1, 1, 100_000)).unwrap();
    let link_rate = Some(BytesPerSecond::new(1));
    fixture.store.set_faults(StoreFaults { link_rate, ..StoreFaults::default() });

    // Act
    let deadline = Deadline::after_ms(fixture.clock.now(), 2_000);
    let error = block_on(fixture.client.get(BlockHash::from_bits(1), deadline)).unwrap_err();

    // Assert
    assert_eq!(error.kind(), StoreErrorKind::Timeout);
}

/// Guards against transfers that each use the whole rate, and against idle time that is credited to
/// later transfers.
#[test]
fn transfers_share_the_rate_of_the_link() {
    // Arrange
    let at = Instant::from_ms;
    let mut link = Link::new(Some(BytesPerSecond::new(1_000)));

    // Act
    let ends = [(500, 0), (500, 0), (1, 0), (250, 5_000)]
        .map(|(size, now)| link.schedule(Bytes::new(size), at(now)));

    // Assert
    assert_eq!(ends, [at(500), at(1_000), at(1_001), at(5_250)]);
}

/// Guards against tiers that lose or mix up blocks, or whose used bytes differ from the blocks'
/// sizes.
#[test]
fn tiers_agree_with_a_plain_map() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    // The failing input is printed, so no regression file is written next to the test.
    let cases = Config { failure_persistence: None, ..Config::with_cases(256) };
    let mut runner = TestRunner::new_with_rng(cases, rng);
    let steps = prop::collection::vec((0..4u8, 0..8u128, 0..150usize), 1..60);
    let property = |steps: Vec<(u8, u128, usize)>| {
        // Arrange
        let mut tiers = Tiers::new(Bytes::new(200), Bytes::new(300));
        let mut reference: SortedMap<BlockHash, ChecksummedBlock> = SortedMap::new();
        for (generation, (step, number, bytes)) in steps.into_iter().enumerate() {
            let block = block(number, generation as u64, bytes);

            // Act
            match step {
                0 => {
                    tiers.delete(block.hash);
                    reference.remove(&block.hash);
                }
                1 => {
                    let found = tiers.get(block.hash);
                    prop_assert_eq!(found.as_deref(), reference.get(&block.hash));
                }
                _ => {
                    if tiers.put(block.clone()).is_ok() {
                        reference.insert(block.hash, block);
                    }
                }
            }

            // Assert
            let (blocks, memory, disk) = tiers.status();
            let sum = reference.values().map(|block| Bytes::new(block.payload.len() as u64)).sum();
            prop_assert_eq!(blocks, reference.len() as u64);
            prop_assert_eq!(memory.used_bytes + disk.used_bytes, sum);
            prop_assert!(memory.used_bytes <= memory.capacity_bytes);
            prop_assert!(disk.used_bytes <= disk.capacity_bytes);
        }
        Ok(())
    };
    runner.run(&steps, property).unwrap();
}
