//! Tests of endpoints that end if all nodes together have too many requests turned away.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::{EndpointNotice, EndpointNotices};
use yuccapass_types::Instant;

/// Length of a step of the model.
const STEP_MS: u64 = 10;

/// Requests that an endpoint runs at once; none wait.
const SLOTS: usize = 6;

/// Time that a request runs.
const RUN_MS: u64 = 100;

/// How long an endpoint is away after it has ended.
const AWAY_MS: u64 = 3_000;

/// Rejections a second that an endpoint bears.
const MAX_REJECTIONS: u32 = 20;

/// Time for which the endpoints are brittle.
const BRITTLE_MS: u64 = 20_000;

/// When the endpoints begin to say that they are brittle, and from when they may end.
const NAMED_MS: u64 = 1_000;
const ENDS_FROM_MS: u64 = NAMED_MS + 4_000;

#[derive(Default)]
struct Endpoint {
    runs: Vec<u64>,
    rejections: VecDeque<u64>,
    away_until: u64,
    falls: usize,
}

impl Endpoint {
    /// Handles a request; returns whether it runs, or `None` if the endpoint is away.
    fn handle(&mut self, now: u64) -> Option<bool> {
        if now < self.away_until {
            return None;
        }
        self.runs.retain(|end| *end > now);
        if self.runs.len() < SLOTS {
            self.runs.push(now + RUN_MS);
            return Some(true);
        }
        self.rejections.push_back(now);
        while self.rejections.front().is_some_and(|at| at + 1_000 <= now) {
            self.rejections.pop_front();
        }
        if now >= ENDS_FROM_MS && self.rejections.len() > MAX_REJECTIONS as usize {
            *self = Self { away_until: now + AWAY_MS, falls: self.falls + 1, ..Self::default() };
        }
        Some(false)
    }

    fn is_nearly_full(&self) -> bool {
        self.runs.len() * 10 >= SLOTS * 9
    }
}

/// The result of a run of the model.
struct Outcome {
    falls: usize,
    served: usize,
}

/// Runs nodes in front of endpoints. `load` is the demand as a multiple of what the endpoints can run.
fn run(nodes: usize, endpoints: usize, load: f64, is_guarded: bool, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut servers: Vec<Endpoint> = (0..endpoints).map(|_| Endpoint::default()).collect();
    let mut known = vec![vec![EndpointNotices::default(); endpoints]; nodes];
    let capacity_per_s = (endpoints * SLOTS) as f64 * 1_000.0 / RUN_MS as f64;
    let per_step = load * capacity_per_s * STEP_MS as f64 / 1_000.0;
    let mut served = 0;
    let mut due = 0.0;
    for now in (0..BRITTLE_MS).step_by(STEP_MS as usize) {
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            let node = random.random_range(0..nodes);
            let mut order: Vec<usize> = (0..endpoints).collect();
            order.shuffle(&mut random);
            let at = Instant::from_ms(now);
            // A request that is turned away is tried at one more endpoint.
            for position in order.into_iter().take(2) {
                let notices = &mut known[node][position];
                if is_guarded && !notices.try_send(nodes as u32, random.random(), at) {
                    continue;
                }
                let Some(is_run) = servers[position].handle(now) else { continue };
                let notice = EndpointNotice {
                    max_rejections_per_s: (now >= NAMED_MS).then_some(MAX_REJECTIONS),
                    is_full: !is_run || servers[position].is_nearly_full(),
                    ..EndpointNotice::default()
                };
                notices.record(&notice, at, at);
                if is_run {
                    served += 1;
                    break;
                }
            }
        }
    }
    Outcome { falls: servers.iter().map(|server| server.falls).sum(), served }
}

/// Guards against brittle endpoints that end because each node by itself has a few requests turned away.
#[test]
fn brittle_endpoints_do_not_end_in_overload() {
    for (nodes, endpoints) in [(1, 3), (9, 18), (87, 60)] {
        for seed in 1..=2 {
            // Arrange and act
            let naive = run(nodes, endpoints, 2.0, false, seed);
            let guarded = run(nodes, endpoints, 2.0, true, seed);

            // Assert: the users allow two falls and a tenth of the endpoints.
            assert!(naive.falls > 2 + endpoints / 10, "{nodes} nodes: {} falls", naive.falls);
            let falls = guarded.falls;
            assert!(falls <= 2 + endpoints / 10, "{nodes} nodes, seed {seed}: {falls} falls");
            assert!(guarded.served >= naive.served, "{nodes} nodes: {} served", guarded.served);
        }
    }
}

/// Guards against a limit on requests to brittle endpoints that have room.
#[test]
fn brittle_endpoints_with_room_get_all_requests() {
    // Arrange
    let notice = EndpointNotice { max_rejections_per_s: Some(1), ..EndpointNotice::default() };
    let mut notices = EndpointNotices::default();

    // Act
    let sent = (0..100u64).filter(|&ms| {
        let now = Instant::from_ms(1_000 + ms);
        let is_sent = notices.try_send(9, 0.5, now);
        notices.record(&notice, now, now);
        is_sent
    });
    let sent = sent.count();

    // Assert
    assert_eq!(sent, 100);
}

/// Guards against an endpoint that is kept from requests after it has ceased to be brittle.
#[test]
fn an_answer_without_the_notice_ends_it() {
    // Arrange
    let full = EndpointNotice {
        max_rejections_per_s: Some(1),
        is_full: true,
        ..EndpointNotice::default()
    };
    let mut notices = EndpointNotices::default();
    notices.record(&full, Instant::from_ms(0), Instant::from_ms(10));

    // Act
    let while_full = notices.try_send(9, 0.5, Instant::from_ms(20));
    notices.record(&EndpointNotice::default(), Instant::from_ms(30), Instant::from_ms(40));
    let afterwards = notices.try_send(9, 0.5, Instant::from_ms(50));

    // Assert
    assert!(!while_full && afterwards);
    assert!(notices.is_empty());
}
