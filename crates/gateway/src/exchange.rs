//! Sends this node's own requests to engines and stores.

use bytes::Bytes;
use yuccapass_http::message::{BodyReader, Connection, Framing, MessageError, ResponseHead};

/// Maximum size of an answer: the state of an engine, or a few thousand events of a store.
const MAX_ANSWER_BYTES: usize = 512 << 10;

/// Maximum size of the head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A complete answer.
pub(crate) struct Answer {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
}

/// Sends a message and reads the complete answer.
///
/// # Errors
///
/// Fails if the connection breaks or the answer is incomplete.
pub(crate) async fn exchange(
    mut connection: Connection,
    message: &[u8],
) -> Result<Answer, MessageError> {
    connection.write_all(message).await.map_err(|source| MessageError::Io { source })?;
    let head = connection.read_response_head(MAX_HEAD_BYTES).await?;
    let framing = Framing::of_response(&head, "GET")
        .map_err(|error| MessageError::Malformed { detail: error.to_string() })?;
    let body = BodyReader::new(framing).read_all(&mut connection, MAX_ANSWER_BYTES).await?;
    let can_be_kept = framing != Framing::UntilClose
        && head.keeps_connection()
        && !connection.has_buffered_bytes();
    Ok(Answer { head, body, connection: can_be_kept.then_some(connection) })
}
