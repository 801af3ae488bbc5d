//! Tests of fetching configurations and of selecting the active one.

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

/// Revisions 1 to `count`, each created by a command from the previous one.
fn history(count: usize) -> Vec<ActiveConfig> {
    let mut configs = vec![config(300)];
    for number in 1..count {
        let change = set_share(number * 37 % 300, 10 + number as u32);
        let next = execute_new(configs.last().unwrap(), &command(&format!("c{number}"), change));
        configs.push(next.config);
    }
    configs
}

/// Answers all requests from a configuration until none is left; returns the other actions.
fn serve(sync: &mut ConfigSync, config: &ActiveConfig, actions: Vec<Action>) -> Vec<Action> {
    let mut waiting = actions;
    let mut others = Vec::new();
    while let Some(action) = waiting.pop() {
        match action {
            Action::RequestChunk { source, hash, .. } => {
                let bytes = config.chunk_bytes(&hash).unwrap();
                waiting.extend(sync.offer_chunk(NOW, source, hash, &bytes));
            }
            other => others.push(other),
        }
    }
    others
}

fn reasons(actions: &[Action]) -> Vec<&RejectReason> {
    let reasons = actions.iter().filter_map(|action| match action {
        Action::ReportRejection { reason, .. } => Some(reason),
        _ => None,
    });
    reasons.collect()
}

/// Guards against activating an old revision from a restored platform or a stale node.
#[test]
fn old_revision_is_rejected_and_reported() {
    // Arrange
    let configs = history(3);
    let mut sync = ConfigSync::new(Some(configs[2].clone()));
    let old = configs[1].manifest().encode();

    // Act
    let from_platform = sync.offer_manifest(NOW, Source::Platform, &old);
    let from_node = sync.offer_manifest(NOW, node("node-b"), &old);

    // Assert
    let (offered, active_revision) = (Revision::new(2), Revision::new(3));
    let reason = RejectReason::OldRevision { offered, active_revision };
    assert_eq!(reasons(&from_platform), [&reason]);
    assert_eq!(from_platform[1], Action::RestorePlatform { platform_revision: offered });
    assert_eq!(from_node, [Action::ReportRejection { source: node("node-b"), reason }]);
    assert_eq!(sync.revision(), active_revision);
}

/// Guards against losing accepted changes when a platform is restored from an old backup and then
/// accepts other commands, so that its revision is larger than the active one.
#[test]
fn history_without_the_active_change_is_rejected() {
    // Arrange
    let configs = history(3);
    let mut other = configs[1].clone();
    for number in 0..3 {
        let other_command = command(&format!("other-{number}"), set_share(0, 90 + number));
        other = execute_new(&other, &other_command).config;
    }
    let mut sync = ConfigSync::new(Some(configs[2].clone()));

    // Act
    let actions = sync.offer_manifest(NOW, Source::Platform, &other.manifest().encode());
    let as_base = sync.check_follows(other.manifest());

    // Assert
    let (offered, active_revision) = (Revision::new(5), Revision::new(3));
    let reason = RejectReason::DivergedHistory { offered, active_revision };
    assert_eq!(reasons(&actions), [&reason]);
    assert_eq!(as_base, Err(reason));
    assert_eq!(actions.len(), 1);
}

/// Guards against fetching chunks that the active configuration already has.
#[test]
fn only_missing_chunks_are_requested() {
    // Arrange
    let configs = history(2);
    let mut sync = ConfigSync::new(Some(configs[0].clone()));

    // Act
    let actions = sync.offer_manifest(NOW, node("b"), &configs[1].manifest().encode());

    // Assert
    assert!(configs[0].manifest().chunks.len() > 2);
    assert!(matches!(&actions[..], [Action::RequestChunk { hash, .. }]
        if !configs[0].has_chunk(hash) && configs[1].has_chunk(hash)));
}

/// Guards against activating a truncated chunk, and against abandoning a configuration because of
/// one.
#[test]
fn truncated_chunk_is_reported_and_requested_elsewhere() {
    // Arrange
    let configs = history(2);
    let manifest = configs[1].manifest().encode();
    let mut sync = ConfigSync::new(Some(configs[0].clone()));
    let requested = sync.offer_manifest(NOW, node("b"), &manifest);
    sync.offer_manifest(NOW, node("c"), &manifest);
    let [Action::RequestChunk { hash, .. }] = requested[..] else { panic!("{requested:?}") };
    let mut truncated = configs[1].chunk_bytes(&hash).unwrap();
    truncated.truncate(truncated.len() / 2);

    // Act
    let reported = sync.offer_chunk(NOW, node("b"), hash, &truncated);
    let requested_again = sync.poll(Instant::from_ms(1_000));
    let actions = serve(&mut sync, &configs[1], requested_again.clone());

    // Assert
    assert_eq!(reasons(&reported), [&RejectReason::ChunkHashMismatch { hash }]);
    assert!(matches!(&requested_again[..], [Action::RequestChunk { source, .. }]
        if *source == node("c")));
    assert!(matches!(&actions[..], [Action::Activate(active)] if **active == configs[1]));
}

/// The manifest and the chunks of a document that is not validated.
fn unvalidated(document: &Document) -> (Manifest, Vec<Vec<u8>>) {
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

/// Guards against activating a part of an invalid document, and against fetching it repeatedly.
#[test]
fn invalid_document_is_rejected_as_a_whole() {
    // Arrange
    let mut invalid = document(10);
    invalid.revision = Revision::new(2);
    invalid.organisations[4].make_mut().share = 0;
    let (manifest, chunks) = unvalidated(&invalid);
    let mut sync = ConfigSync::new(Some(config(10)));
    sync.offer_manifest(NOW, node("b"), &manifest.encode());

    // Act
    let actions: Vec<Action> = chunks
        .iter()
        .flat_map(|bytes| sync.offer_chunk(NOW, node("b"), ChunkHash::of(bytes), bytes))
        .collect();
    let offered_again = sync.offer_manifest(NOW, node("c"), &manifest.encode());

    // Assert
    let [RejectReason::Invalid { revision, error }] = reasons(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(*revision, Revision::new(2));
    assert_eq!(error.field(), "organisations.organisation-000004.share");
    assert_eq!((error.value(), error.bound()), ("0", "it must be from 1 to 1000000"));
    assert!(offered_again.is_empty());
    assert_eq!(sync.active().unwrap().document(), &document(10));
}

/// Guards against a newer revision with unavailable chunks that blocks an available one.
#[test]
fn stalled_revision_is_abandoned_for_an_older_one() {
    // Arrange
    let configs = history(3);
    let mut sync = ConfigSync::new(Some(configs[0].clone()));
    sync.offer_manifest(NOW, node("b"), &configs[2].manifest().encode());
    let later = Instant::from_ms(5_000);

    // Act
    let reported = sync.poll(later);
    let requested = sync.offer_manifest(later, node("c"), &configs[1].manifest().encode());
    serve(&mut sync, &configs[1], requested);

    // Assert
    assert_eq!(reasons(&reported), [&RejectReason::Stalled { revision: Revision::new(3) }]);
    assert_eq!(sync.revision(), Revision::new(2));
}

/// What happens to a [`ConfigSync`].
#[derive(Debug, Clone)]
enum Event {
    /// A manifest of one of the revisions is offered.
    Offer(usize),
    /// An outstanding request is answered; the answer may be truncated or sent twice.
    Answer { request: usize, truncated: bool, repeated: bool },
    /// An outstanding request fails.
    Lose { request: usize },
    /// Time passes.
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0_usize..6).prop_map(Event::Offer),
        6 => (any::<usize>(), proptest::bool::weighted(0.2), any::<bool>()).prop_map(
            |(request, truncated, repeated)| Event::Answer { request, truncated, repeated }
        ),
        1 => any::<usize>().prop_map(|request| Event::Lose { request }),
        1 => (0_u64..3_000).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// A [`ConfigSync`] with its outstanding requests, and the reference: the newest revision offered.
struct Harness {
    configs: Vec<ActiveConfig>,
    sync: ConfigSync,
    requests: Vec<(Source, ChunkHash)>,
    now_ms: u64,
    newest_offered: usize,
}

impl Harness {
    fn apply(&mut self, event: Event) {
        let now = Instant::from_ms(self.now_ms);
        let actions = match event {
            Event::Offer(number) => {
                self.newest_offered = self.newest_offered.max(number);
                let bytes = self.configs[number].manifest().encode();
                self.sync.offer_manifest(now, node(&format!("n{number}")), &bytes)
            }
            Event::Wait { ms } => {
                self.now_ms += ms;
                self.sync.poll(Instant::from_ms(self.now_ms))
            }
            Event::Answer { .. } | Event::Lose { .. } if self.requests.is_empty() => Vec::new(),
            Event::Lose { request } => {
                let (source, hash) = self.requests.remove(request % self.requests.len());
                self.sync.chunk_failed(now, &source, &hash)
            }
            Event::Answer { request, truncated, repeated } => {
                let position = request % self.requests.len();
                let (source, hash) = match repeated {
                    true => self.requests[position].clone(),
                    false => self.requests.remove(position),
                };
                let mut bytes = self.chunk(&hash);
                bytes.truncate(bytes.len() - usize::from(truncated));
                self.sync.offer_chunk(now, source, hash, &bytes)
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

    /// Offers the newest revision again and answers all requests in time.
    fn complete(&mut self) {
        self.apply(Event::Wait { ms: 10_000 });
        self.apply(Event::Offer(self.newest_offered));
        while self.sync.is_collecting() {
            self.apply(Event::Wait { ms: 100 });
            let count = self.requests.len();
            for _ in 0..count {
                self.apply(Event::Answer { request: 0, truncated: false, repeated: false });
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), cases: 128, ..ProptestConfig::default() })]

    /// Guards against a revision that goes back, a document that mixes revisions, and a node that
    /// does not reach the newest revision once its sources answer.
    #[test]
    fn active_revision_becomes_the_newest_offered(
        events in proptest::collection::vec(event(), 0..60),
    ) {
        // Arrange
        let configs = history(6);
        let sync = ConfigSync::new(Some(configs[0].clone()));
        let mut harness =
            Harness { configs, sync, requests: Vec::new(), now_ms: 0, newest_offered: 0 };
        let mut previous = harness.sync.revision();

        // Act
        for event in events {
            harness.apply(event);

            // Assert
            let active = harness.sync.active().unwrap();
            let revision = active.manifest().revision;
            prop_assert!(revision >= previous);
            prop_assert_eq!(&**active, &harness.configs[revision.get() as usize - 1]);
            previous = revision;
        }
        harness.complete();
        prop_assert_eq!(harness.sync.revision().get() as usize, harness.newest_offered + 1);
    }
}
