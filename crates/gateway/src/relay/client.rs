//! Follows a relay of the zone.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use yuccapass_decisions::gateway::relay::{
    ChangeSource, RelayFailure, RelayItem, RelaySources, TopicClass, TopicRequest,
};
use yuccapass_peers::{PeerMessage, PeerTransport, RelayReply, RelayRequest};
use yuccapass_types::{Bytes, Deadline, Instant, NodeId};

use super::room::SentSummary;
use super::{Source, value_topic};
use crate::metrics::ChangePath;
use crate::state::Shared;

/// Time after which a relay that does not reply is given up. It holds requests for at most 250 ms.
/// Two such timeouts, and the age up to which a relay's knowledge is used, fit into the time for
/// which keys are valid.
const CALL_TIMEOUT_MS: u64 = 700;

/// Pause between two requests, in which the tasks apply the updates. Without it, a relay with
/// urgent news would repeat them at once.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);

/// Period of checking for a relay while this node reads from the origins.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Period of checking for a node to follow while this node waits for those that read from the origins.
const WAIT_PERIOD: Duration = Duration::from_millis(50);

/// Follows a relay whenever the zone has one, until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>, transport: Arc<dyn PeerTransport>) {
    let mut sources = RelaySources::new(shared.options.node.clone());
    loop {
        sources.record_origin(shared.relay.has_lost_origin());
        if let Some(confirmed_at) = shared.relay.confirmed_at() {
            sources.record_confirmed(confirmed_at);
        }
        let chosen = sources.choose(&shared.relay.node_ids(), shared.now());
        let pause = match &chosen {
            ChangeSource::Origin => {
                set_source(&shared, Source::Origins, None);
                CHECK_PERIOD
            }
            ChangeSource::Wait => {
                set_source(&shared, Source::Pending, None);
                WAIT_PERIOD
            }
            ChangeSource::Relay(relay) => {
                match follow_once(&shared, &*transport, relay).await {
                    Ok(confirmed_at) => {
                        sources.record_success(relay, confirmed_at);
                        set_source(&shared, Source::Relay, Some(relay));
                    }
                    Err(failure) => {
                        log::debug!(relay = relay.as_str(), failure:?; "a relay is not followed");
                        sources.record_failure(
                            relay.clone(),
                            failure,
                            rand::random(),
                            shared.now(),
                        );
                        if !shared.relay.reads_origins() {
                            set_source(&shared, Source::Pending, None);
                        }
                    }
                }
                REQUEST_PAUSE
            }
        };
        task::sleep(pause).await;
    }
}

fn set_source(shared: &Shared, source: Source, relay: Option<&NodeId>) {
    if shared.relay.set_source(source) {
        shared.metrics.record_following(source != Source::Origins);
        let relay = relay.map_or("none", NodeId::as_str);
        log::info!(relay, source:?; "the source of changes has changed");
    }
}

/// Asks a relay for all topics, and passes on what it knows if that is recent. Returns when the origin confirmed
/// what the relay knows.
async fn follow_once(
    shared: &Shared,
    transport: &dyn PeerTransport,
    relay: &NodeId,
) -> Result<Instant, RelayFailure> {
    let address = shared.relay.address(relay).ok_or(RelayFailure::Silent)?;
    let requests = shared.relay.requests();
    let sent_at = shared.now();
    let outstanding = shared.zone_room.follower_summary(shared, relay);
    let sent = outstanding.as_ref().map(|summary| SentSummary {
        scope: summary.scope,
        sequence: summary.sequence,
        sent_at,
    });
    let topics = requests.iter().map(|(request, _)| request.clone()).collect();
    let value = shared.relay.values.next_request(relay);
    let value_topic = value.as_ref().map(|request| value_topic(&request.key));
    let request = RelayRequest { topics, outstanding, accepts_references: true, value };
    let message = PeerMessage::RelayRequest(request);
    let deadline = Deadline::after_ms(sent_at, CALL_TIMEOUT_MS);
    match transport.call(address, message, deadline).await {
        Ok(reply) => match reply.message {
            PeerMessage::RelayReply(mut reply) => {
                if let Some(topic) = value_topic {
                    let piece = reply.piece.take();
                    let size = piece.as_ref().map_or(0, |piece| piece.bytes.len() as u64);
                    let path = ChangePath::FromRelay;
                    shared.metrics.record_change_bytes(&topic, path, Bytes::new(size));
                    shared.relay.values.record_piece(piece);
                }
                if let (Some(sent), Some(room)) = (sent, &reply.outstanding) {
                    shared.zone_room.record_reply(shared, relay, (sent, reply.held_ms), room);
                }
                deliver(shared, relay, requests, reply, sent_at).ok_or(RelayFailure::Outdated)
            }
            _ => Err(RelayFailure::Silent),
        },
        Err(error) => {
            log::debug!(relay = relay.as_str(), error:%; "a relay did not reply");
            Err(RelayFailure::Silent)
        }
    }
}

/// Passes the updates on to the tasks of their topics. Returns when the origin confirmed what the relay knows, or
/// `None` if the relay may not be followed.
///
/// It may not if it has not read one of the urgent topics recently. Stores may be down, so their topics
/// do not count.
fn deliver(
    shared: &Shared,
    relay: &NodeId,
    requests: Vec<(TopicRequest, TopicClass)>,
    reply: RelayReply,
    sent_at: Instant,
) -> Option<Instant> {
    let now = shared.now();
    let often_read = shared.relay.often_read_topics();
    let mut updates = reply.updates;
    let mut is_followable = true;
    let mut confirmed_at = sent_at;
    for (request, class) in requests {
        let position = updates.iter().position(|update| update.topic == request.topic);
        let is_urgent = class == TopicClass::Urgent;
        let is_recent = position.is_some_and(|position| {
            let update = updates.swap_remove(position);
            if often_read.binary_search(&update.topic).is_ok() {
                confirmed_at = confirmed_at.min(update.confirmed_at(sent_at, reply.held_ms));
            }
            let size = update.items.iter().flatten().map(RelayItem::size).sum();
            shared.metrics.record_change_bytes(&update.topic, ChangePath::FromRelay, size);
            shared.relay.deliver(relay, request, update, (sent_at, reply.held_ms), now)
        });
        is_followable &= is_recent || !is_urgent;
    }
    is_followable.then_some(confirmed_at)
}
