//! Measures how many tokens per second an engine streams over a number of connections.
//!
//! With `--mode raw` the responses are only scanned for the ends of events, which shows the
//! engine's limit; with `--mode client` they are read by the client that the daemon uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_std::task;
use clap::{Parser, ValueEnum};
use futures::AsyncReadExt;
use futures::future::try_join_all;
use http_types::{Error, Method};
use serde_json::json;
use yuccapass_endpoints::{GenerateRequest, HttpEndpoint, ModelEndpoint, StreamEvent};
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_openai::Api;
use yuccapass_types::{CacheSalt, Clock, Deadline, MonotonicClock, Tokens};

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Mode {
    Raw,
    Client,
}

/// Measures the token rate of a stand-in engine.
#[derive(Debug, Parser)]
struct Arguments {
    /// The engine, started with --token-time-ms 0.
    #[arg(long)]
    address: SocketAddr,
    /// Numbers of streams to measure, one after the other.
    #[arg(long, value_delimiter = ',', default_value = "1,16,64")]
    streams: Vec<u64>,
    /// Tokens over all streams of one measurement.
    #[arg(long, default_value_t = 2_000_000)]
    tokens: u64,
    /// How the responses are read.
    #[arg(long, value_enum, default_value = "raw")]
    mode: Mode,
}

fn main() -> Result<(), Error> {
    let arguments = Arguments::parse();
    for &streams in &arguments.streams {
        let tokens = arguments.tokens / streams;
        let start = Instant::now();
        let reads = (0..streams).map(|number| {
            task::spawn(read_stream(arguments.mode, arguments.address, number, tokens))
        });
        let read_tokens: u64 = task::block_on(try_join_all(reads))?.into_iter().sum();
        assert_eq!(read_tokens, tokens * streams, "an answer is incomplete");
        let rate = read_tokens as f64 / start.elapsed().as_secs_f64();
        println!("{:?} {streams} streams: {rate:.0} tokens/s", arguments.mode);
    }
    Ok(())
}

async fn read_stream(
    mode: Mode,
    address: SocketAddr,
    number: u64,
    tokens: u64,
) -> Result<u64, Error> {
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let body = json!({"prompt": format!("stream {number}"), "max_tokens": tokens}).to_string();
    match mode {
        Mode::Raw => read_raw(HttpClient::new(address, ClientConfig::default(), clock), body).await,
        Mode::Client => {
            let id = "engine".parse()?;
            let endpoint = HttpEndpoint::new(id, address, ClientConfig::default(), clock);
            read_events(&endpoint, body).await
        }
    }
}

/// Counts tokens by the blank lines that end their events; the last event, `[DONE]`, is not a
/// token.
async fn read_raw(client: Arc<HttpClient>, body: String) -> Result<u64, Error> {
    let mut request = client.request(Method::Post, Api::Completions.path());
    request.set_body(body);
    let mut exchange = client.send(request, ConnectionChoice::New, Deadline::NEVER).await?;
    let mut reader = exchange.response_mut().take_body();
    let (mut events, mut previous, mut buffer) = (0, 0, vec![0; 64 * 1024]);
    loop {
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(events - 1);
        }
        for &byte in &buffer[..count] {
            events += u64::from(byte == b'\n' && previous == b'\n');
            previous = byte;
        }
    }
}

/// Counts tokens as the daemon's client reads them.
async fn read_events(endpoint: &HttpEndpoint, body: String) -> Result<u64, Error> {
    let request = GenerateRequest {
        request_id: "rate".parse()?,
        attempt: 1,
        api: Api::Completions,
        body: body.into_bytes().into(),
        priority: 0,
        deadline: Deadline::NEVER,
        salt: "00000000000000000000000000000000".parse::<CacheSalt>()?,
        version: "v1".parse()?,
        adapter: None,
        resume_offset_tokens: Tokens::ZERO,
        needs_new_connection: true,
    };
    let mut stream = endpoint.generate(&request).await?;
    let mut tokens = 0;
    loop {
        match stream.next(Deadline::NEVER).await? {
            StreamEvent::Token { .. } => tokens += 1,
            StreamEvent::Done { .. } => return Ok(tokens),
            StreamEvent::Mismatched => {}
        }
    }
}
