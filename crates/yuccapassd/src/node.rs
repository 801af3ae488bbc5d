//! A running node, from start to graceful stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use snafu::{ResultExt, Snafu};
use yuccapass_callers::app::RequestIdSource;
use yuccapass_callers::{CallerLimits, build_app, rejection_body};
use yuccapass_decisions::admission::limits::{LimitSettings, OrganisationLimits};
use yuccapass_decisions::config::{Document, InvalidDocument, validate};
use yuccapass_decisions::retry::{RetryBudget, RetryBudgetSettings};
use yuccapass_decisions::routing::index::IndexSettings;
use yuccapass_http::{ServerConfig, StopController, StopSignal, serve, sleep_until, stop_pair};
use yuccapass_types::{Clock, Deadline, Incarnation, MonotonicClock, NodeId, RequestId};

use crate::admin::{self, AdminState};
use crate::admission::Admission;
use crate::configuration::Configuration;
use crate::crash_guard::SharedCrashGuard;
use crate::dispatcher;
use crate::endpoint_table::EndpointTable;
use crate::metrics::{Metrics, MetricsError};
use crate::monitor;
use crate::placer::Placer;
use crate::prefix_cache_view::PrefixCacheView;
use crate::request_path::{Core, RequestPath};
use crate::settings::Settings;

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
    clock: Arc<dyn Clock>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    stop: StopController,
    admin_stop: StopController,
    caller_server: JoinHandle<()>,
    admin_server: JoinHandle<()>,
}

impl Node {
    /// Starts to serve callers and operators.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the configuration is not valid.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
        let document = load_document(&settings).await?;
        let configuration = Arc::new(Configuration::new(document));
        let caller_listener = listen(settings.caller_address).await?;
        let admin_listener = listen(settings.admin_address).await?;
        let caller_address = local_address(&caller_listener, settings.caller_address);
        let admin_address = local_address(&admin_listener, settings.admin_address);
        let (stop, stop_signal) = stop_pair();
        let (admin_stop, admin_signal) = stop_pair();
        let revision = configuration.revision();
        let metrics =
            Arc::new(Metrics::new(settings.max_organisation_labels).context(MetricsSnafu)?);
        let prefix_caches =
            Arc::new(PrefixCacheView::new(IndexSettings::default(), Arc::clone(&clock)));
        let incarnation = new_incarnation();
        let endpoints = EndpointTable::new(Arc::clone(&prefix_caches), Arc::clone(&clock));
        let node_id = settings.node_id.clone();
        let crash_guard = Arc::new(SharedCrashGuard::new(node_id, incarnation, Arc::clone(&clock)));
        let (admission, woken) = Admission::new(Arc::clone(&clock));
        let placer = Placer {
            zone: settings.zone.clone(),
            policy: settings.placement.policy(),
            endpoints: Arc::clone(&endpoints),
            prefix_caches: Arc::clone(&prefix_caches),
            crash_guard: Arc::clone(&crash_guard),
        };
        let core = Arc::new(Core {
            configuration,
            endpoints,
            prefix_caches,
            crash_guard,
            retry_budget: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            placer,
            admission,
            limits: OrganisationLimits::new(LimitSettings::default()),
            metrics: Arc::clone(&metrics),
            clock: Arc::clone(&clock),
            stall_timeout_ms: settings.stall_timeout_ms,
        });
        task::spawn(dispatcher::dispatch(Arc::clone(&core), woken));
        let is_ready = Arc::new(AtomicBool::new(false));
        task::spawn(monitor::follow_endpoints(Arc::clone(&core), Arc::clone(&is_ready)));
        let admin = AdminState { stop: stop_signal.clone(), is_ready, metrics };
        let app = build_app(
            Arc::new(RequestPath::new(core)),
            caller_limits(&settings),
            Arc::clone(&clock),
            request_ids(&settings.node_id, incarnation),
        );
        let caller_config =
            ServerConfig::new(rejection_body).max_connections(settings.max_connections);
        let caller_server = task::spawn(serve(caller_listener, app, caller_config, stop_signal));
        let admin_server = spawn_admin(admin_listener, admin, admin_signal);
        log::info!(
            "node {} in zone {} serves callers on {caller_address}, operators on {admin_address}, \
             configuration revision {revision}",
            settings.node_id,
            settings.zone
        );
        Ok(Self {
            settings,
            clock,
            caller_address,
            admin_address,
            stop,
            admin_stop,
            caller_server,
            admin_server,
        })
    }

    /// Returns the address for callers, with the port that the system chose if it was 0.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops gracefully: not ready at once, nothing new after the grace, then finishes what runs.
    pub async fn stop(self) {
        self.stop.drain();
        let grace = Deadline::after_ms(self.clock.now(), self.settings.stop_grace_ms);
        sleep_until(&*self.clock, grace).await;
        self.stop.close();
        self.caller_server.await;
        self.admin_stop.close();
        self.admin_server.await;
        log::info!("stopped");
    }
}

async fn load_document(settings: &Settings) -> Result<Document, NodeError> {
    let Some(path) = &settings.configuration_file else { return Ok(Document::default()) };
    let text = async_std::fs::read(path).await.context(ReadConfigurationSnafu { path })?;
    let document = serde_json::from_slice(&text).context(ParseConfigurationSnafu { path })?;
    validate(&document).context(InvalidConfigurationSnafu)?;
    Ok(document)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

fn spawn_admin(listener: TcpListener, state: AdminState, admin_stop: StopSignal) -> JoinHandle<()> {
    let app = admin::build_app(state);
    task::spawn(serve(listener, app, ServerConfig::new(rejection_body), admin_stop))
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
