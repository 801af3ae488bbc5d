//! Tests of messages that are forwarded byte by byte.

use std::net::Shutdown;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::block_on;
use futures::{AsyncWriteExt, FutureExt};
use socket2::SockRef;
use yuccapass_http::message::{BodyReader, Connection, Framing, MessageError};

const HEAD_LIMIT_BYTES: usize = 16 << 10;

/// Returns a connection to read from, and the peer's end of it.
async fn connected() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback address is free");
    let address = listener.local_addr().expect("the listener has an address");
    let peer = TcpStream::connect(address).await.expect("the listener accepts");
    let (stream, _) = listener.accept().await.expect("the peer has connected");
    (Connection::new(stream), peer)
}

async fn read_body(sent: &[u8], framing: Framing) -> Result<Vec<u8>, MessageError> {
    let (mut connection, mut peer) = connected().await;
    peer.write_all(sent).await.expect("the peer can write");
    peer.shutdown(Shutdown::Write).expect("the peer can close");
    let body = BodyReader::new(framing).read_all(&mut connection, 1 << 20).await?;
    Ok(body.to_vec())
}

/// Guards against a cancelled read that leaves zero bytes in the buffer, so that each later request
/// on the connection is malformed.
#[test]
fn a_dropped_read_leaves_no_bytes() {
    block_on(async {
        let (mut connection, mut peer) = connected().await;

        let dropped = connection.fill().now_or_never();
        peer.write_all(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("the peer can write");
        let head = connection.read_request_head(HEAD_LIMIT_BYTES).await;

        assert!(dropped.is_none());
        let head = head.expect("the head is valid").expect("the peer has not closed");
        assert_eq!(head.path(), "/a/");
    });
}

/// Guards against request smuggling, where two readers find the end of a request in different
/// places.
#[test]
fn a_request_with_two_ends_is_refused() {
    let heads: [&[u8]; 6] = [
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
    ];
    for head in heads {
        block_on(async {
            let (mut connection, mut peer) = connected().await;
            peer.write_all(head).await.expect("the peer can write");

            let head = connection.read_request_head(HEAD_LIMIT_BYTES).await;

            let head = head.expect("the head is valid").expect("the peer has not closed");
            assert!(Framing::of_request(&head).is_err(), "{head:?}");
        });
    }
}

/// Guards against a truncated body that is taken for a complete one.
#[test]
fn a_truncated_body_is_an_error() {
    let length = block_on(read_body(b"ab", Framing::Length(3)));
    let chunked = block_on(read_body(b"2\r\nab\r\n", Framing::Chunked));
    let until_close = block_on(read_body(b"ab", Framing::UntilClose));

    assert!(matches!(length, Err(MessageError::Truncated)));
    assert!(matches!(chunked, Err(MessageError::Truncated)));
    assert_eq!(until_close.expect("the close ends the body"), b"ab");
}

/// Guards against chunk framing that is left in a body, and against invalid chunks that are
/// accepted.
#[test]
fn chunks_are_joined() {
    let whole =
        block_on(read_body(b"2;x=1\r\nab\r\n3\r\ncde\r\n0\r\nT: v\r\n\r\n", Framing::Chunked));
    let no_line_end = block_on(read_body(b"2\r\nabc\r\n0\r\n\r\n", Framing::Chunked));
    let no_size = block_on(read_body(b"zz\r\nab\r\n0\r\n\r\n", Framing::Chunked));

    assert_eq!(whole.expect("the chunks are valid"), b"abcde");
    assert!(matches!(no_line_end, Err(MessageError::Malformed { .. })));
    assert!(matches!(no_size, Err(MessageError::Malformed { .. })));
}

/// Guards against a peer that uses up memory with a head that never ends.
#[test]
fn a_head_without_end_is_refused() {
    block_on(async {
        let (mut connection, mut peer) = connected().await;
        let writing = async {
            // The reader may close before everything is written.
            let _ = peer.write_all(&vec![b'a'; 64 << 10]).await;
        };

        let (head, ()) = futures::join!(connection.read_request_head(HEAD_LIMIT_BYTES), writing);

        assert!(matches!(head, Err(MessageError::HeadTooLarge { .. })));
    });
}

/// Guards against forwarding hop-by-hop headers.
#[test]
fn connection_headers_are_not_end_to_end() {
    block_on(async {
        let (mut connection, mut peer) = connected().await;
        let sent =
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nTE: a\r\n\r\n";
        peer.write_all(sent).await.expect("the peer can write");

        let head = connection.read_request_head(HEAD_LIMIT_BYTES).await;

        let head = head.expect("the head is valid").expect("the peer has not closed");
        let names: Vec<&str> = head.headers.end_to_end().map(|(name, _)| name).collect();
        assert_eq!(names, ["Host"]);
    });
}

/// Guards against connections that are given up while a sound peer is silent for a second or so, or long after one
/// that has gone: the user timeout ends the probes, so their period adds to it.
#[test]
fn a_silent_peer_is_given_up_after_the_timeout_and_a_probe() {
    block_on(async {
        // Arrange
        let (connection, _peer) = connected().await;

        // Act
        connection.set_dead_peer_timeout(2_500).expect("the connection is open");

        // Assert
        let stream = connection.writer();
        let socket = SockRef::from(&stream);
        let period = Duration::from_secs(1);
        assert_eq!(socket.tcp_user_timeout().unwrap(), Some(Duration::from_millis(2_500)));
        assert_eq!(socket.tcp_keepalive_time().unwrap(), period);
        assert_eq!(socket.tcp_keepalive_interval().unwrap(), period);
    });
}
