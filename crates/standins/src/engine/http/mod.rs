//! The HTTP interface of the stand-in.

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

/// A request to the stand-in.
type EngineRequest = tide::Request<Arc<Engine>>;

/// Builds the application of an engine.
pub fn build_app(engine: Arc<Engine>) -> tide::Server<impl Clone + Send + Sync + use<> + 'static> {
    let mut app = tide::with_state(Arc::clone(&engine));
    app.with(After(move |mut response: tide::Response| {
        let incarnation = engine.with_core(|core, _| core.incarnation());
        response.insert_header(headers::INCARNATION, incarnation.to_string());
        async move { Ok(response) }
    }));
    app.with(tide::utils::Before(|request: EngineRequest| pass_fault(request)));
    for api in [Api::Chat, Api::Completions] {
        app.at(api.path()).post(move |request| generate::generate(request, api));
    }
    control::add_routes(&mut app);
    app
}

/// Holds or closes a connection that is silent or belongs to a process that crashed.
async fn pass_fault(request: EngineRequest) -> EngineRequest {
    let engine = request.state();
    let Some(connection) = connection_of(&request) else { return request };
    if engine.is_silent(&connection) {
        connection.closed_by_peer().await;
        // The peer may have sent more, in which case the wait above never ends; either way nothing
        // is sent on this connection any more.
        connection.abort();
    }
    // Whoever orders a crash has to get the response.
    if request.url().path() != "/faults" {
        engine.note_connection(&connection);
    }
    let is_restarting = engine.with_core(|core, now| core.is_restarting(now));
    if is_restarting || engine.is_dead(&connection) {
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
