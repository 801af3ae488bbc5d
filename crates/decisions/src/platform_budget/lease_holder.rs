//! A lease whose holder counts a conservative deadline of its own.

use yuccapass_types::{Deadline, FencingNumber, Instant};

/// Lifetime of a lease and the margin by which its holder stops earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    ttl_ms: u64,
    margin_ms: u64,
}

impl LeaseTerms {
    /// Makes terms with a margin of a quarter of the lifetime, which covers the difference between
    /// the clocks and what was sent just before the holder's deadline and is still on its way.
    pub fn new(ttl_ms: u64) -> Self {
        Self { ttl_ms, margin_ms: ttl_ms / 4 }
    }

    /// Sets the margin.
    pub fn margin_ms(mut self, ms: u64) -> Self {
        self.margin_ms = ms;
        self
    }

    /// Returns the lifetime to ask for.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }
}

/// The instant before a grant or renewal was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime(Instant);

impl RequestTime {
    /// Notes the instant; it must be taken before the call is made.
    pub fn at(now: Instant) -> Self {
        Self(now)
    }
}

/// The right to act under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePermit {
    /// Number of the holder; goes with everything that is done under the lease.
    pub fencing: FencingNumber,
    /// When the right ends; whatever is done under it has this deadline too.
    pub deadline: Deadline,
}

/// What the holder does about its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Ask for the lease.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Nothing until this instant.
    WaitUntil(Instant),
}

/// The state of a lease as its holder may rely on it.
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
    /// Makes the state of a node that does not hold the lease.
    pub fn new(terms: LeaseTerms) -> Self {
        Self { terms, held: None, renew_at: Instant::default() }
    }

    /// Returns the terms.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// Notes that the lease was granted for `ttl_ms`.
    pub fn acquired(&mut self, asked: RequestTime, ttl_ms: u64, fencing: FencingNumber) {
        self.held = Some(LeasePermit { fencing, deadline: self.deadline(asked, ttl_ms) });
        self.renew_at = renewal_time(asked, ttl_ms);
    }

    /// Notes that the lease was renewed for `ttl_ms`.
    ///
    /// A holder that has found itself past its deadline stays without the lease.
    pub fn renewed(&mut self, asked: RequestTime, ttl_ms: u64, now: Instant) {
        if self.permit(now).is_none() {
            return;
        }
        let deadline = self.deadline(asked, ttl_ms);
        if let Some(permit) = &mut self.held {
            permit.deadline = permit.deadline.max(deadline);
            self.renew_at = renewal_time(asked, ttl_ms);
        }
    }

    /// Notes that a renewal failed and is to be tried again after `delay_ms`.
    pub fn renewal_failed(&mut self, now: Instant, delay_ms: u64) {
        self.renew_at = Deadline::after_ms(now, delay_ms).instant();
    }

    /// Notes that the lease is gone.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns the right to act, if there still is one; asked immediately before each act.
    pub fn permit(&mut self, now: Instant) -> Option<LeasePermit> {
        self.held = self.held.filter(|permit| !permit.deadline.has_passed(now));
        self.held
    }

    /// Returns what to do about the lease.
    pub fn next_step(&mut self, now: Instant) -> LeaseStep {
        match self.permit(now) {
            None => LeaseStep::Acquire,
            Some(_) if now >= self.renew_at => LeaseStep::Renew,
            Some(permit) => LeaseStep::WaitUntil(self.renew_at.min(permit.deadline.instant())),
        }
    }

    fn deadline(&self, asked: RequestTime, ttl_ms: u64) -> Deadline {
        // The service may grant less than was asked for, never rely on more.
        let ttl_ms = ttl_ms.min(self.terms.ttl_ms);
        Deadline::after_ms(asked.0, ttl_ms.saturating_sub(self.terms.margin_ms))
    }
}

/// A third of the lifetime leaves time for a second and third attempt.
fn renewal_time(asked: RequestTime, ttl_ms: u64) -> Instant {
    Deadline::after_ms(asked.0, ttl_ms / 3).instant()
}
