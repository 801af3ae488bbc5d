//! Lists of topics that a node gets from other nodes of its zone: when it starts, and when its relay does not send the
//! changes that it misses.
//!
//! If each node listed the keys at the origin, the links between regions would carry all of them once for each node.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use yuccapass_decisions::gateway::relay::{ListOffer, RelayedEntry, TransferStep, ValueRequest};
use yuccapass_http::with_deadline;
use yuccapass_peers::{PeerMessage, PeerTransport, RelayRequest, decode_list};
use yuccapass_platform::KeyValueRevision;
use yuccapass_types::{Bytes, Deadline, Instant, NodeId};

use super::{Subscription, value_topic};
use crate::metrics::ChangePath;
use crate::state::Shared;

/// How long a node that starts tries to get a list from its zone. After it, the origin is read.
const LIST_LIMIT_MS: u64 = 1_500;

/// Timeout of a call, after which the next node is asked. An offer or a piece of a list takes a small part of it.
const CALL_TIMEOUT_MS: u64 = 400;

/// Pause before the nodes are asked again. Relays that have started as well need this time to list the keys.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A list of a topic from another node.
pub(crate) struct RelayedList {
    pub(crate) epoch: u64,
    pub(crate) end: u64,
    /// When the origin confirmed that there were no later changes.
    pub(crate) confirmed_at: Instant,
    pub(crate) entries: Vec<RelayedEntry>,
}

/// Reads the list of a topic from another node of the zone; `None` if none has a recent one that is newer than what
/// this node knows.
pub(crate) async fn read_list(
    shared: &Shared,
    subscription: &Subscription,
    known: Option<KeyValueRevision>,
) -> Option<RelayedList> {
    let transport = shared.relay.transport.get()?;
    let limit = Deadline::after_ms(shared.now(), LIST_LIMIT_MS);
    with_deadline(&*shared.clock, limit, shared.relay.nodes_known()).await.ok()?;
    let own = &shared.options.node;
    loop {
        for (node, address) in shared.relay.list_sources(own) {
            let list =
                read_list_of(shared, &**transport, subscription, known, (&node, address)).await;
            if list.is_some() {
                return list;
            }
        }
        // The other nodes may be waiting for this one.
        let has_time = known.is_none() && !limit.has_passed(shared.now());
        let waits = has_time || shared.relay.waits_for_source();
        if !shared.relay.has_relay_for(own) || !waits {
            return None;
        }
        task::sleep(RETRY_PAUSE).await;
    }
}

async fn read_list_of(
    shared: &Shared,
    transport: &dyn PeerTransport,
    subscription: &Subscription,
    known: Option<KeyValueRevision>,
    (node, address): (&NodeId, SocketAddr),
) -> Option<RelayedList> {
    let sent_at = shared.now();
    let deadline = Deadline::after_ms(sent_at, CALL_TIMEOUT_MS);
    let message = PeerMessage::RequestList(subscription.topic.clone());
    let reply = match transport.call(address, message, deadline).await {
        Ok(reply) => reply.message,
        Err(error) => {
            log::debug!(node = node.as_str(), error:%; "a node did not offer a list");
            return None;
        }
    };
    let PeerMessage::ListOffered(Some(offer)) = reply else { return None };
    let is_newer =
        known.is_none_or(|known| known.era().get() == offer.epoch && known.get() < offer.end);
    if !is_newer {
        return None;
    }
    let confirmed_at = offer.confirmed_at(sent_at);
    let entries = transfer(shared, transport, subscription, (node, address), &offer).await?;
    let age_ms = shared.now().ms_since(confirmed_at);
    if age_ms > subscription.max_age_ms {
        return None;
    }
    log::info!(
        node = node.as_str(), topic = subscription.topic.as_str(), entries = entries.len(),
        end = offer.end, age_ms;
        "a list was transferred"
    );
    let ListOffer { epoch, end, .. } = offer;
    Some(RelayedList { epoch, end, confirmed_at, entries })
}

/// Transfers a list in pieces.
async fn transfer(
    shared: &Shared,
    transport: &dyn PeerTransport,
    subscription: &Subscription,
    (node, address): (&NodeId, SocketAddr),
    offer: &ListOffer,
) -> Option<Vec<RelayedEntry>> {
    let values = &shared.relay.values;
    let mut transfer = values.list_transfer(node, &subscription.topic, offer.digest);
    loop {
        let request = RelayRequest { value: Some(transfer.request()), ..RelayRequest::default() };
        let deadline = Deadline::after_ms(shared.now(), CALL_TIMEOUT_MS);
        let reply = transport.call(address, PeerMessage::RelayRequest(request), deadline).await;
        let Ok(PeerMessage::RelayReply(reply)) = reply.map(|reply| reply.message) else {
            return None;
        };
        let size = reply.piece.as_ref().map_or(0, |piece| piece.bytes.len() as u64);
        let ValueRequest { key, .. } = transfer.request();
        let (topic, path) = (value_topic(&key), ChangePath::FromRelay);
        shared.metrics.record_change_bytes(&topic, path, Bytes::new(size));
        match transfer.record(reply.piece) {
            TransferStep::Continue => {}
            TransferStep::Failed => return None,
            TransferStep::Complete(_, encoded) => {
                return decode_list(&values.decode_list(&encoded, offer.digest)?).ok();
            }
        }
    }
}
