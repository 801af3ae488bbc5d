//! The HTTP interface of the stand-in service.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::AsyncReadExt;
use futures::io::{BufReader, Cursor};
use http_types::{Body, Response};
use serde_json::json;
use yuccapass_http::ConnectionHandle;

use super::core::{Effect, ResponseFault, Service, ServiceFaults};
use crate::journal::marker_of;

type ServiceRequest = tide::Request<Arc<Service>>;

/// Builds the HTTP application of a service.
pub fn build_app(
    service: Arc<Service>,
) -> tide::Server<impl Clone + Send + Sync + use<> + 'static> {
    let mut app = tide::with_state(service);
    app.at("/standin/journal").get(journal);
    app.at("/standin/faults").post(set_faults);
    app.at("/").all(handle_call);
    app.at("/*").all(handle_call);
    app
}

async fn journal(request: ServiceRequest) -> tide::Result {
    let mut response = Response::new(200);
    response.set_body(Body::from_json(&request.state().journal())?);
    Ok(response.into())
}

async fn set_faults(mut request: ServiceRequest) -> tide::Result {
    let faults: ServiceFaults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(204).into())
}

async fn handle_call(mut request: ServiceRequest) -> tide::Result {
    let body = request.body_bytes().await?;
    task::sleep(Duration::from_millis(request.state().slow_ms())).await;
    let url = request.url();
    let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
    let key = request.header("idempotency-key").map(|values| values.as_str().to_owned());
    let effect = Effect {
        number: 0,
        idempotency_key: key.unwrap_or_default(),
        marker: marker_of(&body),
        method: request.method().to_string(),
        path_and_query: format!("{}{query}", url.path()),
    };
    let is_echo = url.path() == "/echo";
    let (number, fault) = request.state().record_effect(effect.clone());
    let bytes = match is_echo {
        true => body,
        false => {
            let digest = blake3::hash(&body).to_hex().to_string();
            let summary = json!({"effect": Effect { number, ..effect }, "body_blake3": digest});
            summary.to_string().into_bytes()
        }
    };
    let connection = request.ext::<ConnectionHandle>().cloned();
    let mut response = respond(bytes, fault, connection).await;
    response.insert_header("x-effect-number", number.to_string());
    Ok(response.into())
}

async fn respond(
    bytes: Vec<u8>,
    fault: ResponseFault,
    connection: Option<ConnectionHandle>,
) -> Response {
    let mut response = Response::new(200);
    let length = bytes.len();
    match (fault, connection) {
        (ResponseFault::Crash, Some(connection)) => connection.abort(),
        (ResponseFault::Silent, Some(connection)) => {
            connection.closed_by_peer().await;
            connection.abort();
        }
        (ResponseFault::Cut, _) => {
            // The body ends before its `Content-Length`.
            let half = Cursor::new(bytes).take(length as u64 / 2);
            response.set_body(Body::from_reader(BufReader::new(half), Some(length)));
            response.insert_header("connection", "close");
        }
        // A body without a length is sent chunked.
        _ => response.set_body(Body::from_reader(BufReader::new(Cursor::new(bytes)), None)),
    }
    response
}
