//! Sends requests through another node while this one has lost its links to the endpoints.
//!
//! The other node gets the caller's request as it is, and makes all checks and decisions itself. It does not send
//! the request on to a third node.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};

use yuccapass_decisions::gateway::{
    AttemptFailure, EndpointRecord, Neighbour, Neighbours, Refusal,
};
use yuccapass_http::message::{Connection, ResponseHead};
use yuccapass_http::with_deadline;
use yuccapass_types::{Deadline, NodeId, RequestId, ResultCode, SortedMap};

use crate::admission::Admitted;
use crate::answer::AnswerWriter;
use crate::attempt::{AttemptOutcome, FailedAttempt};
use crate::events::EventSplitter;
use crate::protocol::Detour;
use crate::received::{AnswerSource, Received, exchange, forward_buffered, forward_stream};
use crate::request_message::{is_separate, message_with_headers};
use crate::state::Shared;

/// Timeout for opening a connection to another node: a few round trips between regions.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// How long an idle connection is kept, shorter than the idle timeouts of nodes.
const IDLE_MS: u64 = 1_500;

/// Maximum number of idle connections to one node.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Maximum number of nodes that are tried for a request.
const MAX_NODES: usize = 3;

/// The status with which a node that has lost its links too refuses a request of another one (RFC 9110, section
/// 15.5.20).
const MISDIRECTED: u16 = 421;

/// The error answer of such a node. The other one may know a third node that serves the request.
pub(crate) const REFUSAL: Refusal = Refusal::without_retry(MISDIRECTED, ResultCode::NoEndpoint);

type IdleConnections = SortedMap<SocketAddr, Vec<(Connection, Deadline)>>;

/// The other nodes, and the connections to them.
#[derive(Default)]
pub(crate) struct DetourTable {
    neighbours: Mutex<Neighbours>,
    idle: Mutex<IdleConnections>,
}

impl DetourTable {
    /// Replaces the other nodes.
    pub(crate) fn replace(&self, nodes: Vec<Neighbour>) {
        lock(&self.neighbours).replace(nodes);
    }

    fn take_idle(&self, shared: &Shared, address: SocketAddr) -> Option<Connection> {
        let now = shared.now();
        let mut idle = lock(&self.idle);
        let of_node = idle.get_mut(&address)?;
        loop {
            let (connection, expiry) = of_node.pop()?;
            if !expiry.has_passed(now) && connection.is_reusable() {
                return Some(connection);
            }
        }
    }
}

/// A node as the source of an answer.
struct NodeSource {
    address: SocketAddr,
}

impl AnswerSource for NodeSource {
    fn keep_connection(&self, shared: &Shared, connection: Connection, head: &ResponseHead) {
        if !head.keeps_connection() {
            return;
        }
        let expiry = Deadline::after_ms(shared.now(), IDLE_MS);
        let mut idle = lock(&shared.detours.idle);
        let of_node = idle.get_or_insert_with(self.address, Vec::new);
        if of_node.len() < MAX_IDLE_CONNECTIONS {
            of_node.push((connection, expiry));
        }
    }

    fn endpoint(&self) -> Option<&EndpointRecord> {
        None
    }
}

/// Returns whether a request goes through another node now. One that has come from another node does not.
pub(crate) fn is_wanted(shared: &Shared, request: &Admitted<'_>) -> bool {
    shared.links.are_lost() && request.caller.detoured_runs.is_none()
}

/// Sends a request, which `runs` attempts may have run, through other nodes until one of them has taken it.
pub(crate) async fn detour(
    shared: &Shared,
    request: &Admitted<'_>,
    runs: u32,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    let mut tried: Vec<NodeId> = Vec::new();
    let mut failed = FailedAttempt::new(AttemptFailure::NotSent, "no other node is known");
    while tried.len() < MAX_NODES && !request.deadline.has_passed(shared.now()) {
        let Some(neighbour) = choose(shared, request, &tried) else { break };
        tried.push(neighbour.node.clone());
        let outcome = attempt(shared, request, runs, &neighbour, events, answer).await;
        let AttemptOutcome::Failed(next) = outcome else {
            shared.metrics.record_detour();
            return outcome;
        };
        log::info!(
            request_id = request.caller.id.as_str(), node = neighbour.node.as_str(),
            failure:? = next.failure, detail = next.detail.as_str();
            "another node did not serve a request"
        );
        let may_have_run = !next.failure.is_not_run();
        failed = next;
        if may_have_run {
            break;
        }
    }
    AttemptOutcome::Failed(failed)
}

fn choose(shared: &Shared, request: &Admitted<'_>, tried: &[NodeId]) -> Option<Neighbour> {
    let directory = shared.directory();
    let regions = request.regions(shared);
    if !regions.may_be_used(shared.now()) {
        return None;
    }
    let distance = |zone: &_| {
        let is_allowed = regions.allowed.contains(directory.region(zone));
        is_allowed.then(|| shared.distance(&directory, zone))
    };
    lock(&shared.detours.neighbours).choose(distance, tried, rand::random(), shared.now())
}

fn avoid(shared: &Shared, neighbour: &Neighbour) {
    lock(&shared.detours.neighbours).avoid(neighbour.node.clone(), shared.now());
}

async fn attempt(
    shared: &Shared,
    request: &Admitted<'_>,
    runs: u32,
    neighbour: &Neighbour,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    let not_sent =
        |error| AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::NotSent, error));
    let (mut connection, is_reused) = match shared.detours.take_idle(shared, neighbour.address) {
        Some(connection) => (connection, true),
        None => match open(shared, neighbour.address, request.deadline).await {
            Ok(connection) => (connection, false),
            Err(error) => {
                avoid(shared, neighbour);
                return not_sent(error.to_string());
            }
        },
    };
    let message = detour_message(shared, request, runs, events);
    let separate_body = match is_separate(&request.message.body) {
        true => &request.message.body[..],
        false => &[],
    };
    request.message.may_have_run.store(true, Ordering::Release);
    let sent_at = shared.now();
    let parts = [&message[..], separate_body];
    let exchange = exchange(shared, request, &mut connection, is_reused, parts);
    let received = match with_deadline(&*shared.clock, request.deadline, exchange).await {
        Ok(Ok(received)) => received,
        Ok(Err(error)) => return AttemptOutcome::Failed(FailedAttempt::broken(error)),
        Err(expired) => return AttemptOutcome::Failed(FailedAttempt::silent(expired, sent_at)),
    };
    let source = NodeSource { address: neighbour.address };
    if !received.info.is_signed {
        if received.head.status == MISDIRECTED {
            avoid(shared, neighbour);
        }
        let failure = refusal_failure(&received);
        let detail = format!("refused by a node, status {}", received.head.status);
        return AttemptOutcome::Failed(FailedAttempt::new(failure, detail));
    }
    let is_stream = request.route.kind.is_streaming() && received.head.status == 200;
    if is_stream {
        return forward_stream(shared, request, &source, connection, received, events, answer)
            .await;
    }
    forward_buffered(shared, request, &source, connection, received, answer).await
}

/// Returns what the error answer of another node says about the request.
fn refusal_failure(received: &Received) -> AttemptFailure {
    match received.head.status {
        502 | 504 => AttemptFailure::Broken,
        // A node that knows another configuration may answer with any other status; it has not sent the request on.
        _ => AttemptFailure::NotRun,
    }
}

async fn open(
    shared: &Shared,
    address: SocketAddr,
    deadline: Deadline,
) -> std::io::Result<Connection> {
    let limit = Deadline::after_ms(shared.now(), CONNECT_TIMEOUT_MS).earlier(deadline);
    let connection = with_deadline(&*shared.clock, limit, Connection::open(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    connection.set_dead_peer_timeout(shared.options.silence_ms)?;
    Ok(connection)
}

/// Encodes the caller's request for another node.
fn detour_message(
    shared: &Shared,
    request: &Admitted<'_>,
    runs: u32,
    events: &EventSplitter,
) -> Vec<u8> {
    let caller = request.caller;
    let begun = events.last_id();
    // A stream that has begun here goes on like one that its caller takes up.
    let own_id: Option<RequestId> = caller.id.parse().ok();
    let resumed = match begun {
        Some(_) => caller.resumed.as_ref().or(own_id.as_ref()),
        None => caller.resumed.as_ref(),
    };
    let detour = Detour {
        runs,
        remaining_ms: request.deadline.remaining_ms(shared.now()),
        resume_after: begun.or(caller.resume_after.as_ref()).map(|id| id.as_str()),
        resumed,
    };
    let head = &request.message.head;
    let write = |out: &mut Vec<u8>| shared.protocol.write_detour_headers(head, &detour, out);
    message_with_headers(request, write)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
