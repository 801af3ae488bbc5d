//! Tests of the encoding of messages, and of the checks of messages from other nodes.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccapass_decisions::gateway::relay::{
    ListOffer, RelayItem, RelayedEntry, RelayedReference, TopicRequest, TopicUpdate, ValueDigest,
    ValuePiece, ValueRequest,
};
use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, EndpointUse, OutstandingSum, OutstandingSummary, RoomReply, RoomStamp,
    SummaryScope,
};
use yuccapass_decisions::gateway::{
    KnownVersions, PartEvent, StreamOrigin, StreamRecord, VersionStatement,
};
use yuccapass_decisions::membership::{
    CrashCount, Heartbeat, HeartbeatCounter, LoadSummary, OrganisationUsage, Row, RowState,
};
use yuccapass_decisions::permits::{PermitId, PermitReply};
use yuccapass_decisions::quorum::{
    AttemptId, Outcome, OutcomeState, RequestDigest, VoteHolder, VoteKey, VoteReply, VoteRequest,
    VoterListId,
};
use yuccapass_peers::{
    ConfigChunk, ConfigRequest, Frame, MAX_CHUNK_BYTES, PeerMessage, PermitAction, PermitRequest,
    RelayReply, RelayRequest, Sender,
};
use yuccapass_types::{Incarnation, Instant, RequestId, Revision, Tokens, TokensPerSecond};

fn attempt(number: u64) -> AttemptId {
    AttemptId { node: "node-1".parse().unwrap(), incarnation: Incarnation::new(number), number }
}

fn row(number: u64, state: RowState, name: &str) -> Row {
    Row {
        node: name.parse().unwrap(),
        incarnation: Incarnation::new(number),
        heartbeat: number,
        zone: name.parse().unwrap(),
        peer_address: "127.0.0.1:7001".parse().unwrap(),
        admin_address: "[::1]:7002".parse().unwrap(),
        revision: Revision::new(number),
        state,
        load: LoadSummary {
            running_requests: number as u32,
            queued_requests: 0,
            tokens_per_s: TokensPerSecond::new(number),
        },
    }
}

fn heartbeat(number: u64, rows: usize, name: &str) -> Heartbeat {
    let usage = OrganisationUsage {
        organisation: name.parse().unwrap(),
        tokens_per_s: TokensPerSecond::new(number),
    };
    Heartbeat {
        own: row(number, RowState::Leaving, name),
        counters: vec![HeartbeatCounter { process: number as u32, heartbeat: number }; 200],
        rows: vec![row(number, RowState::Left, name); rows],
        usage: vec![usage; 3],
        crashes: vec![CrashCount { fingerprint: number, number, count: 2, age_ms: 5 }],
    }
}

fn outcomes(body: &[u8]) -> [OutcomeState; 4] {
    let recorded = OutcomeState::Recorded(Outcome { status: 201, body: Arc::from(body) });
    [OutcomeState::Pending, OutcomeState::NotKept, OutcomeState::Unknown, recorded]
}

/// Creates at least one message of each kind.
fn messages(number: u64, body: &[u8]) -> Vec<PeerMessage> {
    let organisation = "org".parse().unwrap();
    let key = VoteKey::ledger(&organisation, &"key".parse().unwrap());
    let digest = RequestDigest::of_request("POST", "/", body);
    let (list, zone) = (VoterListId::new(number), "zone-1".parse().unwrap());
    let mut messages = vec![
        PeerMessage::Heartbeat(heartbeat(number, 24, "node-1")),
        PeerMessage::VoteRequest(VoteRequest { key, attempt: attempt(number), digest, list, zone }),
        PeerMessage::VoteRelease { key, attempt: attempt(number) },
    ];
    let revision = Revision::new(number);
    for chunk in [None, Some([7; 32])] {
        let request = ConfigRequest { revision, chunk, offset_bytes: number };
        messages.push(PeerMessage::ConfigRequest(request));
    }
    for bytes in [None, Some(body.to_vec().into())] {
        messages.push(PeerMessage::ConfigChunk(ConfigChunk { revision, bytes }));
    }
    for outcome in outcomes(body) {
        let holder = VoteHolder { attempt: attempt(number), digest, outcome: outcome.clone() };
        messages.push(PeerMessage::VoteReply(VoteReply::HeldBy(holder)));
        messages.push(PeerMessage::Outcome { key, attempt: attempt(number), outcome });
    }
    let replies =
        [VoteReply::Granted, VoteReply::Abstained, VoteReply::WrongList(list), VoteReply::Full];
    messages.extend(replies.map(PeerMessage::VoteReply));
    for action in [PermitAction::Acquire, PermitAction::Renew, PermitAction::Release] {
        let permit =
            PermitId { node: "node-2".parse().unwrap(), incarnation: Incarnation::new(1), number };
        let (endpoint, incarnation) = ("endpoint".parse().unwrap(), Incarnation::new(number));
        let request = PermitRequest { endpoint, incarnation, permit, action };
        messages.push(PeerMessage::PermitRequest(request));
    }
    let granted = PermitReply::Granted { remaining_ms: number };
    let replies = [granted, PermitReply::Full, PermitReply::NotReady, PermitReply::NotOwner];
    messages.extend(replies.map(PeerMessage::PermitReply));
    messages.extend(relay_messages(number, body));
    messages.extend(zone_room_messages(number));
    messages.extend(stream_messages(number));
    messages.extend(list_messages(number));
    messages
}

/// Creates the messages about streams.
fn stream_messages(number: u64) -> Vec<PeerMessage> {
    let origin = |software: Option<&str>| StreamOrigin {
        service: "ledger".parse().unwrap(),
        software: software.map(|software| software.parse().unwrap()),
    };
    let id: RequestId = format!("r-{number}").parse().unwrap();
    let record = |software| StreamRecord { id: id.clone(), origin: origin(software) };
    let statement = |versions, is_confirmed| {
        PeerMessage::SoleVersion(VersionStatement { versions, is_confirmed })
    };
    vec![
        PeerMessage::KeepStreams(vec![record(None), record(Some("v1.1"))]),
        PeerMessage::StreamsKept,
        PeerMessage::FindStream(id.clone()),
        PeerMessage::StreamFound(None),
        PeerMessage::StreamFound(Some(origin(Some("v1")))),
        PeerMessage::RequestSoleVersion("ledger".parse().unwrap()),
        statement(KnownVersions::Unknown, false),
        statement(KnownVersions::Several, false),
        statement(KnownVersions::Sole(None), true),
        statement(KnownVersions::Sole(Some("v1".parse().unwrap())), true),
    ]
}

/// Creates the messages about the list of a topic.
fn list_messages(number: u64) -> Vec<PeerMessage> {
    let digest = ValueDigest::of(&number.to_le_bytes());
    let offer = ListOffer { epoch: number, end: number, age_ms: number, digest };
    vec![
        PeerMessage::RequestList("keys:op/".into()),
        PeerMessage::ListOffered(None),
        PeerMessage::ListOffered(Some(offer)),
    ]
}

/// Creates a request of a follower, and a reply with all kinds of items.
fn relay_messages(number: u64, body: &[u8]) -> [PeerMessage; 2] {
    let topic = || "keys:op/".into();
    let request = TopicRequest { topic: topic(), epoch: number, after: number };
    let entry = |value| {
        RelayItem::Entry(RelayedEntry { key: "settings/a".into(), value, revision: number })
    };
    let part = RelayItem::Part(PartEvent {
        is_added: true,
        namespace: "w1".parse().unwrap(),
        part: "5c1e07a2".parse().unwrap(),
        tokens: Tokens::new(number),
    });
    let update = |items| TopicUpdate {
        topic: topic(),
        epoch: number,
        after: number,
        end: number,
        age_ms: number,
        outage_age_ms: Some(number),
        clock_ms: None,
        items,
    };
    let digest = ValueDigest::of(body);
    let reference =
        RelayItem::Reference(RelayedReference { key: "op/b".into(), digest, revision: number });
    let items = vec![entry(None), entry(Some(body.to_vec())), reference, part];
    let updates = vec![update(None), update(Some(Vec::new())), update(Some(items))];
    [
        PeerMessage::RelayRequest(RelayRequest {
            topics: vec![request],
            outstanding: None,
            accepts_references: true,
            value: Some(ValueRequest {
                key: "op/b".into(),
                digest,
                base: Some(digest),
                offset_bytes: number,
            }),
        }),
        PeerMessage::RelayReply(RelayReply {
            held_ms: number,
            updates,
            outstanding: None,
            piece: Some(ValuePiece {
                digest,
                base: None,
                offset_bytes: number,
                total_bytes: number,
                bytes: body.to_vec(),
            }),
        }),
    ]
}

/// Creates requests and a reply with what nodes have outstanding.
fn zone_room_messages(number: u64) -> Vec<PeerMessage> {
    let tokens = Tokens::new(number);
    let used = EndpointUse { requests: number as u32, tokens, sent: number as u32 };
    let sum = OutstandingSum {
        age_ms: number,
        nodes: number as u32,
        uses: [(EndpointKey::new(number as u32), used)].into_iter().collect(),
    };
    let stamp = RoomStamp { incarnation: Incarnation::new(number), at: Instant::from_ms(number) };
    let request = |scope, echo| {
        let outstanding = Some(OutstandingSummary::new(scope, number, echo, sum.clone()));
        PeerMessage::RelayRequest(RelayRequest {
            topics: Vec::new(),
            outstanding,
            ..RelayRequest::default()
        })
    };
    let outstanding = Some(RoomReply { stamp, sum: sum.clone() });
    let reply =
        RelayReply { held_ms: number, updates: Vec::new(), outstanding, ..RelayReply::default() };
    vec![
        request(SummaryScope::Node, None),
        request(SummaryScope::Relay, Some(stamp)),
        PeerMessage::RelayReply(reply),
    ]
}

fn frame(message: PeerMessage) -> Frame {
    let sender = Sender { node: "node-9".parse().unwrap(), incarnation: Incarnation::new(3) };
    Frame { sender, call: 4, remaining_ms: 5, message }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a field that is lost or changed by encoding and decoding.
    #[test]
    fn messages_survive_encoding(
        number: u64, body in proptest::collection::vec(any::<u8>(), 0..300)
    ) {
        // Arrange
        for message in messages(number, &body) {
            let sent = frame(message);

            // Act
            let received = Frame::decode(&sent.clone().encode());

            // Assert
            prop_assert_eq!(received, Ok(sent));
        }
    }

    /// Guards against a decoder that panics on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        // Arrange, act and assert: only a panic fails.
        let _ = Frame::decode(&bytes);
    }

    /// Guards against a decoder that panics on a damaged message, and against a decoded message
    /// that cannot be encoded again.
    #[test]
    fn damaged_messages_do_not_panic(
        number: u64, kind in any::<prop::sample::Index>(),
        damage in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        // Arrange
        let messages = messages(number, b"body");
        let mut bytes = frame(messages[kind.index(messages.len())].clone()).encode().to_vec();
        for (position, byte) in damage {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }

        // Act
        let whole = Frame::decode(&bytes);
        let _ = Frame::decode(&bytes[..cut.index(bytes.len())]);

        // Assert
        if let Ok(decoded) = whole {
            prop_assert_eq!(Frame::decode(&decoded.clone().encode()), Ok(decoded));
        }
    }

    /// Guards against a heartbeat whose encoding is larger than the size that membership counts for
    /// it.
    #[test]
    fn encoded_heartbeat_fits_its_counted_size(number: u64, rows in 0_usize..25) {
        // Arrange
        let heartbeat = heartbeat(number, rows, &"n".repeat(64));
        let counted_bytes = heartbeat.encoded_bytes();

        // Act
        let encoded = frame(PeerMessage::Heartbeat(heartbeat)).encode();

        // Assert: besides the heartbeat there are the sender, three numbers and the length of the
        // body.
        prop_assert!(encoded.len() <= counted_bytes + 2 + 64 + 3 * 11 + 4);
    }
}

/// Guards against messages by which another node makes this one keep more than the limits allow.
#[test]
fn messages_beyond_the_bounds_are_rejected() {
    // Arrange
    let too_long = vec![0; MAX_CHUNK_BYTES + 1];
    let chunk = ConfigChunk { revision: Revision::new(1), bytes: Some(too_long.clone().into()) };
    let [.., outcome] = outcomes(&too_long);
    let key = VoteKey::permit(&"endpoint".parse().unwrap(), Incarnation::new(1));
    let cases = [
        (PeerMessage::Heartbeat(heartbeat(1, 25, "node-1")), "rows"),
        (PeerMessage::ConfigChunk(chunk), "bytes"),
        (PeerMessage::Outcome { key, attempt: attempt(1), outcome }, "outcome.body"),
    ];
    for (message, field) in cases {
        // Act
        let error = Frame::decode(&frame(message).encode()).unwrap_err();

        // Assert
        assert_eq!(error.field(), field);
    }
}
