//! How long a request takes once it has started.

use yuccapass_types::{Deadline, Instant, RouteId, SortedMap};

use super::running_mean::RunningMean;
use crate::gateway::RequestWork;

/// How long a request is expected to take once it is sent to an endpoint, with the error of the
/// estimate added. Zero if nothing is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExpectedRun {
    /// Time to the first event, or to the answer if it is not a stream.
    pub first_event_ms: u64,
    /// Time to the end of the answer.
    pub answer_ms: u64,
}

/// How long callers wait for the first event of a stream: two seconds or four times the target latency,
/// whichever is longer.
const FIRST_EVENT_PATIENCE_MS: u64 = 2_000;
const FIRST_EVENT_PATIENCE_TARGETS: u64 = 4;

impl ExpectedRun {
    /// Returns the latest start with which a request is expected to meet its target latency.
    pub fn target_start(&self, arrived_at: Instant, target_ms: u64) -> Deadline {
        Deadline::after_ms(arrived_at, target_ms.saturating_sub(self.first_event_ms))
    }

    /// Returns the latest start, or refusal, that is of use to a caller. A refused caller waits for up to
    /// a third of the time that it has left before it sends the request again, and must be answered in
    /// the rest. If it arrives too late for that, a refusal is of no use, and it may start as long as it can
    /// be answered.
    pub fn latest_start(
        &self,
        arrived_at: Instant,
        target_ms: u64,
        is_stream: bool,
        deadline: Deadline,
    ) -> Deadline {
        let latest_ms = |limit_ms: u64, run_ms: u64| {
            let with_return_ms = run_ms.saturating_add(run_ms / 2);
            match limit_ms > with_return_ms {
                true => limit_ms - with_return_ms,
                false => limit_ms.saturating_sub(run_ms),
            }
        };
        let by_deadline_ms = latest_ms(deadline.remaining_ms(arrived_at), self.answer_ms);
        let patience_ms =
            FIRST_EVENT_PATIENCE_MS.max(target_ms.saturating_mul(FIRST_EVENT_PATIENCE_TARGETS));
        let latest_ms = match is_stream {
            true => by_deadline_ms.min(latest_ms(patience_ms, self.first_event_ms)),
            false => by_deadline_ms,
        };
        Deadline::after_ms(arrived_at, latest_ms)
    }
}

/// Estimates run times.
pub trait RunTimeEstimate: Send + Sync {
    /// Returns how long a request of a route is expected to take.
    fn expected(&self, route: &RouteId, work: &RequestWork) -> ExpectedRun;

    /// Records the time from sending a request to the first event of its answer.
    fn record_first_event(&mut self, route: &RouteId, first_event_ms: u64);

    /// Records the time from sending a request to the end of its answer.
    fn record_answer(&mut self, route: &RouteId, answer_ms: u64);
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    first_event: RunningMean,
    answer: RunningMean,
}

/// Estimates run times by those that this node has seen for the route.
#[derive(Debug, Clone, Default)]
pub struct ObservedRunTimes {
    routes: SortedMap<RouteId, RouteTimes>,
}

impl RunTimeEstimate for ObservedRunTimes {
    fn expected(&self, route: &RouteId, _work: &RequestWork) -> ExpectedRun {
        let ms = |times: &RunningMean| times.upper().unwrap_or_default().ceil() as u64;
        self.routes.get(route).map_or_else(ExpectedRun::default, |times| ExpectedRun {
            first_event_ms: ms(&times.first_event),
            answer_ms: ms(&times.answer),
        })
    }

    fn record_first_event(&mut self, route: &RouteId, first_event_ms: u64) {
        let times = self.routes.get_or_insert_with(route.clone(), RouteTimes::default);
        times.first_event.record(first_event_ms as f64);
    }

    fn record_answer(&mut self, route: &RouteId, answer_ms: u64) {
        let times = self.routes.get_or_insert_with(route.clone(), RouteTimes::default);
        times.answer.record(answer_ms as f64);
    }
}
