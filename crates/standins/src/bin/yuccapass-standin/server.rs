//! The HTTP server and argument parsing that all subcommands share.

use std::net::SocketAddr;

use async_std::net::TcpListener;
use serde::de::DeserializeOwned;
use yuccapass_http::{RejectReason, ServerConfig, serve, stop_pair};

/// Serves until the process is ended.
pub(crate) async fn run<S: Clone + Send + Sync + 'static>(
    address: SocketAddr,
    app: tide::Server<S>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    // Dropping the controller would stop the server.
    let (_controller, stop) = stop_pair();
    serve(listener, app, ServerConfig::new(rejection_body), stop).await;
    Ok(())
}

fn rejection_body(_reason: RejectReason) -> (u16, String) {
    (503, "{}".to_owned())
}

/// Parses an argument in JSON.
pub(crate) fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}
