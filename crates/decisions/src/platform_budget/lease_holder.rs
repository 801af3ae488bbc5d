//! A lease with a conservative deadline that its holder counts itself.

use yuccapass_types::{Deadline, FencingNumber, Instant};

/// Lifetime of a lease and the margin by which its holder stops relying on it earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    ttl_ms: u64,
    margin_ms: u64,
}

impl LeaseTerms {
    /// Creates terms with a margin of a quarter of the lifetime, which covers the difference between
    /// the clock rates and messages that were sent just before the holder's deadline and are still in
    /// transit.
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, margin_ms: ttl_ms / 4 }
    }

    /// Sets the margin.
    pub fn margin_ms(mut self, ms: u64) -> Self {
        self.margin_ms = ms;
        self
    }

    /// Returns the lifetime to request.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }
}

/// An instant before the request for a grant or renewal was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime(Instant);

impl RequestTime {
    /// Creates the time of a request; `now` must be read before the request is sent.
    pub fn at(now: Instant) -> Self {
        Self(now)
    }
}

/// The right to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePermit {
    /// Fencing number of the holder, which accompanies each action under the lease.
    pub fencing: FencingNumber,
    /// When the right ends, which is also the deadline of each action under the lease.
    pub deadline: Deadline,
}

/// What to do next to hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Request the lease.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Do nothing until this instant.
    WaitUntil(Instant),
}

/// A lease as far as its holder may rely on it.
///
/// # Examples
///
/// ```
/// use yuccapass_decisions::platform_budget::{RequestTime, LeaseHolder, LeaseTerms};
/// use yuccapass_types::{FencingNumber, Instant};
///
/// let mut holder = LeaseHolder::new(LeaseTerms::new(8_000));
/// holder.acquired(RequestTime::at(Instant::from_ms(0)), 8_000, FencingNumber::new(1));
/// assert!(holder.permit(Instant::from_ms(5_999)).is_some());
/// assert!(holder.permit(Instant::from_ms(6_000)).is_none());
/// ```
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    held: Option<LeasePermit>,
    renew_at: Instant,
}

impl LeaseHolder {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(terms: LeaseTerms) -> Self {
        Self { terms, held: None, renew_at: Instant::default() }
    }

    /// Returns the terms.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// Records that the lease was granted for `ttl_ms`.
    pub fn acquired(&mut self, requested_at: RequestTime, ttl_ms: u64, fencing: FencingNumber) {
        self.held = Some(LeasePermit { fencing, deadline: self.deadline(requested_at, ttl_ms) });
        self.renew_at = self.renewal_time(requested_at, ttl_ms);
    }

    /// Records that the lease was renewed for `ttl_ms`.
    ///
    /// A renewal that is recorded after the holder's deadline is ignored, and the lease must be
    /// acquired again.
    pub fn renewed(&mut self, requested_at: RequestTime, ttl_ms: u64, now: Instant) {
        if self.permit(now).is_none() {
            return;
        }
        let deadline = self.deadline(requested_at, ttl_ms);
        let renew_at = self.renewal_time(requested_at, ttl_ms);
        if let Some(permit) = &mut self.held {
            permit.deadline = permit.deadline.max(deadline);
            self.renew_at = renew_at;
        }
    }

    /// Records that a renewal failed and is to be retried after `delay_ms`.
    pub fn renewal_failed(&mut self, now: Instant, delay_ms: u64) {
        self.renew_at = Deadline::after_ms(now, delay_ms).instant();
    }

    /// Records that the lease was lost.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns the right to act if the holder still has it; to be called immediately before each
    /// action.
    pub fn permit(&mut self, now: Instant) -> Option<LeasePermit> {
        self.held = self.held.filter(|permit| !permit.deadline.has_passed(now));
        self.held
    }

    /// Returns what to do next to hold the lease.
    pub fn next_step(&mut self, now: Instant) -> LeaseStep {
        match self.permit(now) {
            None => LeaseStep::Acquire,
            Some(_) if now >= self.renew_at => LeaseStep::Renew,
            Some(permit) => LeaseStep::WaitUntil(self.renew_at.min(permit.deadline.instant())),
        }
    }

    fn deadline(&self, requested_at: RequestTime, ttl_ms: u64) -> Deadline {
        let relied_ms = self.relied_ttl_ms(ttl_ms).saturating_sub(self.terms.margin_ms);
        Deadline::after_ms(requested_at.0, relied_ms)
    }

    /// Returns when to renew: after a third of the lifetime, which leaves time for two more
    /// attempts.
    fn renewal_time(&self, requested_at: RequestTime, ttl_ms: u64) -> Instant {
        Deadline::after_ms(requested_at.0, self.relied_ttl_ms(ttl_ms) / 3).instant()
    }

    /// The platform may grant less than was requested; a longer grant is not relied on.
    fn relied_ttl_ms(&self, granted_ms: u64) -> u64 {
        granted_ms.min(self.terms.ttl_ms)
    }
}
