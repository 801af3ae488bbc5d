//! Clients and load of the endpoints.

use std::sync::Arc;

use yuccapass_decisions::config::Endpoint;
use yuccapass_endpoints::{HttpEndpoint, ModelEndpoint};
use yuccapass_http::ClientConfig;
use yuccapass_types::{Clock, EndpointId, Sharded, SortedMap};

struct Entry {
    client: Arc<dyn ModelEndpoint>,
    /// Requests that this node runs there.
    in_flight_requests: u32,
}

type Shard = SortedMap<EndpointId, Entry>;

/// The endpoints that this node has met.
pub(crate) struct EndpointTable {
    entries: Sharded<Shard>,
    clock: Arc<dyn Clock>,
}

impl EndpointTable {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self { entries: Sharded::default(), clock })
    }

    /// Returns how many requests this node runs at an endpoint.
    pub(crate) fn in_flight_requests(&self, id: &EndpointId) -> u32 {
        self.entries.with(id, |shard| shard.get(id).map_or(0, |entry| entry.in_flight_requests))
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>, endpoint: &Endpoint) -> InFlight {
        let client = self.entries.with(&endpoint.id, |shard| {
            let entry = shard.get_or_insert_with(endpoint.id.clone(), || self.new_entry(endpoint));
            entry.in_flight_requests += 1;
            Arc::clone(&entry.client)
        });
        InFlight { table: Arc::clone(self), client }
    }

    fn new_entry(&self, endpoint: &Endpoint) -> Entry {
        let config = ClientConfig::default();
        let clock = Arc::clone(&self.clock);
        let client = HttpEndpoint::new(endpoint.id.clone(), endpoint.address, config, clock);
        Entry { client: Arc::new(client), in_flight_requests: 0 }
    }
}

/// A request that runs at an endpoint.
pub(crate) struct InFlight {
    table: Arc<EndpointTable>,
    client: Arc<dyn ModelEndpoint>,
}

impl InFlight {
    pub(crate) fn client(&self) -> &dyn ModelEndpoint {
        &*self.client
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let id = self.client.id();
        self.table.entries.with(id, |shard| {
            if let Some(entry) = shard.get_mut(id) {
                entry.in_flight_requests -= 1;
            }
        });
    }
}
