//! Fixtures: daemons and stand-ins as separate processes on loopback addresses.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant as StdInstant};

use async_std::task::block_on;
use http_types::{Method, Request};
use serde_json::{Value, json};
use yuccapass_endpoints::{HttpEndpoint, SseReader};
use yuccapass_http::{ClientConfig, ConnectionChoice, Exchange, HttpClient};
use yuccapass_types::{Deadline, KeyHash, MonotonicClock};

/// Timeout for a process to listen, and for other conditions; long, since the machine may be busy.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A process that is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn spawn(program: &str, arguments: &[String]) -> Self {
        let child = Command::new(program_path(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {program}: {error}"));
        Self { child }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process exits; returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program of the workspace, relative to that of the test program.
fn program_path(name: &str) -> PathBuf {
    let mut directory = std::env::current_exe().unwrap();
    directory.pop();
    directory.pop();
    directory.join(name)
}

/// Returns a loopback address that no other test uses; the host part is derived from the process
/// id.
pub fn loopback_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let id = std::process::id();
    let host = Ipv4Addr::new(127, 1 + (id >> 16) as u8 % 250, (id >> 8) as u8, id as u8);
    SocketAddr::new(IpAddr::V4(host), NEXT_PORT.fetch_add(1, Ordering::Relaxed))
}

/// Waits until something listens on an address.
pub fn wait_listening(address: SocketAddr) {
    let start = StdInstant::now();
    while TcpStream::connect(address).is_err() {
        assert!(start.elapsed() < START_TIMEOUT, "nothing listens on {address}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a node reports that it is ready.
pub fn wait_ready(admin_address: SocketAddr) {
    let client = client(admin_address);
    let start = StdInstant::now();
    loop {
        let exchange = send(&client, client.request(Method::Get, "/readyz"));
        if exchange.response().status().is_success() {
            return;
        }
        assert!(start.elapsed() < START_TIMEOUT, "the node at {admin_address} is not ready");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A stand-in for an endpoint, platform, store or service, as a separate process.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
}

/// Starts a stand-in for an endpoint and waits until it listens.
pub fn start_engine(flags: &[&str]) -> Standin {
    start_standin("engine", flags)
}

/// Starts a stand-in of a kind and waits until it listens.
pub fn start_standin(kind: &str, flags: &[&str]) -> Standin {
    let address = loopback_address();
    let mut arguments = to_strings(&[kind, "--address"]);
    arguments.push(address.to_string());
    arguments.extend(to_strings(flags));
    let process = Process::spawn("yuccapass-standin", &arguments);
    wait_listening(address);
    Standin { process, address }
}

/// A daemon as a separate process.
pub struct NodeProcess {
    pub process: Process,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
}

/// The processes of a deployment and their flags.
#[derive(Default)]
pub struct DeploymentSpec<'a> {
    pub engines: usize,
    pub engine_flags: &'a [&'a str],
    pub nodes: usize,
    pub node_flags: &'a [&'a str],
    pub has_platform: bool,
    pub has_service: bool,
    /// Number of VMs of the model's store; with 0 the model has no store.
    pub stores: usize,
}

/// Daemons, endpoints, a platform and a plain service, as separate processes.
pub struct Deployment {
    pub engines: Vec<Standin>,
    pub nodes: Vec<NodeProcess>,
    pub platform: Option<Standin>,
    pub service: Option<Standin>,
    pub stores: Vec<Standin>,
    _configuration: ConfigurationFile,
}

impl Deployment {
    /// Returns a client of a node's address for callers.
    pub fn caller(&self, node: usize) -> Arc<HttpClient> {
        client(self.nodes[node].caller_address)
    }

    /// Returns the sum of a counter over all endpoints.
    pub fn engine_count(&self, name: &str) -> u64 {
        self.engines.iter().map(|engine| engine_count(engine.address, name)).sum()
    }

    /// Waits until the sum of a counter over all endpoints has a value.
    pub fn wait_engine_count(&self, name: &str, value: u64) {
        let what = format!("{name} does not become {value}");
        wait_until(&what, || self.engine_count(name) == value);
    }
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = StdInstant::now();
    while !condition() {
        assert!(start.elapsed() < START_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The key of the organisation that is approved for model `clip-models`.
pub const APPROVED_KEY: &str = "key-approved";

/// The key of an organisation that is approved for nothing.
pub const UNAPPROVED_KEY: &str = "key-unapproved";

/// The key of an operator.
pub const OPERATOR_KEY: &str = "key-operator";

/// Starts one engine and one node, each with extra flags.
pub fn start_deployment(engine_flags: &[&str], node_flags: &[&str]) -> Deployment {
    start_deployment_of(1, engine_flags, node_flags)
}

/// Starts several engines with the same extra flags, and one node with its own.
pub fn start_deployment_of(
    engines: usize,
    engine_flags: &[&str],
    node_flags: &[&str],
) -> Deployment {
    start(&DeploymentSpec {
        engines,
        engine_flags,
        nodes: 1,
        node_flags,
        ..DeploymentSpec::default()
    })
}

/// Starts all processes of a deployment; all nodes are voters of one zone.
pub fn start(spec: &DeploymentSpec<'_>) -> Deployment {
    let engines: Vec<Standin> =
        (0..spec.engines).map(|_| start_engine(spec.engine_flags)).collect();
    let platform = spec.has_platform.then(|| start_standin("platform", &[]));
    let service = spec.has_service.then(|| start_standin("service", &[]));
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let peers: Vec<SocketAddr> = (0..spec.nodes).map(|_| loopback_address()).collect();
    let service_address = service.as_ref().map(|service| service.address);
    let stores: Vec<Standin> = (0..spec.stores).map(|_| start_standin("store", &[])).collect();
    let mut document = document(&addresses, &peers, service_address);
    add_store(&mut document, &stores);
    let configuration = ConfigurationFile::write(&document);
    let platform_address = platform.as_ref().map(|platform: &Standin| platform.address);
    let nodes: Vec<NodeProcess> = (0..spec.nodes)
        .map(|number| start_node(number, &peers, platform_address, &configuration, spec.node_flags))
        .collect();
    nodes.iter().for_each(|node| wait_ready(node.admin_address));
    Deployment { engines, nodes, platform, service, stores, _configuration: configuration }
}

fn start_node(
    number: usize,
    peers: &[SocketAddr],
    platform: Option<SocketAddr>,
    configuration: &ConfigurationFile,
    flags: &[&str],
) -> NodeProcess {
    let (caller_address, admin_address) = (loopback_address(), loopback_address());
    let mut arguments = to_strings(&["--zone", "burnaby-yard"]);
    arguments.push(format!("--node-id=node-{number}"));
    arguments.push(format!("--caller-address={caller_address}"));
    arguments.push(format!("--admin-address={admin_address}"));
    arguments.push(format!("--peer-address={}", peers[number]));
    arguments.push(format!("--configuration-file={}", configuration.path.display()));
    arguments.push(format!("--operator-key-hashes={}", KeyHash::of_key(OPERATOR_KEY)));
    let seeds: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    arguments.push(format!("--seeds={}", seeds.join(",")));
    arguments.extend(platform.map(|address| format!("--platform={address}")));
    arguments.extend(to_strings(flags));
    let process = Process::spawn("yuccapassd", &arguments);
    [caller_address, admin_address, peers[number]].into_iter().for_each(wait_listening);
    NodeProcess { process, caller_address, admin_address, peer_address: peers[number] }
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn document(
    engine_addresses: &[SocketAddr],
    peers: &[SocketAddr],
    service: Option<SocketAddr>,
) -> Value {
    let voter = |(number, address): (usize, &SocketAddr)| json!({"id": format!("node-{number}"), "address": address});
    let endpoint = |(number, address): (usize, &SocketAddr)| {
        json!({
            "id": format!("clip-{number}"), "model": "clip-models", "zone": "burnaby-yard",
            "address": address, "checks_fencing": true, "leaving": false, "cold_requests": 2,
        })
    };
    let organisation = |id: &str, key: &str, models: &[&str], services: &[&str]| {
        json!({
            "id": id, "key_hashes": [KeyHash::of_key(key)], "models": models, "services": services,
            "share": 1, "limit_tokens_per_s": "1000000 tokens/s",
        })
    };
    let approved_services: &[&str] = if service.is_some() { &["yard-ledger"] } else { &[] };
    json!({
        "revision": "1",
        "zones": [
            {
                "id": "burnaby-yard", "region": "lower-mainland", "state": "in",
                "voters": peers.iter().enumerate().map(voter).collect::<Vec<_>>(),
            },
        ],
        "classes": [],
        "models": [{
            "id": "clip-models", "version": "v1", "adapter": null, "store": null,
            "max_swapping_replicas": 3,
        }],
        "endpoints": engine_addresses.iter().enumerate().map(endpoint).collect::<Vec<_>>(),
        "services": service
            .map(|address| json!({
                "id": "yard-ledger", "zone": "burnaby-yard", "addresses": [address],
            }))
            .into_iter()
            .collect::<Vec<_>>(),
        "organisations": [
            organisation("org-approved", APPROVED_KEY, &["clip-models"], approved_services),
            organisation("org-unapproved", UNAPPROVED_KEY, &[], &[]),
        ],
    })
}

/// Gives the model a store and approves a second organisation for it.
fn add_store(document: &mut Value, stores: &[Standin]) {
    if stores.is_empty() {
        return;
    }
    let addresses: Vec<SocketAddr> = stores.iter().map(|store| store.address).collect();
    document["stores"] =
        json!([{"id": "manifest-cache", "zone": "burnaby-yard", "addresses": addresses}]);
    document["models"][0]["store"] = json!("manifest-cache");
    document["organisations"][1]["models"] = json!(["clip-models"]);
}

struct ConfigurationFile {
    path: PathBuf,
}

impl ConfigurationFile {
    fn write(document: &Value) -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("yuccapass-test-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, document.to_string()).unwrap();
        Self { path }
    }
}

impl Drop for ConfigurationFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns a client without a timeout; a test that hangs has to be ended by its runner.
pub fn client(address: SocketAddr) -> Arc<HttpClient> {
    HttpClient::new(address, ClientConfig::default(), Arc::new(MonotonicClock::new()))
}

/// Creates a chat request with a short prompt.
pub fn chat_request(client: &HttpClient, key: &str, tokens: u64, stream: bool) -> Request {
    chat_request_with(client, key, "Are these clips sound?", tokens, stream)
}

/// Creates a chat request.
pub fn chat_request_with(
    client: &HttpClient,
    key: &str,
    prompt: &str,
    tokens: u64,
    stream: bool,
) -> Request {
    let mut request = client.request(Method::Post, "/v1/chat/completions");
    request.insert_header("authorization", format!("Bearer {key}"));
    request.set_body(json!({
        "model": "clip-models",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }));
    request
}

/// Sends a request over a new connection.
pub fn send(client: &Arc<HttpClient>, request: Request) -> Exchange {
    block_on(client.send(request, ConnectionChoice::New, Deadline::NEVER)).unwrap()
}

/// Reads a JSON body.
pub fn read_json(exchange: Exchange) -> Value {
    let (_, bytes) = block_on(exchange.read_body(1 << 20, Deadline::NEVER)).unwrap();
    serde_json::from_slice(&bytes).unwrap()
}

/// Sends a statement of the command language to a node; returns the answer.
pub fn run_command(admin_address: SocketAddr, command: &str, id: &str) -> Value {
    let client = client(admin_address);
    let mut request = client.request(Method::Post, "/operators/commands");
    request.insert_header("authorization", format!("Bearer {OPERATOR_KEY}"));
    request.set_body(json!({"command": command, "command_id": id}));
    read_json(send(&client, request))
}

/// Reads a metric without labels; returns 0 if it has no value yet.
pub fn metric(admin_address: SocketAddr, name: &str) -> f64 {
    let client = client(admin_address);
    let exchange = send(&client, client.request(Method::Get, "/metrics"));
    let (_, bytes) = block_on(exchange.read_body(8 << 20, Deadline::NEVER)).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or_default()
}

/// Sends a fault command to a stand-in.
pub fn post_faults(engine_address: SocketAddr, command: Value) {
    let client = client(engine_address);
    let mut request = client.request(Method::Post, "/faults");
    request.set_body(command);
    assert!(send(&client, request).response().status().is_success());
}

/// Reads an event stream to its end; returns the texts of all tokens, and whether it ended with
/// `[DONE]`.
pub fn read_stream(exchange: &mut Exchange) -> (Vec<String>, bool) {
    let mut events = SseReader::new(exchange.response_mut().take_body());
    let mut texts = Vec::new();
    let mut is_done = false;
    while let Some(event) = block_on(events.next()).unwrap() {
        if event.data == b"[DONE]" {
            is_done = true;
            continue;
        }
        let chunk: Value = serde_json::from_slice(&event.data).unwrap();
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        texts.push(text.unwrap_or_default().to_owned());
    }
    (texts, is_done)
}

/// Reads a counter of an engine.
pub fn engine_count(engine_address: SocketAddr, name: &str) -> u64 {
    let client = client(engine_address);
    let request = client.request(Method::Get, "/stats");
    read_json(send(&client, request))[name].as_u64().unwrap()
}

/// Asserts that each token of an answer arrived once and in order.
pub fn assert_complete(texts: &[String], tokens: usize) {
    assert_eq!(texts.len(), tokens);
    for (offset, text) in texts.iter().enumerate() {
        assert!(text.trim_end().ends_with(&format!(".{offset}")), "{text} at {offset}");
    }
}

/// Creates a client of an engine, of the kind that nodes use.
pub fn engine_client(address: SocketAddr) -> HttpEndpoint {
    let clock = Arc::new(MonotonicClock::new());
    HttpEndpoint::new("clip-0".parse().unwrap(), address, ClientConfig::default(), clock)
}
