//! Parsing fault scripts and injecting their faults.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_std::task::block_on;
use async_trait::async_trait;
use serde_json::json;
use yuccapass_standins::load::fault_injection::{FaultInjector, apply_script};
use yuccapass_standins::load::fault_script::{FaultStep, SignalName, command_body, parse_script};

const SCRIPT: &str = r#"[
    {"at_ms": 30, "action": {"signal": {"process": "node-b", "signal": "kill"}}},
    {"at_ms": 0, "action": {"post": {"to": "clip-1", "path": "/faults",
                                     "body": {"actions": ["crash"]}}}},
    {"at_ms": 10, "action": {"command": {"to": "node-a.admin", "key": "k", "command": "show zones"}}}
]"#;

#[derive(Default)]
struct FakeFaultInjector {
    applied: Mutex<Vec<(usize, FaultStep)>>,
}

#[async_trait]
impl FaultInjector for FakeFaultInjector {
    async fn apply(&self, number: usize, step: &FaultStep) -> String {
        self.applied.lock().unwrap().push((number, step.clone()));
        "done".to_owned()
    }
}

fn signal_step() -> FaultStep {
    FaultStep::Signal { process: "node-b".to_owned(), signal: SignalName::Kill }
}

/// Guards against entries that are applied in the order of the file instead of by time.
#[test]
fn entries_are_applied_by_time() {
    // Arrange
    let injector = Arc::new(FakeFaultInjector::default());
    let entries = parse_script(SCRIPT, &["node-b".to_owned()]).unwrap();

    // Act
    let applied = block_on(apply_script(injector.clone(), entries, Instant::now()));

    // Assert
    assert_eq!(applied.len(), 3);
    assert!(applied.iter().zip([0, 10, 30]).all(|(fault, due_ms)| fault.at_ms >= due_ms));
    assert!(applied.iter().all(|fault| fault.result == "done"));
    let starts = ["post", "command", "signal"];
    assert!(applied.iter().zip(starts).all(|(fault, start)| fault.action.starts_with(start)));
    assert!(injector.applied.lock().unwrap().contains(&(2, signal_step())));
}

/// Guards against scripts that are accepted although they signal a process without a known id, or
/// misspell an action.
#[test]
fn scripts_that_cannot_be_used_are_refused() {
    // Arrange
    let misspelt = r#"[{"at_ms": 1, "action": {"pots": {}}}]"#;

    // Act and assert
    let error = parse_script(SCRIPT, &["node-a".to_owned()]).unwrap_err();
    assert!(error.to_string().contains("node-b"), "{error}");
    assert!(parse_script(misspelt, &[]).is_err());
}

/// Guards against a command body that a node's operator interface rejects.
#[test]
fn commands_have_the_fields_of_the_operators_interface() {
    // Arrange
    let revision = "7".to_owned();

    // Act
    let (plain, expecting) =
        (command_body("show zones", "c-1", None), command_body("x", "c-2", Some(&revision)));

    // Assert
    let expected = json!({"command": "show zones", "command_id": "c-1", "dry_run": false});
    assert_eq!(plain, expected);
    assert_eq!(expecting["expected_revision"], "7");
}
