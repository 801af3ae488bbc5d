//! Measures what a node adds to the path between a caller and an engine.
//!
//! `scripts/measure-path` starts an engine stand-in and a node and runs this program.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_std::task::{self, block_on};
use clap::Parser;
use http_types::{Method, Request};
use serde_json::json;
use yuccapass_endpoints::{SseReader, headers};
use yuccapass_http::{ClientConfig, ConnectionChoice, Exchange, HttpClient};
use yuccapass_types::{Deadline, MonotonicClock};

/// Clock ticks per second of the times in `/proc/<pid>/stat`: 100 on all usual Linux systems.
const TICKS_PER_S: f64 = 100.0;

/// Bytes of a memory page, the unit of `/proc/<pid>/statm`.
const PAGE_BYTES: u64 = 4096;

#[derive(Debug, Parser)]
struct Arguments {
    /// Address of the engine stand-in.
    #[arg(long)]
    engine: SocketAddr,
    /// Address for callers of the node.
    #[arg(long)]
    node: SocketAddr,
    /// Process id of the node.
    #[arg(long)]
    node_pid: u32,
    /// Bearer key of an approved organisation.
    #[arg(long)]
    key: String,
    /// Model name.
    #[arg(long, default_value = "clip-models")]
    model: String,
    /// Requests of each kind for the time to first token.
    #[arg(long, default_value_t = 1000)]
    requests: usize,
    /// Concurrent streams for the throughput.
    #[arg(long, default_value_t = 64)]
    streams: usize,
    /// Tokens of each of these streams.
    #[arg(long, default_value_t = 5000)]
    stream_tokens: u64,
}

fn main() {
    let arguments = Arguments::parse();
    let clock = Arc::new(MonotonicClock::new());
    let config = || ClientConfig::default().max_idle_connections(4096);
    let engine = HttpClient::new(arguments.engine, config(), clock.clone());
    let node = HttpClient::new(arguments.node, config(), clock);
    println!("resident memory of an idle node: {} KiB", resident_bytes(&arguments) / 1024);
    measure_first_token(&arguments, &engine, &node);
    measure_throughput(&arguments, &node);
    measure_memory(&arguments, &node);
}

/// Compares the time to first token with and without the node; requests go to both alternately,
/// in one run.
fn measure_first_token(arguments: &Arguments, engine: &Arc<HttpClient>, node: &Arc<HttpClient>) {
    let mut direct_us = Vec::new();
    let mut through_us = Vec::new();
    for _ in 0..arguments.requests {
        direct_us.push(block_on(first_token_us(engine, arguments)));
        through_us.push(block_on(first_token_us(node, arguments)));
    }
    for quantile in [0.5, 0.95] {
        let (direct, through) =
            (value_at(&mut direct_us, quantile), value_at(&mut through_us, quantile));
        println!(
            "time to first token p{:.0}: direct {direct} us, through the node {through} us, added \
             {} us",
            quantile * 100.0,
            through.saturating_sub(direct)
        );
    }
}

async fn first_token_us(client: &Arc<HttpClient>, arguments: &Arguments) -> u64 {
    let start = Instant::now();
    let mut exchange = open(client, arguments, 1).await;
    let mut events = SseReader::new(exchange.response_mut().take_body());
    events.next().await.expect("the stream is readable").expect("there is a token");
    let elapsed_us = start.elapsed().as_micros() as u64;
    while events.next().await.expect("the stream is readable").is_some() {}
    exchange.finish();
    elapsed_us
}

/// Measures the node's throughput and processor time over concurrent streams.
fn measure_throughput(arguments: &Arguments, node: &Arc<HttpClient>) {
    let cpu_before_s = cpu_seconds(arguments);
    let start = Instant::now();
    let tasks: Vec<_> = (0..arguments.streams)
        .map(|_| {
            let exchange = block_on(open(node, arguments, arguments.stream_tokens));
            task::spawn(count_events(exchange))
        })
        .collect();
    let events: u64 = tasks.into_iter().map(block_on).sum();
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = cpu_seconds(arguments) - cpu_before_s;
    println!(
        "{} streams: {events} events in {elapsed_s:.2} s, {cpu_s:.2} s of the node's processor time, \
         {:.0} tokens per core and second",
        arguments.streams,
        events as f64 / cpu_s
    );
}

async fn count_events(mut exchange: Exchange) -> u64 {
    let mut events = SseReader::new(exchange.response_mut().take_body());
    let mut count = 0;
    while events.next().await.expect("the stream is readable").is_some() {
        count += 1;
    }
    count
}

/// Measures the node's resident memory at several numbers of open streams.
fn measure_memory(arguments: &Arguments, node: &Arc<HttpClient>) {
    let mut open_streams = Vec::new();
    for target in [0, 200, 400, 800] {
        while open_streams.len() < target {
            open_streams.push(block_on(open(node, arguments, 1_000_000)));
        }
        println!("{target} open streams: {} KiB resident", resident_bytes(arguments) / 1024);
    }
}

async fn open(client: &Arc<HttpClient>, arguments: &Arguments, tokens: u64) -> Exchange {
    let request = request(client, arguments, tokens);
    let exchange = client
        .send(request, ConnectionChoice::Reuse, Deadline::NEVER)
        .await
        .expect("the request can be sent");
    assert!(exchange.response().status().is_success(), "{}", exchange.response().status());
    exchange
}

fn request(client: &HttpClient, arguments: &Arguments, tokens: u64) -> Request {
    let mut request = client.request(Method::Post, "/v1/chat/completions");
    request.insert_header("authorization", format!("Bearer {}", arguments.key));
    request.insert_header(headers::REQUEST_ID, "direct-1");
    request.insert_header(headers::ATTEMPT, "1");
    request.set_body(json!({
        "model": arguments.model,
        "messages": [{"role": "user", "content": "Are these clips sound?"}],
        "max_tokens": tokens,
        "stream": true,
    }));
    request
}

fn value_at(values: &mut [u64], quantile: f64) -> u64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * quantile) as usize]
}

fn resident_bytes(arguments: &Arguments) -> u64 {
    let path = format!("/proc/{}/statm", arguments.node_pid);
    let text = std::fs::read_to_string(path).expect("the node runs");
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("statm has a resident size") * PAGE_BYTES
}

fn cpu_seconds(arguments: &Arguments) -> f64 {
    let path = format!("/proc/{}/stat", arguments.node_pid);
    let text = std::fs::read_to_string(path).expect("the node runs");
    // The program name in parentheses may contain spaces; user and system time are the 12th and
    // 13th fields after it.
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
    ticks as f64 / TICKS_PER_S
}
