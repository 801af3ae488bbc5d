//! What the endpoints say about themselves in their answers. Every request asks here before it is sent.

use std::sync::atomic::{AtomicUsize, Ordering};

use yuccapass_decisions::gateway::{EndpointNotice, EndpointNotices, EndpointRecord};
use yuccapass_types::{Deadline, EndpointId, Instant, Sharded, SortedMap};

/// How long a notice is remembered without another answer. An endpoint that takes nothing from this node
/// has no occasion to say that it does again.
const KEEP_MS: u64 = 600_000;

/// A process of an endpoint: its id and the time of its start. A notice ends with the process.
type Process = (EndpointId, Option<u64>);

struct Entry {
    notices: EndpointNotices,
    expiry: Deadline,
}

/// The notices of all endpoints.
///
/// They do not end when a registration lapses: in an outage of the platform it may return.
#[derive(Default)]
pub(crate) struct NoticeTable {
    shards: Sharded<SortedMap<Process, Entry>>,
    // Usually 0, and then no request looks at the shards.
    count: AtomicUsize,
}

impl NoticeTable {
    /// Records what an answer that arrived at `now` to a request sent at `sent_at` says.
    pub(crate) fn record(
        &self,
        (id, record): (&EndpointId, &EndpointRecord),
        notice: &EndpointNotice,
        sent_at: Instant,
        now: Instant,
    ) {
        if notice.is_empty() && self.count.load(Ordering::Acquire) == 0 {
            return;
        }
        let process = process(id, record);
        let (is_changed, change) = self.shards.with(id, |shard| {
            let before = shard.len();
            shard.retain(|_, entry| !entry.expiry.has_passed(now));
            let new = || Entry { notices: EndpointNotices::default(), expiry: Deadline::NEVER };
            let entry = shard.get_or_insert_with(process.clone(), new);
            let was_bound = !entry.notices.is_empty();
            entry.notices.record(notice, sent_at, now);
            entry.expiry = Deadline::after_ms(now, KEEP_MS);
            let is_bound = !entry.notices.is_empty();
            if !is_bound {
                shard.remove(&process);
            }
            (was_bound != is_bound, shard.len() as isize - before as isize)
        });
        self.count.fetch_add(change as usize, Ordering::AcqRel);
        if is_changed {
            log::info!(endpoint = id.as_str(), notice:?; "what an endpoint says of itself has changed");
        }
    }

    /// Returns whether this node may send a request to an endpoint now. `nodes` is the number of nodes
    /// that share its limit.
    pub(crate) fn may_send(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        nodes: u32,
        now: Instant,
    ) -> bool {
        let may_send = |notices: &mut EndpointNotices| notices.may_send(nodes, rand::random(), now);
        self.with(id, record, may_send).unwrap_or(true)
    }

    /// Takes the right to send a request to an endpoint now; returns `false` if there is none.
    #[must_use]
    pub(crate) fn try_send(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        nodes: u32,
        now: Instant,
    ) -> bool {
        let try_send = |notices: &mut EndpointNotices| notices.try_send(nodes, rand::random(), now);
        self.with(id, record, try_send).unwrap_or(true)
    }

    /// Returns after which time an endpoint takes another request from some node, in milliseconds, if it
    /// says anything about that.
    pub(crate) fn retry_after_ms(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        now: Instant,
    ) -> Option<u64> {
        self.with(id, record, |notices| notices.retry_after_ms(now)).flatten()
    }

    fn with<R>(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        action: impl FnOnce(&mut EndpointNotices) -> R,
    ) -> Option<R> {
        if self.count.load(Ordering::Acquire) == 0 {
            return None;
        }
        let process = process(id, record);
        self.shards
            .with(id, |shard| shard.get_mut(&process).map(|entry| action(&mut entry.notices)))
    }
}

fn process(id: &EndpointId, record: &EndpointRecord) -> Process {
    (id.clone(), record.started_unix_ms)
}
