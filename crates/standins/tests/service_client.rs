//! Tests of the client of plain services against the stand-in service over TCP.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use common::{LIMIT_MS, Server, start_server};
use futures::AsyncReadExt;
use futures::io::{BufReader, Cursor};
use http_types::{Body, Headers, Method, Response};
use serde_json::Value;
use yuccapass_http::ClientConfig;
use yuccapass_services::{HttpService, PlainService, ServiceCall, ServiceErrorKind, ServiceReply};
use yuccapass_standins::service::{Service, ServiceFaults, build_app};
use yuccapass_types::{Clock, Deadline, MonotonicClock, RunState};

struct ServiceFixture {
    service: Arc<Service>,
    client: HttpService,
    clock: Arc<dyn Clock>,
    _server: Server,
}

fn start_service(faults: ServiceFaults) -> ServiceFixture {
    let service = Arc::new(Service::new(1, 100, faults));
    let server = start_server(build_app(Arc::clone(&service)));
    let (client, clock) = client_of(server.address);
    ServiceFixture { service, client, clock, _server: server }
}

fn client_of(address: SocketAddr) -> (HttpService, Arc<dyn Clock>) {
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let config = ClientConfig::default().connect_timeout_ms(LIMIT_MS);
    let id = "ledger-1".parse().unwrap();
    (HttpService::new(id, address, config, Arc::clone(&clock)), clock)
}

/// Starts a server that writes these pieces one by one to its first connection.
fn raw_server(pieces: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _): (TcpStream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        for piece in pieces {
            stream.write_all(piece.as_bytes()).unwrap();
            // Makes it likely that the client reads the pieces one by one. If it does not, the test
            // passes without covering that case.
            thread::sleep(Duration::from_millis(50));
        }
        // Keeps the connection open until the client closes it.
        let _ = stream.read(&mut [0]);
    });
    address
}

fn call_of(clock: &dyn Clock, method: Method, path: &str, body: Body) -> ServiceCall {
    let headers: Headers = Response::new(200).as_ref().clone();
    ServiceCall {
        method,
        path_and_query: path.to_owned(),
        headers,
        body,
        deadline: Deadline::after_ms(clock.now(), LIMIT_MS),
        is_repeatable: true,
    }
}

impl ServiceFixture {
    fn call(&self, method: Method, path: &str, body: impl Into<Body>) -> ServiceCall {
        call_of(&*self.clock, method, path, body.into())
    }

    fn effects(&self) -> usize {
        self.service.journal().entries.len()
    }
}

fn read(reply: &mut ServiceReply) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    block_on(reply.body.read_to_end(&mut bytes))?;
    Ok(bytes)
}

/// Guards against bodies that are changed or cut in transfer, and against calls that are lost on
/// reused connections.
#[test]
fn bodies_of_all_sizes_pass_unchanged() {
    // Arrange
    let fixture = start_service(ServiceFaults::default());
    for size in [0, 1, 8_192, 300_000] {
        let content: Vec<u8> = (0..size).map(|index| (index % 251) as u8).collect();
        let chunked = Body::from_reader(BufReader::new(Cursor::new(content.clone())), None);
        for body in [Body::from_bytes(content.clone()), chunked] {
            // Act
            let call = fixture.call(Method::Post, "/echo", body);
            let mut reply = block_on(fixture.client.call(call)).unwrap();

            // Assert
            assert_eq!(reply.status, 200);
            assert!(read(&mut reply).unwrap() == content, "{size} bytes");
        }
    }
    assert_eq!(fixture.effects(), 8);
}

/// Guards against forwarding hop-by-hop headers, and against losing end-to-end ones.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    // Arrange
    let mut headers: Headers = Response::new(200).as_ref().clone();
    let dropped = ["keep-alive", "te", "upgrade", "host", "expect", "transfer-encoding", "x-hop"];
    for name in dropped {
        headers.insert(name, "a");
    }
    headers.insert("connection", "close, X-Hop");
    headers.insert("idempotency-key", "k1");
    headers.append("accept", "a");
    headers.append("accept", "b");

    // Act
    let kept = yuccapass_services::headers::end_to_end(&headers);

    // Assert
    let mut names: Vec<&str> = kept.names().map(|name| name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "idempotency-key"]);
    assert_eq!(kept["accept"].iter().count(), 2);
}

/// Guards against a call whose method, path, idempotency key or body does not arrive, and against a
/// reply with a header that cannot be forwarded to callers.
#[test]
fn calls_arrive_completely() {
    // Arrange
    let fixture = start_service(ServiceFaults::default());
    let methods = [Method::Get, Method::Put, Method::Post, Method::Patch, Method::Delete];
    for (index, method) in methods.into_iter().enumerate() {
        let mut call = fixture.call(method, "/book/bench?slot=3", "[[m-1]]");
        call.headers.insert("idempotency-key", "k1");

        // Act
        let mut reply = block_on(fixture.client.call(call)).unwrap();

        // Assert
        let body: Value = serde_json::from_slice(&read(&mut reply).unwrap()).unwrap();
        assert_eq!(body["effect"]["number"], index as u64 + 1);
        let entry = fixture.service.journal().entries.pop().unwrap();
        assert_eq!((entry.idempotency_key.as_str(), entry.marker.as_str()), ("k1", "m-1"));
        assert_eq!(
            (entry.method, entry.path_and_query.as_str()),
            (method.to_string(), "/book/bench?slot=3")
        );
        assert!(reply.headers.iter().all(|(_, values)| !values.as_str().contains('\n')));
    }
}

/// Guards against reporting that nothing was sent after a crash that followed the effect.
#[test]
fn crash_after_the_effect_is_unknown() {
    // Arrange
    let faults = ServiceFaults { crash_after_effect_probability: 1.0, ..ServiceFaults::default() };
    let fixture = start_service(faults);
    let mut call = fixture.call(Method::Post, "/book", "x");
    call.is_repeatable = false;

    // Act
    let error = block_on(fixture.client.call(call)).unwrap_err();

    // Assert
    assert_eq!(error.kind(), ServiceErrorKind::Connection);
    assert!(error.was_sent());
    assert_eq!(error.run_state(), RunState::Unknown);
    assert_eq!(fixture.effects(), 1);
}

/// Guards against a call that cannot be sent but is not reported as `not run`.
#[test]
fn unreachable_service_and_tunnel_send_nothing() {
    // Arrange: an address on which nothing listens.
    let (client, clock) = client_of("127.255.255.253:9".parse().unwrap());
    let cases = [
        (Method::Post, ServiceErrorKind::Unreachable),
        (Method::Connect, ServiceErrorKind::InvalidCall),
    ];
    for (method, kind) in cases {
        // Act
        let call = call_of(&*clock, method, "/", Body::empty());
        let error = block_on(client.call(call)).unwrap_err();

        // Assert
        assert_eq!((error.kind(), error.run_state()), (kind, RunState::NotRun));
    }
}

/// Guards against a cut response that looks complete.
#[test]
fn cut_body_is_an_error() {
    // Arrange
    let fixture = start_service(ServiceFaults { cut_probability: 1.0, ..ServiceFaults::default() });

    // Act
    let call = fixture.call(Method::Post, "/echo", "x".repeat(100_000));
    let mut reply = block_on(fixture.client.call(call)).unwrap();

    // Assert
    assert_eq!(read(&mut reply).unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof);
}

/// Guards against waiting forever for a silent service.
#[test]
fn silence_before_the_response_ends_at_the_deadline() {
    // Arrange
    let silent = ServiceFaults { silent_probability: 1.0, ..ServiceFaults::default() };
    let fixture = start_service(silent);
    let mut call = fixture.call(Method::Get, "/", Body::empty());
    call.deadline = Deadline::after_ms(fixture.clock.now(), 2_000);

    // Act
    let error = block_on(fixture.client.call(call)).unwrap_err();

    // Assert
    assert_eq!((error.kind(), error.was_sent()), (ServiceErrorKind::Timeout, true));
}

/// Guards against waiting forever for the end of a body.
#[test]
fn silence_within_the_response_ends_at_the_deadline() {
    // Arrange
    let address = raw_server(&["HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab"]);
    let (client, clock) = client_of(address);
    let mut call = call_of(&*clock, Method::Get, "/", Body::empty());
    call.deadline = Deadline::after_ms(clock.now(), 2_000);

    // Act
    let mut reply = block_on(client.call(call)).unwrap();
    let error = read(&mut reply).unwrap_err();

    // Assert
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}

/// Guards against a chunked response that never completes because its end arrives in two pieces.
#[test]
fn end_of_chunks_in_two_pieces_is_found() {
    // Arrange
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
    let pieces: &'static [&'static str] = Box::leak(Box::new([head, "\r", "\n"]));
    let (client, clock) = client_of(raw_server(pieces));
    let mut call = call_of(&*clock, Method::Get, "/", Body::empty());
    call.deadline = Deadline::NEVER;

    // Act
    let mut reply = block_on(client.call(call)).unwrap();
    // A timeout around the read would poll the body once more and so hide the fault.
    let (sender, receiver) = std::sync::mpsc::channel();
    async_std::task::spawn(async move {
        let mut bytes = Vec::new();
        let result = reply.body.read_to_end(&mut bytes).await.map(|_| bytes);
        let _ = sender.send(result);
    });
    let result = receiver.recv_timeout(Duration::from_millis(LIMIT_MS));

    // Assert
    assert_eq!(result.expect("the end of the body is withheld").unwrap(), b"ab");
}

/// Guards against forwarding a response without a stated length, of which a cut cannot be detected,
/// and against taking an interim response for the final one.
#[test]
fn response_without_a_definite_end_is_refused() {
    for pieces in [
        &["HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc"],
        &["HTTP/1.1 103 Early Hints\r\n\r\n"],
    ] {
        // Arrange
        let (client, clock) = client_of(raw_server(pieces));

        // Act
        let call = call_of(&*clock, Method::Get, "/", Body::empty());
        let error = block_on(client.call(call)).unwrap_err();

        // Assert
        assert_eq!((error.kind(), error.was_sent()), (ServiceErrorKind::Protocol, true));
    }
}

/// Guards against waiting for a body that is never sent.
#[test]
fn responses_without_a_body_end_at_their_head() {
    let cases: [(Method, &'static [&'static str]); 3] = [
        (Method::Head, &["HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"]),
        (Method::Get, &["HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n"]),
        (Method::Delete, &["HTTP/1.1 204 No Content\r\n\r\n"]),
    ];
    for (method, pieces) in cases {
        // Arrange
        let (client, clock) = client_of(raw_server(pieces));

        // Act
        let call = call_of(&*clock, method, "/", Body::empty());
        let mut reply = block_on(client.call(call)).unwrap();

        // Assert
        assert_eq!(read(&mut reply).unwrap(), b"");
    }
}

/// Guards against a non-ASCII header that panics the caller's task instead of failing the call.
#[test]
fn invalid_header_of_a_response_is_an_error() {
    // Arrange
    let pieces: &'static [&'static str] =
        &["HTTP/1.1 200 OK\r\nx-name: caf\u{e9}\r\ncontent-length: 0\r\n\r\n"];
    let (client, clock) = client_of(raw_server(pieces));

    // Act
    let call = call_of(&*clock, Method::Get, "/", Body::empty());
    let error = block_on(client.call(call)).unwrap_err();

    // Assert
    assert_eq!((error.kind(), error.was_sent()), (ServiceErrorKind::Connection, true));
}
