//! Requests of one class, fair between organisations.

use std::collections::VecDeque;

use yuccapass_types::{Instant, OrganisationId, RequestId, SortedMap};

use super::fair_queue::QueuedRequest;

/// Virtual time for one token at share 1; larger than any share, so that no cost rounds to nothing.
const TOKEN: u128 = 1 << 24;

#[derive(Debug, Clone)]
struct Lane {
    share: u32,
    // Virtual time at which the head may start.
    pass: u128,
    queued_tokens: u64,
    requests: VecDeque<QueuedRequest>,
}

impl Lane {
    fn duration(&self, tokens: u64) -> u128 {
        u128::from(tokens) * TOKEN / u128::from(self.share.max(1))
    }

    /// Returns the tokens that this lane is served before virtual time `until`.
    fn tokens_before(&self, until: u128) -> u64 {
        let ahead = until.saturating_sub(self.pass) * u128::from(self.share.max(1)) / TOKEN;
        u64::try_from(ahead).unwrap_or(u64::MAX).min(self.queued_tokens)
    }
}

/// Requests of one class, served in the order of virtual time: each organisation's time advances by
/// tokens divided by share, and the one that is behind is next.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassQueue {
    lanes: SortedMap<OrganisationId, Lane>,
    now: u128,
    length: usize,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn queued_tokens(&self) -> u64 {
        self.lanes.values().map(|lane| lane.queued_tokens).sum()
    }

    /// Returns the tokens of this class that are served before a request pushed now.
    pub(crate) fn tokens_ahead(&self, organisation: &OrganisationId, share: u32) -> u64 {
        let start = match self.lanes.get(organisation) {
            None => self.now,
            Some(own) => {
                let pace = Lane { share, requests: VecDeque::new(), ..*own };
                own.pass.max(self.now) + pace.duration(own.queued_tokens)
            }
        };
        let others = self.lanes.iter().map(|(other, lane)| match other == organisation {
            true => lane.queued_tokens,
            false => lane.tokens_before(start),
        });
        others.sum()
    }

    pub(crate) fn push(&mut self, request: QueuedRequest) {
        let (now, share) = (self.now, request.share);
        let make_lane = || Lane { share, pass: now, queued_tokens: 0, requests: VecDeque::new() };
        let lane = self.lanes.get_or_insert_with(request.organisation.clone(), make_lane);
        if lane.requests.is_empty() {
            // Time in which it had no request is not made up for.
            lane.pass = lane.pass.max(now);
        }
        lane.share = share;
        lane.queued_tokens += request.cost.get();
        lane.requests.push_back(request);
        self.length += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.requests.is_empty());
        let organisation = waiting.min_by_key(|(_, lane)| lane.pass)?.0.clone();
        let lane = self.lanes.get_mut(&organisation)?;
        let request = lane.requests.pop_front()?;
        self.now = self.now.max(lane.pass);
        lane.pass += lane.duration(request.cost.get());
        self.count_out(&request);
        Some(request)
    }

    /// Removes the newest request of the organisation that queues most for its share, if that is
    /// more than `newcomer` would queue.
    pub(crate) fn displace_for(&mut self, newcomer: &QueuedRequest) -> Option<QueuedRequest> {
        let own_tokens = self.lanes.get(&newcomer.organisation).map_or(0, |l| l.queued_tokens);
        let weight =
            |tokens: u64, share: u32| u128::from(tokens) * TOKEN / u128::from(share.max(1));
        let own_weight = weight(own_tokens + newcomer.cost.get(), newcomer.share);
        let weigh = |lane: &Lane| weight(lane.queued_tokens, lane.share);
        let (organisation, largest) = self.lanes.iter().max_by_key(|(_, lane)| weigh(lane))?;
        if weigh(largest) <= own_weight || *organisation == newcomer.organisation {
            return None;
        }
        let organisation = organisation.clone();
        let request = self.lanes.get_mut(&organisation)?.requests.pop_back()?;
        self.count_out(&request);
        Some(request)
    }

    pub(crate) fn cancel(&mut self, id: &RequestId) -> Option<QueuedRequest> {
        let mut cancelled = self.take_all(|request| request.id == *id);
        cancelled.pop()
    }

    pub(crate) fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.take_all(|request| request.deadline.has_passed(now))
    }

    fn take_all(&mut self, is_taken: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            if lane.requests.iter().any(&is_taken) {
                let all = std::mem::take(&mut lane.requests);
                let (out, kept): (Vec<_>, Vec<_>) = all.into_iter().partition(&is_taken);
                lane.requests = kept.into();
                taken.extend(out);
            }
        }
        taken.iter().for_each(|request| self.count_out(request));
        taken
    }

    fn count_out(&mut self, request: &QueuedRequest) {
        self.length -= 1;
        if let Some(lane) = self.lanes.get_mut(&request.organisation) {
            lane.queued_tokens -= request.cost.get();
        }
        if self.length == 0 {
            // Nobody competes any more, so nobody is ahead.
            *self = Self::default();
        } else {
            let now = self.now;
            self.lanes.retain(|_, lane| !lane.requests.is_empty() || lane.pass > now);
        }
    }
}
