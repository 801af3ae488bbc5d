//! Which rollout a configuration asks for.

use yuccapass_types::{EndpointId, WeightVersion};

use crate::config::{Document, Endpoint, Model, ZoneState};

use super::driver::ReplicaReports;
use super::plan::Target;
use super::progress::{Progress, RolloutState};
use super::replica::ReplicaState;

/// A rollout that the configuration asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredRollout {
    /// The version that the replicas are brought to.
    pub version: WeightVersion,
    /// The replicas, in order of their ids.
    pub endpoints: Vec<EndpointId>,
}

impl DesiredRollout {
    /// Returns whether a progress is that of this rollout.
    pub fn is_driven_by(&self, progress: &Progress) -> bool {
        *progress.target() == Target::Version(self.version.clone())
            && progress.replicas().iter().map(|replica| &replica.endpoint).eq(&self.endpoints)
    }
}

/// Returns the rollout of a model that is to be driven now.
///
/// The replicas of all zones that want the same version form one rollout, and a model has one
/// rollout at a time, so that its limit of swapping replicas holds over all zones. An unfinished
/// rollout comes first, and a stopped one holds up the others, since its failed replicas are out of
/// service. Zones that are out are left alone until they return.
pub fn desired_rollout(
    document: &Document,
    model: &Model,
    progress: Option<&Progress>,
    reports: &ReplicaReports,
) -> Option<DesiredRollout> {
    let unfinished = progress.filter(|progress| progress.state() != RolloutState::Finished);
    let version = match unfinished {
        Some(progress) => version_to_continue(document, model, progress)?,
        None => version_to_begin(document, model, reports)?,
    };
    let is_kept = |endpoint: &Endpoint| {
        // A replica out of service has to be brought back, whatever its zone wants now.
        let step = unfinished.and_then(|progress| progress.step_of(&endpoint.id));
        step.is_some_and(|step| step.is_out_of_service())
    };
    let endpoints = document
        .endpoints_of(&model.id)
        .filter(|endpoint| {
            let is_in_group =
                is_driven(document, endpoint) && *model.version_in(&endpoint.zone) == version;
            is_in_group || is_kept(endpoint)
        })
        .map(|endpoint| endpoint.id.clone())
        .collect();
    Some(DesiredRollout { version, endpoints })
}

/// Returns the version that a replica reports and that the configuration does not want, if any.
pub fn unexpected_version(
    document: &Document,
    model: &Model,
    reports: &ReplicaReports,
) -> Option<WeightVersion> {
    let reported = |endpoint: &Endpoint| {
        let version = &reports.get(&endpoint.id)?.version;
        (version != model.version_in(&endpoint.zone)).then(|| version.clone())
    };
    let mut driven = driven_endpoints(document, model);
    driven.find_map(reported)
}

fn version_to_continue(
    document: &Document,
    model: &Model,
    progress: &Progress,
) -> Option<WeightVersion> {
    let is_known = |endpoint: &&Endpoint| progress.step_of(&endpoint.id).is_some();
    let wanted = |endpoint: &Endpoint| model.version_in(&endpoint.zone).clone();
    let replicas: Vec<WeightVersion> =
        document.endpoints_of(&model.id).filter(is_known).map(wanted).collect();
    let mut is_target =
        replicas.iter().filter(|version| *progress.target() == Target::Version((*version).clone()));
    is_target.next().or(replicas.first()).cloned()
}

fn version_to_begin(
    document: &Document,
    model: &Model,
    reports: &ReplicaReports,
) -> Option<WeightVersion> {
    let differs = |endpoint: &&Endpoint| {
        reports.get(&endpoint.id).is_some_and(|report| {
            report.state != ReplicaState::Leaving
                && report.version != *model.version_in(&endpoint.zone)
        })
    };
    let endpoint = driven_endpoints(document, model).find(differs)?;
    Some(model.version_in(&endpoint.zone).clone())
}

fn driven_endpoints<'a>(
    document: &'a Document,
    model: &'a Model,
) -> impl Iterator<Item = &'a Endpoint> {
    document.endpoints_of(&model.id).filter(|endpoint| is_driven(document, endpoint))
}

fn is_driven(document: &Document, endpoint: &Endpoint) -> bool {
    document.zone(&endpoint.zone).is_some_and(|zone| zone.state == ZoneState::In)
}
