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
    ConfigurationSync, FleetHandler, Identity, Members, Votes, heartbeats, platform_watch, rollouts,
};
use crate::metrics::{Metrics, MetricsError};
use crate::monitor;
use crate::placer::Placer;
use crate::prefix_cache_view::PrefixCacheView;
use crate::request_path::{Core, RequestPath};
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
    /// The configuration file is not a document.
    #[snafu(display("{} is not a configuration: {source}", path.display()))]
    ParseConfiguration {
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: serde_json::Error,
    },
    /// The configuration breaks a rule.
    #[snafu(display("the configuration is not valid: {source}"))]
    InvalidConfiguration {
        /// The field, its value and the bound.
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

/// The addresses that a node listens on, with the ports that the system chose where 0 was set.
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

/// The parts of a node that tasks and servers are started from.
struct Parts {
    core: Arc<Core>,
    sync: Arc<ConfigurationSync>,
    peer_node: Arc<LocalNode>,
    transport: Arc<TcpTransport>,
    woken: Receiver<ModelId>,
    crashes: Receiver<()>,
}

impl Node {
    /// Starts to serve callers, operators and other nodes.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the configuration is not valid.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let config = load_configuration(&settings).await?;
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses(&settings);
        let parts = Parts::build(&settings, addresses, config)?;
        let (stop, stop_signal) = stop_pair();
        let (fleet_stop, fleet_signal) = stop_pair();
        let is_ready = Arc::new(AtomicBool::new(false));
        parts.start_tasks(&settings, &is_ready);
        let admin_state = AdminState {
            stop: stop_signal.clone(),
            is_ready,
            metrics: Arc::clone(&parts.core.metrics),
        };
        let caller_server = parts.serve_callers(&settings, listeners.callers, stop_signal);
        let admin_server =
            parts.serve_operators(&settings, listeners.admin, admin_state, fleet_signal.clone());
        let peer_server = parts.serve_peers(listeners.peers, fleet_signal);
        log::info!(
            node = settings.node_id.as_str(),
            zone = settings.zone.as_str(),
            callers:% = addresses.callers,
            admin:% = addresses.admin,
            peers:% = addresses.peers,
            revision = parts.core.configuration.revision().get();
            "the node has started"
        );
        Ok(Self {
            settings,
            core: parts.core,
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

    /// Stops gracefully: not ready at once, nothing new after the grace, then finishes what runs.
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

impl Parts {
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
        let peer_node = Arc::new(LocalNode::new(sender, Arc::clone(&clock)));
        metrics.observe_peers(&peer_node);
        let transport =
            Arc::new(TcpTransport::new(Arc::clone(&peer_node), TransportConfig::default()));
        let configuration = Arc::new(Configuration::new(config));
        let seeds = settings.seeds.clone();
        let members = Arc::new(Members::new(identity.clone(), seeds, Arc::clone(&clock)));
        let sync = Arc::new(ConfigurationSync {
            configuration: Arc::clone(&configuration),
            members: Arc::clone(&members),
            transport: Arc::clone(&transport) as Arc<dyn PeerTransport>,
            platform: platform_client(settings, &identity, &clock),
            clock: Arc::clone(&clock),
        });
        let (admission, woken) = Admission::new(Arc::clone(&clock));
        let (node, incarnation) = (identity.node.clone(), identity.incarnation);
        let (crash_guard, crashes) = SharedCrashGuard::new(node, incarnation, Arc::clone(&clock));
        let metrics = Arc::new(metrics);
        let crash_guard = Arc::new(crash_guard);
        let core = build_core(settings, &sync, &identity, metrics, admission, crash_guard);
        Ok(Self { core: Arc::new(core), sync, peer_node, transport, woken, crashes })
    }

    fn start_tasks(&self, settings: &Settings, is_ready: &Arc<AtomicBool>) {
        let core = &self.core;
        task::spawn(dispatcher::dispatch(Arc::clone(core), self.woken.clone()));
        task::spawn(monitor::follow_endpoints(Arc::clone(core), Arc::clone(is_ready)));
        task::spawn(Arc::clone(&core.permits).keep_up());
        let (sync, transport) = (Arc::clone(&self.sync), Arc::clone(&self.transport));
        task::spawn(heartbeats::send_heartbeats(Arc::clone(core), sync, transport));
        let (sync, crashes) = (Arc::clone(&self.sync), self.crashes.clone());
        task::spawn(heartbeats::tell_crashes(Arc::clone(core), sync, crashes));
        task::spawn(heartbeats::poll_configuration(Arc::clone(&self.sync)));
        if let Some(platform) = &self.sync.platform {
            task::spawn(rollouts::drive_rollouts(Arc::new(rollouts::Rollouts {
                core: Arc::clone(core),
                sync: Arc::clone(&self.sync),
                platform: Arc::clone(platform),
                drain_limit_ms: settings.rollout_drain_limit_ms,
                load_limit_ms: settings.rollout_load_limit_ms,
            })));
            let (sync, platform) = (Arc::clone(&self.sync), Arc::clone(platform));
            task::spawn(platform_watch::follow_configuration(sync, platform));
            let config = PlatformTransportConfig::new(settings.platform.clone());
            let vms: Arc<dyn VmList> = Arc::new(HttpVmList::new(&config, Arc::clone(&core.clock)));
            task::spawn(platform_watch::follow_vms(Arc::clone(core), vms));
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
            Arc::new(RequestPath::new(Arc::clone(&self.core))),
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
            sync: Arc::clone(&self.sync),
            platform: self.sync.platform.clone(),
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
        let handler = FleetHandler { core: Arc::clone(&self.core), sync: Arc::clone(&self.sync) };
        let peer_node = Arc::clone(&self.peer_node);
        let config = ListenerConfig::default();
        task::spawn(yuccapass_peers::serve(listener, peer_node, Arc::new(handler), config, stop))
    }
}

fn build_core(
    settings: &Settings,
    sync: &ConfigurationSync,
    identity: &Identity,
    metrics: Arc<Metrics>,
    admission: Admission,
    crash_guard: Arc<SharedCrashGuard>,
) -> Core {
    let clock = Arc::clone(&sync.clock);
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
        members: Arc::clone(&sync.members),
    };
    let ledger_config = LedgerConfig::default()
        .window_ms(settings.ledger_window_ms)
        .send_within_ms(settings.ledger_send_within_ms);
    let votes = Arc::new(Votes::new(
        identity.clone(),
        sync.configuration.active().document(),
        ledger_config.voter_config(VoterConfig::default()),
        Arc::clone(&sync.transport),
        Arc::clone(&clock),
    ));
    Core {
        configuration: Arc::clone(&sync.configuration),
        endpoints,
        prefix_caches,
        crash_guard,
        retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
        placer,
        transfer,
        admission,
        limits: OrganisationLimits::new(LimitSettings::default()),
        members: Arc::clone(&sync.members),
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
    // The start time differs between nodes, and so do their delays.
    let managed = PlatformClientConfig::new(1, identity.incarnation.get());
    Some(PlatformClient::new(Arc::new(key_value), Arc::clone(clock), &managed))
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

/// Returns a number that is larger than that of earlier processes: the time in milliseconds.
fn new_incarnation() -> Incarnation {
    let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Incarnation::new(start.map_or(0, |start| start.as_millis() as u64))
}

/// Makes ids that stay unique when a node restarts: start time in milliseconds and a counter.
fn request_ids(node: &NodeId, incarnation: Incarnation) -> RequestIdSource {
    let start_ms = incarnation.get();
    // A long node name is cut, so that the id always fits.
    let node: String = node.as_str().chars().take(24).collect();
    let counter = AtomicU64::new(0);
    Arc::new(move || {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let text = format!("{node}-{start_ms:x}-{number:x}");
        text.parse::<RequestId>().expect("name characters and hexadecimal digits make a valid id")
    })
}
