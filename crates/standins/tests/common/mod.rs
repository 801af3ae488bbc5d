//! Fixtures: stand-ins in the test's process, on free loopback ports.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant as StdInstant};

use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use serde_json::json;
use yuccapass_endpoints::{
    EndpointError, GenerateRequest, HttpEndpoint, ModelEndpoint, StreamEvent,
};
use yuccapass_http::{ClientConfig, ServerConfig, StopController, StopSignal, serve, stop_pair};
use yuccapass_openai::Api;
use yuccapass_standins::engine::{Engine, EngineConfig, FaultAction, FaultCommand, Faults};
use yuccapass_types::{CacheSalt, Clock, Deadline, MonotonicClock, Tokens, WeightVersion};

/// Limit of every call and wait; generous, so that a busy machine fails no test.
pub const LIMIT_MS: u64 = 30_000;

/// A server that stops accepting when the test ends.
pub struct Server {
    pub address: SocketAddr,
    _controller: StopController,
}

/// Serves an application on a free loopback port.
pub fn start_server<S: Clone + Send + Sync + 'static>(app: tide::Server<S>) -> Server {
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let (controller, stop): (StopController, StopSignal) = stop_pair();
    let config = ServerConfig::new(|_| (503, "{}".to_owned()));
    task::spawn(serve(listener, app, config, stop));
    Server { address, _controller: controller }
}

/// A stand-in engine and a client of it.
pub struct EngineFixture {
    pub engine: Arc<Engine>,
    pub endpoint: Arc<HttpEndpoint>,
    pub clock: Arc<dyn Clock>,
    pub server: Server,
}

pub fn start_engine(config: EngineConfig) -> EngineFixture {
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let engine = Engine::start(config, Arc::clone(&clock));
    let server = start_server(yuccapass_standins::engine::build_app(Arc::clone(&engine)));
    let id = "clip-1".parse().unwrap();
    let client_config = ClientConfig::default().connect_timeout_ms(LIMIT_MS);
    let endpoint = HttpEndpoint::new(id, server.address, client_config, Arc::clone(&clock));
    EngineFixture { engine, endpoint: Arc::new(endpoint), clock, server }
}

/// Starts an engine with these faults that prefills and decodes without noticeable delay.
pub fn start_faulty_engine(faults: Faults) -> EngineFixture {
    start_engine(fast_config().faults(faults))
}

/// Returns settings without noticeable prefill and decode time.
pub fn fast_config() -> EngineConfig {
    EngineConfig::default().token_time_ms(0).prefill_rate("1000000000 tokens/s".parse().unwrap())
}

impl EngineFixture {
    pub fn limit(&self) -> Deadline {
        self.after_ms(LIMIT_MS)
    }

    pub fn after_ms(&self, ms: u64) -> Deadline {
        Deadline::after_ms(self.clock.now(), ms)
    }

    pub fn trigger_fault(&self, action: FaultAction) {
        self.engine.apply_fault_command(FaultCommand { set: None, actions: vec![action] });
    }

    pub fn request(&self, request_id: &str, prompt: &str, tokens: u64) -> GenerateRequest {
        let body = json!({"prompt": prompt, "max_tokens": tokens, "stream": true}).to_string();
        GenerateRequest {
            request_id: request_id.parse().unwrap(),
            attempt: 1,
            api: Api::Completions,
            body: body.into_bytes().into(),
            priority: 0,
            deadline: self.limit(),
            salt: salt_of("org-a", "v1"),
            version: version("v1"),
            adapter: None,
            resume_offset_tokens: Tokens::ZERO,
            needs_new_connection: false,
        }
    }

    /// Runs a request to its end; returns the texts of its tokens.
    pub fn run(&self, request: &GenerateRequest) -> Result<Vec<String>, EndpointError> {
        block_on(async {
            let mut stream = self.endpoint.generate(request).await?;
            let mut texts = Vec::new();
            loop {
                match stream.next(request.deadline).await? {
                    StreamEvent::Token { json, .. } => texts.push(token_text(&json)),
                    StreamEvent::Done { .. } => return Ok(texts),
                    StreamEvent::Mismatched => {}
                }
            }
        })
    }

    /// Waits until a condition on the engine holds; fails after [`LIMIT_MS`].
    pub fn wait_until(&self, condition: impl Fn(&Engine) -> bool) {
        wait_until(|| condition(&self.engine));
    }
}

pub fn wait_until(condition: impl Fn() -> bool) {
    let start = StdInstant::now();
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_millis(LIMIT_MS),
            "the condition did not hold within {LIMIT_MS} ms"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn token_text(json: &[u8]) -> String {
    let chunk: serde_json::Value = serde_json::from_slice(json).unwrap();
    chunk["choices"][0]["text"].as_str().unwrap().trim_end().to_owned()
}

pub fn salt_of(organisation: &str, weight_version: &str) -> CacheSalt {
    let organisation = organisation.parse().unwrap();
    CacheSalt::derive(
        &organisation,
        &"clip-models".parse().unwrap(),
        &version(weight_version),
        None,
    )
}

pub fn version(name: &str) -> WeightVersion {
    name.parse().unwrap()
}
