//! A client: one request on a connection, as the pages describe it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Message, Peer};
use crate::record::Record;

/// What a client sends.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// More headers, each line with its end.
    pub more: String,
}

impl Request {
    pub fn new(id: &str, path: &str, key: &str, deadline_ms: u64) -> Self {
        let (id, path, key) = (id.to_owned(), path.to_owned(), key.to_owned());
        Self { id, path, key, deadline_ms, more: String::new() }
    }

    /// Leaves only what is left of the client's time since it began.
    pub fn with_time_left(self, begun_at: Instant) -> Self {
        let spent_ms = begun_at.elapsed().as_millis() as u64;
        Self { deadline_ms: self.deadline_ms.saturating_sub(spent_ms), ..self }
    }

    fn text(&self) -> String {
        let body = format!("body of {}", self.id);
        format!(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n{}Deadline-Ms: {}\r\n\
             Credential: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.path,
            self.id,
            self.more,
            self.deadline_ms,
            self.key,
            body.len()
        )
    }
}

/// Sends a request on a new connection and reads its answer. `None` if the connection ends without one.
pub fn send(address: SocketAddr, request: &Request, record: &Arc<Record>) -> Option<Message> {
    record.line(format!("client: sends {} {} to {address}", request.id, request.path));
    let limit = Instant::now() + Duration::from_millis(request.deadline_ms);
    let exchange = || -> Option<Message> {
        let mut peer = Peer::connect(address).ok()?;
        peer.write(request.text().as_bytes()).ok()?;
        peer.read(true, Some(limit))
    };
    let answer = exchange();
    let text = match &answer {
        Some(answer) => format!(
            "status {}, body {} ({} bytes), stamp {}",
            answer.status(),
            if answer.is_complete { "whole" } else { "cut" },
            answer.body.len(),
            answer.header("Server-Stamp").unwrap_or("none")
        ),
        None if Instant::now() >= limit => "no answer until the client's deadline".to_owned(),
        None => "the connection ended without an answer".to_owned(),
    };
    record.line(format!("client: {}: {text}", request.id));
    answer
}

/// Returns the id of the last whole event of a stream, and 0 if none has come.
pub fn last_event(answer: &Message) -> u32 {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = text.rsplit_once("\n\n").map(|(whole, _)| whole).unwrap_or_default();
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.last().and_then(|id| id.trim().parse().ok()).unwrap_or(0)
}
