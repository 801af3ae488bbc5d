//! Tests of the rollout that a configuration requires.

#[path = "config_fixtures/mod.rs"]
mod config_fixtures;

use config_fixtures::{document, id};
use yuccapass_decisions::config::{Document, Endpoint, ZoneState, ZoneVersion};
use yuccapass_decisions::rollout::{
    DesiredRollout, Plan, Progress, ReplicaReport, ReplicaReports, ReplicaState, Role, Target,
    desired_rollout,
};
use yuccapass_types::{Incarnation, Instant};

/// Two endpoints in each zone; the model has the given version.
fn document_with(version: &str) -> Document {
    let endpoint = |number: usize| Endpoint {
        id: id(&format!("clip-{number}")),
        model: id("clip-models"),
        zone: id(["burnaby-yard", "kamloops-yard"][number / 2]),
        address: "127.0.0.1:9000".parse().unwrap(),
        checks_fencing: true,
        leaving: false,
        cold_requests: 2,
    };
    let mut document = document(0);
    document.models[0].version = id(version);
    document.endpoints = (0..4).map(endpoint).collect();
    document
}

fn reports(versions: [&str; 4]) -> ReplicaReports {
    let mut reports = ReplicaReports::new();
    for (number, version) in versions.into_iter().enumerate() {
        let report = ReplicaReport {
            incarnation: Incarnation::new(1),
            state: ReplicaState::Warm,
            version: id(version),
            adapters: Vec::new(),
            role: Role::Mixed,
            unfinished_requests: 0,
            reported_at: Instant::default(),
        };
        reports.insert(id(&format!("clip-{number}")), report);
    }
    reports
}

fn desired(
    document: &Document,
    progress: Option<&Progress>,
    versions: [&str; 4],
) -> Option<(String, Vec<String>)> {
    let rollout = desired_rollout(document, &document.models[0], progress, &reports(versions));
    rollout.map(|DesiredRollout { version, endpoints }| {
        (version.to_string(), endpoints.iter().map(ToString::to_string).collect())
    })
}

/// The progress of a rollout from v1 to v2 that has not begun.
fn progress(endpoints: &[&str]) -> Progress {
    let plan =
        Plan::new(id("clip-models"), Target::Version(id("v1")), Target::Version(id("v2")), 3);
    Progress::new(plan, endpoints.iter().map(|endpoint| id(endpoint)))
}

/// Guards against driving a rollout although all replicas report their configured version.
#[test]
fn no_rollout_is_driven_if_the_reports_match() {
    // Arrange
    let document = document_with("v1");

    // Act
    let found = desired(&document, None, ["v1"; 4]);

    // Assert
    assert_eq!(found, None);
}

/// Guards against one rollout per zone, whose swapping replicas together exceed the model's limit.
#[test]
fn zones_with_the_same_version_form_one_rollout() {
    // Arrange
    let document = document_with("v2");

    // Act
    let found = desired(&document, None, ["v2", "v2", "v1", "v1"]);

    // Assert
    let all = ["clip-0", "clip-1", "clip-2", "clip-3"].map(str::to_owned).to_vec();
    assert_eq!(found, Some(("v2".to_owned(), all)));
}

/// Guards against rolling out a version to a zone that is configured with another one.
#[test]
fn zone_with_another_version_is_not_part_of_the_rollout() {
    // Arrange
    let mut document = document_with("v1");
    document.models[0].zone_versions =
        vec![ZoneVersion { zone: id("kamloops-yard"), version: id("v2") }];

    // Act
    let found = desired(&document, None, ["v1"; 4]);

    // Assert
    let of_zone = ["clip-2", "clip-3"].map(str::to_owned).to_vec();
    assert_eq!(found, Some(("v2".to_owned(), of_zone)));
}

/// Guards against a rollout that waits for replicas of a zone that is out of service.
#[test]
fn zone_out_of_service_is_skipped() {
    // Arrange
    let mut document = document_with("v2");
    document.zones[1].state = ZoneState::Out;

    // Act
    let found = desired(&document, None, ["v1"; 4]);

    // Assert
    let of_zone = ["clip-0", "clip-1"].map(str::to_owned).to_vec();
    assert_eq!(found, Some(("v2".to_owned(), of_zone)));
}

/// Guards against continuing a rollout to a version that is no longer configured.
#[test]
fn unfinished_rollout_follows_the_configured_version() {
    // Arrange
    let document = document_with("v1");
    let progress = progress(&["clip-0", "clip-1", "clip-2", "clip-3"]);

    // Act
    let found = desired(&document, Some(&progress), ["v2", "v1", "v1", "v1"]);

    // Assert
    assert_eq!(found.map(|(version, _)| version), Some("v1".to_owned()));
}

/// Guards against a rollout that misses new replicas or keeps removed ones when its target changes.
#[test]
fn retargeting_adds_new_replicas_and_drops_removed_ones() {
    // Arrange
    let mut progress = progress(&["clip-0", "clip-1"]);

    // Act
    progress.retarget(Target::Version(id("v3")), ["clip-1", "clip-2"].map(id));

    // Assert
    let endpoints: Vec<&str> =
        progress.replicas().iter().map(|replica| replica.endpoint.as_str()).collect();
    assert_eq!(endpoints, ["clip-1", "clip-2"]);
    assert_eq!(*progress.target(), Target::Version(id("v3")));
}
