//! Transactions that take effect at most once, and whose outcome is determined even if the response
//! to a write is lost.

use yuccapass_decisions::platform_budget::settle_write::{
    ReadBackResult, SettleStep, Settled, WriteResult, Writing,
};
use yuccapass_http::sleep_until;
use yuccapass_types::{Deadline, Instant};

use crate::client::KeyValueClient;
use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{Key, LeaseId, Value};
use crate::key_value::{Compare, Entry, KeyValue, Transaction, TransactionOutcome, Write};

/// A transaction that also creates a record key, which must not exist before.
///
/// The record makes repeated writes harmless, and reading it shows whether a write took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentTransaction {
    record: Key,
    record_lease: Option<LeaseId>,
    transaction: Transaction,
}

impl IdempotentTransaction {
    /// Creates a transaction with the record key `record`, which no other transaction may use.
    pub fn new(record: Key, transaction: Transaction) -> Self {
        Self { record, record_lease: None, transaction }
    }

    /// Attaches the record to a lease, which deletes the record when it ends; by default the record
    /// is kept.
    ///
    /// The lease has to outlive every attempt to settle the transaction.
    pub fn record_lease(mut self, lease: LeaseId) -> Self {
        self.record_lease = Some(lease);
        self
    }

    fn with_record(&self) -> Transaction {
        let mut transaction = self.transaction.clone();
        transaction.compares.push(Compare::Absent(self.record.clone()));
        let (key, lease) = (self.record.clone(), self.record_lease);
        transaction.writes.push(Write::Put { key, value: Value::default(), lease });
        transaction
    }
}

/// How an idempotent transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleOutcome {
    /// Whether it took effect, as far as is known.
    pub settled: Settled,
    /// The entries of the compared keys if the last write was a conflict; otherwise empty.
    pub conflicting: Vec<Entry>,
}

impl KeyValueClient {
    /// Commits a transaction at most once: repeats the write and reads the record back until the
    /// outcome is known or the deadline passes.
    pub async fn settle(
        &self,
        idempotent: &IdempotentTransaction,
        deadline: Deadline,
    ) -> SettleOutcome {
        let transaction = idempotent.with_record();
        let mut conflicting = Vec::new();
        let mut step = SettleStep::Write(self.client().clock().now(), Writing::new(deadline));
        loop {
            step = match step {
                SettleStep::Done(settled) => return SettleOutcome { settled, conflicting },
                SettleStep::Write(instant, writing) => {
                    self.wait_until(instant).await;
                    let answer = self.compare_and_swap(&transaction, deadline).await;
                    let result = write_result(answer, &mut conflicting);
                    let now = self.client().clock().now();
                    self.client().with_random(|random| writing.record_result(result, now, random))
                }
                SettleStep::ReadBack(instant, reading) => {
                    self.wait_until(instant).await;
                    let result = self.read_back(&idempotent.record, deadline).await;
                    let now = self.client().clock().now();
                    self.client().with_random(|random| reading.record_result(result, now, random))
                }
            };
        }
    }

    async fn wait_until(&self, instant: Instant) {
        sleep_until(self.client().clock(), Deadline::after_ms(instant, 0)).await;
    }

    async fn read_back(&self, record: &Key, deadline: Deadline) -> ReadBackResult {
        match self.get(record, deadline).await {
            Ok(answer) if answer.entry.is_some() => ReadBackResult::Found,
            Ok(_) => ReadBackResult::Absent,
            Err(_) => ReadBackResult::Failed,
        }
    }
}

fn write_result(
    answer: Result<TransactionOutcome, PlatformError>,
    conflicting: &mut Vec<Entry>,
) -> WriteResult {
    match answer {
        Ok(TransactionOutcome::Committed { .. }) => WriteResult::Committed,
        Ok(TransactionOutcome::Conflict { entries, .. }) => {
            *conflicting = entries;
            WriteResult::Conflict
        }
        Err(error) if error.kind() == PlatformErrorKind::Unknown => WriteResult::Unknown,
        Err(_) => WriteResult::NotDone,
    }
}
