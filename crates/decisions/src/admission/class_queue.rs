//! Fair queue between the organisations of one request class.

use std::collections::VecDeque;

use yuccapass_types::{Instant, OrganisationId, RequestId, SortedMap};

use super::fair_queue::QueuedRequest;

/// Virtual time of one token at share 1. Larger than any share, so that no cost rounds to zero.
const TIME_PER_TOKEN: u128 = 1 << 24;

/// The queued requests of one organisation.
#[derive(Debug, Clone)]
struct Flow {
    share: u32,
    // Virtual time at which the first request may start.
    pass: u128,
    queued_tokens: u64,
    requests: VecDeque<QueuedRequest>,
}

impl Flow {
    /// Returns the virtual time that serving `tokens` takes.
    fn duration(&self, tokens: u64) -> u128 {
        u128::from(tokens) * TIME_PER_TOKEN / u128::from(self.share.max(1))
    }

    /// Returns the queued tokens that are served before virtual time `until`.
    fn tokens_before(&self, until: u128) -> u64 {
        let ahead =
            until.saturating_sub(self.pass) * u128::from(self.share.max(1)) / TIME_PER_TOKEN;
        u64::try_from(ahead).unwrap_or(u64::MAX).min(self.queued_tokens)
    }
}

/// Requests of one class, served by stride scheduling.
///
/// Each organisation has a virtual time that advances by the tokens served divided by its share.
/// The organisation with the smallest virtual time is served next.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassQueue {
    flows: SortedMap<OrganisationId, Flow>,
    // Virtual time of the queue: the largest start of a request served so far.
    now: u128,
    length: usize,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn queued_tokens(&self) -> u64 {
        self.flows.values().map(|flow| flow.queued_tokens).sum()
    }

    /// Returns the tokens of this class that are served before a request pushed now.
    pub(crate) fn tokens_ahead(&self, organisation: &OrganisationId, share: u32) -> u64 {
        let start = match self.flows.get(organisation) {
            None => self.now,
            Some(own) => {
                let with_share = Flow { share, requests: VecDeque::new(), ..*own };
                own.pass.max(self.now) + with_share.duration(own.queued_tokens)
            }
        };
        let others = self.flows.iter().map(|(other, flow)| match other == organisation {
            true => flow.queued_tokens,
            false => flow.tokens_before(start),
        });
        others.sum()
    }

    pub(crate) fn push(&mut self, request: QueuedRequest) {
        let (now, share) = (self.now, request.share);
        let make_flow = || Flow { share, pass: now, queued_tokens: 0, requests: VecDeque::new() };
        let flow = self.flows.get_or_insert_with(request.organisation.clone(), make_flow);
        if flow.requests.is_empty() {
            // An organisation gets no credit for the time in which it queued nothing.
            flow.pass = flow.pass.max(now);
        }
        flow.share = share;
        flow.queued_tokens += request.cost.get();
        flow.requests.push_back(request);
        self.length += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.flows.iter().filter(|(_, flow)| !flow.requests.is_empty());
        let organisation = waiting.min_by_key(|(_, flow)| flow.pass)?.0.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let request = flow.requests.pop_front()?;
        self.now = self.now.max(flow.pass);
        flow.pass += flow.duration(request.cost.get());
        self.subtract_from_totals(&request);
        Some(request)
    }

    /// Removes the newest request of the organisation with the most queued tokens relative to its
    /// share, if that is more than the organisation of `newcomer` would have with it.
    pub(crate) fn displace_for(&mut self, newcomer: &QueuedRequest) -> Option<QueuedRequest> {
        let own_tokens =
            self.flows.get(&newcomer.organisation).map_or(0, |flow| flow.queued_tokens);
        let weight = |tokens: u64, share: u32| {
            u128::from(tokens) * TIME_PER_TOKEN / u128::from(share.max(1))
        };
        let own_weight = weight(own_tokens + newcomer.cost.get(), newcomer.share);
        let flow_weight = |flow: &Flow| weight(flow.queued_tokens, flow.share);
        let (organisation, largest) =
            self.flows.iter().max_by_key(|(_, flow)| flow_weight(flow))?;
        if flow_weight(largest) <= own_weight || *organisation == newcomer.organisation {
            return None;
        }
        let organisation = organisation.clone();
        let request = self.flows.get_mut(&organisation)?.requests.pop_back()?;
        self.subtract_from_totals(&request);
        Some(request)
    }

    /// Removes a request that is no longer wanted.
    pub(crate) fn cancel(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let mut cancelled = self.remove_matching(|request| request.id == *id);
        cancelled.pop()
    }

    /// Removes the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.remove_matching(|request| request.deadline.has_passed(now))
    }

    /// Removes all requests that match, in any position.
    fn remove_matching(
        &mut self,
        is_removed: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            if flow.requests.iter().any(&is_removed) {
                let all = std::mem::take(&mut flow.requests);
                let (out, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(&is_removed);
                flow.requests = kept.into();
                removed.extend(out);
            }
        }
        removed.iter().for_each(|request| self.subtract_from_totals(request));
        removed
    }

    /// Subtracts a request that has left the queue from the totals, and drops the flows that no
    /// longer affect the order.
    fn subtract_from_totals(&mut self, request: &QueuedRequest) {
        self.length -= 1;
        if let Some(flow) = self.flows.get_mut(&request.organisation) {
            flow.queued_tokens -= request.cost.get();
        }
        if self.length == 0 {
            // Reset: with an empty queue no organisation is ahead of another.
            *self = Self::default();
        } else {
            let now = self.now;
            self.flows.retain(|_, flow| !flow.requests.is_empty() || flow.pass > now);
        }
    }
}
