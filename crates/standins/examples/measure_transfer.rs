//! Compares prompts that are sent again with and without a store for cached blocks.
//!
//! `scripts/measure-transfer` starts two nodes with an engine stand-in each, one of them with a
//! store, and runs this program. Prompts go to both nodes alternately, in one run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_std::task::block_on;
use clap::Parser;
use http_types::Method;
use serde_json::{Value, json};
use yuccapass_endpoints::SseReader;
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_types::{Deadline, MonotonicClock};

#[derive(Debug, Parser)]
struct Arguments {
    /// Caller addresses of the node with the store and of the one without.
    #[arg(long, num_args = 2)]
    nodes: Vec<SocketAddr>,
    /// Addresses of their engines.
    #[arg(long, num_args = 2)]
    engines: Vec<SocketAddr>,
    /// Bearer key of an approved organisation.
    #[arg(long)]
    key: String,
    /// Number of different prompts; together they exceed the engines' caches.
    #[arg(long, default_value_t = 30)]
    prompts: usize,
    /// Length of a prompt in whole blocks of 256 bytes.
    #[arg(long, default_value_t = 40)]
    blocks: usize,
    /// How often each prompt is sent again.
    #[arg(long, default_value_t = 3)]
    returns: usize,
}

/// One of the two variants, with or without a store: a node, its engine and the times to first
/// token of prompts that were sent again.
struct Variant {
    node: Arc<HttpClient>,
    engine: Arc<HttpClient>,
    first_token_us: Vec<u64>,
    /// The engine's prompt tokens and cached prompt tokens before the prompts are sent again.
    tokens_before: (u64, u64),
}

fn main() {
    let arguments = Arguments::parse();
    let clock = Arc::new(MonotonicClock::new());
    let connect = |address| HttpClient::new(address, ClientConfig::default(), clock.clone());
    let addresses = arguments.nodes.iter().zip(&arguments.engines);
    let mut variants: Vec<Variant> = addresses
        .map(|(&node, &engine)| Variant {
            node: connect(node),
            engine: connect(engine),
            first_token_us: Vec::new(),
            tokens_before: (0, 0),
        })
        .collect();
    for round in 0..=arguments.returns {
        for number in 0..arguments.prompts {
            for variant in &mut variants {
                let elapsed_us = first_token_us(&variant.node, &arguments, number);
                if round > 0 {
                    variant.first_token_us.push(elapsed_us);
                }
            }
        }
        if round == 0 {
            variants
                .iter_mut()
                .for_each(|variant| variant.tokens_before = engine_tokens(&variant.engine));
        }
    }
    report(&mut variants);
}

fn report(variants: &mut [Variant]) {
    let rows: Vec<[f64; 3]> = variants
        .iter_mut()
        .map(|variant| {
            let (prompt, cached) = engine_tokens(&variant.engine);
            let prompt = prompt - variant.tokens_before.0;
            let cached = cached - variant.tokens_before.1;
            let quantile_ms =
                |values: &mut Vec<u64>, quantile| value_at(values, quantile) as f64 / 1_000.0;
            let recomputed = 100.0 * (prompt - cached) as f64 / prompt as f64;
            [
                quantile_ms(&mut variant.first_token_us, 0.5),
                quantile_ms(&mut variant.first_token_us, 0.95),
                recomputed,
            ]
        })
        .collect();
    let names = ["time to first token p50, ms", "time to first token p95, ms", "recomputed, %"];
    for (row, name) in names.iter().enumerate() {
        let (with, without) = (rows[0][row], rows[1][row]);
        println!("{name}: with {with:.1}, without {without:.1}, ratio {:.2}", with / without);
    }
}

fn first_token_us(node: &Arc<HttpClient>, arguments: &Arguments, number: usize) -> u64 {
    let text = format!("manifest {number:06} ");
    let bytes = arguments.blocks * 256 + 50;
    let prompt = &text.repeat(bytes / text.len() + 1)[..bytes];
    let mut request = node.request(Method::Post, "/v1/chat/completions");
    request.insert_header("authorization", format!("Bearer {}", arguments.key));
    request.set_body(json!({
        "model": "clip-models", "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 4, "stream": true,
    }));
    block_on(async {
        let start = Instant::now();
        let sent = node.send(request, ConnectionChoice::Reuse, Deadline::NEVER).await;
        let mut exchange = sent.expect("the request can be sent");
        assert!(exchange.response().status().is_success(), "{}", exchange.response().status());
        let mut events = SseReader::new(exchange.response_mut().take_body());
        events.next().await.expect("the stream is readable").expect("there is a token");
        let elapsed_us = start.elapsed().as_micros() as u64;
        while events.next().await.expect("the stream is readable").is_some() {}
        exchange.finish();
        elapsed_us
    })
}

/// Returns the prompt tokens of the runs that an engine started, and those that were cached.
fn engine_tokens(engine: &Arc<HttpClient>) -> (u64, u64) {
    let request = engine.request(Method::Get, "/stats");
    block_on(async {
        let sent = engine.send(request, ConnectionChoice::New, Deadline::NEVER).await;
        let exchange = sent.expect("the request can be sent");
        let read = exchange.read_body(1 << 20, Deadline::NEVER).await;
        let (_, bytes) = read.expect("the counts are readable");
        let stats: Value = serde_json::from_slice(&bytes).expect("the counts are JSON");
        let count = |name: &str| stats[name].as_u64().expect("the count is a number");
        (count("prompt_tokens"), count("cached_prompt_tokens"))
    })
}

fn value_at(values: &mut [u64], quantile: f64) -> u64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * quantile).round() as usize]
}
