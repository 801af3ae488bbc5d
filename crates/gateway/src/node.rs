//! A running gateway, from start to graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::net::TcpListener;
use async_std::task;
use snafu::{ResultExt, Snafu};
use yuccapass_decisions::gateway::{ExpectedTime, ExpectedTimeAffinity, Shortage};
use yuccapass_http::message::limit_receive_buffers;
use yuccapass_http::{sleep_until, stop_pair};
use yuccapass_peers::{ListenerConfig, LocalNode, Sender, TcpTransport, TransportConfig};
use yuccapass_platform::{CallObserver, PlatformClient};
use yuccapass_types::{Clock, Deadline, Incarnation};

use crate::caller::serve_connection;
use crate::metrics::Metrics;
use crate::options::GatewayOptions;
use crate::protocol::{EngineProtocol, EntryDecoder, PartStoreProtocol, Protocol, StatusEncoder};
use crate::relay::client::follow;
use crate::relay::room::exchange;
use crate::relay::server::RelayHandler;
use crate::state::{Placements, Shared};
use crate::swap_leader::SwapLeader;
use crate::{
    crash_evidence, crashes, membership, own_links, part_crashes, readiness, rollouts, stores,
    streams, watch,
};

/// How long new requests are served after a stop signal: the load balancer sends some until it has
/// removed the node, and a stream that starts later may not end in time.
const SERVE_WHILE_STOPPING_MS: u64 = 2_800;

/// Minimum time from a stop signal to the end of the process: the load balancer checks readiness
/// once a second and removes a node after two failed checks. It is longer than the time for which
/// new requests are served; otherwise one that arrives just before the end would be cut off.
const MIN_STOP_MS: u64 = SERVE_WHILE_STOPPING_MS + 100;

/// How long before the process would be killed it ends by itself.
const STOP_MARGIN_MS: u64 = 400;

/// How long before that the requests that are left get their final answers: time to write them.
const LAST_ANSWERS_MS: u64 = 200;

/// How long before its end a process begins to release the lock for weight swaps, if requests are still open.
const RELEASE_MS: u64 = 1_200;

/// Receive buffer of a caller's connection if the memory of the process is limited. The kernel would
/// otherwise let it grow to some megabytes.
const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Period of checking for open requests during a stop, and pause after a failed accept.
const STOP_PERIOD_MS: u64 = 50;

/// The error if a gateway cannot start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum GatewayError {
    /// A listener cannot be bound to an address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics cannot be created.
    #[snafu(display("the metrics cannot be created: {source}"))]
    Metrics {
        /// The error of the metrics library.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// The implementation of a platform's protocols.
pub struct Adapter {
    /// Encodes and decodes the messages of callers and endpoints.
    pub protocol: Arc<dyn Protocol>,
    /// Decodes the entries of the key-value service.
    pub entry_decoder: Arc<dyn EntryDecoder>,
    /// Encodes what operators are told in the key-value service.
    pub status_encoder: Arc<dyn StatusEncoder>,
    /// Encodes orders to engines and decodes their reports.
    pub engine_protocol: Arc<dyn EngineProtocol>,
    /// Encodes and decodes the calls to stores of prompt parts.
    pub part_store_protocol: Arc<dyn PartStoreProtocol>,
    /// The client of the key-value service.
    pub key_value: Arc<PlatformClient>,
}

/// A running gateway.
pub struct GatewayNode {
    shared: Arc<Shared>,
    swap_leader: Arc<SwapLeader>,
}

impl GatewayNode {
    /// Binds the listeners and starts the tasks of a gateway.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound or the metrics cannot be created.
    pub async fn start(
        options: GatewayOptions,
        adapter: Adapter,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, GatewayError> {
        let callers = listen(options.caller_address).await?;
        if options.process_limits.memory.is_some() {
            // What was received and not read counts toward the memory of the process.
            if let Err(error) = limit_receive_buffers(&callers, RECEIVE_BUFFER_BYTES) {
                log::warn!(error:%; "the receive buffers of callers cannot be limited");
            }
        }
        let admin_listener = listen(options.readiness_address).await?;
        let peer_listener = match options.peer_address {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let placements = Placements {
            models: Box::new(ExpectedTimeAffinity::default()),
            services: Box::new(ExpectedTime),
        };
        let protocol = Arc::clone(&adapter.protocol);
        let shared = Arc::new(Shared::new(options, protocol, clock, placements, metrics));
        adapter.key_value.observe_calls(Arc::clone(&shared) as Arc<dyn CallObserver>);
        let swap_leader = SwapLeader::new(
            Arc::clone(&shared),
            &adapter.key_value,
            Arc::clone(&adapter.engine_protocol),
        );
        // The watches ask other nodes first.
        if let Some(listener) = peer_listener {
            start_relay(&shared, listener);
        }
        watch::start(&shared, &adapter.key_value, &adapter.entry_decoder, &swap_leader);
        membership::start(&shared, &adapter.key_value, &swap_leader);
        crash_evidence::start(&shared, &adapter.key_value);
        streams::published::start(&shared, &adapter.key_value);
        streams::sole_version::start(
            &shared,
            &adapter.key_value,
            adapter.entry_decoder.endpoint_prefix(),
        );
        streams::saved::start(&shared, &adapter.key_value);
        rollouts::start(&shared, &adapter.key_value, &adapter.status_encoder, &swap_leader);
        task::spawn(stores::poll_stores(
            Arc::clone(&shared),
            adapter.part_store_protocol,
            Arc::clone(&swap_leader),
        ));
        task::spawn(Arc::clone(&swap_leader).run());
        task::spawn(own_links::run(Arc::clone(&shared)));
        task::spawn(crashes::run(Arc::clone(&shared)));
        task::spawn(part_crashes::run(Arc::clone(&shared)));
        task::spawn(readiness::serve(Arc::clone(&shared), admin_listener));
        task::spawn(accept(Arc::clone(&shared), callers));
        log::info!(
            node = shared.options.node.as_str(), zone = shared.options.zone.as_str();
            "the gateway has started"
        );
        Ok(Self { shared, swap_leader })
    }

    /// Stops gracefully: reports itself as not ready, gives the load balancer time to notice, and
    /// returns when all requests are answered or the process is about to be killed.
    pub async fn stop(&self) {
        let stop_started_at = self.shared.now();
        let limit_ms = self.shared.options.stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        let answer_ms = limit_ms.saturating_sub(LAST_ANSWERS_MS);
        self.shared.begin_stop(SERVE_WHILE_STOPPING_MS, answer_ms);
        let earliest = Deadline::after_ms(stop_started_at, MIN_STOP_MS);
        sleep_until(&*self.shared.clock, earliest).await;
        let latest = Deadline::after_ms(stop_started_at, limit_ms);
        let release_ms = limit_ms.saturating_sub(RELEASE_MS);
        self.await_answers(Deadline::after_ms(stop_started_at, release_ms)).await;
        futures::join!(self.swap_leader.release(latest), self.await_answers(latest));
        log::info!(open_requests = self.shared.open_requests(); "the gateway has stopped");
    }

    /// Waits until all requests are answered, at most until the limit.
    async fn await_answers(&self, limit: Deadline) {
        while self.shared.open_requests() > 0 && !limit.has_passed(self.shared.now()) {
            task::sleep(Duration::from_millis(STOP_PERIOD_MS)).await;
        }
    }
}

/// Answers the followers of this node, and follows a relay if the zone has one.
fn start_relay(shared: &Arc<Shared>, listener: TcpListener) {
    // Other nodes drop the messages of older processes of this node, so the incarnation must grow.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let sender = Sender {
        node: shared.options.node.clone(),
        incarnation: Incarnation::new(since_epoch.as_millis() as u64),
    };
    let local_node = Arc::new(LocalNode::new(sender, Arc::clone(&shared.clock)));
    let transport =
        Arc::new(TcpTransport::new(Arc::clone(&local_node), TransportConfig::default()));
    shared.streams.set_transport(transport.clone());
    shared.relay.set_transport(transport.clone());
    let handler = Arc::new(RelayHandler { shared: Arc::clone(shared) });
    let config = ListenerConfig::default().max_connections(shared.connection_shares().peers);
    let shared = Arc::clone(shared);
    task::spawn(async move {
        // Followers are answered until the process ends, so the signal is never given.
        let (_controller, stop) = stop_pair();
        yuccapass_peers::serve(listener, local_node, handler, config, stop).await;
    });
    task::spawn(exchange(Arc::clone(&shared), transport.clone()));
    task::spawn(follow(shared, transport));
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Accepts connections of callers until the process ends.
async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if let Some(omitted) = shared.caller_memory.may_log() {
                    log::warn!(error:%, omitted; "a caller's connection could not be accepted");
                }
                task::sleep(Duration::from_millis(STOP_PERIOD_MS)).await;
                continue;
            }
        };
        let Some(open) = shared.caller_memory.open(&stream) else {
            // Nothing that the caller sent was read, so it can safely retry at another node.
            shared.metrics.record_caller_shortage(Shortage::Connections);
            if let Some(omitted) = shared.caller_memory.may_log() {
                log::warn!(
                    omitted;
                    "a caller's connection was closed: the limit max_connections is reached"
                );
            }
            continue;
        };
        task::spawn(serve_connection(Arc::clone(&shared), stream, open));
    }
}
