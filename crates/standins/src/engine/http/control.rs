//! The calls for control, observation and block transfer: all but generation.

use std::sync::Arc;

use http_types::{Body, Response};
use serde::Deserialize;
use serde_json::json;
use tide::Server;
use yuccapass_endpoints::{ChecksummedBlock, Order, headers};
use yuccapass_http::block_headers;
use yuccapass_types::BlockHash;

use super::{EngineRequest, json_response};
use crate::engine::faults::FaultCommand;
use crate::engine::shared::Engine;

pub(super) fn add_routes(app: &mut Server<Arc<Engine>>) {
    app.at("/stats").get(stats);
    app.at("/journal").get(journal);
    app.at("/faults").get(faults).post(set_faults);
    app.at("/load").get(load);
    app.at("/events").get(events);
    app.at("/blocks").get(blocks);
    app.at("/kv/:hash").get(export).put(import);
    app.at("/orders").post(order);
    app.at("/requests/:id").delete(cancel);
}

async fn stats(request: EngineRequest) -> tide::Result {
    json_response(200, &request.state().with_core(|core, _| core.stats()))
}

async fn journal(request: EngineRequest) -> tide::Result {
    json_response(200, &request.state().with_core(|core, _| core.journal()))
}

async fn faults(request: EngineRequest) -> tide::Result {
    json_response(200, &request.state().with_core(|core, _| core.faults().clone()))
}

async fn set_faults(mut request: EngineRequest) -> tide::Result {
    let command: FaultCommand = request.body_json().await?;
    request.state().apply_fault_command(command);
    json_response(200, &json!({}))
}

async fn load(request: EngineRequest) -> tide::Result {
    json_response(200, &request.state().with_core(|core, now| core.load_report(now)))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn events(request: EngineRequest) -> tide::Result {
    let query: EventsQuery = request.query()?;
    let batch = request.state().with_core(|core, now| core.cache_events(query.after, now));
    json_response(200, &batch)
}

async fn blocks(request: EngineRequest) -> tide::Result {
    json_response(200, &request.state().with_core(|core, _| core.block_listing()))
}

async fn export(request: EngineRequest) -> tide::Result {
    let Some(hash) = hash_of(&request) else { return Ok(Response::new(400).into()) };
    let Some(block) = request.state().with_core(|core, _| core.export_block(hash)) else {
        return refused(404, "block");
    };
    let mut response = Response::new(200);
    block_headers::insert(&block, |name, value| {
        response.insert_header(name, value);
    });
    response.set_body(Body::from_bytes(block.payload));
    Ok(response.into())
}

async fn import(mut request: EngineRequest) -> tide::Result {
    let Some(hash) = hash_of(&request) else { return Ok(Response::new(400).into()) };
    let payload = request.body_bytes().await?;
    let header = |name: &str| request.header(name).map(|values| values.as_str());
    let Some((generation, checksum)) = block_headers::parse(header) else {
        return refused(400, "block");
    };
    let block = ChecksummedBlock { hash, generation, checksum, payload };
    match request.state().with_core(|core, now| core.import_block(block, now)) {
        true => json_response(200, &json!({})),
        false => refused(422, "block"),
    }
}

async fn order(mut request: EngineRequest) -> tide::Result {
    let order: Order = request.body_json().await?;
    match request.state().execute_order(&order).await {
        true => json_response(200, &json!({})),
        false => refused(409, "fenced"),
    }
}

async fn cancel(request: EngineRequest) -> tide::Result {
    let Ok(request_id) = request.param("id")?.parse() else {
        return Ok(Response::new(400).into());
    };
    request.state().with_core(|core, now| core.cancel(&request_id, now));
    request.state().wake_driver();
    json_response(200, &json!({}))
}

fn hash_of(request: &EngineRequest) -> Option<BlockHash> {
    request.param("hash").ok()?.parse().ok()
}

/// Returns a response that refuses a call, which had no effect.
pub(super) fn refused(status: u16, reason: &str) -> tide::Result {
    let mut response = Response::new(status);
    response.insert_header(headers::REFUSAL, reason);
    response.insert_header(headers::RUN_STATE, "not run");
    response.set_body(json!({ "refusal": reason }));
    Ok(response.into())
}
