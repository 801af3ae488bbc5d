//! The HTTP interface of the stand-in store VM.

use std::sync::Arc;

use async_std::task;
use futures::AsyncReadExt;
use http_types::{Body, Response};
use yuccapass_http::{ConnectionHandle, PipeWriter, block_headers, pipe};
use yuccapass_stores::{ContainsRequest, ContainsResponse, MAX_CONTAINS_BLOCKS, refusals};
use yuccapass_types::{BlockHash, Bytes, ChecksummedBlock};

use super::shared::{Store, StoreFaults, TransferFaults};

/// Bytes of a payload that are sent or received before waiting for the link's rate.
const CHUNK_BYTES: usize = 16 * 1024;

type StoreRequest = tide::Request<Arc<Store>>;

/// Builds the HTTP application of a store VM.
pub fn build_app(store: Arc<Store>) -> tide::Server<impl Clone + Send + Sync + use<> + 'static> {
    let mut app = tide::with_state(store);
    app.at("/status").get(status);
    app.at("/blocks/:hash").put(put).get(get).delete(delete);
    app.at("/contains").post(contains);
    app.at("/faults").post(set_faults);
    app.at("/crash").post(crash);
    app
}

async fn status(request: StoreRequest) -> tide::Result {
    let mut response = Response::new(200);
    response.set_body(Body::from_json(&request.state().status())?);
    Ok(response.into())
}

async fn contains(mut request: StoreRequest) -> tide::Result {
    let query: ContainsRequest = request.body_json().await?;
    if query.blocks.len() > MAX_CONTAINS_BLOCKS {
        return Ok(Response::new(413).into());
    }
    let store = request.state();
    let tiers = query.blocks.iter().map(|block| store.tier_of(block)).collect();
    let mut response = Response::new(200);
    response.set_body(Body::from_json(&ContainsResponse { tiers })?);
    Ok(response.into())
}

async fn set_faults(mut request: StoreRequest) -> tide::Result {
    let faults: StoreFaults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(204).into())
}

async fn crash(request: StoreRequest) -> tide::Result {
    request.state().crash();
    Ok(Response::new(204).into())
}

async fn delete(request: StoreRequest) -> tide::Result {
    let Some(hash) = hash_of(&request) else { return Ok(Response::new(400).into()) };
    request.state().delete(hash);
    // A body of known length lets the client reuse the connection.
    json_response(200)
}

async fn put(mut request: StoreRequest) -> tide::Result {
    let Some(hash) = hash_of(&request) else { return Ok(Response::new(400).into()) };
    let Some(payload) = receive(&mut request).await? else {
        return Ok(Response::new(500).into());
    };
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let Some((generation, checksum)) = block_headers::parse(header) else {
        return refused(400, refusals::TORN);
    };
    let block = ChecksummedBlock { hash, generation, checksum, payload };
    if !block.is_intact() {
        return refused(422, refusals::TORN);
    }
    match request.state().put(block) {
        Ok(()) => json_response(200),
        Err(_) => refused(507, refusals::FULL),
    }
}

/// Reads a payload at the rate of the link; returns `None` if the VM crashes meanwhile.
async fn receive(request: &mut StoreRequest) -> tide::Result<Option<Vec<u8>>> {
    let store = Arc::clone(request.state());
    let faults = store.begin_transfer();
    let mut body = request.take_body();
    let crash_at = faults.crashes.then(|| body.len().unwrap_or(0) / 2);
    let (mut payload, mut chunk) = (Vec::new(), vec![0; CHUNK_BYTES]);
    loop {
        if crash_at.is_some_and(|bytes| payload.len() >= bytes) {
            crash_and_abort(&store, request.ext::<ConnectionHandle>());
            return Ok(None);
        }
        let count = body.read(&mut chunk).await?;
        if count == 0 {
            return Ok(Some(payload));
        }
        payload.extend_from_slice(&chunk[..count]);
        store.transfer(Bytes::new(count as u64)).await;
    }
}

async fn get(request: StoreRequest) -> tide::Result {
    let Some(hash) = hash_of(&request) else { return Ok(Response::new(400).into()) };
    let store = Arc::clone(request.state());
    let Some(block) = store.get(hash) else { return refused(404, refusals::MISSING) };
    let faults = store.begin_transfer();
    let mut payload = block.payload.clone();
    if faults.is_torn {
        let half = payload.len() / 2;
        payload[half..].fill(0);
    }
    let mut response = Response::new(200);
    block_headers::insert(&block, |name, value| {
        response.insert_header(name, value);
    });
    let (writer, reader) = pipe(CHUNK_BYTES);
    response.set_body(Body::from_reader(reader, Some(payload.len())));
    let connection = request.ext::<ConnectionHandle>().cloned();
    task::spawn(send(store, payload, faults, connection, writer));
    Ok(response.into())
}

/// Writes a payload at the rate of the link.
async fn send(
    store: Arc<Store>,
    payload: Vec<u8>,
    faults: TransferFaults,
    connection: Option<ConnectionHandle>,
    writer: PipeWriter,
) {
    let end = if faults.crashes { payload.len() / 2 } else { payload.len() };
    for chunk in payload[..end].chunks(CHUNK_BYTES) {
        store.transfer(Bytes::new(chunk.len() as u64)).await;
        if writer.write(&[chunk]).await.is_err() {
            return;
        }
    }
    if faults.crashes {
        crash_and_abort(&store, connection.as_ref());
    }
}

fn crash_and_abort(store: &Store, connection: Option<&ConnectionHandle>) {
    store.crash();
    connection.into_iter().for_each(ConnectionHandle::abort);
}

fn hash_of(request: &StoreRequest) -> Option<BlockHash> {
    request.param("hash").ok()?.parse().ok()
}

fn json_response(status: u16) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body("{}");
    Ok(response.into())
}

fn refused(status: u16, reason: &str) -> tide::Result {
    let mut response = Response::new(status);
    response.insert_header(refusals::HEADER, reason);
    Ok(response.into())
}
