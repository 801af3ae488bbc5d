//! Parts that stores keep: no fetch may meet a part that is being written.
//!
//! A seeded explorer drives the decisions of several nodes against a naive store that restarts,
//! loses tellings and delays them, with nodes that are frozen or cut off. `EXPLORE_SEEDS` sets the
//! number of seeds, 60 by default.

mod gateway_fixtures;

use std::net::SocketAddr;

use gateway_fixtures::{address, at, id, part, zones};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::{
    Directory, LinkShare, PartEvent, PartEvents, PartStore, PartTransfers, StoreContents,
    StorePollSettings, TransferRequest, TransferTiming, plan_transfers,
};
use yuccapass_types::{
    CacheNamespace, PromptPartId, RegionId, ServiceId, SortedMap, Tokens, TokensPerSecond,
};

const NODES: usize = 4;
const PARTS: u64 = 12;
const DAY_MS: u64 = 60_000;
const STEP_MS: u64 = 50;
const POLL_MS: u64 = 400;
/// Longest time from a decision to save a part until it is complete.
const WRITE_LIMIT_MS: u64 = 1_000;
/// By then a part that was told at the start may be fetched, and parts may be saved.
const SETTLED_MS: u64 = 6_000;

fn space() -> CacheNamespace {
    id("w1")
}

fn store() -> PartStore {
    store_in("w1", 1, 1_000_000)
}

fn store_in(zone: &str, number: u16, link_rate: u64) -> PartStore {
    PartStore {
        address: address(number),
        zone: id(zone),
        capacity: Tokens::new(1_000_000),
        link_rate: TokensPerSecond::new(link_rate),
        max_calls: 12,
    }
}

/// A store as the platform describes it: it keeps what is complete, and does not check a fetch.
struct NaiveStore {
    epoch: u64,
    complete: Vec<u64>,
    // Number and instant of completion.
    writing: Vec<(u64, u64)>,
    // Number, part and the instant from which it is told.
    told: Vec<(u64, u64, u64)>,
}

impl NaiveStore {
    fn restart(&mut self) {
        *self = Self { epoch: self.epoch + 1, complete: vec![], writing: vec![], told: vec![] };
    }

    fn advance(&mut self, now: u64, random: &mut StdRng) {
        let (done, writing): (Vec<_>, Vec<_>) =
            self.writing.iter().copied().partition(|&(_, end)| end <= now);
        self.writing = writing;
        for (part, _) in done {
            self.complete.push(part);
            // One telling in a hundred is lost.
            if !random.random_bool(0.01) {
                let number = self.told.len() as u64 + 1;
                self.told.push((number, part, now + 60));
            }
        }
    }

    fn save(&mut self, part: u64, end: u64) {
        let is_known = self.complete.contains(&part)
            || self.writing.iter().any(|&(writing, _)| writing == part);
        if !is_known {
            self.writing.push((part, end));
        }
    }

    fn events(&self, since: u64, now: u64) -> PartEvents {
        let visible: Vec<_> =
            self.told.iter().filter(|&&(number, _, from)| number > since && from <= now).collect();
        let event = |&&(_, part, _): &&(u64, u64, u64)| PartEvent {
            is_added: true,
            space: space(),
            part: id(&format!("p{part}")),
            tokens: Tokens::new(1_000),
        };
        PartEvents {
            epoch: self.epoch,
            next: visible.last().map_or(since, |&&(number, _, _)| number),
            has_gap: false,
            events: visible.iter().map(event).collect(),
            clock_ms: Some(now),
        }
    }
}

struct Node {
    stores: SortedMap<ServiceId, StoreContents>,
    poll_at: u64,
    frozen_until: u64,
    // Until then its calls to the store are lost, and it goes on serving.
    cut_until: u64,
}

/// A fetch that an endpoint makes, until it ends or is discarded.
struct Fetch {
    part: u64,
    epoch: u64,
    until: u64,
}

/// Plays a day; returns the fetches that met a part that was not whole.
fn explore(seed: u64, terms: TransferTiming) -> u32 {
    let mut random = StdRng::seed_from_u64(seed);
    let directory = Directory::new(zones());
    let mut store_world = NaiveStore { epoch: 1, complete: vec![], writing: vec![], told: vec![] };
    let new_stores =
        || [(id::<ServiceId>("s"), StoreContents::new(store(), terms))].into_iter().collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| Node {
            stores: new_stores(),
            poll_at: number as u64 * 100,
            frozen_until: 0,
            cut_until: 0,
        })
        .collect();
    let mut fetches: Vec<Fetch> = Vec::new();
    let mut violations = 0;
    for now in (0..DAY_MS).step_by(STEP_MS as usize) {
        if random.random_bool(0.006) {
            store_world.restart();
        }
        store_world.advance(now, &mut random);
        for node in &mut nodes {
            if random.random_bool(0.002) {
                node.frozen_until = now + random.random_range(500..6_000);
            }
            if random.random_bool(0.002) {
                node.cut_until = now + random.random_range(500..6_000);
            }
            if random.random_bool(0.001) {
                // The process restarts and knows nothing.
                node.stores = new_stores();
            }
            if now < node.frozen_until {
                continue;
            }
            poll(node, &store_world, now, &mut random);
            serve(node, &directory, &mut store_world, &mut fetches, now, &mut random);
        }
        fetches.retain(|fetch| fetch.until > now);
        // A fetch of an earlier life of the store misses, unless the part is there anew.
        violations += fetches
            .iter()
            .filter(|fetch| {
                fetch.epoch != store_world.epoch
                    && store_world.writing.iter().any(|&(part, _)| part == fetch.part)
            })
            .count() as u32;
    }
    violations
}

fn poll(node: &mut Node, world: &NaiveStore, now: u64, random: &mut StdRng) {
    if now < node.poll_at {
        return;
    }
    node.poll_at = now + POLL_MS;
    // One call in ten is lost.
    if now < node.cut_until || random.random_bool(0.1) {
        return;
    }
    for contents in node.stores.values_mut() {
        let since = contents.next_event();
        let is_new = contents.apply_events(world.events(since, now), at(now), at(now));
        if is_new && since != 0 {
            contents.restart_events();
        }
    }
}

fn serve(
    node: &mut Node,
    directory: &Directory,
    world: &mut NaiveStore,
    fetches: &mut Vec<Fetch>,
    now: u64,
    random: &mut StdRng,
) {
    let wanted = random.random_range(0..PARTS);
    let parts = [part(&format!("p{wanted}"), 1_000), part("own", 100)];
    let zone = id("w1");
    let request = TransferRequest {
        zone: &zone,
        allowed_regions: &[],
        space: &space(),
        parts: &parts,
        cache_peer: None,
        is_outdated: false,
        nodes: 1,
    };
    let transfers = plan_transfers(&mut node.stores, directory, &request, at(now));
    if transfers.has_fetch() {
        let until = transfers.fetch_deadline_ms.expect("the store has told its clock");
        fetches.push(Fetch { part: wanted, epoch: world.epoch, until });
    }
    if transfers.has_save() {
        world.save(wanted, now + random.random_range(10..WRITE_LIMIT_MS));
    }
}

/// Guards against memory that is not whole in an answer: after a restart of a store, some nodes
/// still trust what it kept before while others write to it. Seeds 28 and 32 failed while a part was
/// fetched as soon as it was told: a node that had neither noticed the restart nor been told of the
/// part saved it again.
#[test]
fn no_fetch_meets_a_part_that_is_written() {
    let seeds: u64 =
        std::env::var("EXPLORE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(60);

    let violations: Vec<(u64, u32)> = (0..seeds)
        .map(|seed| (seed, explore(seed, TransferTiming::default())))
        .filter(|&(_, violations)| violations > 0)
        .collect();

    assert_eq!(violations, []);
}

/// Guards against an explorer that would not see the faults: without each of the times, it does.
#[test]
fn the_explorer_sees_the_fault_without_each_guard() {
    let terms = TransferTiming::default();
    let without = [
        TransferTiming { save_delay_ms: 0, ..terms },
        TransferTiming { fetch_delay_ms: 0, ..terms },
        TransferTiming { fetch_validity_ms: 60_000, ..terms },
        TransferTiming { save_validity_ms: 60_000, ..terms },
    ];

    for terms in without {
        let is_seen = (0..4_000).any(|seed| explore(seed, terms) > 0);
        assert!(is_seen, "{terms:?}");
    }
}

/// Guards against default times that do not fit together.
#[test]
fn the_hold_off_covers_trust_and_fetch() {
    let terms = TransferTiming::default();

    assert!(terms.save_delay_ms > terms.fetch_validity_ms + terms.fetch_timeout_ms + POLL_MS);
    assert!(terms.fetch_delay_ms > terms.save_validity_ms + WRITE_LIMIT_MS);
}

/// Guards against calls that a store turns away: 87 nodes that waited 200 ms each 1.1 s had 46,000
/// calls answered with 429 on a quiet day, and a new connection for each.
#[test]
fn waiting_calls_of_all_nodes_fit_in_a_store() {
    let terms = StorePollSettings::default();

    let few_ms = terms.next_period_ms(true, 9, 12);
    let many_ms = terms.next_period_ms(true, 87, 12);

    assert_eq!(few_ms, terms.period_ms);
    assert!(87 * terms.wait_ms <= 12 * many_ms, "{many_ms} ms");
    assert_eq!(terms.next_period_ms(false, 87, 12), terms.period_ms);
    assert!(terms.max_period_ms + terms.wait_ms < TransferTiming::default().fetch_validity_ms);
}

/// Guards against room that is counted twice, or never given back, when a part is told after its
/// save, told again, or never told.
#[test]
fn the_room_in_a_store_follows_saves_and_tellings() {
    let mut stores = known_store(&[]);
    let contents = stores.get_mut(&id::<ServiceId>("s")).expect("the fixture has this store");
    let told = |next, names: &[&str], is_added| PartEvents {
        epoch: 1,
        next,
        has_gap: false,
        events: names
            .iter()
            .map(|name| PartEvent {
                is_added,
                space: space(),
                part: id(name),
                tokens: Tokens::new(1_000),
            })
            .collect(),
        clock_ms: None,
    };
    let now = at(SETTLED_MS);

    contents.record_save(&space(), &part("a", 1_000), now);
    contents.record_save(&space(), &part("never", 500), now);
    let while_saving = contents.used_tokens(1);
    contents.apply_events(told(10, &["a", "a"], true), now, now);
    let while_told = contents.used_tokens(1);
    contents.expire_pending_saves(at(SETTLED_MS + 60_000));
    let after_expiry = contents.used_tokens(1);
    contents.apply_events(told(11, &["a"], false), now, now);

    let used = [while_saving, while_told, after_expiry, contents.used_tokens(1)];
    assert_eq!(used.map(|tokens| tokens.get()), [1_500, 1_500, 1_000, 0]);
}

fn known_store(holds: &[&str]) -> SortedMap<ServiceId, StoreContents> {
    let event = |name: &&str| PartEvent {
        is_added: true,
        space: space(),
        part: id::<PromptPartId>(name),
        tokens: Tokens::new(1_000),
    };
    let mut contents = StoreContents::new(store(), TransferTiming::default());
    let events = holds.iter().map(event).collect();
    let answer = PartEvents { epoch: 1, next: 9, has_gap: false, events, clock_ms: Some(70) };
    contents.apply_events(answer, at(0), at(0));
    let confirmation = PartEvents {
        epoch: 1,
        next: 9,
        has_gap: false,
        events: vec![],
        clock_ms: Some(70 + SETTLED_MS),
    };
    contents.apply_events(confirmation, at(SETTLED_MS), at(SETTLED_MS));
    [(id("s"), contents)].into_iter().collect()
}

/// Guards against transfers of the request's own part and of small ones, across regions, and of
/// parts under another name.
#[test]
fn only_shared_parts_of_the_region_are_fetched() {
    let directory = Directory::new(zones());
    let parts = [part("a", 1_000), part("tiny", 10), part("own", 1_000)];
    let plan = |zone: &str, space: &CacheNamespace| {
        let mut stores = known_store(&["a", "tiny", "own"]);
        let zone = id(zone);
        let request = TransferRequest {
            zone: &zone,
            allowed_regions: &[],
            space,
            parts: &parts,
            cache_peer: None,
            is_outdated: false,
            nodes: 1,
        };
        plan_transfers(&mut stores, &directory, &request, at(1_000 + SETTLED_MS))
    };

    let near = plan("w2", &space());

    assert_eq!(near.fetch, [Some(address(1)), None, None]);
    assert_eq!(
        near.fetch_deadline_ms,
        Some(1_070 + SETTLED_MS + TransferTiming::default().fetch_timeout_ms)
    );
    assert!(!plan("e1", &space()).has_fetch());
    assert!(!plan("w2", &id("w2")).has_fetch());
}

/// Guards against parts that leave the regions which a request may be served in.
#[test]
fn transfers_stay_in_the_allowed_regions() {
    let directory = Directory::new(zones());
    let parts = [part("a", 1_000), part("own", 1_000)];
    let east = [id("east")];
    let mut stores = known_store(&["a"]);

    let (zone, space) = (id("w1"), space());
    let allowed_regions: &[&[RegionId]] = &[&east, &[]];
    let request = TransferRequest {
        zone: &zone,
        allowed_regions,
        space: &space,
        parts: &parts,
        cache_peer: None,
        is_outdated: false,
        nodes: 1,
    };
    let transfers = plan_transfers(&mut stores, &directory, &request, at(SETTLED_MS));

    assert!(!transfers.has_fetch() && !transfers.has_save());
}

fn holding(store: PartStore) -> StoreContents {
    let mut contents = StoreContents::new(store, TransferTiming::default());
    let told =
        PartEvent { is_added: true, space: space(), part: id("a"), tokens: Tokens::new(1_000) };
    let answer =
        |events| PartEvents { epoch: 1, next: 9, has_gap: false, events, clock_ms: Some(0) };
    contents.apply_events(answer(vec![told]), at(0), at(0));
    contents.apply_events(answer(vec![]), at(SETTLED_MS), at(SETTLED_MS));
    contents
}

fn plan_for(
    stores: &mut SortedMap<ServiceId, StoreContents>,
    cache_peer: Option<SocketAddr>,
    nodes: u32,
) -> PartTransfers {
    let parts = [part("a", 1_000), part("own", 100)];
    let (zone, space) = (id("w1"), space());
    let request = TransferRequest {
        zone: &zone,
        allowed_regions: &[],
        space: &space,
        parts: &parts,
        cache_peer,
        is_outdated: false,
        nodes,
    };
    plan_transfers(stores, &Directory::new(zones()), &request, at(SETTLED_MS))
}

/// Guards against a large store with a slow link that gets all parts because it has the most room,
/// while faster ones of the region stay empty.
#[test]
fn the_store_that_sends_soonest_comes_first() {
    let empty = |store| {
        let mut contents = holding(store);
        let removed = PartEvents {
            epoch: 1,
            next: 10,
            has_gap: false,
            events: vec![PartEvent {
                is_added: false,
                space: space(),
                part: id("a"),
                tokens: Tokens::ZERO,
            }],
            clock_ms: Some(0),
        };
        contents.apply_events(removed, at(SETTLED_MS), at(SETTLED_MS));
        contents
    };
    let large = PartStore { capacity: Tokens::new(9_000_000), ..store_in("w1", 1, 1_000_000) };
    let mut stores: SortedMap<ServiceId, StoreContents> =
        [(id("s1"), empty(large)), (id("s2"), empty(store_in("w2", 2, 5_000_000)))]
            .into_iter()
            .collect();

    let transfers = plan_for(&mut stores, None, 1);

    assert_eq!(transfers.save, [Some(address(2)), None]);
}

/// Guards against parts that are read again although the endpoint which all nodes prefer for them
/// still has them: they settle in the stores only seconds after they were saved.
#[test]
fn a_part_that_no_store_keeps_comes_from_its_home() {
    let mut stores = known_store(&[]);

    let transfers = plan_for(&mut stores, Some(address(77)), 1);

    assert_eq!(transfers.fetch, [Some(address(77)), None]);
    assert_eq!(transfers.save, [Some(address(1)), None]);
}

/// Guards against fetches that a store's link cannot carry: they all end too late, and the prompts
/// are read after the wait.
#[test]
fn fetches_stay_within_the_link_of_a_store() {
    let slow = store_in("w1", 1, 1_000);
    let mut stores: SortedMap<ServiceId, StoreContents> =
        [(id("s"), holding(slow))].into_iter().collect();

    let fetches = (0..20).filter(|_| plan_for(&mut stores, None, 9).has_fetch()).count();

    // A part takes a second on this link, so one uses up what a node has saved.
    assert_eq!(fetches, 1);
}

proptest! {
    /// Guards against a node that takes more of a link than its part and what it has saved up.
    #[test]
    fn a_link_share_holds_in_every_window(
        steps in proptest::collection::vec((0_u64..400, 1_000_u64..150_000), 1..200),
        nodes in 1_u32..100,
    ) {
        const OVERCOMMIT: f64 = 1.5;
        const MAX_BURST_US: f64 = 200_000.0;
        let mut share = LinkShare::default();
        let mut now_ms = 0;
        let mut taken: Vec<(u64, u64)> = Vec::new();

        for (pause_ms, time_us) in steps {
            now_ms += pause_ms;
            if share.try_take(time_us, nodes, at(now_ms)) {
                taken.push((now_ms, time_us));
            }
        }

        for (first, &(from_ms, _)) in taken.iter().enumerate() {
            let mut sum_us = 0.0;
            for &(until_ms, time_us) in &taken[first..] {
                sum_us += time_us as f64;
                let carried_us = (until_ms - from_ms) as f64 * 1_000.0 * OVERCOMMIT / f64::from(nodes);
                prop_assert!(sum_us <= carried_us + MAX_BURST_US + 1.0);
            }
        }
    }
}
