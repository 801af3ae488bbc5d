//! Tests of which configuration a node puts in force.

mod config_fixtures;

use config_fixtures::{command, config, document, execute_new, set_share};
use proptest::prelude::*;
use yuccapass_decisions::config::{
    Action, ActiveConfig, ChunkHash, ConfigSync, Document, Manifest, RejectReason, Source,
};
use yuccapass_types::{Instant, Revision};

const NOW: Instant = Instant::from_ms(0);

fn node(name: &str) -> Source {
    Source::Node(name.parse().unwrap())
}

/// Revisions 1 to `count`, each made by a command from the one before.
fn history(count: usize) -> Vec<ActiveConfig> {
    let mut configs = vec![config(300)];
    for number in 1..count {
        let change = set_share(number * 37 % 300, 10 + number as u32);
        let next = execute_new(configs.last().unwrap(), &command(&format!("c{number}"), change));
        configs.push(next.config);
    }
    configs
}

/// Answers all requests from a configuration until there are none left.
fn serve(holder: &mut ConfigSync, config: &ActiveConfig, actions: Vec<Action>) -> Vec<Action> {
    let mut waiting = actions;
    let mut others = Vec::new();
    while let Some(action) = waiting.pop() {
        match action {
            Action::RequestChunk { source, hash, .. } => {
                let bytes = config.chunk_bytes(&hash).unwrap();
                waiting.extend(holder.offer_chunk(NOW, source, hash, &bytes));
            }
            other => others.push(other),
        }
    }
    others
}

fn reasons(actions: &[Action]) -> Vec<&RejectReason> {
    let reasons = actions.iter().filter_map(|action| match action {
        Action::Report { reason, .. } => Some(reason),
        _ => None,
    });
    reasons.collect()
}

/// Guards against a restored platform or a stale neighbour that brings an old revision back.
#[test]
fn old_revision_is_refused_and_reported() {
    // Arrange
    let configs = history(3);
    let mut holder = ConfigSync::new(Some(configs[2].clone()));
    let old = configs[1].manifest().encode();

    // Act
    let from_platform = holder.offer_manifest(NOW, Source::Platform, &old);
    let from_node = holder.offer_manifest(NOW, node("node-b"), &old);

    // Assert
    let (offered, active_revision) = (Revision::new(2), Revision::new(3));
    let reason = RejectReason::OldRevision { offered, active_revision };
    assert_eq!(reasons(&from_platform), [&reason]);
    assert_eq!(from_platform[1], Action::RestorePlatform { platform_revision: offered });
    assert_eq!(from_node, [Action::Report { source: node("node-b"), reason }]);
    assert_eq!(holder.revision(), active_revision);
}

/// Guards against losing accepted changes when a platform is restored to an old copy and then takes
/// other commands, so that its revisions are larger again.
#[test]
fn history_without_the_active_change_is_refused() {
    // Arrange
    let configs = history(3);
    let mut other = configs[1].clone();
    for number in 0..3 {
        let other_command = command(&format!("other-{number}"), set_share(0, 90 + number));
        other = execute_new(&other, &other_command).config;
    }
    let mut holder = ConfigSync::new(Some(configs[2].clone()));

    // Act
    let actions = holder.offer_manifest(NOW, Source::Platform, &other.manifest().encode());
    let as_base = holder.check_follows(other.manifest());

    // Assert
    let (offered, active_revision) = (Revision::new(5), Revision::new(3));
    let reason = RejectReason::DivergedHistory { offered, active_revision };
    assert_eq!(reasons(&actions), [&reason]);
    assert_eq!(as_base, Err(reason));
    assert_eq!(actions.len(), 1);
}

/// Guards against fetching chunks that are in force already.
#[test]
fn only_missing_chunks_are_asked_for() {
    // Arrange
    let configs = history(2);
    let mut holder = ConfigSync::new(Some(configs[0].clone()));

    // Act
    let actions = holder.offer_manifest(NOW, node("b"), &configs[1].manifest().encode());

    // Assert
    assert!(configs[0].manifest().chunks.len() > 2);
    assert!(matches!(&actions[..], [Action::RequestChunk { hash, .. }]
        if !configs[0].has_chunk(hash) && configs[1].has_chunk(hash)));
}

/// Guards against a torn chunk that is put in force, or that ends the attempt.
#[test]
fn torn_chunk_is_reported_and_asked_for_elsewhere() {
    // Arrange
    let configs = history(2);
    let manifest = configs[1].manifest().encode();
    let mut holder = ConfigSync::new(Some(configs[0].clone()));
    let asked = holder.offer_manifest(NOW, node("b"), &manifest);
    holder.offer_manifest(NOW, node("c"), &manifest);
    let [Action::RequestChunk { hash, .. }] = asked[..] else { panic!("{asked:?}") };
    let mut torn = configs[1].chunk_bytes(&hash).unwrap();
    torn.truncate(torn.len() / 2);

    // Act
    let reported = holder.offer_chunk(NOW, node("b"), hash, &torn);
    let asked_again = holder.poll(Instant::from_ms(1_000));
    let actions = serve(&mut holder, &configs[1], asked_again.clone());

    // Assert
    assert_eq!(reasons(&reported), [&RejectReason::ChunkHashMismatch { hash }]);
    assert!(matches!(&asked_again[..], [Action::RequestChunk { source, .. }]
        if *source == node("c")));
    assert!(matches!(&actions[..], [Action::Activate(active)] if **active == configs[1]));
}

/// A manifest and its chunks of a document that is not checked.
fn unchecked(document: &Document) -> (Manifest, Vec<Vec<u8>>) {
    let mut chunks = Vec::new();
    let mut hashes = Vec::new();
    yuccapass_decisions::config::split(document, &mut |span, bytes| {
        hashes.push(span.hash);
        chunks.push(bytes.to_vec());
    })
    .unwrap();
    let manifest = Manifest { revision: document.revision, chunks: hashes, ..Manifest::default() };
    (manifest, chunks)
}

/// Guards against a bad document that is put in force in part or fetched again and again.
#[test]
fn bad_document_is_refused_whole() {
    // Arrange
    let mut bad = document(10);
    bad.revision = Revision::new(2);
    bad.organisations[4].make_mut().share = 0;
    let (manifest, chunks) = unchecked(&bad);
    let mut holder = ConfigSync::new(Some(config(10)));
    holder.offer_manifest(NOW, node("b"), &manifest.encode());

    // Act
    let actions: Vec<Action> = chunks
        .iter()
        .flat_map(|bytes| holder.offer_chunk(NOW, node("b"), ChunkHash::of(bytes), bytes))
        .collect();
    let offered_again = holder.offer_manifest(NOW, node("c"), &manifest.encode());

    // Assert
    let [RejectReason::Invalid { revision, error }] = reasons(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(*revision, Revision::new(2));
    assert_eq!(error.field(), "organisations.organisation-000004.share");
    assert_eq!((error.value(), error.bound()), ("0", "it must be from 1 to 1000000"));
    assert!(offered_again.is_empty());
    assert_eq!(holder.active().unwrap().document(), &document(10));
}

/// Guards against a newer revision without reachable chunks that blocks one that can be had.
#[test]
fn stalled_revision_gives_way_to_an_older_one() {
    // Arrange
    let configs = history(3);
    let mut holder = ConfigSync::new(Some(configs[0].clone()));
    holder.offer_manifest(NOW, node("b"), &configs[2].manifest().encode());
    let later = Instant::from_ms(5_000);

    // Act
    let reported = holder.poll(later);
    let asked = holder.offer_manifest(later, node("c"), &configs[1].manifest().encode());
    serve(&mut holder, &configs[1], asked);

    // Assert
    assert_eq!(reasons(&reported), [&RejectReason::Stalled { revision: Revision::new(3) }]);
    assert_eq!(holder.revision(), Revision::new(2));
}

/// What happens to a holder.
#[derive(Debug, Clone)]
enum Event {
    /// A manifest of one of the revisions is offered.
    Offer(usize),
    /// An open request is answered; the answer may be torn, lost or sent twice.
    Answer {
        request: usize,
        torn: bool,
        repeated: bool,
    },
    Lose {
        request: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0_usize..6).prop_map(Event::Offer),
        6 => (any::<usize>(), proptest::bool::weighted(0.2), any::<bool>())
            .prop_map(|(request, torn, repeated)| Event::Answer { request, torn, repeated }),
        1 => any::<usize>().prop_map(|request| Event::Lose { request }),
        1 => (0_u64..3_000).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// A holder with its open requests, beside the naive version: the largest revision offered.
struct Bench {
    configs: Vec<ActiveConfig>,
    holder: ConfigSync,
    requests: Vec<(Source, ChunkHash)>,
    now_ms: u64,
    newest_offered: usize,
}

impl Bench {
    fn apply(&mut self, event: Event) {
        let now = Instant::from_ms(self.now_ms);
        let actions = match event {
            Event::Offer(number) => {
                self.newest_offered = self.newest_offered.max(number);
                let bytes = self.configs[number].manifest().encode();
                self.holder.offer_manifest(now, node(&format!("n{number}")), &bytes)
            }
            Event::Wait { ms } => {
                self.now_ms += ms;
                self.holder.poll(Instant::from_ms(self.now_ms))
            }
            Event::Answer { .. } | Event::Lose { .. } if self.requests.is_empty() => Vec::new(),
            Event::Lose { request } => {
                let (source, hash) = self.requests.remove(request % self.requests.len());
                self.holder.chunk_failed(now, &source, &hash)
            }
            Event::Answer { request, torn, repeated } => {
                let position = request % self.requests.len();
                let (source, hash) = match repeated {
                    true => self.requests[position].clone(),
                    false => self.requests.remove(position),
                };
                let mut bytes = self.chunk(&hash);
                bytes.truncate(bytes.len() - usize::from(torn));
                self.holder.offer_chunk(now, source, hash, &bytes)
            }
        };
        self.requests.extend(actions.into_iter().filter_map(|action| match action {
            Action::RequestChunk { source, hash, .. } => Some((source, hash)),
            _ => None,
        }));
    }

    fn chunk(&self, hash: &ChunkHash) -> Vec<u8> {
        self.configs.iter().find_map(|config| config.chunk_bytes(hash)).unwrap()
    }

    /// Offers the newest revision again and answers everything in time.
    fn settle(&mut self) {
        self.apply(Event::Wait { ms: 10_000 });
        self.apply(Event::Offer(self.newest_offered));
        while self.holder.is_collecting() {
            self.apply(Event::Wait { ms: 100 });
            let count = self.requests.len();
            for _ in 0..count {
                self.apply(Event::Answer { request: 0, torn: false, repeated: false });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), cases: 128, ..ProptestConfig::default() })]

    /// Guards against a revision that goes back, a document that mixes revisions, and a holder that
    /// does not reach the newest revision once its sources answer.
    #[test]
    fn holder_matches_the_newest_offered_revision(events in proptest::collection::vec(event(), 0..60)) {
        // Arrange
        let configs = history(6);
        let holder = ConfigSync::new(Some(configs[0].clone()));
        let mut bench =
            Bench { configs, holder, requests: Vec::new(), now_ms: 0, newest_offered: 0 };
        let mut previous = bench.holder.revision();

        // Act
        for event in events {
            bench.apply(event);

            // Assert
            let active = bench.holder.active().unwrap();
            let revision = active.manifest().revision;
            prop_assert!(revision >= previous);
            prop_assert_eq!(&**active, &bench.configs[revision.get() as usize - 1]);
            previous = revision;
        }
        bench.settle();
        prop_assert_eq!(bench.holder.revision().get() as usize, bench.newest_offered + 1);
    }
}
