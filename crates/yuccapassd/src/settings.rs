//! Flags and environment variables, validated at start.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::gateway::GatewaySettings;
use clap::{Parser, Subcommand, ValueEnum};
use log::LevelFilter;
use smol_str::{SmolStr, format_smolstr};
use snafu::Snafu;
use yuccapass_decisions::routing::placement::{
    CostPolicy, LeastLoadedPolicy, PlacementPolicy, RandomPolicy, RoundRobinPolicy,
};
use yuccapass_types::{KeyHash, NodeId, ZoneId};

/// Maximum of most duration settings: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;

/// The command line of the daemon.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "yuccapassd",
    version,
    about = "Serves model requests on an entry VM.",
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
pub struct Invocation {
    /// A front end other than the one for model requests.
    #[command(subcommand)]
    pub front: Option<Front>,

    /// Settings of the front end for model requests.
    #[command(flatten)]
    pub settings: Option<Settings>,
}

/// A front end with settings of its own.
#[derive(Debug, Clone, Subcommand)]
pub enum Front {
    /// Forwards requests to replicated services by routes that operators set on a platform.
    Gateway(Box<GatewaySettings>),
}

/// Settings of the daemon. Each flag can also be given as an environment variable.
#[derive(Debug, Clone, Parser)]
#[command(name = "yuccapassd", version, about = "Serves model requests on an entry VM.")]
pub struct Settings {
    /// Validate the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Name of this node slot; one process at a time runs under it.
    #[arg(long, env = "YUCCAPASS_NODE_ID")]
    pub node_id: NodeId,

    /// Availability zone of this VM.
    #[arg(long, env = "YUCCAPASS_ZONE")]
    pub zone: ZoneId,

    /// Address for callers.
    #[arg(long, env = "YUCCAPASS_CALLER_ADDRESS", default_value = "127.0.0.1:8080")]
    pub caller_address: SocketAddr,

    /// Address for operators, health checks and metrics.
    #[arg(long, env = "YUCCAPASS_ADMIN_ADDRESS", default_value = "127.0.0.1:8081")]
    pub admin_address: SocketAddr,

    /// Address for messages from other nodes; others must reach it as it is written here.
    #[arg(long, env = "YUCCAPASS_PEER_ADDRESS", default_value = "127.0.0.1:8082")]
    pub peer_address: SocketAddr,

    /// Addresses of other nodes to start with, for messages between nodes, separated by commas.
    #[arg(long, env = "YUCCAPASS_SEEDS", value_delimiter = ',')]
    pub seeds: Vec<SocketAddr>,

    /// Addresses of the platform's key-value service and VM list, separated by commas.
    #[arg(long, env = "YUCCAPASS_PLATFORM", value_delimiter = ',')]
    pub platform: Vec<SocketAddr>,

    /// BLAKE3 hashes of the operators' bearer keys, separated by commas; without any, no command is
    /// accepted.
    #[arg(long, env = "YUCCAPASS_OPERATOR_KEY_HASHES", value_delimiter = ',')]
    pub operator_key_hashes: Vec<KeyHash>,

    /// How long an idempotency key is remembered, in milliseconds; the same on all nodes.
    #[arg(long, env = "YUCCAPASS_LEDGER_WINDOW_MS", default_value_t = 900_000)]
    pub ledger_window_ms: u64,

    /// How long after its vote a request with an idempotency key may be sent, in milliseconds; the
    /// same on all nodes.
    #[arg(long, env = "YUCCAPASS_LEDGER_SEND_WITHIN_MS", default_value_t = 30_000)]
    pub ledger_send_within_ms: u64,

    /// JSON file with the configuration to start with, until a newer one is known.
    #[arg(long, env = "YUCCAPASS_CONFIGURATION_FILE")]
    pub configuration_file: Option<PathBuf>,

    /// Least severe log level: off, error, warn, info, debug or trace.
    #[arg(long, env = "YUCCAPASS_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,

    /// Largest request body, in bytes.
    #[arg(long, env = "YUCCAPASS_MAX_BODY_BYTES", default_value_t = 4 << 20)]
    pub max_body_bytes: usize,

    /// Longest prompt, in bytes.
    #[arg(long, env = "YUCCAPASS_MAX_PROMPT_BYTES", default_value_t = 2 << 20)]
    pub max_prompt_bytes: usize,

    /// Most open connections from callers.
    #[arg(long, env = "YUCCAPASS_MAX_CONNECTIONS", default_value_t = 10_000)]
    pub max_connections: usize,

    /// Deadline of a request that names none, in milliseconds.
    #[arg(long, env = "YUCCAPASS_DEFAULT_DEADLINE_MS", default_value_t = 120_000)]
    pub default_deadline_ms: u64,

    /// Longest deadline that a request may ask for, in milliseconds.
    #[arg(long, env = "YUCCAPASS_MAX_DEADLINE_MS", default_value_t = 600_000)]
    pub max_deadline_ms: u64,

    /// Most organisations that get metric labels of their own; others are counted together.
    #[arg(long, env = "YUCCAPASS_MAX_ORGANISATION_LABELS", default_value_t = 200)]
    pub max_organisation_labels: usize,

    /// How endpoints are chosen; all but `cost` are baselines for comparison.
    #[arg(long, env = "YUCCAPASS_PLACEMENT", default_value = "cost")]
    pub placement: PlacementChoice,

    /// How long a stopping node still accepts requests, so that the balancer can notice, in
    /// milliseconds.
    #[arg(long, env = "YUCCAPASS_STOP_GRACE_MS", default_value_t = 5_000)]
    pub stop_grace_ms: u64,

    /// How long a stream may be silent before its connection is given up, in milliseconds.
    #[arg(long, env = "YUCCAPASS_STALL_TIMEOUT_MS", default_value_t = 10_000)]
    pub stall_timeout_ms: u64,

    /// How long the running requests of a replica may take to end in a rollout, in milliseconds.
    #[arg(long, env = "YUCCAPASS_ROLLOUT_DRAIN_LIMIT_MS", default_value_t = 900_000)]
    pub rollout_drain_limit_ms: u64,

    /// How long a replica may take to load in a rollout, and to come up, in milliseconds.
    #[arg(long, env = "YUCCAPASS_ROLLOUT_LOAD_LIMIT_MS", default_value_t = 120_000)]
    pub rollout_load_limit_ms: u64,
}

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum PlacementChoice {
    /// By expected time to first token.
    Cost,
    /// At random.
    Random,
    /// In turns.
    RoundRobin,
    /// The one with the fewest requests.
    LeastLoaded,
}

impl PlacementChoice {
    pub(crate) fn policy(self) -> Box<dyn PlacementPolicy> {
        match self {
            Self::Cost => Box::new(CostPolicy::default()),
            Self::Random => Box::new(RandomPolicy),
            Self::RoundRobin => Box::new(RoundRobinPolicy::default()),
            Self::LeastLoaded => Box::new(LeastLoadedPolicy),
        }
    }
}

/// Reports a setting that is out of bounds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("--{setting} is {value}, but it must be {bound}"))]
pub struct InvalidSetting {
    setting: &'static str,
    value: SmolStr,
    bound: SmolStr,
}

impl Settings {
    /// Returns the numeric settings with their values and bounds, in the order of the flags.
    pub fn bounds(&self) -> Vec<SettingBound> {
        let bound = |setting, value, min, max| SettingBound { setting, value, min, max };
        vec![
            bound("ledger-window-ms", self.ledger_window_ms, 1_000, 24 * MAX_DURATION_MS),
            bound("ledger-send-within-ms", self.ledger_send_within_ms, 100, MAX_DURATION_MS),
            bound("max-body-bytes", self.max_body_bytes as u64, 1 << 10, 64 << 20),
            bound("max-prompt-bytes", self.max_prompt_bytes as u64, 1, 64 << 20),
            bound("max-connections", self.max_connections as u64, 1, 1_000_000),
            bound("default-deadline-ms", self.default_deadline_ms, 1, MAX_DURATION_MS),
            bound("max-deadline-ms", self.max_deadline_ms, 1, MAX_DURATION_MS),
            bound("max-organisation-labels", self.max_organisation_labels as u64, 1, 100_000),
            bound("stop-grace-ms", self.stop_grace_ms, 0, MAX_DURATION_MS),
            bound("stall-timeout-ms", self.stall_timeout_ms, 10, MAX_DURATION_MS),
            bound("rollout-drain-limit-ms", self.rollout_drain_limit_ms, 1_000, MAX_DURATION_MS),
            bound("rollout-load-limit-ms", self.rollout_load_limit_ms, 1_000, MAX_DURATION_MS),
        ]
    }

    /// Checks the settings against their bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.bounds().iter().try_for_each(SettingBound::check)?;
        let max = self.max_deadline_ms;
        let default = self.default_deadline_ms;
        SettingBound { setting: "default-deadline-ms", value: default, min: 1, max }.check()
    }
}

/// A numeric setting with its inclusive bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingBound {
    /// Name of the flag without its dashes.
    pub setting: &'static str,
    /// The value.
    pub value: u64,
    /// The smallest value.
    pub min: u64,
    /// The largest value.
    pub max: u64,
}

impl SettingBound {
    fn check(&self) -> Result<(), InvalidSetting> {
        if (self.min..=self.max).contains(&self.value) {
            return Ok(());
        }
        let bound = format_smolstr!("from {} to {}", self.min, self.max);
        let value = format_smolstr!("{}", self.value);
        Err(InvalidSetting { setting: self.setting, value, bound })
    }
}
