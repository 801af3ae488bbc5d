//! The HTTP interface of the stand-in engine.

mod control;
mod generate;
mod stream;

use std::sync::Arc;

use http_types::Response;
use tide::utils::After;
use yuccapass_endpoints::headers;
use yuccapass_http::ConnectionHandle;
use yuccapass_openai::Api;

use super::shared::Engine;

/// A request to the stand-in engine.
type EngineRequest = tide::Request<Arc<Engine>>;

/// Builds the HTTP application of an engine.
pub fn build_app(engine: Arc<Engine>) -> tide::Server<impl Clone + Send + Sync + use<> + 'static> {
    let mut app = tide::with_state(Arc::clone(&engine));
    app.with(After(move |mut response: tide::Response| {
        let incarnation = engine.with_core(|core, _| core.incarnation());
        response.insert_header(headers::INCARNATION, incarnation.to_string());
        async move { Ok(response) }
    }));
    app.with(tide::utils::Before(|request: EngineRequest| apply_connection_faults(request)));
    for api in [Api::Chat, Api::Completions] {
        app.at(api.path()).post(move |request| generate::generate(request, api));
    }
    control::add_routes(&mut app);
    app
}

/// Holds a request on a silent connection until its client disconnects, and closes connections of a
/// crashed incarnation.
async fn apply_connection_faults(request: EngineRequest) -> EngineRequest {
    let engine = request.state();
    let Some(connection) = connection_of(&request) else { return request };
    if engine.is_silent(&connection) {
        connection.closed_by_peer().await;
        // If the peer sends more, the wait above never ends; in either case nothing more is sent on
        // this connection.
        connection.abort();
    }
    // The connection on which a crash is requested stays open for the response.
    if request.url().path() != "/faults" {
        engine.register_connection(&connection);
    }
    let is_restarting = engine.with_core(|core, now| core.is_restarting(now));
    if is_restarting || engine.is_from_crashed_incarnation(&connection) {
        connection.abort();
    }
    request
}

fn connection_of(request: &EngineRequest) -> Option<ConnectionHandle> {
    request.ext::<ConnectionHandle>().cloned()
}

fn json_response(status: u16, body: &impl serde::Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(http_types::Body::from_json(body)?);
    Ok(response.into())
}
