//! Validation of a whole configuration document.

use std::collections::HashSet;
use std::fmt;

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use snafu::Snafu;

use yuccapass_types::{Bytes, KeyHash, ZoneId};

use super::document::{Document, Model, Organisation};

/// Maximum number of endpoints in a document: several times the 850 of the target deployment.
const MAX_ENDPOINTS: usize = 10_000;

/// Maximum number of organisations in a document: several times the 23,000 of the target
/// deployment.
const MAX_ORGANISATIONS: usize = 100_000;

/// Maximum number of bearer keys of an organisation.
const MAX_KEYS: usize = 64;

/// Maximum number of zones, classes, models, services and stores, and so of the models and services
/// that one organisation is approved for.
///
/// This and the next two bounds keep each item of a document smaller than a chunk.
const MAX_LIST_ITEMS: usize = 256;

/// Maximum number of voters of a zone; the target deployment has 340 nodes in 6 zones.
const MAX_VOTERS: usize = 256;

/// Maximum number of addresses of a service or store.
const MAX_ADDRESSES: usize = 1_024;

/// Maximum size of an exported block, which the clients of endpoints and stores accept.
const MAX_BLOCK_PAYLOAD: Bytes = Bytes::new(64 << 20);

/// Maximum share of an organisation, so that sums of shares cannot overflow.
const MAX_SHARE: u32 = 1_000_000;

/// Reports the first field of a document that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field} is {value}, but {bound}"))]
pub struct InvalidDocument {
    field: SmolStr,
    value: SmolStr,
    bound: SmolStr,
}

impl InvalidDocument {
    pub(crate) fn new(field: SmolStr, value: impl ToString, bound: impl Into<SmolStr>) -> Self {
        Self { field, value: value.to_string().into(), bound: bound.into() }
    }

    /// Returns the field that is not valid.
    pub fn field(&self) -> &str {
        &self.field
    }

    /// Returns the value of the field.
    pub fn value(&self) -> &str {
        &self.value
    }

    /// Returns the bound that the value violates.
    pub fn bound(&self) -> &str {
        &self.bound
    }
}

/// Checks that a document can become active.
///
/// # Errors
///
/// Returns the first field that violates a bound or refers to something that does not exist.
pub fn validate(document: &Document) -> Result<(), InvalidDocument> {
    check_sort_orders(document)?;
    check_count("endpoints", document.endpoints.len(), MAX_ENDPOINTS)?;
    check_count("organisations", document.organisations.len(), MAX_ORGANISATIONS)?;
    check_count("zones", document.zones.len(), MAX_LIST_ITEMS)?;
    check_count("classes", document.classes.len(), MAX_LIST_ITEMS)?;
    check_count("models", document.models.len(), MAX_LIST_ITEMS)?;
    check_count("services", document.services.len(), MAX_LIST_ITEMS)?;
    check_count("stores", document.stores.len(), MAX_LIST_ITEMS)?;
    check_voters(document)?;
    check_models(document)?;
    check_endpoints(document)?;
    check_services(document)?;
    check_stores(document)?;
    check_organisations(document)
}

fn check_sort_orders(document: &Document) -> Result<(), InvalidDocument> {
    check_sorted("zones", document.zones.iter().map(|item| &item.id))?;
    check_sorted("classes", document.classes.iter().map(|item| &item.id))?;
    check_sorted("models", document.models.iter().map(|item| &item.id))?;
    check_sorted("endpoints", document.endpoints.iter().map(|item| &item.id))?;
    check_sorted("services", document.services.iter().map(|item| &item.id))?;
    check_sorted("stores", document.stores.iter().map(|item| &item.id))?;
    check_sorted("organisations", document.organisations.iter().map(|item| &item.id))
}

/// Checks that ids are sorted and unique.
///
/// `field` is any displayable value, so that a string is built only for an error.
fn check_sorted<'a, T: Ord + ToString + 'a>(
    field: impl fmt::Display,
    ids: impl Iterator<Item = &'a T>,
) -> Result<(), InvalidDocument> {
    let mut previous: Option<&T> = None;
    for id in ids {
        if previous.is_some_and(|previous| previous >= id) {
            let bound = "the list must be sorted and without duplicates";
            return Err(InvalidDocument::new(field.to_smolstr(), id.to_string(), bound));
        }
        previous = Some(id);
    }
    Ok(())
}

fn check_count(field: impl fmt::Display, count: usize, max: usize) -> Result<(), InvalidDocument> {
    if count <= max {
        return Ok(());
    }
    let bound = format_smolstr!("there may be at most {max}");
    Err(InvalidDocument::new(format_smolstr!("{field}.length"), count, bound))
}

fn check_voters(document: &Document) -> Result<(), InvalidDocument> {
    let mut seen = HashSet::new();
    for zone in &document.zones {
        let field = format_smolstr!("zones.{}.voters", zone.id);
        check_count(&field, zone.voters.len(), MAX_VOTERS)?;
        check_sorted(&field, zone.voters.iter().map(|voter| &voter.id))?;
        for voter in &zone.voters {
            if !seen.insert(&voter.id) {
                return Err(InvalidDocument::new(field, &voter.id, "a voter may stand only once"));
            }
        }
    }
    Ok(())
}

fn check_models(document: &Document) -> Result<(), InvalidDocument> {
    for model in &document.models {
        if model.max_swapping_replicas == 0 {
            let field = format_smolstr!("models.{}.max_swapping_replicas", model.id);
            return Err(InvalidDocument::new(field, 0, "it must be at least 1"));
        }
        check_blocks_and_store(document, model)?;
        let zones = model.zone_versions.iter().map(|item| &item.zone);
        check_zones(document, &format_smolstr!("models.{}.zone_versions", model.id), zones)?;
        let zones = model.zone_adapters.iter().map(|item| &item.zone);
        check_zones(document, &format_smolstr!("models.{}.zone_adapters", model.id), zones)?;
    }
    Ok(())
}

fn check_blocks_and_store(document: &Document, model: &Model) -> Result<(), InvalidDocument> {
    let size = model.block_payload_bytes;
    if size == Bytes::ZERO || size > MAX_BLOCK_PAYLOAD {
        let field = format_smolstr!("models.{}.block_payload_bytes", model.id);
        let bound = format_smolstr!("it must be from 1 B to {MAX_BLOCK_PAYLOAD}");
        return Err(InvalidDocument::new(field, size, bound));
    }
    match model.store.as_ref().filter(|store| document.store(store).is_none()) {
        Some(store) => {
            let field = format_smolstr!("models.{}.store", model.id);
            Err(InvalidDocument::new(field, store, "there is no such store"))
        }
        None => Ok(()),
    }
}

fn check_zones<'a>(
    document: &Document,
    field: &str,
    mut zones: impl Iterator<Item = &'a ZoneId> + Clone,
) -> Result<(), InvalidDocument> {
    check_sorted(field, zones.clone())?;
    match zones.find(|zone| document.zone(zone).is_none()) {
        Some(zone) => Err(InvalidDocument::new(field.into(), zone, "there is no such zone")),
        None => Ok(()),
    }
}

fn check_endpoints(document: &Document) -> Result<(), InvalidDocument> {
    for endpoint in &document.endpoints {
        let field = |name: &str| format_smolstr!("endpoints.{}.{name}", endpoint.id);
        if document.model(&endpoint.model).is_none() {
            let bound = "there is no such model";
            return Err(InvalidDocument::new(field("model"), &endpoint.model, bound));
        }
        if document.zone(&endpoint.zone).is_none() {
            let bound = "there is no such zone";
            return Err(InvalidDocument::new(field("zone"), &endpoint.zone, bound));
        }
        if endpoint.cold_requests == 0 {
            let bound = "it must be at least 1";
            return Err(InvalidDocument::new(field("cold_requests"), 0, bound));
        }
    }
    Ok(())
}

fn check_services(document: &Document) -> Result<(), InvalidDocument> {
    for service in &document.services {
        let field = |name: &str| format_smolstr!("services.{}.{name}", service.id);
        if document.zone(&service.zone).is_none() {
            let bound = "there is no such zone";
            return Err(InvalidDocument::new(field("zone"), &service.zone, bound));
        }
        if service.addresses.is_empty() {
            let bound = "there must be at least one";
            return Err(InvalidDocument::new(field("addresses"), "empty", bound));
        }
        check_count(field("addresses"), service.addresses.len(), MAX_ADDRESSES)?;
    }
    Ok(())
}

fn check_stores(document: &Document) -> Result<(), InvalidDocument> {
    for store in &document.stores {
        let field = |name: &str| format_smolstr!("stores.{}.{name}", store.id);
        if document.zone(&store.zone).is_none() {
            let bound = "there is no such zone";
            return Err(InvalidDocument::new(field("zone"), &store.zone, bound));
        }
        if store.addresses.is_empty() {
            let bound = "there must be at least one";
            return Err(InvalidDocument::new(field("addresses"), "empty", bound));
        }
        check_count(field("addresses"), store.addresses.len(), MAX_ADDRESSES)?;
        check_sorted(field("addresses"), store.addresses.iter())?;
    }
    Ok(())
}

fn check_organisations(document: &Document) -> Result<(), InvalidDocument> {
    for organisation in &document.organisations {
        check_organisation(document, organisation)?;
    }
    check_keys(document)
}

fn check_organisation(
    document: &Document,
    organisation: &Organisation,
) -> Result<(), InvalidDocument> {
    let id = &organisation.id;
    let field = |name: &str| format_smolstr!("organisations.{id}.{name}");
    let keys = format_args!("organisations.{id}.key_hashes");
    check_count(keys, organisation.key_hashes.len(), MAX_KEYS)?;
    check_sorted(keys, organisation.key_hashes.iter())?;
    check_sorted(format_args!("organisations.{id}.models"), organisation.models.iter())?;
    check_sorted(format_args!("organisations.{id}.services"), organisation.services.iter())?;
    if let Some(model) = organisation.models.iter().find(|id| document.model(id).is_none()) {
        return Err(InvalidDocument::new(field("models"), model, "there is no such model"));
    }
    let unknown = organisation.services.iter().find(|id| document.service(id).is_none());
    if let Some(service) = unknown {
        return Err(InvalidDocument::new(field("services"), service, "there is no such service"));
    }
    if organisation.share == 0 || organisation.share > MAX_SHARE {
        let bound = format_smolstr!("it must be from 1 to {MAX_SHARE}");
        return Err(InvalidDocument::new(field("share"), organisation.share, bound));
    }
    Ok(())
}

fn check_keys(document: &Document) -> Result<(), InvalidDocument> {
    // The keys are copied, since comparing them through references causes cache misses.
    let organisations = document.organisations.iter().zip(0_u32..);
    let mut keys: Vec<(KeyHash, u32)> = organisations
        .flat_map(|(organisation, position)| {
            organisation.key_hashes.iter().map(move |key| (*key, position))
        })
        .collect();
    keys.sort_unstable_by_key(|(key, _)| *key);
    match keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
        None => Ok(()),
        Some(pair) => {
            let (key, position) = pair[1];
            let organisation = &document.organisations[position as usize];
            let field = format_smolstr!("organisations.{}.key_hashes", organisation.id);
            let bound = "a key may belong to one organisation only";
            Err(InvalidDocument::new(field, key, bound))
        }
    }
}
