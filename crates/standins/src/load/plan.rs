//! A deployment scaled to one machine: what to start, and the configuration to start it with.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yuccapass_types::{KeyHash, ModelId, TokensPerSecond};

use super::workload::{Preset, Workload};

/// Requests that an engine runs at once.
const MAX_RUNNING_REQUESTS: u64 = 16;

/// Settings of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanConfig {
    /// The preset that sets its zones, models and organisations.
    pub preset: Preset,
    /// Nodes in each zone.
    pub nodes_per_zone: u32,
    /// Engines of the chat model in each zone.
    pub engines_per_zone: u32,
    /// First port; a node takes three consecutive ports, every other process one.
    pub base_port: u16,
    /// Prefill rate of an engine.
    pub prefill_rate: TokensPerSecond,
    /// Decode time of one token of a stream.
    pub token_time_ms: u64,
    /// Blocks in the cache of an engine.
    pub cache_capacity_blocks: u64,
    /// Value of the nodes' `--placement` flag, which selects how they choose endpoints.
    pub placement: String,
}

/// A model engine of a planned deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedEngine {
    /// Its name.
    pub name: String,
    /// The model.
    pub model: ModelId,
    /// The zone.
    pub zone: String,
    /// The address.
    pub address: SocketAddr,
}

/// A node of a planned deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedNode {
    /// Its name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
}

/// A planned deployment with the addresses of its processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// The preset that sets its zones, models and organisations.
    pub preset: Preset,
    /// Model engines.
    pub engines: Vec<PlannedEngine>,
    /// Nodes.
    pub nodes: Vec<PlannedNode>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the plain service.
    pub service: SocketAddr,
    /// Rate that the engines sustain if nothing is cached, in thousandths of a request per second.
    pub capacity_mrps: u64,
}

impl Deployment {
    /// Returns all addresses by name; a node's admin address is `<name>.admin`.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let engines = self.engines.iter().map(|engine| (engine.name.clone(), engine.address));
        let nodes = self.nodes.iter().flat_map(|node| {
            [(node.name.clone(), node.address), (format!("{}.admin", node.name), node.admin)]
        });
        let others = [("platform", self.platform), ("service", self.service)];
        let others = others.map(|(name, address)| (name.to_owned(), address));
        engines.chain(nodes).chain(others).collect()
    }
}

/// Bearer key of the operators of a planned deployment.
const OPERATOR_KEY: &str = "operator-key";

/// How long the nodes remember an idempotency key. This exceeds the resend delays of all presets,
/// and is short enough that voters, which abstain for about this long after their start, soon vote.
const LEDGER_WINDOW_MS: u64 = 20_000;

/// How long after the vote on its idempotency key a request may be sent to an endpoint.
const LEDGER_SEND_WITHIN_MS: u64 = 5_000;

/// Returns the three zones of a preset with their regions; the first two share a region.
fn zones(preset: Preset) -> [(&'static str, &'static str); 3] {
    match preset {
        Preset::Society => [
            ("burnaby-yard", "lower-mainland"),
            ("surrey-yard", "lower-mainland"),
            ("kamloops-yard", "interior"),
        ],
        Preset::Association => {
            [("brum-jq", "west-mids"), ("wolves-ring", "west-mids"), ("notts-lace", "east-mids")]
        }
    }
}

/// Plans a deployment: names its processes and assigns their addresses.
pub fn plan(config: &PlanConfig) -> Deployment {
    let workload = Workload::preset(config.preset);
    let mut ports = config.base_port..;
    let mut next_address = || {
        let port = ports.next().expect("an open range does not end");
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
    };
    let (platform, service) = (next_address(), next_address());
    let mut engines = Vec::new();
    let mut nodes = Vec::new();
    for (zone, _) in zones(config.preset) {
        let chat = (0..config.engines_per_zone).map(|_| &workload.chat_model);
        for model in chat.chain([&workload.ledger_model]) {
            let name = format!("{model}-{zone}-{}", engines.len());
            engines.push(PlannedEngine {
                name,
                model: model.clone(),
                zone: zone.to_owned(),
                address: next_address(),
            });
        }
        for number in 0..config.nodes_per_zone {
            nodes.push(PlannedNode {
                name: format!("node-{zone}-{number}"),
                zone: zone.to_owned(),
                address: next_address(),
                admin: next_address(),
                peer: next_address(),
            });
        }
    }
    let capacity_mrps = (capacity_per_s(config, &workload) * 1000.0) as u64;
    Deployment { preset: config.preset, engines, nodes, platform, service, capacity_mrps }
}

/// Returns the request rate at which the chat model's engines are saturated, either by prefill
/// without any cached block or by the number of running requests; the ledger model's engines
/// sustain more.
fn capacity_per_s(config: &PlanConfig, workload: &Workload) -> f64 {
    let engines = f64::from(config.engines_per_zone * 3);
    let prefill_per_s = config.prefill_rate.get() as f64 / workload.first_prompt_tokens();
    let answer_ms = workload.answer_tokens.mean() * config.token_time_ms as f64;
    let decode_per_s = MAX_RUNNING_REQUESTS as f64 * 1000.0 / answer_ms.max(1.0);
    let chat_share = 1.0 - f64::from(workload.ledger_percent) / 100.0;
    engines * prefill_per_s.min(decode_per_s) / chat_share
}

/// Returns the configuration document that all nodes of a deployment start with.
pub fn configuration(deployment: &Deployment) -> Value {
    let workload = Workload::preset(deployment.preset);
    let mut zones = zones(deployment.preset);
    zones.sort_unstable();
    let zones = zones.map(|(id, region)| {
        // All nodes are voters; they are already sorted by name, as the document requires.
        let nodes = deployment.nodes.iter().filter(|node| node.zone == id);
        let voters = nodes.map(|node| json!({"id": node.name, "address": node.peer}));
        let voters: Vec<Value> = voters.collect();
        json!({"id": id, "region": region, "state": "in", "voters": voters})
    });
    let mut classes: Vec<_> = workload.classes.iter().collect();
    classes.sort_by(|a, b| a.id.cmp(&b.id));
    let classes: Vec<_> =
        classes.iter().map(|class| json!({"id": class.id, "priority": class.priority})).collect();
    let mut engines: Vec<_> = deployment.engines.iter().collect();
    engines.sort_by(|a, b| a.name.cmp(&b.name));
    let models = models(&workload);
    let model_ids: Vec<_> = models.iter().map(|model| model["id"].clone()).collect();
    let organisations = workload.organisations.iter().map(|organisation| {
        json!({
            "id": organisation.id, "key_hashes": [KeyHash::of_key(&organisation.key())],
            "models": model_ids, "services": [], "share": 1,
            "limit_tokens_per_s": "1000000000 tokens/s",
        })
    });
    json!({
        "revision": "1", "zones": zones, "classes": classes, "models": models,
        "endpoints": engines.into_iter().map(endpoint).collect::<Vec<_>>(), "services": [],
        "organisations": organisations.collect::<Vec<_>>(),
    })
}

fn models(workload: &Workload) -> Vec<Value> {
    let mut ids = [&workload.chat_model, &workload.ledger_model];
    ids.sort();
    let model = |id: &ModelId| json!({"id": id, "version": "v1", "adapter": null, "store": null, "max_swapping_replicas": 3});
    ids.into_iter().map(model).collect()
}

fn endpoint(engine: &PlannedEngine) -> Value {
    json!({
        "id": engine.name, "model": engine.model, "zone": engine.zone, "address": engine.address,
        "checks_fencing": true, "leaving": false, "cold_requests": 2,
    })
}

/// Returns a line for each process: name, address that it listens on, program and arguments,
/// separated by tabs. Nodes come last, since they read the engines' state when they start.
pub fn processes(config: &PlanConfig, deployment: &Deployment, configuration: &str) -> String {
    let mut out = String::new();
    let mut add = |name: &str, address: SocketAddr, program: &str, arguments: String| {
        out.push_str(&format!("{name}\t{address}\t{program}\t{arguments}\n"));
    };
    let platform = deployment.platform;
    add("platform", platform, "yuccapass-standin", format!("platform --address {platform}"));
    let service = deployment.service;
    add("service", service, "yuccapass-standin", format!("service --address {service}"));
    for (seed, engine) in (1..).zip(&deployment.engines) {
        add(
            &engine.name,
            engine.address,
            "yuccapass-standin",
            engine_arguments(config, engine, seed),
        );
    }
    let seeds: Vec<String> = deployment.nodes.iter().map(|node| node.peer.to_string()).collect();
    let seeds = seeds.join(",");
    let operator = KeyHash::of_key(OPERATOR_KEY);
    for node in &deployment.nodes {
        let arguments = format!(
            "--node-id {} --zone {} --caller-address {} --admin-address {} --placement {} \
             --configuration-file {configuration} --log-level warn --stop-grace-ms 1000 \
             --peer-address {} --seeds {seeds} --platform {platform} \
             --operator-key-hashes {operator} --ledger-window-ms {LEDGER_WINDOW_MS} \
             --ledger-send-within-ms {LEDGER_SEND_WITHIN_MS}",
            node.name, node.zone, node.address, node.admin, config.placement, node.peer
        );
        add(&node.name, node.admin, "yuccapassd", arguments);
    }
    out
}

fn engine_arguments(config: &PlanConfig, engine: &PlannedEngine, seed: u64) -> String {
    format!(
        "engine --address {} --seed {seed} --token-time-ms {} --prefill-tokens-per-s {} \
         --max-running-requests {MAX_RUNNING_REQUESTS} --cache-capacity-blocks {} \
         --load-lag-ms 200 --event-lag-ms 200 --cold-requests 2 --restart-ms 1000",
        engine.address,
        config.token_time_ms,
        config.prefill_rate.get(),
        config.cache_capacity_blocks
    )
}
