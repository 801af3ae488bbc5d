//! The gateway subcommand: settings, start and graceful stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;

use async_signal::{Signal, Signals};
use clap::Args;
use futures::StreamExt;
use futures::future::{Either, select};
use log::LevelFilter;
use smol_str::SmolStr;
use snafu::Snafu;
use yuccapass_decisions::gateway::version_rollout::RolloutLimits;
use yuccapass_decisions::gateway::{ConnectionShares, RetryLimits, SwapLimits};
use yuccapass_decisions::platform_budget::FleetRates;
use yuccapass_gateway::{
    AnswerLimits, BootClock, GatewayNode, GatewayOptions, ProcessLimits, RequestQueue,
};
use yuccapass_platform::PlatformClientConfig;
use yuccapass_types::{
    Bytes, Clock, Incarnation, NodeId, RegionId, RequestsPerSecond, SortedMap, TrafficShare, ZoneId,
};

/// Maximum interval between probes of the platform during an outage, so that keys are confirmed
/// again soon after it recovers.
const MAX_PROBE_MS: u64 = 400;

/// Timeout of an attempt of a platform call, after which the call is repeated.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// A zone with its region, written as `ZONE=REGION`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRegion {
    zone: ZoneId,
    region: RegionId,
}

/// Reports a text that is not of the form `ZONE=REGION`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not ZONE=REGION"))]
pub struct InvalidZoneRegion {
    text: SmolStr,
}

impl FromStr for ZoneRegion {
    type Err = InvalidZoneRegion;

    fn from_str(text: &str) -> Result<Self, InvalidZoneRegion> {
        let invalid = || InvalidZoneRegion { text: SmolStr::new(text) };
        let (zone, region) = text.split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            zone: zone.parse().map_err(|_| invalid())?,
            region: region.parse().map_err(|_| invalid())?,
        })
    }
}

/// A setting that deployments without the feature leave empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrDefault<T>(Option<T>);

impl<T> OrDefault<T> {
    fn or(self, default: T) -> T {
        self.0.unwrap_or(default)
    }
}

impl<T: FromStr> FromStr for OrDefault<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, T::Err> {
        match text.trim() {
            "" => Ok(Self(None)),
            text => text.parse().map(|value| Self(Some(value))),
        }
    }
}

/// Settings of the gateway. Each flag can also be given as an environment variable.
#[derive(Debug, Clone, Args)]
pub struct GatewaySettings {
    /// Validate the settings and exit.
    #[arg(long)]
    pub check: bool,

    /// Name of this node.
    #[arg(long, env = "YUCCAPASS_NODE_ID")]
    pub node_id: NodeId,

    /// Availability zone of this VM.
    #[arg(long, env = "YUCCAPASS_ZONE")]
    pub zone: ZoneId,

    /// The zones of the deployment as ZONE=REGION, separated by commas.
    #[arg(long, env = "YUCCAPASS_ZONES", value_delimiter = ',')]
    pub zones: Vec<ZoneRegion>,

    /// Address for callers.
    #[arg(long, env = "YUCCAPASS_CALLER_ADDRESS")]
    pub caller_address: SocketAddr,

    /// Address for readiness and metrics.
    #[arg(long, env = "YUCCAPASS_ADMIN_ADDRESS")]
    pub admin_address: SocketAddr,

    /// Address for other nodes of the zone, which pass changes on to each other. Without it, this
    /// node reads all changes from the platform and the stores itself.
    #[arg(long, env = "YUCCAPASS_PEER_ADDRESS")]
    pub peer_address: Option<SocketAddr>,

    /// Address of the platform's key-value service.
    #[arg(long, env = "YUCCAPASS_PLATFORM")]
    pub platform: SocketAddr,

    /// Read calls a second that all nodes together may make to the platform.
    #[arg(long, env = "YUCCAPASS_PLATFORM_READS_PER_S", default_value_t = 2_000)]
    pub platform_reads_per_s: u64,

    /// Write calls a second that all nodes together may make to the platform.
    #[arg(long, env = "YUCCAPASS_PLATFORM_WRITES_PER_S", default_value_t = 300)]
    pub platform_writes_per_s: u64,

    /// Whether requests with a key are refused while it cannot be confirmed that the key is valid.
    #[arg(long, env = "YUCCAPASS_FAIL_CLOSED", default_value_t = true, action = clap::ArgAction::Set)]
    pub fail_closed: bool,

    /// Longest time for which a revoked key may still work, in milliseconds.
    #[arg(long, env = "YUCCAPASS_REVOKE_BOUND_MS", default_value_t = 5_000)]
    pub revoke_bound_ms: u64,

    /// Longest time after an accepted configuration for which requests that it keeps in certain regions may
    /// still be sent to others, in milliseconds. Such requests are refused by a node that could not confirm
    /// its configuration within this time.
    #[arg(long, env = "YUCCAPASS_APPLY_BOUND_MS", default_value_t = 5_000)]
    pub apply_bound_ms: u64,

    /// Retries to a service that all nodes together may make for each request of the window.
    #[arg(long, env = "YUCCAPASS_RETRY_RATIO", default_value_t = 0.2)]
    pub retry_ratio: f64,

    /// Retries to a service that all nodes together may make in a window without requests.
    #[arg(long, env = "YUCCAPASS_RETRY_SLACK", default_value_t = 50.0)]
    pub retry_slack: f64,

    /// Length of the window for retries, in seconds.
    #[arg(long, env = "YUCCAPASS_RETRY_WINDOW_S", default_value_t = 10.0)]
    pub retry_window_s: f64,

    /// Time from a stop signal after which the process is killed, in seconds.
    #[arg(long, env = "YUCCAPASS_STOP_LIMIT_S", default_value_t = 8.0)]
    pub stop_limit_s: f64,

    /// Minimum time from the last order of one swap leader to the first order of the next, in
    /// milliseconds.
    #[arg(long, env = "YUCCAPASS_ORDER_LEASE_MS", default_value_t = 3_000)]
    pub order_lease_ms: u64,

    /// Time after new target weights were named from which no request may start on older ones, in
    /// milliseconds.
    #[arg(long, env = "YUCCAPASS_WEIGHTS_BOUND_MS", default_value_t = 10_000)]
    pub weights_bound_ms: u64,

    /// One out of this many endpoints of a model may swap weights at a time.
    #[arg(long, env = "YUCCAPASS_ENDPOINTS_PER_SWAP", default_value_t = 3)]
    pub endpoints_per_swap: u32,

    /// Time without an acknowledgement after which a connection to an endpoint is given up, in
    /// milliseconds. A sound endpoint may be silent for a second or so.
    #[arg(long, env = "YUCCAPASS_SILENCE_MS", default_value_t = 2_500)]
    pub silence_ms: u64,

    /// Most bytes in the head of an endpoint's answer.
    #[arg(long, env = "YUCCAPASS_MAX_ANSWER_HEAD_BYTES", default_value_t = 65_536)]
    pub max_answer_head_bytes: usize,

    /// Most bytes in an endpoint's answer that is not a stream.
    #[arg(long, env = "YUCCAPASS_MAX_ANSWER_BYTES", default_value_t = 4_194_304)]
    pub max_answer_bytes: usize,

    /// Most bytes in all answers together that are buffered before they are forwarded.
    #[arg(long, env = "YUCCAPASS_MAX_BUFFERED_ANSWER_BYTES", default_value_t = 33_554_432)]
    pub max_buffered_answer_bytes: usize,

    /// Most open connections from callers; by default 5 in 8 of the descriptors for sockets, or 3000 if
    /// --max-descriptors is not given.
    #[arg(long, env = "YUCCAPASS_MAX_CONNECTIONS")]
    pub max_connections: Option<usize>,

    /// Features of the platform that the deployment uses, separated by commas.
    #[arg(long, env = "YUCCAPASS_CONTRACTS", value_delimiter = ',')]
    pub contracts: Vec<SmolStr>,

    /// Share of the requests of a roll-out's time that a bad version may get; 0.1 if it is empty.
    #[arg(long, env = "YUCCAPASS_EXPOSE_SHARE", default_value = "")]
    pub expose_share: OrDefault<TrafficShare>,

    /// Requests that a bad version may get in addition; 50 if it is empty.
    #[arg(long, env = "YUCCAPASS_EXPOSE_SLACK", default_value = "")]
    pub expose_slack: OrDefault<f64>,

    /// Time after its 50th bad answer from which a bad version must get nothing more, in milliseconds;
    /// 5000 if it is empty.
    #[arg(long, env = "YUCCAPASS_ROLLBACK_MS", default_value = "")]
    pub rollback_ms: OrDefault<f64>,

    /// Memory that the platform allows this process, in megabytes.
    #[arg(long, env = "YUCCAPASS_MEMORY_MB")]
    pub memory_mb: Option<u64>,

    /// Open file descriptors that the platform allows this process.
    #[arg(long, env = "YUCCAPASS_MAX_DESCRIPTORS")]
    pub max_descriptors: Option<u32>,

    /// For which services requests wait here until an engine can start them: auto (those whose endpoints
    /// report how fast they are or crash if they run out of memory), on (all services of engines) or
    /// off.
    #[arg(long, env = "YUCCAPASS_REQUEST_QUEUE", default_value_t = RequestQueue::Off)]
    pub request_queue: RequestQueue,

    /// Least severe log level: off, error, warn, info, debug or trace.
    #[arg(long, env = "YUCCAPASS_LOG_LEVEL", default_value = "info")]
    pub log_level: LevelFilter,
}

/// Reports a gateway setting that is out of bounds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("--{setting} is {value}, but it must be {bound}"))]
pub struct InvalidGatewaySetting {
    setting: &'static str,
    value: SmolStr,
    bound: &'static str,
}

impl GatewaySettings {
    /// Checks the settings against their bounds.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of bounds.
    pub fn validate(&self) -> Result<(), InvalidGatewaySetting> {
        let fail = |setting, value: &dyn std::fmt::Display, bound| {
            Err(InvalidGatewaySetting {
                setting,
                value: smol_str::format_smolstr!("{value}"),
                bound,
            })
        };
        let is_ratio = |value: f64| (0.0..=1.0).contains(&value);
        let is_valid_duration = |seconds: f64| (0.1..=3_600.0).contains(&seconds);
        if !self.zones.iter().any(|known| known.zone == self.zone) {
            return fail("zone", &self.zone, "one of --zones");
        }
        if self.platform_reads_per_s == 0 {
            return fail("platform-reads-per-s", &0, "at least 1");
        }
        if self.platform_writes_per_s == 0 {
            return fail("platform-writes-per-s", &0, "at least 1");
        }
        if !(500..=3_600_000).contains(&self.revoke_bound_ms) {
            return fail("revoke-bound-ms", &self.revoke_bound_ms, "from 500 to 3600000");
        }
        if !(1_500..=3_600_000).contains(&self.apply_bound_ms) {
            return fail("apply-bound-ms", &self.apply_bound_ms, "from 1500 to 3600000");
        }
        if !is_ratio(self.retry_ratio) {
            return fail("retry-ratio", &self.retry_ratio, "from 0 to 1");
        }
        if !(0.0..=1e6).contains(&self.retry_slack) {
            return fail("retry-slack", &self.retry_slack, "from 0 to 1000000");
        }
        if !is_valid_duration(self.retry_window_s) {
            return fail("retry-window-s", &self.retry_window_s, "from 0.1 to 3600");
        }
        if !is_valid_duration(self.stop_limit_s) {
            return fail("stop-limit-s", &self.stop_limit_s, "from 0.1 to 3600");
        }
        if self.endpoints_per_swap == 0 {
            return fail("endpoints-per-swap", &0, "at least 1");
        }
        if !(100..=60_000).contains(&self.silence_ms) {
            return fail("silence-ms", &self.silence_ms, "from 100 to 60000");
        }
        if self.max_answer_head_bytes < 1_024 {
            return fail("max-answer-head-bytes", &self.max_answer_head_bytes, "at least 1024");
        }
        if self.max_answer_bytes < 1_024 {
            return fail("max-answer-bytes", &self.max_answer_bytes, "at least 1024");
        }
        if self.max_buffered_answer_bytes < self.max_answer_bytes {
            let bound = "at least --max-answer-bytes";
            return fail("max-buffered-answer-bytes", &self.max_buffered_answer_bytes, bound);
        }
        let limits = self.rollout_limits();
        if !(0.0..=1e6).contains(&limits.expose_slack) {
            return fail("expose-slack", &limits.expose_slack, "from 0 to 1000000");
        }
        if !(1_000..=3_600_000).contains(&limits.rollback_ms) {
            return fail("rollback-ms", &limits.rollback_ms, "from 1000 to 3600000");
        }
        if self.max_connections == Some(0) {
            return fail("max-connections", &0, "at least 1");
        }
        Ok(())
    }

    fn rollout_limits(&self) -> RolloutLimits {
        let default = RolloutLimits::default();
        RolloutLimits {
            expose_share: self.expose_share.or(default.expose_share),
            expose_slack: self.expose_slack.or(default.expose_slack),
            rollback_ms: self.rollback_ms.or(default.rollback_ms as f64) as u64,
        }
    }

    fn options(&self) -> GatewayOptions {
        let zones: SortedMap<ZoneId, RegionId> =
            self.zones.iter().map(|known| (known.zone.clone(), known.region.clone())).collect();
        GatewayOptions {
            node: self.node_id.clone(),
            incarnation: Incarnation::new(rand::random()),
            zone: self.zone.clone(),
            zones,
            caller_address: self.caller_address,
            readiness_address: self.admin_address,
            peer_address: self.peer_address,
            is_fail_closed: self.fail_closed,
            revoke_bound_ms: self.revoke_bound_ms,
            apply_bound_ms: self.apply_bound_ms,
            retry_limits: RetryLimits {
                ratio: self.retry_ratio,
                slack: self.retry_slack,
                window_ms: (self.retry_window_s * 1_000.0) as u64,
            },
            stop_limit_ms: (self.stop_limit_s * 1_000.0) as u64,
            swap_limits: SwapLimits {
                endpoints_per_swap: self.endpoints_per_swap,
                takeover_ms: self.order_lease_ms,
                bound_ms: self.weights_bound_ms,
            },
            silence_ms: self.silence_ms,
            answer_limits: AnswerLimits {
                head_bytes: self.max_answer_head_bytes,
                body_bytes: self.max_answer_bytes,
                buffered_bytes: self.max_buffered_answer_bytes,
            },
            max_connections: self
                .max_connections
                .unwrap_or_else(|| ConnectionShares::new(self.max_descriptors).callers),
            capabilities: yuccapass_entry::capabilities(&self.contracts),
            rollout_limits: self.rollout_limits(),
            process_limits: ProcessLimits {
                memory: self.memory_mb.map(|mb| Bytes::new(mb << 20)),
                descriptors: self.max_descriptors,
            },
            request_queue: self.request_queue,
        }
    }
}

/// Runs the gateway until a stop signal.
pub async fn run(settings: GatewaySettings) -> ExitCode {
    let mut signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            log::error!(error:%; "cannot install signal handlers");
            return ExitCode::FAILURE;
        }
    };
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
    let rates = FleetRates::new(
        RequestsPerSecond::new(settings.platform_reads_per_s),
        RequestsPerSecond::new(settings.platform_writes_per_s),
    );
    let client_config = PlatformClientConfig::new(1, rand::random())
        .rates(rates)
        .attempt_timeout_ms(CALL_TIMEOUT_MS)
        .max_probe_ms(MAX_PROBE_MS);
    let adapter = yuccapass_entry::adapter(settings.platform, &client_config, &clock);
    let node = match GatewayNode::start(settings.options(), adapter, clock).await {
        Ok(node) => node,
        Err(error) => {
            log::error!(error:%; "cannot start the gateway");
            return ExitCode::FAILURE;
        }
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                log::info!("settings are read at start only; nothing was reloaded");
            }
            Ok(signal) => {
                log::info!(signal:? = signal; "stopping gracefully");
                break;
            }
            Err(error) => log::warn!(error:%; "cannot read a signal"),
        }
    }
    let stopping = Box::pin(node.stop());
    let interrupted = Box::pin(async {
        while let Some(signal) = signals.next().await {
            if !matches!(signal, Ok(Signal::Hup)) {
                return;
            }
        }
    });
    match select(stopping, interrupted).await {
        Either::Left(_) => ExitCode::SUCCESS,
        Either::Right(_) => {
            log::warn!("a second signal ends the process at once");
            ExitCode::FAILURE
        }
    }
}
