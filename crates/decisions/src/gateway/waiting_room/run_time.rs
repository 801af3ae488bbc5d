//! How long a request takes once it has started.

use yuccapass_types::{RouteId, SortedMap};

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

/// Estimates run times.
pub trait RunTimeEstimate: Send + Sync {
    /// Returns how long a request of a route is expected to take.
    fn expected(&self, route: &RouteId, work: &RequestWork) -> ExpectedRun;

    /// Records how long a complete request took; `first_event_ms` is `None` if it was not a stream.
    fn record(&mut self, route: &RouteId, first_event_ms: Option<u64>, answer_ms: u64);
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

    fn record(&mut self, route: &RouteId, first_event_ms: Option<u64>, answer_ms: u64) {
        let times = self.routes.get_or_insert_with(route.clone(), RouteTimes::default);
        times.first_event.record(first_event_ms.unwrap_or(answer_ms) as f64);
        times.answer.record(answer_ms as f64);
    }
}
