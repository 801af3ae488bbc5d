//! HTTP routes of the admin address: health checks and metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http_types::{Response, StatusCode};
use yuccapass_http::StopSignal;

use crate::metrics::Metrics;

/// State behind the routes of the admin address.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub(crate) stop: StopSignal,
    /// Whether each endpoint was polled once.
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Builds the application of the admin address.
pub(crate) fn build_app(state: AdminState) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let mut app = tide::with_state(state);
    app.at("/metrics").get(scrape);
    app.at("/healthz").get(|_| async { Ok(text(StatusCode::Ok, "alive\n")) });
    app.at("/readyz").get(ready);
    app
}

/// Tells the platform's load balancer whether to send callers to this node.
async fn ready(request: tide::Request<AdminState>) -> tide::Result {
    let state = request.state();
    match (state.stop.is_draining(), state.is_ready.load(Ordering::Acquire)) {
        (true, _) => Ok(text(StatusCode::ServiceUnavailable, "stopping\n")),
        (false, false) => Ok(text(StatusCode::ServiceUnavailable, "starting\n")),
        (false, true) => Ok(text(StatusCode::Ok, "ready\n")),
    }
}

async fn scrape(request: tide::Request<AdminState>) -> tide::Result {
    let text = request.state().metrics.encode()?;
    let mut response = tide::Response::new(StatusCode::Ok);
    response.set_content_type("text/plain; version=0.0.4");
    response.set_body(text);
    Ok(response)
}

fn text(status: StatusCode, body: &str) -> tide::Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.into()
}
