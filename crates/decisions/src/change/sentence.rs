//! Changes and their form as sentences of the operators' command language.

use std::fmt;

use smol_str::SmolStr;
use yuccapass_types::{
    AdapterId, ClassId, EndpointId, KeyHash, ModelId, OrganisationId, RegionId, StoreId,
    TokensPerSecond, WeightVersion, ZoneId,
};

use super::object::ObjectRef;
use crate::config::{Endpoint, Voter, ZoneState};

/// Whether an approval is for a model or for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model.
    Model,
    /// A plain service.
    Service,
}

/// What an organisation is approved for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApprovalTarget {
    /// Whether it is a model or a service; without it, the name must exist only as one of the two.
    pub kind: Option<TargetKind>,
    /// The name of the model or service.
    pub name: SmolStr,
}

impl fmt::Display for ApprovalTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Some(TargetKind::Model) => write!(f, "model {}", self.name),
            Some(TargetKind::Service) => write!(f, "service {}", self.name),
            None => write!(f, "{}", self.name),
        }
    }
}

/// A change to the configuration.
///
/// `Display` writes the sentence of the command language that is parsed to the same change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// Adds an organisation without keys or approvals.
    CreateOrganisation {
        /// The organisation.
        organisation: OrganisationId,
        /// Its share of contended capacity.
        share: u32,
        /// Its limit in each zone.
        limit: TokensPerSecond,
    },
    /// Removes an organisation with its keys and approvals.
    RemoveOrganisation(OrganisationId),
    /// Sets an organisation's share of contended capacity.
    SetShare(OrganisationId, u32),
    /// Sets an organisation's limit in each zone.
    SetLimit(OrganisationId, TokensPerSecond),
    /// Adds a bearer key by its hash.
    AddKey(OrganisationId, KeyHash),
    /// Removes a bearer key by its hash.
    RemoveKey(OrganisationId, KeyHash),
    /// Approves an organisation for a model or a service.
    Approve(OrganisationId, ApprovalTarget),
    /// Withdraws an approval.
    Withdraw(OrganisationId, ApprovalTarget),
    /// Adds a zone that gets new requests.
    CreateZone(ZoneId, RegionId),
    /// Takes a zone out of service or brings it back.
    SetZoneState(ZoneId, ZoneState),
    /// Adds a node slot to a zone's voters.
    AddVoter(ZoneId, Voter),
    /// Removes a node slot from a zone's voters.
    RemoveVoter(ZoneId, yuccapass_types::NodeId),
    /// Adds an endpoint.
    AddEndpoint(Endpoint),
    /// Removes an endpoint.
    RemoveEndpoint(EndpointId),
    /// Takes an endpoint out of service or brings it back.
    SetEndpointLeaving(EndpointId, bool),
    /// Adds a request class or sets its priority.
    SetClass(ClassId, i32),
    /// Removes a request class.
    RemoveClass(ClassId),
    /// Adds a model.
    CreateModel {
        /// The model.
        model: ModelId,
        /// The weight version for new requests.
        version: WeightVersion,
        /// The store for exported blocks.
        store: Option<StoreId>,
    },
    /// Sets the weight version for new requests, in all zones or in one.
    UseVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: WeightVersion,
        /// The zone; without it, all zones, which removes the exceptions for single zones.
        zone: Option<ZoneId>,
    },
    /// Sets the adapter for new requests, in all zones or in one.
    UseAdapter {
        /// The model.
        model: ModelId,
        /// The adapter, or none.
        adapter: Option<AdapterId>,
        /// The zone; without it, all zones, which removes the exceptions for single zones.
        zone: Option<ZoneId>,
    },
    /// Sets how many replicas of a model may swap weights at the same time.
    SetMaxSwapping(ModelId, u32),
}

impl Change {
    /// Returns the object that the change affects.
    pub fn object(&self) -> ObjectRef {
        match self {
            Self::CreateOrganisation { organisation, .. }
            | Self::RemoveOrganisation(organisation)
            | Self::SetShare(organisation, _)
            | Self::SetLimit(organisation, _)
            | Self::AddKey(organisation, _)
            | Self::RemoveKey(organisation, _)
            | Self::Approve(organisation, _)
            | Self::Withdraw(organisation, _) => ObjectRef::Organisation(organisation.clone()),
            Self::CreateZone(zone, _)
            | Self::SetZoneState(zone, _)
            | Self::AddVoter(zone, _)
            | Self::RemoveVoter(zone, _) => ObjectRef::Zone(zone.clone()),
            Self::AddEndpoint(endpoint) => ObjectRef::Endpoint(endpoint.id.clone()),
            Self::RemoveEndpoint(endpoint) | Self::SetEndpointLeaving(endpoint, _) => {
                ObjectRef::Endpoint(endpoint.clone())
            }
            Self::SetClass(class, _) | Self::RemoveClass(class) => ObjectRef::Class(class.clone()),
            Self::CreateModel { model, .. }
            | Self::UseVersion { model, .. }
            | Self::UseAdapter { model, .. }
            | Self::SetMaxSwapping(model, _) => ObjectRef::Model(model.clone()),
        }
    }

    /// Returns whether the change affects the list of voters.
    pub fn changes_voters(&self) -> bool {
        matches!(self, Self::AddVoter(..) | Self::RemoveVoter(..))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateOrganisation { organisation, share, limit } => {
                write!(f, "create organisation {organisation} with share {share} and limit {limit}")
            }
            Self::RemoveOrganisation(id) => write!(f, "remove organisation {id}"),
            Self::SetShare(id, share) => write!(f, "set share of {id} to {share}"),
            Self::SetLimit(id, limit) => write!(f, "set limit of {id} to {limit}"),
            Self::AddKey(id, key) => write!(f, "add key {key} to {id}"),
            Self::RemoveKey(id, key) => write!(f, "remove key {key} from {id}"),
            Self::Approve(id, target) => write!(f, "approve {id} for {target}"),
            Self::Withdraw(id, target) => write!(f, "withdraw {id} from {target}"),
            Self::CreateZone(zone, region) => write!(f, "create zone {zone} in region {region}"),
            Self::SetZoneState(id, ZoneState::Out) => write!(f, "take zone {id} out"),
            Self::SetZoneState(id, ZoneState::In) => write!(f, "bring zone {id} back"),
            Self::AddVoter(zone, voter) => {
                write!(f, "add voter {} at {} to zone {zone}", voter.id, voter.address)
            }
            Self::RemoveVoter(zone, voter) => write!(f, "remove voter {voter} from zone {zone}"),
            Self::AddEndpoint(endpoint) => write_endpoint(f, endpoint),
            Self::RemoveEndpoint(id) => write!(f, "remove endpoint {id}"),
            Self::SetEndpointLeaving(id, true) => write!(f, "take endpoint {id} out"),
            Self::SetEndpointLeaving(id, false) => write!(f, "bring endpoint {id} back"),
            Self::SetClass(id, priority) => write!(f, "set priority of class {id} to {priority}"),
            Self::RemoveClass(id) => write!(f, "remove class {id}"),
            Self::CreateModel { model, version, store } => {
                write!(f, "create model {model} with version {version}")?;
                write_optional(f, " and store ", store.as_ref())
            }
            Self::UseVersion { model, version, zone } => {
                write!(f, "use version {version} of {model}")?;
                write_optional(f, " in zone ", zone.as_ref())
            }
            Self::UseAdapter { model, adapter: Some(adapter), zone } => {
                write!(f, "use adapter {adapter} of {model}")?;
                write_optional(f, " in zone ", zone.as_ref())
            }
            Self::UseAdapter { model, adapter: None, zone } => {
                write!(f, "use no adapter of {model}")?;
                write_optional(f, " in zone ", zone.as_ref())
            }
            Self::SetMaxSwapping(model, count) => {
                write!(f, "swap at most {count} replicas of {model}")
            }
        }
    }
}

fn write_optional(
    f: &mut fmt::Formatter<'_>,
    words: &str,
    value: Option<&impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, "{words}{value}"),
        None => Ok(()),
    }
}

fn write_endpoint(f: &mut fmt::Formatter<'_>, endpoint: &Endpoint) -> fmt::Result {
    let Endpoint { id, model, zone, address, cold_requests, .. } = endpoint;
    write!(f, "add endpoint {id} of {model} in zone {zone} at {address}")?;
    write!(f, " with {cold_requests} cold requests")?;
    f.write_str(if endpoint.checks_fencing { " and fencing" } else { "" })
}
