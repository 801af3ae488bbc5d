//! A running gateway, from start to graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use snafu::{ResultExt, Snafu};
use yuccapass_decisions::gateway::{LeastLoaded, PrefixAffinity};
use yuccapass_http::sleep_until;
use yuccapass_platform::PlatformClient;
use yuccapass_types::{Clock, Deadline};

use crate::caller::serve_connection;
use crate::metrics::Metrics;
use crate::options::GatewayOptions;
use crate::protocol::{EngineProtocol, EntryDecoder, PartStoreProtocol, Protocol};
use crate::state::{Placements, Shared};
use crate::swap_leader::SwapLeader;
use crate::{crashes, membership, readiness, stores, watch};

/// Shortest time from a stop signal to the end: the balancer asks for readiness once a second and
/// takes a node out after two misses.
const MIN_STOP_MS: u64 = 2_600;

/// Time from a stop signal for which new requests are served: the balancer still sends some until it
/// has noticed, and a stream that begins later may not end in time.
const SERVE_WHILE_STOPPING_MS: u64 = 2_800;

/// Time before the process is killed at which it ends by itself.
const STOP_MARGIN_MS: u64 = 400;

/// Time between two looks at what still runs.
const STOP_PERIOD_MS: u64 = 50;

/// Reports that a gateway cannot start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("the metrics cannot be set up: {source}"))]
    Metrics {
        /// The library's error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// A platform as a gateway sees it.
pub struct Adapter {
    /// Translates the messages of callers and endpoints.
    pub protocol: Arc<dyn Protocol>,
    /// Translates the entries of the key-value service.
    pub entry_decoder: Arc<dyn EntryDecoder>,
    /// Translates orders to engines.
    pub engine_protocol: Arc<dyn EngineProtocol>,
    /// Translates the calls of stores of prompt parts.
    pub part_store_protocol: Arc<dyn PartStoreProtocol>,
    /// The key-value service.
    pub key_value: Arc<PlatformClient>,
}

/// A running gateway.
pub struct GatewayNode {
    shared: Arc<Shared>,
    swap_leader: Arc<SwapLeader>,
}

impl GatewayNode {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn start(
        options: GatewayOptions,
        adapter: Adapter,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, GatewayError> {
        let callers = listen(options.caller_address).await?;
        let admin_listener = listen(options.readiness_address).await?;
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let placements = Placements {
            models: Box::new(PrefixAffinity::default()),
            services: Box::new(LeastLoaded),
        };
        let protocol = Arc::clone(&adapter.protocol);
        let shared = Arc::new(Shared::new(options, protocol, clock, placements, metrics));
        let swap_leader = SwapLeader::new(
            Arc::clone(&shared),
            &adapter.key_value,
            Arc::clone(&adapter.engine_protocol),
        );
        watch::start(&shared, &adapter.key_value, &adapter.entry_decoder, &swap_leader);
        membership::start(&shared, &adapter.key_value, &swap_leader);
        task::spawn(stores::poll_stores(
            Arc::clone(&shared),
            adapter.part_store_protocol,
            Arc::clone(&swap_leader),
        ));
        task::spawn(Arc::clone(&swap_leader).run());
        task::spawn(crashes::run(Arc::clone(&shared)));
        task::spawn(readiness::serve(Arc::clone(&shared), admin_listener));
        task::spawn(accept(Arc::clone(&shared), callers));
        log::info!(
            node = shared.options.node.as_str(), zone = shared.options.zone.as_str();
            "the gateway has started"
        );
        Ok(Self { shared, swap_leader })
    }

    /// Stops taking part, lets the balancer notice, and returns when all requests are answered or
    /// the process is about to be killed.
    pub async fn stop(&self) {
        let begun_at = self.shared.now();
        self.shared.begin_stop(SERVE_WHILE_STOPPING_MS);
        self.swap_leader.release().await;
        let earliest = Deadline::after_ms(begun_at, MIN_STOP_MS);
        sleep_until(&*self.shared.clock, earliest).await;
        let limit_ms = self.shared.options.stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
        let latest = Deadline::after_ms(begun_at, limit_ms);
        while self.shared.open_requests() > 0 && !latest.has_passed(self.shared.now()) {
            task::sleep(Duration::from_millis(STOP_PERIOD_MS)).await;
        }
        log::info!(open_requests = self.shared.open_requests(); "the gateway has stopped");
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Accepts connections of callers until the process ends.
async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a caller's connection was not accepted");
                task::sleep(Duration::from_millis(STOP_PERIOD_MS)).await;
                continue;
            }
        };
        if open.fetch_add(1, Ordering::AcqRel) >= shared.options.max_connections {
            // The caller has sent nothing that was read, so it may connect to another node.
            open.fetch_sub(1, Ordering::AcqRel);
            log::warn!("a caller's connection was closed at once: too many are open");
            continue;
        }
        let (shared, open) = (Arc::clone(&shared), Arc::clone(&open));
        task::spawn(async move {
            serve_connection(shared, stream).await;
            open.fetch_sub(1, Ordering::AcqRel);
        });
    }
}
