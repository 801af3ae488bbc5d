//! A client that sends commands to the admin addresses of several nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use http_types::Method;
use snafu::Snafu;
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_types::{Clock, Deadline, ResultCode};

use crate::app::COMMANDS_PATH;
use crate::handler::Refusal;
use crate::wire::{CommandReply, CommandRequest};

/// Largest accepted reply: a list of 23,000 organisations takes about 4 MB.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Reports that no node could be reached, so that the request had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("no node can be reached: {detail}"))]
pub struct SendError {
    detail: String,
}

/// The result of sending a request to one node.
enum Attempt {
    Reply(CommandReply),
    /// The request was not sent, so it certainly has no effect.
    NotSent(String),
    /// The request was sent, but no valid reply arrived.
    Lost(String),
}

/// Sends commands to one of several nodes.
///
/// If a node fails, the request is sent to the next one. This is safe for a query, and for a change
/// as well, because each node gets the same command id.
pub struct CommandClient {
    nodes: Vec<Arc<HttpClient>>,
    key: String,
    timeout_ms: u64,
    clock: Arc<dyn Clock>,
}

impl CommandClient {
    /// Creates a client that waits up to `timeout_ms` for the reply of each node.
    pub fn new(
        nodes: &[SocketAddr],
        key: impl Into<String>,
        timeout_ms: u64,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let client =
            |node: &SocketAddr| HttpClient::new(*node, ClientConfig::default(), Arc::clone(&clock));
        let nodes = nodes.iter().map(client).collect();
        Self { nodes, key: key.into(), timeout_ms, clock }
    }

    /// Sends a request to the nodes in order until one gives a definite reply.
    ///
    /// The reply is [`CommandReply::Unknown`] if a node may have acted on the request and no node
    /// knows the outcome.
    ///
    /// # Errors
    ///
    /// Fails if the request could not be sent to any node.
    pub async fn send(&self, request: &CommandRequest) -> Result<CommandReply, SendError> {
        let mut failures: Vec<String> = Vec::new();
        let mut last_indefinite: Option<CommandReply> = None;
        let mut may_have_acted = false;
        for node in &self.nodes {
            match self.attempt(node, request).await {
                Attempt::Reply(reply) if is_definite(&reply, may_have_acted) => return Ok(reply),
                Attempt::Reply(reply) => {
                    may_have_acted |= matches!(reply, CommandReply::Unknown(_));
                    failures.push(format!("{}: {}", node.address(), describe(&reply)));
                    last_indefinite = Some(reply);
                }
                Attempt::NotSent(detail) => failures.push(detail),
                Attempt::Lost(detail) => {
                    may_have_acted = true;
                    failures.push(detail);
                }
            }
        }
        let detail = failures.join("; ");
        if may_have_acted {
            let refusal = Refusal::new(ResultCode::CommandOutcomeUnknown).detail(detail);
            return Ok(CommandReply::Unknown(refusal));
        }
        last_indefinite.ok_or(SendError { detail })
    }

    async fn attempt(&self, node: &Arc<HttpClient>, message: &CommandRequest) -> Attempt {
        let deadline = Deadline::after_ms(self.clock.now(), self.timeout_ms);
        let mut request = node.request(Method::Post, COMMANDS_PATH);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.set_body(serde_json::to_vec(message).unwrap_or_default());
        request.insert_header("content-type", "application/json");
        let exchange = match node.send(request, ConnectionChoice::New, deadline).await {
            Ok(exchange) => exchange,
            Err(error) if error.was_sent() => return Attempt::Lost(error.to_string()),
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        let bytes = match exchange.read_body(MAX_REPLY_BYTES, deadline).await {
            Ok((_, bytes)) => bytes,
            Err(error) => return Attempt::Lost(error.to_string()),
        };
        match serde_json::from_slice(&bytes) {
            Ok(reply) => Attempt::Reply(reply),
            Err(error) => Attempt::Lost(format!("{}: {error}", node.address())),
        }
    }
}

/// Returns whether a reply is final, so that no further node is asked.
///
/// Once a node may have acted on the request, a refusal by another node is not final, because the
/// write of the first one may still take effect. A conflict is final, since every node would find
/// it.
fn is_definite(reply: &CommandReply, may_have_acted: bool) -> bool {
    match reply {
        CommandReply::Unknown(_) => false,
        CommandReply::Refused(refusal) => {
            let may_succeed_elsewhere = matches!(
                refusal.code,
                ResultCode::PlatformUnavailable
                    | ResultCode::Stopping
                    | ResultCode::TooManyConnections
                    | ResultCode::Internal
            );
            !may_have_acted && !may_succeed_elsewhere
        }
        _ => true,
    }
}

fn describe(reply: &CommandReply) -> String {
    match reply {
        CommandReply::Refused(refusal) | CommandReply::Unknown(refusal) => refusal.to_string(),
        _ => "no definite reply".to_owned(),
    }
}
