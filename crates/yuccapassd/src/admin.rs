//! The admin address: health checks and status.

use http_types::{Response, StatusCode};
use yuccapass_http::StopSignal;

#[derive(Clone)]
struct State {
    stop: StopSignal,
}

/// Builds the application of the admin address.
pub(crate) fn build_app(stop: StopSignal) -> tide::Server<impl Clone + Send + Sync + 'static> {
    let mut app = tide::with_state(State { stop });
    app.at("/healthz").get(|_| async { Ok(text(StatusCode::Ok, "alive\n")) });
    app.at("/readyz").get(ready);
    app
}

/// Tells the platform's balancer whether to send callers here.
async fn ready(request: tide::Request<State>) -> tide::Result {
    match request.state().stop.is_draining() {
        true => Ok(text(StatusCode::ServiceUnavailable, "stopping\n")),
        false => Ok(text(StatusCode::Ok, "ready\n")),
    }
}

fn text(status: StatusCode, body: &str) -> tide::Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.into()
}
