//! Commands: transactions that are settled even if their answer is lost.

use yuccapass_decisions::platform_budget::settle_write::{
    ReadBackResult, SettleStep, Settled, WriteResult, Writing,
};
use yuccapass_http::sleep_until;
use yuccapass_types::{Deadline, Instant};

use crate::client::KeyValueClient;
use crate::error::{PlatformError, PlatformErrorKind};
use crate::ids::{Key, LeaseId, Value};
use crate::key_value::{Compare, Entry, KeyValue, Transaction, TransactionOutcome, Write};

/// A transaction with a record under the command's id, by which its outcome is read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentTransaction {
    record: Key,
    record_lease: Option<LeaseId>,
    transaction: Transaction,
}

impl IdempotentTransaction {
    /// Makes a command whose record is `record`, a key that no other command uses.
    pub fn new(record: Key, transaction: Transaction) -> Self {
        Self { record, record_lease: None, transaction }
    }

    /// Sets the lease whose end deletes the record; by default it is kept.
    ///
    /// The lease has to outlive every attempt to settle the command.
    pub fn record_lease(mut self, lease: LeaseId) -> Self {
        self.record_lease = Some(lease);
        self
    }

    fn guarded_transaction(&self) -> Transaction {
        let mut transaction = self.transaction.clone();
        transaction.compares.push(Compare::Absent(self.record.clone()));
        let (key, lease) = (self.record.clone(), self.record_lease);
        transaction.writes.push(Write::Put { key, value: Value::default(), lease });
        transaction
    }
}

/// How a command ended, with what a conflict showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettleOutcome {
    /// How it ended.
    pub settled: Settled,
    /// The entries of the compared keys if the service refused the last write.
    pub conflicting: Vec<Entry>,
}

impl KeyValueClient {
    /// Carries out a command at most once and finds out whether it took effect.
    pub async fn settle(
        &self,
        command: &IdempotentTransaction,
        deadline: Deadline,
    ) -> SettleOutcome {
        let transaction = command.guarded_transaction();
        let mut conflicting = Vec::new();
        let mut next = SettleStep::Write(self.client().clock().now(), Writing::new(deadline));
        loop {
            next = match next {
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
                    let result = self.read_back(&command.record, deadline).await;
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
