//! Serves readiness checks and metrics.

use std::sync::Arc;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::BufMut;
use yuccapass_decisions::gateway::CallerBudgetLimits;
use yuccapass_http::message::Connection;
use yuccapass_http::with_deadline;
use yuccapass_types::{Bytes, Deadline};

use crate::caller_memory::{CallerMemory, OpenConnection};
use crate::state::Shared;

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Maximum time between two requests on a connection.
const IDLE_TIMEOUT_MS: u64 = 10_000;

/// The path of the metrics. Every other path is a readiness check.
const METRICS_PATH: &str = "/metrics";

/// Serves connections until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    // Newer connections displace those that send nothing, so that strangers cannot keep out the load
    // balancer.
    let operators = shared.connection_shares().operators;
    let limits = CallerBudgetLimits::new(None, operators, Bytes::ZERO);
    let connections = CallerMemory::new(Arc::clone(&shared.clock), limits);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(open) = connections.open(&stream) else { continue };
                task::spawn(serve_connection(Arc::clone(&shared), stream, open));
            }
            Err(error) => {
                log::warn!(error:%; "an admin connection could not be accepted");
                task::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, open: OpenConnection) {
    let mut connection = Connection::new(stream);
    loop {
        let limit = Deadline::after_ms(shared.now(), IDLE_TIMEOUT_MS);
        let reading = connection.read_request_head(MAX_HEAD_BYTES);
        let Ok(Ok(Some(head))) = with_deadline(&*shared.clock, limit, reading).await else {
            return;
        };
        open.claim().complete();
        let is_metrics = head.path() == METRICS_PATH;
        let (status, body) = match is_metrics {
            true => {
                shared.record_speeds();
                (200, encode_metrics(&shared))
            }
            false if shared.is_ready() => (200, b"ready\n".to_vec()),
            false => (503, b"not ready\n".to_vec()),
        };
        let length = body.len();
        let mut out = format!(
            "HTTP/1.1 {status} .\r\ncontent-type: text/plain\r\ncontent-length: {length}\r\n\r\n"
        )
        .into_bytes();
        out.put_slice(&body);
        let limit = Deadline::after_ms(shared.now(), IDLE_TIMEOUT_MS);
        let writing = connection.write_all(&out);
        let Ok(Ok(())) = with_deadline(&*shared.clock, limit, writing).await else { return };
        open.claim().finish();
    }
}

fn encode_metrics(shared: &Shared) -> Vec<u8> {
    let memory = &shared.caller_memory;
    shared.metrics.record_caller_use(memory.in_use(), memory.evictions());
    if let Some(settings) = shared.settings() {
        let confirmed_at = settings.validity().confirmed_at();
        let revision = settings.configuration().revision();
        shared.metrics.record_settings(revision, confirmed_at, shared.now());
    }
    shared.metrics.encode()
}
