//! What an endpoint can bear now.

/// Phase of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Nothing has been heard of it yet.
    Unknown,
    /// It has just started, or fell back to a cold start.
    Cold,
    /// It bears more and more load.
    Warming,
    /// It bears full load.
    Warm,
    /// It does not answer.
    Silent,
    /// It gets no new work.
    Leaving,
}

/// Phase of an endpoint and the load it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCondition {
    /// The phase.
    pub phase: EndpointPhase,
    /// Requests that it bears at the same time, from all nodes together.
    pub sustainable_requests: u32,
}

impl EndpointCondition {
    /// Returns whether a request needs a permit, because all nodes together must not exceed what
    /// the endpoint bears.
    pub fn needs_permit(self) -> bool {
        matches!(self.phase, EndpointPhase::Cold | EndpointPhase::Warming)
    }

    /// Returns whether the endpoint may get new work at all.
    pub fn takes_work(self) -> bool {
        let is_up = self.needs_permit() || self.phase == EndpointPhase::Warm;
        is_up && self.sustainable_requests > 0
    }
}
