//! Judges this node's own answers and reports its evidence while an order is under way.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccapass_decisions::gateway::version_rollout::{NodeEvidence, ReportTimer};
use yuccapass_decisions::platform_budget::{CallPurpose, CallRank};
use yuccapass_platform::{
    Key, KeyValue, KeyValueClient, LeaseId, LeaseTtl, PlatformClient, PlatformError,
    PlatformErrorKind, Transaction, Write,
};
use yuccapass_types::{Deadline, ServiceId, SortedMap};

use super::{EVIDENCE_KEYS, encode, wait};
use crate::state::Shared;

/// Period of looking at the answers while an order is under way.
const PERIOD_MS: u64 = 200;

/// Time to live of a node's key. It is not renewed, but granted anew at half of the time, so that a
/// report costs one call.
const TTL_S: u64 = 60;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The value of a node's key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct EvidenceEntry {
    pub(super) services: Vec<(ServiceId, NodeEvidence)>,
}

/// Reports the evidence of this node.
pub(super) struct Publisher {
    shared: Arc<Shared>,
    key_value: KeyValueClient,
    // With the instant at which it is replaced.
    lease: Option<(LeaseId, Deadline)>,
    timers: SortedMap<ServiceId, ReportTimer>,
}

impl Publisher {
    pub(super) fn new(shared: &Arc<Shared>, platform: &Arc<PlatformClient>) -> Self {
        let key_value = platform.key_value(CallRank::Report).with_purpose(CallPurpose::Rollouts);
        Self { shared: Arc::clone(shared), key_value, lease: None, timers: SortedMap::new() }
    }

    pub(super) async fn run(mut self) {
        loop {
            let evidence = self.shared.rollouts.judge(self.shared.nodes());
            let next = match evidence.is_empty() {
                true => Deadline::NEVER,
                false => Deadline::after_ms(self.shared.now(), PERIOD_MS),
            };
            if let Err(error) = self.report(evidence).await {
                log::info!(error:%; "evidence about a roll-out could not be written");
            }
            wait(&self.shared, &self.shared.rollouts.publisher_wake, next).await;
        }
    }

    /// Writes the evidence if a report about one of the services is due.
    async fn report(
        &mut self,
        services: Vec<(ServiceId, NodeEvidence)>,
    ) -> Result<(), PlatformError> {
        let now = self.shared.now();
        self.timers.retain(|service, _| services.iter().any(|(known, _)| known == service));
        let mut is_due = false;
        for (service, evidence) in &services {
            let timer = self.timers.get_or_insert_with(service.clone(), ReportTimer::default);
            is_due |= timer.is_due(evidence, now);
        }
        if !is_due {
            return Ok(());
        }
        // A report that fails is not repeated before the next one is due: it would be older.
        let nodes = self.shared.nodes();
        for (service, evidence) in &services {
            if let Some(timer) = self.timers.get_mut(service) {
                timer.record(evidence.clone(), nodes, rand::random(), now);
            }
        }
        self.write(&EvidenceEntry { services }).await
    }

    async fn write(&mut self, entry: &EvidenceEntry) -> Result<(), PlatformError> {
        let invalid = |error: &dyn std::fmt::Display| {
            PlatformError::new(PlatformErrorKind::InvalidRequest, error.to_string())
        };
        let node = &self.shared.options.node;
        let key: Key = format!("{EVIDENCE_KEYS}{node}").parse().map_err(|error| invalid(&error))?;
        let value = encode(entry).map_err(|error| invalid(&error))?;
        let lease = Some(self.lease().await?);
        let writes = vec![Write::Put { key, value, lease }];
        let transaction = Transaction { compares: Vec::new(), writes };
        let deadline = Deadline::after_ms(self.shared.now(), CALL_TIMEOUT_MS);
        let written = self.key_value.compare_and_swap(&transaction, deadline).await;
        if written.as_ref().is_err_and(|error| error.kind() == PlatformErrorKind::LeaseNotFound) {
            self.lease = None;
        }
        written.map(drop)
    }

    async fn lease(&mut self) -> Result<LeaseId, PlatformError> {
        let now = self.shared.now();
        if let Some((lease, until)) = self.lease
            && !until.has_passed(now)
        {
            return Ok(lease);
        }
        let deadline = Deadline::after_ms(now, CALL_TIMEOUT_MS);
        let grant = self.key_value.lease_grant(LeaseTtl::new(TTL_S), deadline).await?;
        self.lease = Some((grant.id, Deadline::after_ms(now, grant.ttl.as_ms() / 2)));
        Ok(grant.id)
    }
}
