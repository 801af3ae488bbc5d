//! Injects the faults of a fault script at their times.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use async_trait::async_trait;
use http_types::Method;
use rustix_1::process::{Pid, Signal, kill_process};
use serde_json::Value;
use yuccapass_http::{ClientConfig, ConnectionChoice, HttpClient};
use yuccapass_types::{Clock, Deadline, SortedMap};

use super::fault_script::{FaultEntry, FaultStep, SignalName, command_body};
use super::summary::AppliedFault;

/// Time limit of one HTTP call, since a silenced stand-in does not answer.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Path of operators' commands on a node's admin address.
const COMMANDS_PATH: &str = "/operators/commands";

/// Injects faults.
#[async_trait]
pub trait FaultInjector: Send + Sync {
    /// Executes a step and describes the result. `number` is the index of the step in the script.
    async fn apply(&self, number: usize, step: &FaultStep) -> String;
}

/// Injects faults into stand-ins and nodes over HTTP, and into processes by signals.
pub struct LocalFaultInjector {
    /// Addresses by name.
    pub addresses: SortedMap<String, SocketAddr>,
    /// Process ids by name; signals are sent only to these.
    pub processes: SortedMap<String, i32>,
    /// Prefix of generated command ids.
    pub run_id: String,
    /// Clock for the deadlines of calls.
    pub clock: Arc<dyn Clock>,
}

impl LocalFaultInjector {
    async fn post(&self, to: &str, path: &str, key: Option<&str>, body: &Value) -> String {
        let address = to.parse().ok().or_else(|| self.addresses.get(&to.to_owned()).copied());
        let Some(address) = address else { return format!("{to:?} is no known address") };
        let client = HttpClient::new(address, ClientConfig::default(), Arc::clone(&self.clock));
        let mut request = client.request(Method::Post, path);
        if let Some(key) = key {
            request.insert_header("authorization", format!("Bearer {key}"));
        }
        request.set_body(body.clone());
        let deadline = Deadline::after_ms(self.clock.now(), CALL_TIMEOUT_MS);
        match client.send(request, ConnectionChoice::New, deadline).await {
            Ok(exchange) => format!("status {}", exchange.response().status()),
            Err(error) => error.to_string(),
        }
    }

    fn signal(&self, process: &str, signal: SignalName) -> String {
        let id = self.processes.get(&process.to_owned()).copied().unwrap_or_default();
        // Ids of 0 and below address process groups.
        let Some(pid) = Pid::from_raw(id).filter(|_| id > 0) else {
            return format!("{process:?} has no process id");
        };
        let signal = match signal {
            SignalName::Term => Signal::TERM,
            SignalName::Kill => Signal::KILL,
            SignalName::Stop => Signal::STOP,
            SignalName::Cont => Signal::CONT,
        };
        match kill_process(pid, signal) {
            Ok(()) => "sent".to_owned(),
            Err(error) => error.to_string(),
        }
    }
}

#[async_trait]
impl FaultInjector for LocalFaultInjector {
    async fn apply(&self, number: usize, step: &FaultStep) -> String {
        match step {
            FaultStep::Post { to, path, body } => self.post(to, path, None, body).await,
            FaultStep::Command { to, key, command, command_id, expected_revision } => {
                let generated_id = format!("{}-{number}", self.run_id);
                let id = command_id.as_ref().unwrap_or(&generated_id);
                let body = command_body(command, id, expected_revision.as_ref());
                self.post(to, COMMANDS_PATH, Some(key), &body).await
            }
            FaultStep::Signal { process, signal } => self.signal(process, *signal),
        }
    }
}

/// Applies all entries, each at its time after `start`.
pub async fn apply_script(
    injector: Arc<dyn FaultInjector>,
    entries: Vec<FaultEntry>,
    start: Instant,
) -> Vec<AppliedFault> {
    let mut handles = Vec::new();
    for (number, entry) in entries.into_iter().enumerate() {
        let due = start + Duration::from_millis(entry.at_ms);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let injector = Arc::clone(&injector);
        // Steps run concurrently, so that one without an answer does not delay the next.
        handles.push(task::spawn(async move {
            let at_ms = start.elapsed().as_millis() as u64;
            let result = injector.apply(number, &entry.action).await;
            AppliedFault { at_ms, action: entry.action.describe(), result }
        }));
    }
    let mut applied = Vec::new();
    for handle in handles {
        applied.push(handle.await);
    }
    applied
}
