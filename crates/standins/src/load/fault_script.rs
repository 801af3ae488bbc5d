//! Fault scripts: JSON files with faults and the times at which they are injected.
//!
//! The file is a list of entries such as
//!
//! ```json
//! [{"at_ms": 5000, "action": {"post": {"to": "clip-1", "path": "/faults",
//!                                      "body": {"actions": ["crash"]}}}},
//!  {"at_ms": 9000, "action": {"command": {"to": "node-a.admin", "key": "operator-key",
//!                                         "command": "take zone burnaby-yard out"}}},
//!  {"at_ms": 9500, "action": {"signal": {"process": "node-b", "signal": "kill"}}}]
//! ```
//!
//! `to` is an address or a name of the deployment file.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snafu::Snafu;

/// A signal that a script may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalName {
    /// Ends a process gracefully.
    Term,
    /// Ends a process at once.
    Kill,
    /// Pauses a process.
    Stop,
    /// Resumes a paused process.
    Cont,
}

/// An action of a fault script.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultStep {
    /// Posts a JSON body, for example to `/faults` of a stand-in.
    Post {
        /// Address or name.
        to: String,
        /// The path of the URL.
        path: String,
        /// The body.
        body: Value,
    },
    /// Sends an operators' command to a node's admin address.
    Command {
        /// Address or name.
        to: String,
        /// The operator's bearer key.
        key: String,
        /// A statement of the command language.
        command: String,
        /// The command's id; generated from its index in the script if absent.
        #[serde(default)]
        command_id: Option<String>,
        /// The configuration revision that the command is conditional on.
        #[serde(default)]
        expected_revision: Option<String>,
    },
    /// Sends a signal to a process whose id was given on the command line.
    Signal {
        /// The name of the process.
        process: String,
        /// The signal.
        signal: SignalName,
    },
}

impl FaultStep {
    /// Describes the step for reports.
    pub fn describe(&self) -> String {
        match self {
            Self::Post { to, path, body } => format!("post {body} to {to}{path}"),
            Self::Command { to, command, .. } => format!("command {command:?} to {to}"),
            Self::Signal { process, signal } => format!("signal {signal:?} to {process}"),
        }
    }
}

/// An entry of a fault script.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEntry {
    /// Time from the start of the run.
    pub at_ms: u64,
    /// The step.
    pub action: FaultStep,
}

/// The error for a fault script that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the fault script cannot be used: {detail}"))]
pub struct ScriptError {
    detail: String,
}

/// Parses a script and sorts it by time; signals may go only to the processes named in `processes`.
///
/// # Errors
///
/// Fails if the text is not a fault script or a signal goes to an unknown process.
pub fn parse_script(text: &str, processes: &[String]) -> Result<Vec<FaultEntry>, ScriptError> {
    let mut entries: Vec<FaultEntry> =
        serde_json::from_str(text).map_err(|error| ScriptError { detail: error.to_string() })?;
    for entry in &entries {
        if let FaultStep::Signal { process, .. } = &entry.action
            && !processes.contains(process)
        {
            let detail = format!("process {process:?} has no id on the command line");
            return Err(ScriptError { detail });
        }
    }
    entries.sort_by_key(|entry| entry.at_ms);
    Ok(entries)
}

/// Returns the body of `POST /operators/commands`.
pub fn command_body(command: &str, command_id: &str, expected_revision: Option<&String>) -> Value {
    let mut body = json!({"command": command, "command_id": command_id, "dry_run": false});
    if let Some(revision) = expected_revision {
        body["expected_revision"] = json!(revision);
    }
    body
}
