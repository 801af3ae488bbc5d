//! The configuration document.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};
use yuccapass_types::{
    AdapterId, Bytes, ClassId, EndpointId, KeyHash, ModelId, NodeId, OrganisationId, RegionId,
    Revision, ServiceId, Shared, StoreId, TokensPerSecond, WeightVersion, ZoneId,
};

/// The configuration that operators control, at one revision.
///
/// Each list is sorted by id, so that look-ups can use binary search and equal documents have equal
/// bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of the accepted change that created this document.
    pub revision: Revision,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Models.
    pub models: Vec<Model>,
    /// Endpoints of all models.
    pub endpoints: Vec<Endpoint>,
    /// Plain services: those other than model engines.
    pub services: Vec<Service>,
    /// Stores of exported blocks; documents of earlier versions have none.
    #[serde(default)]
    pub stores: Vec<Store>,
    /// Organisations; unchanged ones are shared between the documents of several revisions.
    pub organisations: Vec<Shared<Organisation>>,
}

/// Whether a zone gets new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone gets new requests.
    In,
    /// Operators have taken the zone out of service: its endpoints get no new requests.
    Out,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone.
    pub id: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Whether it gets new requests.
    pub state: ZoneState,
    /// Node slots of the zone that take part in majority votes.
    pub voters: Vec<Voter>,
    /// The zone's voters before the last change of any zone's voters; empty if there was none.
    ///
    /// A node that starts during such a change has to know which sets of voters may still elect an
    /// attempt, and all nodes have to agree on them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced_voters: Vec<NodeId>,
}

/// A node slot that takes part in majority votes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// The node slot.
    pub id: NodeId,
    /// Its address for messages from other nodes.
    pub address: SocketAddr,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class.
    pub id: ClassId,
    /// Scheduling priority; larger runs first.
    pub priority: i32,
}

/// A model, under the name that callers use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model.
    pub id: ModelId,
    /// The weight version for new requests.
    pub version: WeightVersion,
    /// The adapter for new requests.
    pub adapter: Option<AdapterId>,
    /// The store for exported blocks.
    pub store: Option<StoreId>,
    /// Size of an exported block, from which placement estimates the time of an import.
    #[serde(default = "default_block_payload", skip_serializing_if = "is_default_block_payload")]
    pub block_payload_bytes: Bytes,
    /// Maximum number of replicas that may swap weights at the same time.
    pub max_swapping_replicas: u32,
    /// Versions for zones that differ from `version`, sorted by zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_versions: Vec<ZoneVersion>,
    /// Adapters for zones that differ from `adapter`, sorted by zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_adapters: Vec<ZoneAdapter>,
}

/// Size of an exported block if the document does not set it.
pub const DEFAULT_BLOCK_PAYLOAD: Bytes = Bytes::new(16 << 10);

fn default_block_payload() -> Bytes {
    DEFAULT_BLOCK_PAYLOAD
}

/// The default is not written, so that chunks of documents without the field keep their hashes.
fn is_default_block_payload(size: &Bytes) -> bool {
    *size == DEFAULT_BLOCK_PAYLOAD
}

/// The weight version of a model in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneVersion {
    /// The zone.
    pub zone: ZoneId,
    /// The version for new requests there.
    pub version: WeightVersion,
}

/// The adapter of a model in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneAdapter {
    /// The zone.
    pub zone: ZoneId,
    /// The adapter for new requests there, or none.
    pub adapter: Option<AdapterId>,
}

/// A replica of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// The model that it serves.
    pub model: ModelId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether operators have taken it out of service.
    pub leaving: bool,
    /// Number of concurrent requests that it sustains during a cold start.
    pub cold_requests: u32,
}

/// A plain service: one that is not a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub id: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its addresses, any of which can serve a request.
    pub addresses: Vec<SocketAddr>,
}

/// A store of exported blocks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// The store.
    pub id: StoreId,
    /// Its zone.
    pub zone: ZoneId,
    /// The addresses of its VMs, sorted; each VM holds a share of the blocks.
    pub addresses: Vec<SocketAddr>,
}

/// An organisation and what it may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation.
    pub id: OrganisationId,
    /// Hashes of its bearer keys, sorted.
    #[serde(deserialize_with = "exact_list")]
    pub key_hashes: Vec<KeyHash>,
    /// Models that it is approved for, sorted.
    #[serde(deserialize_with = "exact_list")]
    pub models: Vec<ModelId>,
    /// Services that it is approved for, sorted.
    #[serde(deserialize_with = "exact_list")]
    pub services: Vec<ServiceId>,
    /// Share of contended capacity, relative to the shares of other organisations.
    pub share: u32,
    /// Rate limit for all nodes of a zone together; counts the tokens of prompts and answers.
    pub limit_tokens_per_s: TokensPerSecond,
}

/// Deserialises a list without spare capacity, which would take 1.5 of 12.0 MB for 23,000
/// organisations with two keys and two models each.
fn exact_list<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let mut list = Vec::deserialize(deserializer)?;
    list.shrink_to_fit();
    Ok(list)
}

macro_rules! lookups {
    ($($(#[$doc:meta])* $name:ident, $field:ident, $id:ty, $item:ty;)+) => {
        impl Document {
            $($(#[$doc])*
            pub fn $name(&self, id: &$id) -> Option<&$item> {
                let position = self.$field.binary_search_by(|item| item.id.cmp(id)).ok()?;
                Some(&self.$field[position])
            })+
        }
    };
}

lookups! {
    /// Finds a zone.
    zone, zones, ZoneId, Zone;
    /// Finds a request class.
    class, classes, ClassId, Class;
    /// Finds a model.
    model, models, ModelId, Model;
    /// Finds an endpoint.
    endpoint, endpoints, EndpointId, Endpoint;
    /// Finds a service.
    service, services, ServiceId, Service;
    /// Finds a store.
    store, stores, StoreId, Store;
    /// Finds an organisation.
    organisation, organisations, OrganisationId, Organisation;
}

impl Document {
    /// Returns the endpoints of a model.
    pub fn endpoints_of<'a, 'm>(
        &'a self,
        model: &'m ModelId,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 'm> {
        self.endpoints.iter().filter(move |endpoint| endpoint.model == *model)
    }
}

impl Model {
    /// Returns the weight version for new requests in a zone.
    pub fn version_in(&self, zone: &ZoneId) -> &WeightVersion {
        match self.zone_versions.binary_search_by(|item| item.zone.cmp(zone)) {
            Ok(position) => &self.zone_versions[position].version,
            Err(_) => &self.version,
        }
    }

    /// Returns the adapter for new requests in a zone.
    pub fn adapter_in(&self, zone: &ZoneId) -> Option<&AdapterId> {
        match self.zone_adapters.binary_search_by(|item| item.zone.cmp(zone)) {
            Ok(position) => self.zone_adapters[position].adapter.as_ref(),
            Err(_) => self.adapter.as_ref(),
        }
    }
}

impl Organisation {
    /// Returns whether the organisation may use a model.
    pub fn may_use_model(&self, model: &ModelId) -> bool {
        self.models.binary_search(model).is_ok()
    }

    /// Returns whether the organisation may use a service.
    pub fn may_use_service(&self, service: &ServiceId) -> bool {
        self.services.binary_search(service).is_ok()
    }
}
