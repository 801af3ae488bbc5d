//! Reads an answer and forwards it to the caller.

use bytes::Bytes;
use futures::AsyncWriteExt;
use futures::future::{Either, select};
use yuccapass_decisions::gateway::{AttemptFailure, EndpointRecord};
use yuccapass_http::message::{BodyReader, Connection, Framing, MessageError, ResponseHead};
use yuccapass_http::with_deadline;
use yuccapass_types::Instant;

use crate::admission::Admitted;
use crate::answer::AnswerWriter;
use crate::attempt::{AttemptOutcome, FailedAttempt};
use crate::caller_memory::{AnswerReservation, BodyBuffer};
use crate::events::EventSplitter;
use crate::protocol::EndpointAnswer;
use crate::state::Shared;

/// Maximum number of answers to earlier requests that are skipped on a connection.
const MAX_STRAY_ANSWERS: usize = 2;

/// Maximum number of interim answers (status 1xx) before an answer. If they came without end and
/// always were there to be read, the reader would not even notice its deadline.
const MAX_INTERIM_ANSWERS: usize = 8;

/// A complete answer of an endpoint.
pub(crate) struct BufferedAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    // The answer counts until it is written or dropped.
    _reservation: AnswerReservation,
}

/// Where an answer comes from.
pub(crate) trait AnswerSource: Send + Sync {
    /// Keeps the connection for another request, if it stays open after this answer.
    fn keep_connection(&self, shared: &Shared, connection: Connection, head: &ResponseHead);

    /// Returns the endpoint, or `None` if another node has chosen it.
    fn endpoint(&self) -> Option<&EndpointRecord>;
}

/// The head of an endpoint's answer to this request.
pub(crate) struct Received {
    pub(crate) head: ResponseHead,
    pub(crate) info: EndpointAnswer,
    framing: Framing,
    sent_at: Instant,
    /// Whether the whole request was written before the answer began. Otherwise the connection must
    /// not be reused, because the endpoint still expects the rest of the request.
    is_request_written: bool,
}

/// Sends the request and reads the head of the answer at the same time, since an endpoint may
/// answer before it has read the whole request.
pub(crate) async fn exchange(
    shared: &Shared,
    request: &Admitted<'_>,
    connection: &mut Connection,
    is_reused: bool,
    parts: [&[u8]; 2],
) -> Result<Received, MessageError> {
    let mut writer = connection.writer();
    let writing = Box::pin(async move {
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            writer.write_all(part).await?;
        }
        Ok::<(), std::io::Error>(())
    });
    let reading = Box::pin(read_own_head(shared, request, connection, is_reused));
    match select(writing, reading).await {
        Either::Left((Ok(()), reading)) => reading.await,
        // The endpoint may have answered before it closed the connection.
        Either::Left((Err(source), reading)) => match reading.await {
            // The writer has taken the error of a reset connection, so reading would end as after a close.
            Ok(received) if received.framing != Framing::UntilClose => {
                Ok(Received { is_request_written: false, ..received })
            }
            Ok(_) | Err(_) => Err(MessageError::Io { source }),
        },
        Either::Right((received, _writing)) => {
            received.map(|received| Received { is_request_written: false, ..received })
        }
    }
}

/// Reads answer heads until one belongs to this request. On a reused connection, an endpoint may
/// first send a duplicate answer to an earlier request, or one that does not say to which.
async fn read_own_head(
    shared: &Shared,
    request: &Admitted<'_>,
    connection: &mut Connection,
    is_reused: bool,
) -> Result<Received, MessageError> {
    let (limits, sent_at) = (shared.options.answer_limits, shared.now());
    let (mut stray_answers, mut interim_answers) = (0, 0);
    loop {
        let head = connection.read_response_head(limits.head_bytes).await?;
        if (100..200).contains(&head.status) {
            interim_answers += 1;
            if interim_answers > MAX_INTERIM_ANSWERS {
                let detail = "there are too many interim answers".to_owned();
                return Err(MessageError::Malformed { detail });
            }
            continue;
        }
        let framing = Framing::of_response(&head, &request.message.head.method)
            .map_err(|error| MessageError::Malformed { detail: error.to_string() })?;
        let info = shared.protocol.endpoint_answer(&head);
        if is_reused && info.request_id.is_none() && !request.caller.id.is_empty() {
            let detail = "the answer does not say to which request it belongs".to_owned();
            return Err(MessageError::Malformed { detail });
        }
        let is_stray = info.request_id.as_ref().is_some_and(|id| *id != request.caller.id);
        if !is_stray {
            return Ok(Received { head, info, framing, sent_at, is_request_written: true });
        }
        stray_answers += 1;
        if stray_answers > MAX_STRAY_ANSWERS || framing == Framing::UntilClose {
            let detail = "the answer belongs to another request".to_owned();
            return Err(MessageError::Malformed { detail });
        }
        read_answer(shared, request, framing, connection).await?;
    }
}

/// Reads the body of an answer within the limits.
async fn read_answer(
    shared: &Shared,
    request: &Admitted<'_>,
    framing: Framing,
    connection: &mut Connection,
) -> Result<(Bytes, AnswerReservation), MessageError> {
    let limits = shared.options.answer_limits;
    let mut reservation = AnswerReservation::new(&request.message.claim);
    let mut reader = BodyReader::new(framing);
    let limit_bytes = match framing {
        Framing::Length(length) => length.min(limits.body_bytes as u64),
        Framing::Chunked | Framing::UntilClose => limits.body_bytes as u64,
    };
    let mut body = BodyBuffer::new(limit_bytes);
    while let Some(bytes) = reader.next(connection).await? {
        if body.exceeds_limit(&bytes) {
            return Err(MessageError::BodyTooLarge { limit_bytes: limits.body_bytes });
        }
        if body.len() == 0 && reader.has_ended() {
            return match reservation.grow(bytes.len() as u64).await {
                true => Ok((bytes, reservation)),
                false => Err(MessageError::NoRoom),
            };
        }
        let growth = body.growth(&bytes);
        if growth > 0 && !reservation.grow(growth).await {
            return Err(MessageError::NoRoom);
        }
        body.append(&bytes);
    }
    Ok((body.freeze(), reservation))
}

/// Buffers an answer and forwards it to the caller unless the attempt counts as failed.
pub(crate) async fn forward_buffered(
    shared: &Shared,
    request: &Admitted<'_>,
    source: &dyn AnswerSource,
    mut connection: Connection,
    received: Received,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    let Received { head, info, framing, is_request_written, .. } = received;
    let begun_at = shared.now();
    let reading = read_answer(shared, request, framing, &mut connection);
    let (body, reservation) = match with_deadline(&*shared.clock, request.deadline, reading).await {
        Ok(Ok(read)) => read,
        // If the request did not run, the body does not matter.
        _ if info.is_not_run => (Bytes::new(), AnswerReservation::new(&request.message.claim)),
        Ok(Err(error)) => return AttemptOutcome::Failed(FailedAttempt::broken(error)),
        Err(expired) => return AttemptOutcome::Failed(FailedAttempt::silent(expired, begun_at)),
    };
    if is_request_written && framing != Framing::UntilClose && !connection.has_buffered_bytes() {
        source.keep_connection(shared, connection, &head);
    }
    let is_retryable_elsewhere = matches!(head.status, 421 | 429 | 503);
    if info.is_not_run && is_retryable_elsewhere {
        let detail = format!("not run, status {}", head.status);
        return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::NotRun, detail));
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !info.is_signed {
        let detail = "a success status without the endpoint's signature";
        return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::Broken, detail));
    }
    if head.status >= 500 {
        let detail = format!("status {}", head.status);
        let buffered = BufferedAnswer { head, body, _reservation: reservation };
        return AttemptOutcome::Failed(FailedAttempt::answered(buffered, detail));
    }
    if answer.has_begun() {
        // The beginning of a stream was forwarded, and this answer does not resume it.
        let detail = format!("status {} instead of the rest of the stream", head.status);
        return AttemptOutcome::Failed(FailedAttempt::new(AttemptFailure::Broken, detail));
    }
    match answer.write_answer(&head, &body).await {
        Ok(()) => AttemptOutcome::Answered(head.status),
        Err(_) => AttemptOutcome::CallerGone,
    }
}

fn broken_stream(detail: impl ToString) -> AttemptOutcome {
    AttemptOutcome::Failed(FailedAttempt::broken(detail))
}

/// Forwards a stream event by event.
pub(crate) async fn forward_stream(
    shared: &Shared,
    request: &Admitted<'_>,
    source: &dyn AnswerSource,
    mut connection: Connection,
    received: Received,
    events: &mut EventSplitter,
    answer: &mut AnswerWriter,
) -> AttemptOutcome {
    let Received { head, framing, sent_at, is_request_written, .. } = received;
    let mut body = BodyReader::new(framing);
    let mut reservation = AnswerReservation::new(&request.message.claim);
    events.drop_partial();
    let mut heard_at = shared.now();
    let mut has_begun = false;
    loop {
        let part = match with_deadline(&*shared.clock, request.deadline, body.next(&mut connection))
            .await
        {
            Ok(Ok(part)) => part,
            Ok(Err(error)) => return broken_stream(error),
            Err(expired) => {
                return AttemptOutcome::Failed(FailedAttempt::silent(expired, heard_at));
            }
        };
        heard_at = shared.now();
        if source.endpoint().is_some() {
            shared.links.record_heard(heard_at);
        }
        let is_last = part.is_none();
        let whole_events = match part {
            Some(bytes) => match events.push(bytes) {
                Ok(whole_events) => whole_events,
                Err(error) => return broken_stream(error),
            },
            // Nothing but an event shows that the endpoint did not fail before it had begun.
            None if framing == Framing::UntilClose && !has_begun => {
                return broken_stream("the connection ended before the first event");
            }
            None => match events.finish() {
                Some(empty_lines) => empty_lines,
                None => return broken_stream("the stream ended inside an event"),
            },
        };
        if !reservation.resize(events.partial_bytes()).await {
            return broken_stream(MessageError::NoRoom);
        }
        // What comes before the first event carries nothing. Until then, the answer may still come from
        // another endpoint.
        let is_premature = !answer.has_begun() && events.is_between_events();
        if (whole_events.is_empty() || is_premature) && !is_last {
            continue;
        }
        has_begun = true;
        if !answer.has_begun() {
            if let Some(record) = source.endpoint() {
                request.begin_stream(shared, record).await;
            }
            shared.metrics.record_first_event(request, shared.now());
            shared.waiting.record_first_event(request, sent_at, shared.now());
        }
        let writing = async {
            if !answer.has_begun() {
                answer.begin_stream(&head, &whole_events).await?;
                return match is_last {
                    true => answer.events(&Bytes::new(), true).await,
                    false => Ok(()),
                };
            }
            answer.events(&whole_events, is_last).await
        };
        match with_deadline(&*shared.clock, request.deadline, writing).await {
            Ok(Ok(())) => {}
            // A caller that does not read in time is no failure of the endpoint.
            Ok(Err(_)) | Err(_) => return AttemptOutcome::CallerGone,
        }
        if is_last {
            break;
        }
    }
    if is_request_written && framing != Framing::UntilClose && !connection.has_buffered_bytes() {
        source.keep_connection(shared, connection, &head);
    }
    AttemptOutcome::Answered(head.status)
}
