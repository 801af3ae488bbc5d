//! A running node, from start to graceful stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::channel::Receiver;
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use snafu::{ResultExt, Snafu};
use yuccapass_callers::app::RequestIdSource;
use yuccapass_callers::{CallerLimits, build_app, rejection_body};
use yuccapass_decisions::admission::limits::{LimitSettings, OrganisationLimits};
use yuccapass_decisions::config::{ActiveConfig, Document, InvalidDocument};
use yuccapass_decisions::ledger::LedgerConfig;
use yuccapass_decisions::membership::RowState;
use yuccapass_decisions::quorum::VoterConfig;
use yuccapass_decisions::retry::{RetryBudget, RetryBudgetSettings};
use yuccapass_decisions::routing::index::IndexSettings;
use yuccapass_http::{ServerConfig, StopController, StopSignal, serve, sleep_until, stop_pair};
use yuccapass_operators::{OperatorLimits, add_operator_routes};
use yuccapass_peers::{
    ListenerConfig, LocalNode, PeerTransport, Sender, TcpTransport, TransportConfig,
};
use yuccapass_platform::{
    HttpKeyValue, HttpVmList, PlatformClient, PlatformClientConfig, PlatformTransportConfig, VmList,
};
use yuccapass_types::{Clock, Deadline, Incarnation, ModelId, MonotonicClock, NodeId, RequestId};

use crate::admin::{self, AdminState};
use crate::admission::Admission;
use crate::commands::Commands;
use crate::configuration::Configuration;
use crate::crash_guard::SharedCrashGuard;
use crate::dispatcher;
use crate::endpoint_table::EndpointTable;
use crate::fleet::ledger::Ledger;
use crate::fleet::permits::Permits;
use crate::fleet::{
    ConfigurationFetcher, FleetHandler, Identity, Members, Votes, heartbeats, platform_watch,
    rollouts,
};
use crate::metrics::{Metrics, MetricsError};
use crate::monitor;
use crate::placer::Placer;
use crate::prefix_cache_view::PrefixCacheView;
use crate::request_handler::{CallerHandler, Core};
use crate::services::ServiceTable;
use crate::settings::Settings;
use crate::transfer::Transfer;

/// Reports why a node cannot start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum NodeError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
    /// The configuration file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadConfiguration {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The configuration file is not a valid document.
    #[snafu(display("{} is not a configuration: {source}", path.display()))]
    ParseConfiguration {
        /// The file.
        path: PathBuf,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// The configuration violates a rule.
    #[snafu(display("the configuration is not valid: {source}"))]
    InvalidConfiguration {
        /// The field, its value and the violated bound.
        source: InvalidDocument,
    },
}

/// A running node.
pub struct Node {
    settings: Settings,
    core: Arc<Core>,
    addresses: Addresses,
    stop: StopController,
    fleet_stop: StopController,
    caller_server: JoinHandle<()>,
    fleet_servers: [JoinHandle<()>; 2],
}

/// The addresses that a node listens on, with the ports that the system chose for port 0.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, NodeError> {
        Ok(Self {
            callers: listen(settings.caller_address).await?,
            admin: listen(settings.admin_address).await?,
            peers: listen(settings.peer_address).await?,
        })
    }

    fn addresses(&self, settings: &Settings) -> Addresses {
        Addresses {
            callers: self.callers.local_addr().unwrap_or(settings.caller_address),
            admin: self.admin.local_addr().unwrap_or(settings.admin_address),
            peers: self.peers.local_addr().unwrap_or(settings.peer_address),
        }
    }
}

/// The components of a node, from which its tasks and servers are started.
struct NodeComponents {
    core: Arc<Core>,
    fetcher: Arc<ConfigurationFetcher>,
    local_node: Arc<LocalNode>,
    transport: Arc<TcpTransport>,
    wakeups: Receiver<ModelId>,
    crash_signals: Receiver<()>,
}

impl Node {
    /// Starts a node that serves callers, operators and other nodes.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the configuration is not valid.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let config = load_configuration(&settings).await?;
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses(&settings);
        let components = NodeComponents::build(&settings, addresses, config)?;
        let (stop, stop_signal) = stop_pair();
        let (fleet_stop, fleet_signal) = stop_pair();
        let is_ready = Arc::new(AtomicBool::new(false));
        components.start_tasks(&settings, &is_ready);
        let admin_state = AdminState {
            stop: stop_signal.clone(),
            is_ready,
            metrics: Arc::clone(&components.core.metrics),
        };
        let caller_server = components.serve_callers(&settings, listeners.callers, stop_signal);
        let admin_server = components.serve_operators(
            &settings,
            listeners.admin,
            admin_state,
            fleet_signal.clone(),
        );
        let peer_server = components.serve_peers(listeners.peers, fleet_signal);
        log::info!(
            node = settings.node_id.as_str(),
            zone = settings.zone.as_str(),
            callers:% = addresses.callers,
            admin:% = addresses.admin,
            peers:% = addresses.peers,
            revision = components.core.configuration.revision().get();
            "the node has started"
        );
        Ok(Self {
            settings,
            core: components.core,
            addresses,
            stop,
            fleet_stop,
            caller_server,
            fleet_servers: [admin_server, peer_server],
        })
    }

    /// Returns the address for callers, with the port that the system chose if it was 0.
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses.admin
    }

    /// Returns the address for messages between nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Stops gracefully: reports not ready at once, accepts no requests after the grace period, and
    /// waits for running requests.
    pub async fn stop(self) {
        self.stop.drain();
        self.core.members.update(|table| table.set_state(RowState::Leaving));
        let clock = &self.core.clock;
        let grace = Deadline::after_ms(clock.now(), self.settings.stop_grace_ms);
        sleep_until(&**clock, grace).await;
        self.stop.close();
        self.caller_server.await;
        self.core.members.update(|table| table.set_state(RowState::Left));
        self.fleet_stop.close();
        for server in self.fleet_servers {
            server.await;
        }
        log::info!("the node has stopped");
    }
}

impl NodeComponents {
    fn build(
        settings: &Settings,
        addresses: Addresses,
        config: ActiveConfig,
    ) -> Result<Self, NodeError> {
        let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
        let identity = Identity {
            node: settings.node_id.clone(),
            incarnation: new_incarnation(),
            zone: settings.zone.clone(),
            peer_address: addresses.peers,
            admin_address: addresses.admin,
        };
        let metrics = Metrics::new(settings.max_organisation_labels).context(MetricsSnafu)?;
        let sender = Sender { node: identity.node.clone(), incarnation: identity.incarnation };
        let local_node = Arc::new(LocalNode::new(sender, Arc::clone(&clock)));
        metrics.observe_peers(&local_node);
        let transport =
            Arc::new(TcpTransport::new(Arc::clone(&local_node), TransportConfig::default()));
        let configuration = Arc::new(Configuration::new(config));
        let seeds = settings.seeds.clone();
        let members = Arc::new(Members::new(identity.clone(), seeds, Arc::clone(&clock)));
        let fetcher = Arc::new(ConfigurationFetcher {
            configuration: Arc::clone(&configuration),
            members: Arc::clone(&members),
            transport: Arc::clone(&transport) as Arc<dyn PeerTransport>,
            platform: platform_client(settings, &identity, &clock),
            clock: Arc::clone(&clock),
        });
        let (admission, wakeups) = Admission::new(Arc::clone(&clock));
        let (node, incarnation) = (identity.node.clone(), identity.incarnation);
        let (crash_guard, crash_signals) =
            SharedCrashGuard::new(node, incarnation, Arc::clone(&clock));
        let metrics = Arc::new(metrics);
        let crash_guard = Arc::new(crash_guard);
        let core = build_core(settings, &fetcher, &identity, metrics, admission, crash_guard);
        Ok(Self { core: Arc::new(core), fetcher, local_node, transport, wakeups, crash_signals })
    }

    fn start_tasks(&self, settings: &Settings, is_ready: &Arc<AtomicBool>) {
        let core = &self.core;
        task::spawn(dispatcher::dispatch(Arc::clone(core), self.wakeups.clone()));
        task::spawn(monitor::monitor_endpoints(Arc::clone(core), Arc::clone(is_ready)));
        task::spawn(Arc::clone(&core.permits).run_renewals());
        let (fetcher, transport) = (Arc::clone(&self.fetcher), Arc::clone(&self.transport));
        task::spawn(heartbeats::send_heartbeats(Arc::clone(core), fetcher, transport));
        let (fetcher, crash_signals) = (Arc::clone(&self.fetcher), self.crash_signals.clone());
        task::spawn(heartbeats::broadcast_crashes(Arc::clone(core), fetcher, crash_signals));
        task::spawn(heartbeats::retry_configuration_chunks(Arc::clone(&self.fetcher)));
        if let Some(platform) = &self.fetcher.platform {
            task::spawn(rollouts::run_rollouts(Arc::new(rollouts::Rollouts {
                core: Arc::clone(core),
                fetcher: Arc::clone(&self.fetcher),
                platform: Arc::clone(platform),
                drain_limit_ms: settings.rollout_drain_limit_ms,
                load_limit_ms: settings.rollout_load_limit_ms,
            })));
            let (fetcher, platform) = (Arc::clone(&self.fetcher), Arc::clone(platform));
            task::spawn(platform_watch::watch_configuration(fetcher, platform));
            let config = PlatformTransportConfig::new(settings.platform.clone());
            let vms: Arc<dyn VmList> = Arc::new(HttpVmList::new(&config, Arc::clone(&core.clock)));
            task::spawn(platform_watch::poll_vms(Arc::clone(core), vms));
        }
    }

    fn serve_callers(
        &self,
        settings: &Settings,
        listener: TcpListener,
        stop: StopSignal,
    ) -> JoinHandle<()> {
        let incarnation = self.core.members.identity().incarnation;
        let app = build_app(
            Arc::new(CallerHandler::new(Arc::clone(&self.core))),
            caller_limits(settings),
            Arc::clone(&self.core.clock),
            request_ids(&settings.node_id, incarnation),
        );
        let config = ServerConfig::new(rejection_body).max_connections(settings.max_connections);
        task::spawn(serve(listener, app, config, stop))
    }

    fn serve_operators(
        &self,
        settings: &Settings,
        listener: TcpListener,
        state: AdminState,
        stop: StopSignal,
    ) -> JoinHandle<()> {
        let mut app = admin::build_app(state);
        let commands = Commands {
            core: Arc::clone(&self.core),
            fetcher: Arc::clone(&self.fetcher),
            platform: self.fetcher.platform.clone(),
        };
        add_operator_routes(
            &mut app,
            Arc::new(commands),
            settings.operator_key_hashes.clone(),
            OperatorLimits::default(),
            Arc::clone(&self.core.clock),
        );
        task::spawn(serve(listener, app, ServerConfig::new(rejection_body), stop))
    }

    fn serve_peers(&self, listener: TcpListener, stop: StopSignal) -> JoinHandle<()> {
        let handler =
            FleetHandler { core: Arc::clone(&self.core), fetcher: Arc::clone(&self.fetcher) };
        let local_node = Arc::clone(&self.local_node);
        let config = ListenerConfig::default();
        task::spawn(yuccapass_peers::serve(listener, local_node, Arc::new(handler), config, stop))
    }
}

fn build_core(
    settings: &Settings,
    fetcher: &ConfigurationFetcher,
    identity: &Identity,
    metrics: Arc<Metrics>,
    admission: Admission,
    crash_guard: Arc<SharedCrashGuard>,
) -> Core {
    let clock = Arc::clone(&fetcher.clock);
    let prefix_caches =
        Arc::new(PrefixCacheView::new(IndexSettings::default(), Arc::clone(&clock)));
    let endpoints = EndpointTable::new(Arc::clone(&prefix_caches), Arc::clone(&clock));
    let transfer = Transfer::start(
        settings.zone.clone(),
        Arc::clone(&prefix_caches),
        Arc::clone(&metrics),
        Arc::clone(&clock),
    );
    let placer = Placer {
        zone: settings.zone.clone(),
        policy: settings.placement.policy(),
        endpoints: Arc::clone(&endpoints),
        prefix_caches: Arc::clone(&prefix_caches),
        transfer: Arc::clone(&transfer),
        crash_guard: Arc::clone(&crash_guard),
        members: Arc::clone(&fetcher.members),
    };
    let ledger_config = LedgerConfig::default()
        .window_ms(settings.ledger_window_ms)
        .send_within_ms(settings.ledger_send_within_ms);
    let votes = Arc::new(Votes::new(
        identity.clone(),
        fetcher.configuration.active().document(),
        ledger_config.voter_config(VoterConfig::default()),
        Arc::clone(&fetcher.transport),
        Arc::clone(&clock),
    ));
    Core {
        configuration: Arc::clone(&fetcher.configuration),
        endpoints,
        prefix_caches,
        crash_guard,
        retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
        placer,
        transfer,
        admission,
        limits: OrganisationLimits::new(LimitSettings::default()),
        members: Arc::clone(&fetcher.members),
        ledger: Ledger::new(Arc::clone(&votes), ledger_config, Arc::clone(&clock)),
        permits: Permits::new(identity.clone(), Arc::clone(&votes), Arc::clone(&clock)),
        votes,
        services: ServiceTable::new(Arc::clone(&clock)),
        metrics,
        clock,
        stall_timeout_ms: settings.stall_timeout_ms,
    }
}

fn platform_client(
    settings: &Settings,
    identity: &Identity,
    clock: &Arc<dyn Clock>,
) -> Option<Arc<PlatformClient>> {
    if settings.platform.is_empty() {
        return None;
    }
    let config = PlatformTransportConfig::new(settings.platform.clone());
    let key_value = HttpKeyValue::new(&config, Arc::clone(clock));
    // Seeded with the start time, so that the random delays differ between nodes.
    let client_config = PlatformClientConfig::new(1, identity.incarnation.get());
    Some(PlatformClient::new(Arc::new(key_value), Arc::clone(clock), &client_config))
}

async fn load_configuration(settings: &Settings) -> Result<ActiveConfig, NodeError> {
    let document = match &settings.configuration_file {
        None => Document::default(),
        Some(path) => {
            let text = async_std::fs::read(path).await.context(ReadConfigurationSnafu { path })?;
            serde_json::from_slice(&text).context(ParseConfigurationSnafu { path })?
        }
    };
    ActiveConfig::from_document(document).context(InvalidConfigurationSnafu)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    CallerLimits::default()
        .max_body_bytes(settings.max_body_bytes)
        .max_prompt_bytes(settings.max_prompt_bytes)
        .default_deadline_ms(settings.default_deadline_ms)
        .max_deadline_ms(settings.max_deadline_ms)
}

/// Returns the current time in milliseconds: an incarnation larger than those of earlier processes.
fn new_incarnation() -> Incarnation {
    let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Incarnation::new(start.map_or(0, |start| start.as_millis() as u64))
}

/// Returns a source of request ids that stay unique when a node restarts: node, start time in
/// milliseconds and a counter.
fn request_ids(node: &NodeId, incarnation: Incarnation) -> RequestIdSource {
    let start_ms = incarnation.get();
    // A long node name is truncated, so that the id does not exceed its maximum length.
    let node: String = node.as_str().chars().take(24).collect();
    let counter = AtomicU64::new(0);
    Arc::new(move || {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let text = format!("{node}-{start_ms:x}-{number:x}");
        text.parse::<RequestId>().expect("name characters and hexadecimal digits make a valid id")
    })
}
