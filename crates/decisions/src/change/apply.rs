//! Applies a change to a document.

use smol_str::SmolStr;
use yuccapass_types::{
    AdapterId, ModelId, OrganisationId, ServiceId, Shared, WeightVersion, ZoneId,
};

use super::edit::{
    add_to_set, find, insert_new, insert_or_replace, not_found, remove, remove_from_set,
};
use super::sentence::{ApprovalTarget, Change, TargetKind};
use crate::config::{
    Class, DEFAULT_BLOCK_PAYLOAD, Document, InvalidDocument, Model, Organisation, Zone,
    ZoneAdapter, ZoneState, ZoneVersion, validate,
};

/// Number of replicas of a new model that may swap weights at the same time, until an operator
/// changes it.
const DEFAULT_MAX_SWAPPING: u32 = 1;

/// Returns a document with a change applied and the same revision.
///
/// A change that is already in effect results in an equal document.
///
/// # Errors
///
/// Returns the field, its value and the bound that it violates.
pub fn apply(document: &Document, change: &Change) -> Result<Document, InvalidDocument> {
    let next = apply_unchecked(document, change)?;
    validate(&next)?;
    Ok(next)
}

/// Applies a change and leaves the validation of the whole document to the caller.
pub(super) fn apply_unchecked(
    document: &Document,
    change: &Change,
) -> Result<Document, InvalidDocument> {
    let mut next = document.clone();
    edit(&mut next, change)?;
    Ok(next)
}

fn edit(document: &mut Document, change: &Change) -> Result<(), InvalidDocument> {
    match change {
        Change::CreateOrganisation { .. }
        | Change::RemoveOrganisation(_)
        | Change::SetShare(..)
        | Change::SetLimit(..)
        | Change::AddKey(..)
        | Change::RemoveKey(..)
        | Change::Approve(..)
        | Change::Withdraw(..) => edit_organisation(document, change),
        Change::CreateZone(..)
        | Change::SetZoneState(..)
        | Change::AddVoter(..)
        | Change::RemoveVoter(..) => edit_zone(document, change),
        Change::AddEndpoint(_) | Change::RemoveEndpoint(_) | Change::SetEndpointLeaving(..) => {
            edit_endpoint(document, change)
        }
        Change::SetClass(id, priority) => {
            let class = Class { id: id.clone(), priority: *priority };
            insert_or_replace(&mut document.classes, class, |class| &class.id);
            Ok(())
        }
        Change::RemoveClass(id) => remove(&mut document.classes, "class", id, |class| &class.id),
        Change::CreateModel { .. }
        | Change::UseVersion { .. }
        | Change::UseAdapter { .. }
        | Change::SetMaxSwapping(..) => edit_model(document, change),
    }
}

fn edit_organisation(document: &mut Document, change: &Change) -> Result<(), InvalidDocument> {
    match change {
        Change::CreateOrganisation { organisation, share, limit } => {
            let created = Organisation {
                id: organisation.clone(),
                key_hashes: Vec::new(),
                models: Vec::new(),
                services: Vec::new(),
                share: *share,
                limit_tokens_per_s: *limit,
            };
            insert_new(&mut document.organisations, "organisation", created.into(), |item| {
                &item.id
            })?;
        }
        Change::RemoveOrganisation(id) => {
            remove(&mut document.organisations, "organisation", id, |item| &item.id)?;
        }
        Change::SetShare(id, share) => organisation(document, id)?.share = *share,
        Change::SetLimit(id, limit) => organisation(document, id)?.limit_tokens_per_s = *limit,
        Change::AddKey(id, key) => add_to_set(&mut organisation(document, id)?.key_hashes, *key),
        Change::RemoveKey(id, key) => {
            remove_from_set(&mut organisation(document, id)?.key_hashes, key);
        }
        Change::Approve(id, target) => {
            let target = ResolvedTarget::resolve(document, target)?;
            let organisation = organisation(document, id)?;
            match target {
                ResolvedTarget::Model(model) => add_to_set(&mut organisation.models, model),
                ResolvedTarget::Service(service) => add_to_set(&mut organisation.services, service),
            }
        }
        Change::Withdraw(id, target) => {
            let target = ResolvedTarget::resolve(document, target)?;
            let organisation = organisation(document, id)?;
            match target {
                ResolvedTarget::Model(model) => remove_from_set(&mut organisation.models, &model),
                ResolvedTarget::Service(service) => {
                    remove_from_set(&mut organisation.services, &service)
                }
            }
        }
        _ => {}
    }
    Ok(())
}

fn edit_zone(document: &mut Document, change: &Change) -> Result<(), InvalidDocument> {
    match change {
        Change::CreateZone(id, region) => {
            let (region, state) = (region.clone(), ZoneState::In);
            let created = Zone {
                id: id.clone(),
                region,
                state,
                voters: Vec::new(),
                replaced_voters: Vec::new(),
            };
            insert_new(&mut document.zones, "zone", created, |item| &item.id)
        }
        Change::SetZoneState(id, state) => {
            zone(document, id)?.state = *state;
            Ok(())
        }
        Change::AddVoter(id, voter) => {
            let before = document.zones.clone();
            insert_or_replace(&mut zone(document, id)?.voters, voter.clone(), |item| &item.id);
            record_replaced_voters(document, &before);
            Ok(())
        }
        Change::RemoveVoter(id, voter) => {
            let before = document.zones.clone();
            remove(&mut zone(document, id)?.voters, "voter", voter, |item| &item.id)?;
            record_replaced_voters(document, &before);
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Records in all zones the voters from before a change that adds or removes a voter.
fn record_replaced_voters(document: &mut Document, before: &[Zone]) {
    let ids = |zone: &Zone| zone.voters.iter().map(|voter| voter.id.clone()).collect::<Vec<_>>();
    // A change of only an address does not change who votes.
    if document.zones.iter().map(ids).eq(before.iter().map(ids)) {
        return;
    }
    for (zone, earlier) in document.zones.iter_mut().zip(before) {
        zone.replaced_voters = ids(earlier);
    }
}

fn edit_endpoint(document: &mut Document, change: &Change) -> Result<(), InvalidDocument> {
    let list = &mut document.endpoints;
    match change {
        Change::AddEndpoint(endpoint) => {
            insert_new(list, "endpoint", endpoint.clone(), |item| &item.id)
        }
        Change::RemoveEndpoint(id) => remove(list, "endpoint", id, |item| &item.id),
        Change::SetEndpointLeaving(id, leaving) => {
            find(list, "endpoint", id, |item| &item.id)?.leaving = *leaving;
            Ok(())
        }
        _ => Ok(()),
    }
}

fn edit_model(document: &mut Document, change: &Change) -> Result<(), InvalidDocument> {
    match change {
        Change::CreateModel { model, version, store } => {
            let created = Model {
                id: model.clone(),
                version: version.clone(),
                adapter: None,
                store: store.clone(),
                block_payload_bytes: DEFAULT_BLOCK_PAYLOAD,
                max_swapping_replicas: DEFAULT_MAX_SWAPPING,
                zone_versions: Vec::new(),
                zone_adapters: Vec::new(),
            };
            insert_new(&mut document.models, "model", created, |item| &item.id)?;
        }
        Change::UseVersion { model, version, zone } => {
            use_version(find_model(document, model)?, version, zone.as_ref());
        }
        Change::UseAdapter { model, adapter, zone } => {
            use_adapter(find_model(document, model)?, adapter.as_ref(), zone.as_ref());
        }
        Change::SetMaxSwapping(model, count) => {
            find_model(document, model)?.max_swapping_replicas = *count;
        }
        _ => {}
    }
    Ok(())
}

fn use_version(model: &mut Model, version: &WeightVersion, zone: Option<&ZoneId>) {
    match zone {
        Some(zone) => {
            let item = ZoneVersion { zone: zone.clone(), version: version.clone() };
            insert_or_replace(&mut model.zone_versions, item, |item| &item.zone);
        }
        None => {
            model.version = version.clone();
            model.zone_versions.clear();
        }
    }
}

fn use_adapter(model: &mut Model, adapter: Option<&AdapterId>, zone: Option<&ZoneId>) {
    match zone {
        Some(zone) => {
            let item = ZoneAdapter { zone: zone.clone(), adapter: adapter.cloned() };
            insert_or_replace(&mut model.zone_adapters, item, |item| &item.zone);
        }
        None => {
            model.adapter = adapter.cloned();
            model.zone_adapters.clear();
        }
    }
}

fn organisation<'a>(
    document: &'a mut Document,
    id: &OrganisationId,
) -> Result<&'a mut Organisation, InvalidDocument> {
    find(&mut document.organisations, "organisation", id, |item| &item.id).map(Shared::make_mut)
}

fn zone<'a>(document: &'a mut Document, id: &ZoneId) -> Result<&'a mut Zone, InvalidDocument> {
    find(&mut document.zones, "zone", id, |item| &item.id)
}

fn find_model<'a>(
    document: &'a mut Document,
    id: &ModelId,
) -> Result<&'a mut Model, InvalidDocument> {
    find(&mut document.models, "model", id, |item| &item.id)
}

/// The model or service that an approval is for.
enum ResolvedTarget {
    Model(ModelId),
    Service(ServiceId),
}

impl ResolvedTarget {
    fn resolve(document: &Document, target: &ApprovalTarget) -> Result<Self, InvalidDocument> {
        let model = Self::model_of(document, &target.name);
        let service = Self::service_of(document, &target.name);
        match (target.kind, model, service) {
            (Some(TargetKind::Model), model, _) => model.ok_or_else(|| not_found("model", target)),
            (Some(TargetKind::Service), _, service) => {
                service.ok_or_else(|| not_found("service", target))
            }
            (None, Some(_), Some(_)) => {
                let bound = "a model and a service have this name: say which one is meant";
                Err(InvalidDocument::new("target".into(), target, bound))
            }
            (None, model, service) => {
                model.or(service).ok_or_else(|| not_found("model or service", target))
            }
        }
    }

    fn model_of(document: &Document, name: &SmolStr) -> Option<Self> {
        let id = name.parse().ok()?;
        document.model(&id).is_some().then_some(Self::Model(id))
    }

    fn service_of(document: &Document, name: &SmolStr) -> Option<Self> {
        let id = name.parse().ok()?;
        document.service(&id).is_some().then_some(Self::Service(id))
    }
}
