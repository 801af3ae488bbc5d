//! The tide application that serves operators on the admin address.

use std::sync::Arc;

use futures::AsyncReadExt;
use http_types::{Headers, Response};
use yuccapass_decisions::change::Command;
use yuccapass_http::with_deadline;
use yuccapass_types::{Clock, Deadline, KeyHash, ResultCode};

use crate::handler::{CommandHandler, Refusal};
use crate::parse::parse;
use crate::statement::Statement;
use crate::wire::{CommandReply, CommandRequest};

/// The path of the command interface.
pub const COMMANDS_PATH: &str = "/operators/commands";

/// Limits for one request.
#[derive(Debug, Clone)]
pub struct OperatorLimits {
    max_body_bytes: u64,
    body_timeout_ms: u64,
}

impl Default for OperatorLimits {
    fn default() -> Self {
        Self { max_body_bytes: 16 << 10, body_timeout_ms: 10_000 }
    }
}

impl OperatorLimits {
    /// Sets the largest body; 16 KiB by default.
    pub fn max_body_bytes(mut self, bytes: u64) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets how long a body may take to arrive; 10 s by default.
    pub fn body_timeout_ms(mut self, ms: u64) -> Self {
        self.body_timeout_ms = ms;
        self
    }
}

struct AppState {
    handler: Arc<dyn CommandHandler>,
    /// Sorted, for binary search.
    key_hashes: Vec<KeyHash>,
    limits: OperatorLimits,
    clock: Arc<dyn Clock>,
}

/// Builds an application that has only the command interface.
pub fn build_app(
    handler: Arc<dyn CommandHandler>,
    key_hashes: Vec<KeyHash>,
    limits: OperatorLimits,
    clock: Arc<dyn Clock>,
) -> tide::Server<()> {
    let mut app = tide::new();
    add_operator_routes(&mut app, handler, key_hashes, limits, clock);
    app
}

/// Adds the command interface to an application.
///
/// A request is refused unless it has a bearer key whose hash is in `key_hashes`; with an empty
/// list, every request is refused.
pub fn add_operator_routes<S: Clone + Send + Sync + 'static>(
    app: &mut tide::Server<S>,
    handler: Arc<dyn CommandHandler>,
    mut key_hashes: Vec<KeyHash>,
    limits: OperatorLimits,
    clock: Arc<dyn Clock>,
) {
    key_hashes.sort_unstable();
    let state = Arc::new(AppState { handler, key_hashes, limits, clock });
    app.at(COMMANDS_PATH).post(move |mut request: tide::Request<S>| {
        let state = Arc::clone(&state);
        async move {
            let reply = match respond(&state, &mut request).await {
                Ok(reply) => reply,
                Err(refusal) => CommandReply::Refused(refusal),
            };
            Ok(response_of(&reply))
        }
    });
}

fn response_of(reply: &CommandReply) -> Response {
    let mut response = Response::new(reply.status());
    response.set_body(serde_json::to_vec(reply).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

async fn respond<S>(
    state: &AppState,
    request: &mut tide::Request<S>,
) -> Result<CommandReply, Refusal> {
    authenticate(state, request.as_ref())?;
    let body = read_body(state, request).await?;
    let message: CommandRequest = serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(ResultCode::InvalidRequest).detail(error))?;
    let statement = parse(&message.command)
        .map_err(|error| Refusal::new(ResultCode::InvalidCommand).detail(error))?;
    match statement {
        Statement::Query(query) => state.handler.query(&query).await.map(CommandReply::Answer),
        Statement::Change(change) => {
            let id = message.command_id.ok_or_else(|| {
                let detail = "a change needs a command_id";
                Refusal::new(ResultCode::InvalidCommand).detail(detail)
            })?;
            let command = Command { id, change, expected_revision: message.expected_revision };
            log::info!("operator command {}: {}", command.id, command.change);
            Ok(state.handler.command(command, message.dry_run).await.into())
        }
        Statement::AddNewKey(_) | Statement::Help(_) => {
            let detail = "the tool answers this command itself; send a key as its hash";
            Err(Refusal::new(ResultCode::InvalidCommand).detail(detail))
        }
    }
}

fn authenticate(state: &AppState, headers: &Headers) -> Result<(), Refusal> {
    let value = headers.get("authorization").map(|values| values.as_str());
    let key = value.and_then(|value| value.split_once(' '));
    let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let is_known = key.is_some_and(|(_, key)| {
        state.key_hashes.binary_search(&KeyHash::of_key(key.trim())).is_ok()
    });
    is_known.then_some(()).ok_or_else(|| Refusal::new(ResultCode::Unauthorised))
}

async fn read_body<S>(
    state: &AppState,
    request: &mut tide::Request<S>,
) -> Result<Vec<u8>, Refusal> {
    let max_bytes = state.limits.max_body_bytes;
    let deadline = Deadline::after_ms(state.clock.now(), state.limits.body_timeout_ms);
    let mut bytes = Vec::new();
    let mut limited = request.take_body().take(max_bytes + 1);
    with_deadline(&*state.clock, deadline, limited.read_to_end(&mut bytes))
        .await
        .map_err(|_| Refusal::new(ResultCode::RequestTimeout))?
        .map_err(|error| Refusal::new(ResultCode::InvalidRequest).detail(error))?;
    if bytes.len() as u64 > max_bytes {
        let detail = format!("at most {max_bytes} bytes are accepted");
        return Err(Refusal::new(ResultCode::BodyTooLarge).detail(detail));
    }
    Ok(bytes)
}
