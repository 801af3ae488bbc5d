//! Tests of the exchange of outstanding requests on the wire: nodes of other versions, and what it costs.

use prost::Message;
use yuccapass_decisions::gateway::relay::relay_count;
use yuccapass_decisions::gateway::zone_room::{
    EndpointKey, EndpointUse, MIN_NODES, OutstandingSum, OutstandingSummary, PERIOD_MS, RoomReply,
    RoomStamp, SummaryScope,
};
use yuccapass_peers::{Frame, MAX_FRAME_BYTES, PeerMessage, RelayReply, RelayRequest, Sender};
use yuccapass_types::{Incarnation, Instant, Tokens};

/// The frame of a version without the exchange.
#[derive(Clone, PartialEq, Message)]
struct EarlierFrame {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    call: u64,
    #[prost(uint64, tag = "4")]
    remaining_ms: u64,
    #[prost(message, optional, tag = "14")]
    request: Option<EarlierRequest>,
    #[prost(message, optional, tag = "15")]
    reply: Option<EarlierReply>,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierRequest {
    #[prost(message, repeated, tag = "1")]
    topics: Vec<EarlierTopic>,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierReply {
    #[prost(uint64, tag = "1")]
    held_ms: u64,
    #[prost(message, repeated, tag = "2")]
    updates: Vec<EarlierTopic>,
}

#[derive(Clone, PartialEq, Message)]
struct EarlierTopic {
    #[prost(string, tag = "1")]
    topic: String,
}

fn frame(message: PeerMessage) -> Frame {
    let sender = Sender {
        node: "node-123".parse().unwrap(),
        incarnation: Incarnation::new(1_796_000_000_000),
    };
    Frame { sender, call: 400, remaining_ms: 700, message }
}

fn stamp() -> RoomStamp {
    RoomStamp { incarnation: Incarnation::new(1_796_000_000_000), at: Instant::from_ms(4_000_000) }
}

fn sum(endpoints: usize, requests: u32) -> OutstandingSum {
    let tokens = Tokens::new(u64::from(requests) * 8_000);
    let used = EndpointUse { requests, tokens, sent: requests };
    let entry = |number| (EndpointKey::of(&format!("replica-{number}").parse().unwrap()), used);
    OutstandingSum::of_node((0..endpoints).map(entry))
}

fn request(endpoints: usize, scope: SummaryScope) -> PeerMessage {
    let outstanding = OutstandingSummary::new(scope, 9_999, Some(stamp()), sum(endpoints, 2));
    PeerMessage::RelayRequest(RelayRequest {
        topics: Vec::new(),
        outstanding: Some(outstanding),
        ..RelayRequest::default()
    })
}

fn reply(endpoints: usize) -> PeerMessage {
    let outstanding = Some(RoomReply { stamp: stamp(), sum: sum(endpoints, 200) });
    PeerMessage::RelayReply(RelayReply {
        held_ms: 250,
        updates: Vec::new(),
        outstanding,
        ..RelayReply::default()
    })
}

/// Bytes of a message on the wire, with the length in front of its frame.
fn size(message: PeerMessage) -> usize {
    4 + frame(message).encode().len()
}

/// Guards against a follower of this version that a relay of an earlier one cannot read, and the reverse.
#[test]
fn earlier_versions_ignore_the_exchange() {
    // Arrange
    let request = frame(request(3, SummaryScope::Node)).encode();
    let reply = frame(reply(3)).encode();

    // Act
    let request = EarlierFrame::decode(request).unwrap();
    let reply = EarlierFrame::decode(reply).unwrap();

    // Assert
    assert_eq!(request.request, Some(EarlierRequest { topics: Vec::new() }));
    assert_eq!(reply.reply, Some(EarlierReply { held_ms: 250, updates: Vec::new() }));
}

/// Guards against messages of an earlier version that this one takes for damaged.
#[test]
fn messages_of_earlier_versions_have_no_exchange() {
    // Arrange
    let earlier = EarlierFrame {
        node: "node-1".to_owned(),
        request: Some(EarlierRequest { topics: Vec::new() }),
        ..EarlierFrame::default()
    };
    let earlier_reply = EarlierFrame {
        request: None,
        reply: Some(EarlierReply { held_ms: 5, updates: Vec::new() }),
        ..earlier.clone()
    };

    // Act
    let request = Frame::decode(&earlier.encode_to_vec()).unwrap().message;
    let reply = Frame::decode(&earlier_reply.encode_to_vec()).unwrap().message;

    // Assert
    let outstanding = None;
    assert_eq!(
        request,
        PeerMessage::RelayRequest(RelayRequest {
            topics: Vec::new(),
            outstanding,
            ..RelayRequest::default()
        })
    );
    let reply_without =
        RelayReply { held_ms: 5, updates: Vec::new(), outstanding: None, ..RelayReply::default() };
    assert_eq!(reply, PeerMessage::RelayReply(reply_without));
}

/// Guards against an exchange that changes the messages of nodes which do not take part.
#[test]
fn without_the_exchange_the_messages_are_those_of_earlier_versions() {
    // Arrange
    let without = PeerMessage::RelayRequest(RelayRequest {
        topics: Vec::new(),
        outstanding: None,
        ..RelayRequest::default()
    });
    let earlier = EarlierFrame {
        node: "node-123".to_owned(),
        incarnation: 1_796_000_000_000,
        call: 400,
        remaining_ms: 700,
        request: Some(EarlierRequest { topics: Vec::new() }),
        reply: None,
    };

    // Act
    let bytes = frame(without).encode();

    // Assert
    assert_eq!(bytes, earlier.encode_to_vec());
}

/// Guards against a full sum that exceeds a frame together with the changes of a reply.
#[test]
fn the_largest_sum_leaves_room_in_a_frame() {
    let bytes = size(reply(100_000));

    assert!(bytes < MAX_FRAME_BYTES / 2, "{bytes}");
}

/// What the exchange adds to the messages of a zone.
#[derive(Default)]
struct Cost {
    follower_bytes_per_s: f64,
    relay_bytes_per_s: f64,
    mean_bytes_per_s: f64,
    relay_calls_per_s: f64,
}

/// Computes the cost in a zone with this many nodes and endpoints. Each node has requests at eight
/// endpoints, and the zone at all of them.
fn cost(nodes: usize, endpoints: usize) -> Cost {
    if nodes < MIN_NODES {
        return Cost::default();
    }
    let empty = size(PeerMessage::RelayRequest(RelayRequest {
        topics: Vec::new(),
        outstanding: None,
        ..RelayRequest::default()
    }));
    let periods_per_s = 1_000.0 / PERIOD_MS as f64;
    let relays = relay_count(nodes);
    // A follower's messages exist without the exchange, so their frames do not count.
    let of_follower = size(request(8, SummaryScope::Node)) + size(reply(endpoints)) - 2 * empty;
    let of_relay = size(request(endpoints, SummaryScope::Relay)) + size(reply(endpoints));
    let followers = nodes - relays;
    let at_relay = followers.div_ceil(relays) * of_follower + (relays - 1) * of_relay;
    // Each message has two ends; of two relays, one calls.
    let at_all = 2 * followers * of_follower + relays * (relays - 1) * of_relay;
    Cost {
        follower_bytes_per_s: of_follower as f64 * periods_per_s,
        relay_bytes_per_s: at_relay as f64 * periods_per_s,
        mean_bytes_per_s: at_all as f64 * periods_per_s / nodes as f64,
        relay_calls_per_s: (relays - 1) as f64 / 2.0 * periods_per_s,
    }
}

/// Guards against an exchange whose cost for a node grows with the fleet: before the same endpoints, that of
/// a follower must not change from 100 to 300 nodes in three zones, and the mean must stay within 1.3 times
/// its value. It must leave most of the 23 KB/s that a node may use for control.
#[test]
fn the_cost_for_a_node_does_not_grow_with_the_fleet() {
    for endpoints in [25, 50, 100] {
        let costs = [30, 100, 300].map(|nodes| (nodes, cost(nodes / 3, endpoints)));
        for (nodes, cost) in &costs {
            eprintln!(
                "{nodes} nodes, {endpoints} endpoints: follower {:.0} B/s, relay {:.0} B/s, mean {:.0} B/s, \
                 calls of a relay {:.1}/s",
                cost.follower_bytes_per_s,
                cost.relay_bytes_per_s,
                cost.mean_bytes_per_s,
                cost.relay_calls_per_s
            );
        }
        let [(_, at_30), (_, at_100), (_, at_300)] = &costs;
        assert_eq!(at_30.mean_bytes_per_s, 0.0);
        assert_eq!(at_300.follower_bytes_per_s, at_100.follower_bytes_per_s);
        assert!(at_300.mean_bytes_per_s <= 1.3 * at_100.mean_bytes_per_s, "{endpoints} endpoints");
        assert!(at_300.mean_bytes_per_s <= 23_000.0 / 2.0, "{endpoints} endpoints");
    }
}
