//! Watches: a stream with one line of JSON per set of changes.

use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task;
use futures::future::select;
use futures::pin_mut;
use http_types::{Body, Response};
use serde::Serialize;
use yuccapass_http::{ConnectionHandle, PipeWriter, pipe};
use yuccapass_platform::wire::{WatchBody, WatchCreate, WatchLine, WatchResult};

use super::app::{CallKind, PlatformRequest, admit, header};
use super::faults::Outage;
use super::key_value_store::KeyValueStoreError;
use super::shared::PlatformState;

/// Bytes of one watch that may be unread before it pauses.
const PIPE_CAPACITY_BYTES: usize = 64 * 1024;

/// Longest time between two checks of a waiting watch for expired leases.
const EXPIRY_CHECK_MS: u64 = 100;

pub(super) async fn watch(mut request: PlatformRequest) -> tide::Result {
    if let Some(refusal) = admit(&request, CallKind::Read).await {
        return Ok(refusal.into());
    }
    let body: WatchBody = request.body_json().await?;
    let (writer, reader) = pipe(PIPE_CAPACITY_BYTES);
    let state = request.state().clone();
    let connection = request.ext::<ConnectionHandle>().cloned();
    let waiting = WaitingWatch::start(state.clone());
    task::spawn(async move {
        let _waiting = waiting;
        let sending = send_changes(&state, &body.create_request, &writer);
        let disconnecting = async {
            match connection {
                Some(connection) => connection.closed_by_peer().await,
                None => writer.reader_gone().await,
            }
        };
        pin_mut!(sending, disconnecting);
        select(sending, disconnecting).await;
    });
    let mut response = Response::new(200);
    response.set_body(Body::from_reader(reader, None));
    Ok(response.into())
}

/// Includes a watch in the count of waiting watches until it is dropped.
struct WaitingWatch(PlatformState);

impl WaitingWatch {
    fn start(state: PlatformState) -> Self {
        let mut inner = state.lock();
        inner.stats.waiting_watches += 1;
        inner.stats.peak_waiting_watches =
            inner.stats.peak_waiting_watches.max(inner.stats.waiting_watches);
        drop(inner);
        Self(state)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.lock().stats.waiting_watches -= 1;
    }
}

/// The next action of a watch.
enum Step {
    Send(WatchResult),
    SendAndEnd(WatchResult),
    Wait(Receiver<()>),
    End,
}

async fn send_changes(state: &PlatformState, create: &WatchCreate, writer: &PipeWriter) {
    let created = {
        let inner = state.lock();
        WatchResult { header: header(&inner), created: true, ..Default::default() }
    };
    let mut next_revision = match create.start_revision {
        0 => created.header.revision + 1,
        revision => revision,
    };
    if write_line(writer, created).await.is_none() {
        return;
    }
    loop {
        match next_step(state, create, &mut next_revision) {
            Step::Send(result) => {
                if write_line(writer, result).await.is_none() {
                    return;
                }
            }
            Step::SendAndEnd(result) => {
                write_line(writer, result).await;
                return;
            }
            Step::Wait(changed) => wait_for_change(changed).await,
            Step::End => return,
        }
    }
}

fn next_step(state: &PlatformState, create: &WatchCreate, next_revision: &mut u64) -> Step {
    let mut guard = state.lock();
    let inner = &mut *guard;
    if inner.faults.outage != Outage::None {
        return Step::End;
    }
    let mut result = WatchResult { header: header(inner), ..Default::default() };
    match inner.store.changes(&create.key.0, &create.range_end.0, *next_revision) {
        Err(KeyValueStoreError::Compacted) => {
            result.canceled = true;
            result.compact_revision = inner.store.compacted_revision();
            Step::SendAndEnd(result)
        }
        Err(_) => Step::End,
        Ok(events) if events.is_empty() => Step::Wait(inner.changed()),
        Ok(_) if inner.fault_sampler.drops_watch(&inner.faults) => Step::End,
        Ok(events) => {
            *next_revision = inner.store.revision() + 1;
            result.events = events;
            Step::Send(result)
        }
    }
}

async fn wait_for_change(changed: Receiver<()>) {
    let limit = Duration::from_millis(EXPIRY_CHECK_MS);
    let changing = changed.recv();
    let expiring = task::sleep(limit);
    pin_mut!(changing, expiring);
    // Nothing is ever sent on the channel: a change drops its sender, which ends `recv`.
    select(changing, expiring).await;
}

async fn write_line(writer: &PipeWriter, result: WatchResult) -> Option<()> {
    let line = to_line(&WatchLine { result })?;
    writer.write(&[&line]).await.ok()
}

fn to_line(value: &impl Serialize) -> Option<Vec<u8>> {
    let mut line = serde_json::to_vec(value).ok()?;
    line.push(b'\n');
    Some(line)
}
