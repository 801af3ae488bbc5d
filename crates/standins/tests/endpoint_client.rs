//! Tests of the client of model endpoints against the stand-in engine over TCP.

mod common;

use std::io::{Read, Write};
use std::sync::Arc;

use async_std::task::block_on;
use common::{
    EngineFixture, LIMIT_MS, fast_config, salt_of, start_engine, start_faulty_engine, token_text,
    version,
};
use http_types::Method;
use yuccapass_endpoints::{
    ChecksummedBlock, EndpointErrorKind, EndpointState, GenerateRequest, HttpEndpoint,
    ModelEndpoint, Order, OrderKind, StreamEvent, TokenStream,
};
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_standins::engine::{
    AnswerSource, EngineConfig, FaultAction, FaultCommand, Faults, answer_text,
};
use yuccapass_types::{
    AdapterId, Deadline, FencingNumber, Incarnation, RunState, Tokens, block_hash_chain,
};

/// Returns the token texts of the complete answer for organisation `org-a`.
fn expected_answer(prompt: &str, tokens: u64) -> Vec<String> {
    let source = AnswerSource {
        salt: salt_of("org-a", "v1"),
        version: &version("v1"),
        adapter: None,
        prompt: prompt.as_bytes(),
    };
    let digest = source.digest();
    (0..tokens).map(|offset| answer_text(&digest, offset).trim_end().to_owned()).collect()
}

fn open(fixture: &EngineFixture, request: &GenerateRequest) -> Box<dyn TokenStream> {
    block_on(fixture.endpoint.generate(request)).unwrap()
}

/// Reads `count` tokens.
fn read_tokens(fixture: &EngineFixture, stream: &mut dyn TokenStream, count: usize) -> Vec<String> {
    let mut texts = Vec::new();
    while texts.len() < count {
        match block_on(stream.next(fixture.limit())).unwrap() {
            StreamEvent::Token { json, .. } => texts.push(token_text(&json)),
            event => panic!("{event:?} before token {count}"),
        }
    }
    texts
}

/// Reads tokens until the stream fails.
fn read_until_error(
    fixture: &EngineFixture,
    stream: &mut dyn TokenStream,
) -> (EndpointErrorKind, RunState) {
    loop {
        match block_on(stream.next(fixture.limit())) {
            Ok(StreamEvent::Done { .. }) => panic!("the answer is complete"),
            Ok(_) => {}
            Err(error) => return (error.kind(), error.run_state()),
        }
    }
}

fn order(fencing: u64, kind: OrderKind) -> Order {
    Order { fencing: FencingNumber::new(fencing), kind }
}

fn load_version(fencing: u64, name: &str) -> Order {
    order(fencing, OrderKind::LoadVersion { version: version(name) })
}

fn started_runs(fixture: &EngineFixture) -> usize {
    fixture.engine.with_core(|core, _| core.journal().entries.len())
}

/// Guards against a missing, repeated or reordered token, on new and on reused connections.
#[test]
fn answers_are_complete_on_new_and_reused_connections() {
    // Arrange
    let fixture = start_engine(fast_config());

    for number in 0..3 {
        // Act
        let texts = fixture.run(&fixture.request(&format!("r{number}"), "hello", 200)).unwrap();

        // Assert
        assert_eq!(texts, expected_answer("hello", 200));
    }
}

/// Guards against a resumed answer that repeats or skips a token.
#[test]
fn resume_gives_exactly_the_missing_tokens() {
    // Arrange
    let fixture = start_engine(fast_config());
    let complete = expected_answer("hello", 20);
    for offset in [0, 1, 7, 19, 20] {
        let mut request = fixture.request("r1", "hello", 20);
        request.resume_offset_tokens = Tokens::new(offset);

        // Act
        let texts = fixture.run(&request).unwrap();

        // Assert
        assert_eq!(texts, complete[offset as usize..]);
    }
}

/// Guards against delayed answers that are lost, and against events of another request, attempt or
/// offset that are taken for the answer's.
#[test]
fn answer_is_complete_despite_late_and_mismatched_events() {
    // Arrange
    let faults = Faults {
        late_probability: 1.0,
        late_ms: 50,
        mismatch_probability: 0.5,
        ..Faults::default()
    };
    let fixture = start_faulty_engine(faults);
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 100));
    let (mut texts, mut old, mut mismatched) = (Vec::new(), 0, 0);

    // Act
    loop {
        match block_on(stream.next(fixture.limit())).unwrap() {
            StreamEvent::Token { offset_tokens, json } => {
                // The client leaves it to its caller to drop an event with an old offset.
                match offset_tokens.get() as usize == texts.len() {
                    true => texts.push(token_text(&json)),
                    false => old += 1,
                }
            }
            StreamEvent::Mismatched => mismatched += 1,
            StreamEvent::Done { length_tokens } => {
                assert_eq!(length_tokens, Tokens::new(100));
                break;
            }
        }
    }

    // Assert
    assert_eq!(texts, expected_answer("hello", 100));
    assert!(old > 0 && mismatched > 0, "{old} old and {mismatched} mismatched events");
}

/// Guards against a stream that looks complete although a crash cut it, and against a load report
/// that does not show the new incarnation.
#[test]
fn crash_cuts_the_stream_and_changes_the_incarnation() {
    // Arrange
    let fixture = start_engine(fast_config().token_time_ms(20));
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 100_000));
    read_tokens(&fixture, &mut *stream, 1);

    // Act
    fixture.trigger_fault(FaultAction::Crash);
    let failure = read_until_error(&fixture, &mut *stream);

    // Assert
    assert_eq!(failure, (EndpointErrorKind::Connection, RunState::Ran));
    let report = block_on(fixture.endpoint.load_report(fixture.limit())).unwrap();
    assert_eq!((report.incarnation, report.running_requests), (Incarnation::new(2), 0));
}

/// Guards against reporting `not run` after a crash before the response.
#[test]
fn crash_on_a_prompt_with_crash_marker_is_unknown_and_in_the_journal() {
    // Arrange
    let faults = Faults { crash_marker: Some("boom".to_owned()), ..Faults::default() };
    let fixture = start_faulty_engine(faults);

    // Act
    let error = fixture.run(&fixture.request("r1", "boom", 5)).unwrap_err();

    // Assert
    assert_eq!(error.run_state(), RunState::Unknown);
    assert_eq!(error.kind(), EndpointErrorKind::Connection);
    assert_eq!(started_runs(&fixture), 1);
}

/// Guards against a stream that waits forever on a silent connection, and against new connections
/// that are silent too.
#[test]
fn silent_connection_ends_at_the_deadline() {
    // Arrange
    let faults =
        Faults { silent_probability: 1.0, silent_after_tokens: Some(3), ..Faults::default() };
    let fixture = start_faulty_engine(faults);
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 10));
    read_tokens(&fixture, &mut *stream, 3);

    // Act
    let error = block_on(stream.next(fixture.after_ms(100))).unwrap_err();

    // Assert
    assert_eq!((error.kind(), error.run_state()), (EndpointErrorKind::Timeout, RunState::Ran));
    assert!(block_on(fixture.endpoint.load_report(fixture.limit())).is_ok());
    drop(stream);
    fixture.wait_until(|engine| engine.with_core(|core, _| core.stats().cancelled_runs == 1));
}

/// Guards against a request that waits forever or is reported as `not run` when its connection is
/// silent before the response.
#[test]
fn connection_that_is_silent_from_the_start_ends_at_the_deadline() {
    // Arrange
    let fixture = start_faulty_engine(Faults { silent_probability: 1.0, ..Faults::default() });
    let mut request = fixture.request("r1", "hello", 10);
    request.deadline = fixture.after_ms(2_000);

    // Act
    let error = fixture.run(&request).unwrap_err();

    // Assert
    assert_eq!((error.kind(), error.run_state()), (EndpointErrorKind::Timeout, RunState::Unknown));
}

/// Guards against silenced connections that recover, and against new ones that do not work.
#[test]
fn open_connections_go_silent_and_new_ones_work() {
    // Arrange
    let fixture = start_engine(fast_config().token_time_ms(5));
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 100_000));
    read_tokens(&fixture, &mut *stream, 1);

    // Act
    fixture.trigger_fault(FaultAction::SilenceConnections);
    let failure = loop {
        if let Err(error) = block_on(stream.next(fixture.after_ms(500))) {
            break error.kind();
        }
    };

    // Assert
    assert_eq!(failure, EndpointErrorKind::Timeout);
    let mut request = fixture.request("r2", "hello", 3);
    request.needs_new_connection = true;
    assert_eq!(fixture.run(&request).unwrap(), expected_answer("hello", 3));
}

/// Guards against a cancelled run that continues, and against an error for one that has ended.
#[test]
fn cancel_ends_the_stream_and_may_be_repeated() {
    // Arrange
    let fixture = start_engine(fast_config().token_time_ms(20));
    let request = fixture.request("r1", "hello", 100_000);
    let mut stream = open(&fixture, &request);

    // Act
    let first = block_on(fixture.endpoint.cancel(&request.request_id, fixture.limit()));
    let second = block_on(fixture.endpoint.cancel(&request.request_id, fixture.limit()));

    // Assert
    assert!(first.is_ok() && second.is_ok());
    let failure = read_until_error(&fixture, &mut *stream);
    assert_eq!(failure, (EndpointErrorKind::Connection, RunState::Ran));
    assert_eq!(fixture.engine.with_core(|core, _| core.stats().cancelled_runs), 1);
}

/// Guards against running a queued request whose client has disconnected.
#[test]
fn queued_request_whose_client_disconnects_never_runs() {
    // Arrange
    let fixture = start_engine(fast_config().token_time_ms(20).max_running_requests(1));
    let running = open(&fixture, &fixture.request("r1", "hello", 100_000));
    let waiting = open(&fixture, &fixture.request("r2", "hello", 100_000));

    // Act
    drop(waiting);
    fixture.wait_until(|engine| engine.with_core(|core, _| core.stats().cancelled_runs == 1));
    drop(running);
    fixture.wait_until(|engine| engine.with_core(|core, _| core.stats().cancelled_runs == 2));

    // Assert
    assert_eq!(started_runs(&fixture), 1);
}

/// Guards against refusals that are not recognised or not reported as `not run`, and against
/// running a refused request.
#[test]
fn refusals_say_that_nothing_ran() {
    // Arrange
    let fixture = start_engine(fast_config().max_queued_requests(0).max_running_requests(1));
    let mut wrong_version = fixture.request("r1", "hello", 5);
    wrong_version.version = version("v2");
    let mut wrong_adapter = fixture.request("r2", "hello", 5);
    wrong_adapter.adapter = Some("clips".parse().unwrap());
    let mut invalid = fixture.request("r3", "hello", 5);
    invalid.body = Arc::from(*b"{}");
    let overloaded = fixture.request("r4", "hello", 5);
    let cases = [
        (wrong_version, EndpointErrorKind::WrongVersion),
        (wrong_adapter, EndpointErrorKind::WrongVersion),
        (invalid, EndpointErrorKind::InvalidRequest),
        (overloaded, EndpointErrorKind::Overloaded),
    ];
    for (request, kind) in cases {
        // Act
        let error = fixture.run(&request).unwrap_err();

        // Assert
        assert_eq!((error.kind(), error.run_state()), (kind, RunState::NotRun));
    }
    assert_eq!(started_runs(&fixture), 0);
}

/// Guards against a leaving endpoint that accepts new requests, and against one that cannot be
/// returned to service.
#[test]
fn leaving_endpoint_refuses_requests_until_it_returns() {
    // Arrange
    let fixture = start_engine(fast_config());
    let leave = |leaving| order(1, OrderKind::SetLeaving { leaving });
    let report = || block_on(fixture.endpoint.load_report(fixture.limit())).unwrap();

    // Act
    block_on(fixture.endpoint.order(&leave(true), fixture.limit())).unwrap();
    let error = fixture.run(&fixture.request("r1", "hello", 5)).unwrap_err();
    let leaving_state = report().state;
    block_on(fixture.endpoint.order(&leave(false), fixture.limit())).unwrap();

    // Assert
    assert_eq!((error.kind(), error.run_state()), (EndpointErrorKind::Leaving, RunState::NotRun));
    assert_eq!((leaving_state, report().state), (EndpointState::Leaving, EndpointState::Warm));
    assert!(fixture.run(&fixture.request("r2", "hello", 5)).is_ok());
}

/// Guards against an order that is reported as done too early, and an old one that is executed.
#[test]
fn orders_take_effect_and_old_ones_are_refused_or_ignored() {
    for (checks, expected) in [(true, "v2"), (false, "v1")] {
        // Arrange
        let fixture = start_engine(fast_config().swap_ms(20).checks_fencing(checks));
        let give = |order| block_on(fixture.endpoint.order(&order, fixture.limit()));
        let adapter: AdapterId = "clips".parse().unwrap();

        // Act
        give(load_version(5, "v2")).unwrap();
        let old = give(load_version(4, "v1"));
        give(order(6, OrderKind::LoadAdapter { adapter: adapter.clone() })).unwrap();

        // Assert
        let report = block_on(fixture.endpoint.load_report(fixture.limit())).unwrap();
        assert_eq!(report.version, version(expected));
        assert_eq!(report.adapters, [adapter]);
        let old_kind = old.map_err(|error| error.kind());
        assert_eq!(old_kind, if checks { Err(EndpointErrorKind::Fenced) } else { Ok(()) });
    }
}

/// Guards against a run that changes its version or is cut when the version is swapped.
#[test]
fn run_keeps_its_version_across_a_swap() {
    // Arrange
    let fixture = start_engine(fast_config().token_time_ms(10).swap_ms(20));
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 50));
    let mut texts = read_tokens(&fixture, &mut *stream, 1);

    // Act
    block_on(fixture.endpoint.order(&load_version(1, "v2"), fixture.limit())).unwrap();
    texts.extend(read_tokens(&fixture, &mut *stream, 49));

    // Assert
    assert_eq!(texts, expected_answer("hello", 50));
    let error = fixture.run(&fixture.request("r2", "hello", 5)).unwrap_err();
    assert_eq!(error.kind(), EndpointErrorKind::WrongVersion);
}

/// Guards against listings, events or blocks that differ between engine and client, and against
/// imported blocks that are not used.
#[test]
fn blocks_move_between_engines() {
    // Arrange
    let [source, target] = [start_engine(fast_config()), start_engine(fast_config())];
    let prompt = "x".repeat(256 * 3);
    let chain = block_hash_chain(salt_of("org-a", "v1"), prompt.as_bytes());
    let expected = source.run(&source.request("r1", &prompt, 5)).unwrap();

    // Act
    let events = block_on(source.endpoint.cache_events(1, source.limit())).unwrap();
    let listing = block_on(source.endpoint.block_listing(source.limit())).unwrap();
    for block in &chain {
        let exported = block_on(source.endpoint.export_block(*block, source.limit())).unwrap();
        block_on(target.endpoint.import_block(&exported, target.limit())).unwrap();
    }

    // Assert
    let sequences: Vec<u64> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!((sequences, listing.sequence), (vec![2, 3], 3));
    let mut listed = listing.blocks;
    listed.sort_by_key(|listed| listed.position_blocks);
    let listed: Vec<_> = listed.iter().map(|listed| listed.block).collect();
    assert_eq!(listed, chain);
    assert_eq!(target.run(&target.request("r2", &prompt, 5)).unwrap(), expected);
    assert_eq!(target.engine.with_core(|core, _| core.stats().cached_prompt_tokens), 192);
}

/// Guards against a torn block that the client or the engine accepts.
#[test]
fn torn_blocks_are_refused() {
    // Arrange
    let fixture = start_faulty_engine(Faults { torn_block_probability: 1.0, ..Faults::default() });
    let prompt = "x".repeat(256);
    let block = block_hash_chain(salt_of("org-a", "v1"), prompt.as_bytes())[0];
    fixture.run(&fixture.request("r1", &prompt, 1)).unwrap();
    let mut torn = ChecksummedBlock::new(block, 1, vec![1; 100]);
    torn.payload[50] = 0;

    // Act
    let exported = block_on(fixture.endpoint.export_block(block, fixture.limit())).unwrap_err();
    let imported = block_on(fixture.endpoint.import_block(&torn, fixture.limit())).unwrap_err();
    let at_engine = fixture.engine.with_core(|core, now| core.import_block(torn.clone(), now));

    // Assert
    assert_eq!(exported.kind(), EndpointErrorKind::Block);
    assert_eq!(imported.kind(), EndpointErrorKind::Block);
    assert!(!at_engine);
}

/// Guards against a missing block that is reported as a broken endpoint.
#[test]
fn missing_block_is_reported_as_such() {
    // Arrange
    let fixture = start_engine(fast_config());
    let block = block_hash_chain(salt_of("org-a", "v1"), &[0; 256])[0];

    // Act
    let error = block_on(fixture.endpoint.export_block(block, fixture.limit())).unwrap_err();

    // Assert
    assert_eq!(error.kind(), EndpointErrorKind::Block);
}

/// Guards against a run state other than `not run` for an endpoint that cannot be reached.
#[test]
fn unreachable_endpoint_ran_nothing() {
    // Arrange: an address on which nothing listens.
    let fixture = start_engine(fast_config());
    let address = "127.255.255.254:9".parse().unwrap();
    let clock = Arc::clone(&fixture.clock);
    let id = "clip-2".parse().unwrap();
    let client = HttpEndpoint::new(id, address, ClientConfig::default(), clock);

    // Act
    let request = fixture.request("r1", "hello", 1);
    let result = block_on(client.generate(&request)).map(|_| ());

    // Assert
    let error = result.unwrap_err();
    assert_eq!(
        (error.kind(), error.run_state()),
        (EndpointErrorKind::Unreachable, RunState::NotRun)
    );
}

/// Guards against an engine that ignores a deadline while its client stays connected.
#[test]
fn engine_ends_a_run_at_its_deadline() {
    // Arrange: a request whose deadline header is shorter than the time its client waits.
    let fixture = start_engine(fast_config().token_time_ms(20));
    let config = ClientConfig::default();
    let client = HttpClient::new(fixture.server.address, config, Arc::clone(&fixture.clock));
    let mut request = client.request(Method::Post, "/v1/completions");
    request.insert_header("x-request-deadline-ms", "1");
    request.set_body(r#"{"prompt": "hello", "max_tokens": 100000}"#);

    // Act
    let exchange = block_on(client.send(request, ConnectionChoice::New, fixture.limit())).unwrap();
    let (_, bytes) = block_on(exchange.read_body(1 << 20, fixture.limit())).unwrap();

    // Assert
    assert!(!String::from_utf8(bytes).unwrap().contains("[DONE]"));
    fixture.wait_until(|engine| engine.with_core(|core, _| core.stats().cancelled_runs == 1));
}

/// Guards against withholding a complete answer because its connection then goes silent.
#[test]
fn silence_after_the_end_does_not_delay_the_answer() {
    // Arrange: an engine that sends the last event but never ends the body.
    let fixture = start_engine(fast_config());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 1]).unwrap();
        let event = "id: r1/1/0\ndata: [DONE]\n\n";
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        write!(stream, "{head}{:x}\r\n{event}\r\n", event.len()).unwrap();
        stream
    });
    let id = "clip-2".parse().unwrap();
    let clock = Arc::clone(&fixture.clock);
    let endpoint = HttpEndpoint::new(id, address, ClientConfig::default(), clock);
    let mut stream = block_on(endpoint.generate(&fixture.request("r1", "x", 0))).unwrap();
    let _connection = server.join().unwrap();

    // Act
    let limit = std::time::Duration::from_millis(LIMIT_MS);
    let event = block_on(async_std::future::timeout(limit, stream.next(Deadline::NEVER)));

    // Assert
    let event = event.expect("the last event is withheld").unwrap();
    assert_eq!(event, StreamEvent::Done { length_tokens: Tokens::ZERO });
}

/// Guards against streams that look complete although the crash of a cold engine cut them.
#[test]
fn overloaded_cold_engine_cuts_all_streams() {
    // Arrange
    let cold = EngineConfig::default().cold_requests(1).starts_cold(true).warm_up_ms(LIMIT_MS);
    let fixture = start_engine(cold.token_time_ms(20));
    let mut stream = open(&fixture, &fixture.request("r1", "hello", 100_000));

    // Act
    let error = fixture.run(&fixture.request("r2", "hello", 5)).unwrap_err();

    // Assert
    assert_eq!(error.run_state(), RunState::Unknown);
    let failure = read_until_error(&fixture, &mut *stream);
    assert_eq!(failure, (EndpointErrorKind::Connection, RunState::Ran));
    assert_eq!(started_runs(&fixture), 1);
}

/// Guards against a set of faults that cannot be switched off again.
#[test]
fn faults_can_be_switched_while_the_engine_runs() {
    // Arrange
    let fixture = start_faulty_engine(Faults { silent_probability: 1.0, ..Faults::default() });

    // Act
    let none = FaultCommand { set: Some(Faults::default()), actions: Vec::new() };
    fixture.engine.apply_fault_command(none);

    // Assert
    let texts = fixture.run(&fixture.request("r1", "hello", 5)).unwrap();
    assert_eq!(texts, expected_answer("hello", 5));
}
