//! Tests of the reader of server-sent events.

use async_std::task::block_on;
use futures::FutureExt;
use futures::io::{BufReader, Cursor};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use yuccapass_endpoints::{SseEvent, SseReader};

/// Reads all events through a read buffer of `buffer_bytes`.
fn read_all(bytes: &[u8], buffer_bytes: usize) -> std::io::Result<Vec<SseEvent>> {
    let mut reader = SseReader::new(BufReader::with_capacity(buffer_bytes, Cursor::new(bytes)));
    let mut events = Vec::new();
    while let Some(event) = block_on(reader.next())? {
        events.push(event);
    }
    Ok(events)
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    // No regression files are written, since a failure prints its input.
    let cases = Config { failure_persistence: None, ..Config::with_cases(512) };
    TestRunner::new_with_rng(cases, rng)
}

/// Guards against a panic or an endless loop on arbitrary bytes, and against results that depend on
/// how the bytes are split into reads.
#[test]
fn arbitrary_bytes_never_panic_and_cuts_make_no_difference() {
    let piece = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..20),
        prop::sample::select(vec!["id:", "data: ", "\n", "\r\n", "\r", ":", "\n\n", "retry: 1"])
            .prop_map(|text| text.as_bytes().to_vec()),
    ];
    let pieces = prop::collection::vec(piece, 0..40);
    let property = |pieces: Vec<Vec<u8>>| {
        // Arrange
        let bytes = pieces.concat();

        // Act
        let whole = read_all(&bytes, bytes.len() + 1).unwrap();
        let bytewise = read_all(&bytes, 1).unwrap();

        // Assert
        prop_assert_eq!(whole, bytewise);
        Ok(())
    };
    runner().run(&pieces, property).unwrap();
}

/// Guards against events that are changed by the reader, with either line ending.
#[test]
fn events_are_read_as_they_were_written() {
    let text =
        || "[a-z0-9:/ ]{1,30}".prop_filter("no leading space", |text| !text.starts_with(' '));
    let events = prop::collection::vec((text(), text()), 0..10);
    let property = |(events, end): (Vec<(String, String)>, &str)| {
        // Arrange
        let write = |(id, data): &(String, String)| format!("id: {id}{end}data: {data}{end}{end}");
        let bytes: String = events.iter().map(write).collect();

        // Act
        let read = read_all(bytes.as_bytes(), 7).unwrap();

        // Assert
        let expected = events.iter().map(|(id, data)| SseEvent {
            id: id.clone().into_bytes(),
            data: data.clone().into_bytes(),
        });
        prop_assert_eq!(read, expected.collect::<Vec<_>>());
        Ok(())
    };
    runner().run(&(events, prop::sample::select(vec!["\n", "\r\n"])), property).unwrap();
}

/// Guards against an incomplete event at the end that is taken for a complete one.
#[test]
fn event_that_the_end_cuts_is_dropped() {
    for bytes in ["id: 1\ndata: x\n", "id: 1\ndata: x", "id: 1\n"] {
        // Act
        let events = read_all(bytes.as_bytes(), 64).unwrap();

        // Assert
        assert_eq!(events, []);
    }
}

/// Guards against a line or an event that takes unbounded memory.
#[test]
fn endless_line_and_endless_event_are_refused() {
    let line = format!("data: {}", "x".repeat(2 << 20));
    let event = format!("data: {}\n", "x".repeat(1_000)).repeat(2_000);
    for bytes in [line, event] {
        // Act
        let result = read_all(bytes.as_bytes(), 8_192);

        // Assert
        assert_eq!(result.unwrap_err().kind(), std::io::ErrorKind::InvalidData);
    }
}

/// Guards against an event that loses its beginning when a read is cancelled at a deadline and then
/// continued.
#[test]
fn abandoned_read_is_continued() {
    // Arrange
    let bytes = b"id: r/1/0\ndata: x\n\nid: r/1/1\ndata: y\n\n";
    for cut in 0..bytes.len() {
        let (writer, reader) = yuccapass_http::pipe(1_024);
        block_on(writer.write(&[&bytes[..cut]])).unwrap();
        let mut reader = SseReader::new(reader);
        let mut events = Vec::new();

        // Act: read as far as possible, cancel the read, and continue once the rest has arrived.
        while let Some(event) = reader.next().now_or_never() {
            events.extend(event.unwrap());
        }
        block_on(writer.write(&[&bytes[cut..]])).unwrap();
        drop(writer);
        while let Some(event) = block_on(reader.next()).unwrap() {
            events.push(event);
        }

        // Assert
        assert_eq!(events, read_all(bytes, 64).unwrap(), "cut at {cut}");
    }
}
