//! What nodes tell each other about crashed endpoints.

use serde::{Deserialize, Serialize};
use yuccapass_types::{EndpointId, PromptPartId};

/// A process of an endpoint that has crashed. It crashes once, so this also names the crash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashedProcess {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Unix time of the start of the process in milliseconds.
    pub started_unix_ms: Option<u64>,
}

/// The prompts that were at an endpoint when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashObservation {
    /// The crash.
    pub process: CrashedProcess,
    /// Time from the crash to this report.
    pub age_ms: u64,
    /// Of each prompt, the parts on which no answer has ended since, in their order.
    pub prompts: Vec<Vec<PromptPartId>>,
}

/// Parts on which an answer has ended after a crash that had implicated them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedParts {
    /// The crash.
    pub process: CrashedProcess,
    /// The parts.
    pub parts: Vec<PromptPartId>,
}

/// What one node knows about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Prompts that may have crashed endpoints.
    pub observations: Vec<CrashObservation>,
    /// Parts that did not.
    pub cleared: Vec<ClearedParts>,
}
