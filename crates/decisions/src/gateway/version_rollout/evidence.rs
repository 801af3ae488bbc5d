//! What a node has counted about the answers of each version.

use serde::{Deserialize, Serialize};
use yuccapass_types::{
    Deadline, EndpointId, Incarnation, Instant, RolloutOrderId, RouteId, SoftwareVersion, SortedMap,
};

/// Number of buckets for the times of answers.
const BUCKETS: u8 = 40;

/// The upper end of the first bucket in microseconds. Buckets grow by a factor of √2, up to about 66 s.
const FIRST_BUCKET_US: f64 = 100.0;

/// Bytes of a stream to which its time is related, about those of one event.
const BYTES_PER_PIECE: u64 = 64;

/// Writes a second of all nodes together, a small part of what the key-value service takes.
const REPORTS_PER_S: u64 = 100;

/// Minimum period of the reports of one node.
const REPORT_PERIOD_MS: u64 = 1_000;

/// Minimum time between two reports of one node if the second one tells of a bad answer or of another
/// step.
const URGENT_PERIOD_MS: u64 = 400;

/// The time that an answer took, in a form that can be compared between answers of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerTime(u8);

impl AnswerTime {
    /// Returns the time of an answer that is not a stream.
    pub fn of_answer(ms: u64) -> Self {
        Self::of_us(ms.saturating_mul(1_000))
    }

    /// Returns the time of a stream, relative to its bytes. A new endpoint has no cached prompts, so
    /// the time to its first event says little about its version.
    pub fn of_stream(ms: u64, bytes: u64) -> Self {
        let pieces = (bytes / BYTES_PER_PIECE).max(1);
        Self::of_us(ms.saturating_mul(1_000) / pieces)
    }

    fn of_us(us: u64) -> Self {
        let steps = (2.0 * (us as f64 / FIRST_BUCKET_US).max(1.0).log2()).ceil();
        Self((steps as u8).min(BUCKETS - 1))
    }
}

/// The outcome of an attempt, as far as it says something about the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A complete answer in this time.
    Complete(AnswerTime),
    /// A complete answer whose time says nothing, because the endpoint was cold.
    Untimed,
    /// An error answer, or one that was broken off or did not come in time.
    Failed,
}

/// Which of the two versions of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionRole {
    /// Any version but the target.
    Base,
    /// The target of the order.
    Target,
}

/// Counts of the answers of one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Failures.
    pub failures: u64,
    /// Complete answers whose time says nothing.
    pub untimed: u64,
    /// Other complete answers by the bucket of their time; buckets without answers are absent.
    pub times: Vec<(u8, u64)>,
}

impl RouteCounts {
    /// Returns the number of answers.
    pub fn answers(&self) -> u64 {
        self.failures + self.untimed + self.timed()
    }

    /// Returns the number of complete answers whose time counts.
    pub fn timed(&self) -> u64 {
        self.times.iter().map(|&(_, count)| count).sum()
    }

    /// Returns the number of these answers beyond a bucket.
    pub fn slower_than(&self, bucket: u8) -> u64 {
        self.times.iter().filter(|&&(at, _)| at > bucket).map(|&(_, count)| count).sum()
    }

    /// Counts an answer.
    pub fn record(&mut self, kind: AnswerKind) {
        match kind {
            AnswerKind::Failed => self.failures += 1,
            AnswerKind::Untimed => self.untimed += 1,
            AnswerKind::Complete(time) => self.add_time(time.0, 1),
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.failures += other.failures;
        self.untimed += other.untimed;
        for &(bucket, count) in &other.times {
            self.add_time(bucket, count);
        }
    }

    /// Returns what was counted after `earlier`, which are earlier counts of the same process.
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |bucket: u8| {
            let position = earlier.times.binary_search_by_key(&bucket, |&(at, _)| at);
            position.map_or(0, |position| earlier.times[position].1)
        };
        let times = self
            .times
            .iter()
            .map(|&(bucket, count)| (bucket, count.saturating_sub(before(bucket))))
            .filter(|&(_, count)| count > 0)
            .collect();
        Self {
            failures: self.failures.saturating_sub(earlier.failures),
            untimed: self.untimed.saturating_sub(earlier.untimed),
            times,
        }
    }

    fn add_time(&mut self, bucket: u8, count: u64) {
        match self.times.binary_search_by_key(&bucket, |&(at, _)| at) {
            Ok(position) => self.times[position].1 += count,
            Err(position) => self.times.insert(position, (bucket, count)),
        }
    }
}

/// Counts of one version on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteId,
    /// The version.
    pub version: VersionRole,
    /// The counts since the order.
    pub counts: RouteCounts,
}

/// What a process of a node has counted since it learnt of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvidence {
    /// The process.
    pub incarnation: Incarnation,
    /// The order.
    pub order: RolloutOrderId,
    /// The step of the order that the node follows; `None` if it knows none.
    pub step: Option<u32>,
    /// Requests that it has sent to the service.
    pub sent: u64,
    /// Those of them that it has sent to the target.
    pub exposed: u64,
    /// Requests that have not ended at endpoints of other versions.
    pub outstanding_base: u64,
    /// Whether the node has stopped sending to the target because of its own answers.
    pub has_alarm: bool,
    /// Counts by route and version, in this order.
    pub routes: Vec<RouteEvidence>,
    /// Answers and failures of the endpoints of the target.
    pub endpoints: Vec<(EndpointId, u64, u64)>,
}

impl NodeEvidence {
    /// Creates the evidence of a process that has counted nothing.
    pub fn new(incarnation: Incarnation, order: RolloutOrderId) -> Self {
        Self {
            incarnation,
            order,
            step: None,
            sent: 0,
            exposed: 0,
            outstanding_base: 0,
            has_alarm: false,
            routes: Vec::new(),
            endpoints: Vec::new(),
        }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, version: VersionRole) {
        self.sent += 1;
        self.exposed += u64::from(version == VersionRole::Target);
    }

    /// Counts the end of a request that was sent; `answer` is `None` if it says nothing about the
    /// version.
    pub fn record_end(
        &mut self,
        version: VersionRole,
        endpoint: &EndpointId,
        answer: Option<(&RouteId, AnswerKind)>,
    ) {
        let Some((route, kind)) = answer else { return };
        self.counts_mut(route, version).record(kind);
        if version == VersionRole::Target {
            let position = match self.endpoints.binary_search_by(|(known, ..)| known.cmp(endpoint))
            {
                Ok(position) => position,
                Err(position) => {
                    self.endpoints.insert(position, (endpoint.clone(), 0, 0));
                    position
                }
            };
            let (_, answers, failures) = &mut self.endpoints[position];
            *answers += 1;
            *failures += u64::from(kind == AnswerKind::Failed);
        }
    }

    /// Returns the number of answers of the target and of the failures among them.
    pub fn target_answers(&self) -> (u64, u64) {
        self.endpoints.iter().fold((0, 0), |(answers, failures), endpoint| {
            (answers + endpoint.1, failures + endpoint.2)
        })
    }

    fn counts_mut(&mut self, route: &RouteId, version: VersionRole) -> &mut RouteCounts {
        let search = |known: &RouteEvidence| (&known.route, known.version).cmp(&(route, version));
        let position = match self.routes.binary_search_by(search) {
            Ok(position) => position,
            Err(position) => {
                let (route, counts) = (route.clone(), RouteCounts::default());
                self.routes.insert(position, RouteEvidence { route, version, counts });
                position
            }
        };
        &mut self.routes[position].counts
    }
}

/// Decides when a node reports its evidence.
#[derive(Debug, Clone, Default)]
pub struct ReportTimer {
    reported: Option<(Deadline, Deadline, NodeEvidence)>,
}

impl ReportTimer {
    /// Returns whether to report this evidence now.
    pub fn is_due(&self, evidence: &NodeEvidence, now: Instant) -> bool {
        let Some((regular, urgent, reported)) = &self.reported else { return true };
        let has_ended = |evidence: &NodeEvidence| evidence.outstanding_base == 0;
        let is_urgent = evidence.order != reported.order
            || evidence.step != reported.step
            || evidence.has_alarm != reported.has_alarm
            || evidence.target_answers().1 > reported.target_answers().1
            || has_ended(evidence) != has_ended(reported);
        regular.has_passed(now) || (is_urgent && urgent.has_passed(now))
    }

    /// Records that this evidence was reported. `nodes` is the number of nodes, and `random`, from 0
    /// to 1, spreads their reports.
    pub fn record(&mut self, evidence: NodeEvidence, nodes: u32, random: f64, now: Instant) {
        let shared_ms = u64::from(nodes) * 1_000 / REPORTS_PER_S;
        let period_ms = shared_ms.max(REPORT_PERIOD_MS) as f64 * (0.9 + 0.2 * random);
        let regular = Deadline::after_ms(now, period_ms as u64);
        self.reported = Some((regular, Deadline::after_ms(now, URGENT_PERIOD_MS), evidence));
    }
}

/// The versions of endpoints beside the target.
pub(super) fn role_of(version: Option<&SoftwareVersion>, target: &SoftwareVersion) -> VersionRole {
    if version == Some(target) { VersionRole::Target } else { VersionRole::Base }
}

/// The evidence of all nodes that report about one order.
pub type FleetEvidence = SortedMap<yuccapass_types::NodeId, NodeEvidence>;
