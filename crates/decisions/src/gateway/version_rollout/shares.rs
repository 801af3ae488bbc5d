//! To which versions a node may send a request.

use std::hash::{DefaultHasher, Hash, Hasher};

use yuccapass_types::{
    Deadline, EndpointId, Incarnation, Instant, NodeId, RolloutOrderId, RouteId, SoftwareVersion,
    TrafficShare,
};

use super::evidence::{AnswerKind, NodeEvidence, VersionRole, role_of};
use super::exposure::ExposureCap;
use super::limits::RolloutLimits;
use super::order::RolloutOrder;
use super::progress::{RolloutProgress, Stage};

/// Minimum number of endpoints of a target that get its first requests: the failures of a single one say
/// little about the version.
const MIN_OBSERVED_ENDPOINTS: usize = 2;

/// How a request chooses between the target of an order and the other versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Preference {
    /// The target, else another version.
    TargetFirst,
    /// The target, or another version if no endpoint of the target is registered.
    TargetOnly,
    /// Another version only.
    BaseOnly,
}

/// To which versions one request may go.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionFilter {
    target: Option<(SoftwareVersion, Preference)>,
    denied: Vec<SoftwareVersion>,
    // The share of the target's endpoints that get its requests.
    observed: Option<TrafficShare>,
}

impl VersionFilter {
    /// Returns whether a request may go to an endpoint of a version. Of the versions that are allowed,
    /// those [preferred](Self::prefers) come first.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        if version.is_some_and(|version| self.denied.contains(version)) {
            return false;
        }
        match &self.target {
            None | Some((_, Preference::TargetFirst)) => true,
            Some((target, Preference::TargetOnly)) => version == Some(target),
            Some((target, Preference::BaseOnly)) => version != Some(target),
        }
    }

    /// Returns whether endpoints of a version come before others.
    pub fn prefers(&self, version: Option<&SoftwareVersion>) -> bool {
        match &self.target {
            Some((target, Preference::TargetFirst)) => version == Some(target),
            _ => true,
        }
    }

    /// Returns which of the registered endpoints of the target get its requests. They are as many as
    /// the share of the requests stands for, so that each has its usual load, and the same at all nodes.
    pub fn observed<'a>(
        &self,
        targets: impl IntoIterator<Item = &'a EndpointId>,
    ) -> Vec<&'a EndpointId> {
        let mut targets: Vec<&EndpointId> = targets.into_iter().collect();
        let Some(share) = self.observed else { return targets };
        let count = (targets.len() as f64 * share.fraction()).ceil() as usize;
        let hash = |id: &EndpointId| {
            let mut hasher = DefaultHasher::new();
            id.as_str().hash(&mut hasher);
            hasher.finish()
        };
        targets.sort_by_cached_key(|id| (hash(id), (*id).clone()));
        targets.truncate(count.max(MIN_OBSERVED_ENDPOINTS));
        targets
    }

    /// Returns whether requests may go to any version.
    pub fn is_open(&self) -> bool {
        self.target.is_none() && self.denied.is_empty()
    }
}

/// A request that was counted as sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedAttempt {
    software: Option<SoftwareVersion>,
    // The order that was under way, and which of its versions it was sent to.
    order: Option<(RolloutOrderId, VersionRole)>,
}

/// What a node knows about the versions of a service.
#[derive(Debug, Clone)]
pub struct VersionShares {
    limits: RolloutLimits,
    node: NodeId,
    incarnation: Incarnation,
    order: Option<RolloutOrder>,
    // When the node learnt of the order.
    ordered_at: Instant,
    // With the instant from which the elapsed time counts on.
    progress: Option<(RolloutProgress, Instant)>,
    // Until when the progress is known to be the last one.
    confirmed_until: Instant,
    // Until when the operators' settings are known.
    settings_known_until: Instant,
    // Versions with the instant at which each was first seen.
    versions: Vec<(SoftwareVersion, Instant)>,
    evidence: Option<NodeEvidence>,
    // The target about which there is evidence.
    counted_target: Option<SoftwareVersion>,
    cap: Option<ExposureCap>,
    // Requests that have not ended, by the version that they were sent to. Some may have been sent
    // before the order.
    outstanding: Vec<(Option<SoftwareVersion>, u64)>,
}

impl VersionShares {
    /// Creates the state of a process that knows no order and no endpoint.
    pub fn new(limits: RolloutLimits, node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            limits,
            node,
            incarnation,
            order: None,
            ordered_at: Instant::default(),
            progress: None,
            confirmed_until: Instant::default(),
            settings_known_until: Instant::default(),
            versions: Vec::new(),
            evidence: None,
            counted_target: None,
            cap: None,
            outstanding: Vec::new(),
        }
    }

    /// Sets the operators' order; `None` if it was deleted.
    pub fn set_order(&mut self, order: Option<RolloutOrder>, now: Instant) {
        let id = order.as_ref().map(|order| order.id);
        if id != self.order.as_ref().map(|order| order.id) {
            self.ordered_at = now;
        }
        let target =
            |order: &Option<RolloutOrder>| order.as_ref().map(|order| order.target.clone());
        if id.is_some() && id == self.counted_order() && target(&order) != self.counted_target {
            // The id was given out again after the key-value service lost the order that had it.
            self.ordered_at = now;
            self.evidence = None;
        }
        self.order = order;
        self.follow_order();
    }

    /// Sets the progress that a holder has written, unless a newer one is known.
    pub fn set_progress(&mut self, progress: RolloutProgress, now: Instant) {
        if self.progress.as_ref().is_none_or(|(known, _)| progress.is_newer_than(known)) {
            self.progress = Some((progress, now));
            self.follow_order();
        }
    }

    /// Records that all writes of holders before `until` are known.
    pub fn confirm_progress(&mut self, until: Instant) {
        self.confirmed_until = self.confirmed_until.max(until);
    }

    /// Records that the operators' settings are known as of `until`.
    pub fn confirm_settings(&mut self, until: Instant) {
        self.settings_known_until = self.settings_known_until.max(until);
    }

    /// Records the versions of the registered endpoints. The versions of the first call count as old:
    /// nothing is known about their order.
    pub fn note_versions<'a>(
        &mut self,
        versions: impl IntoIterator<Item = &'a SoftwareVersion>,
        now: Instant,
    ) {
        let seen_at = if self.versions.is_empty() { Instant::default() } else { now };
        let mut present: Vec<(SoftwareVersion, Instant)> = Vec::new();
        for version in versions {
            if present.iter().any(|(known, _)| known == version) {
                continue;
            }
            let known = self.versions.iter().find(|(known, _)| known == version);
            present.push(known.cloned().unwrap_or_else(|| (version.clone(), seen_at)));
        }
        // A version that has left and comes back is new again. If all have left, nothing changes: the
        // registrations may be missing after an outage of the key-value service.
        if !present.is_empty() {
            self.versions = present;
        }
    }

    /// Returns the operators' order.
    pub fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    /// Returns whether the operators' order is known as of the last progress. Otherwise a node that reads
    /// the progress first could take the order for deleted.
    pub fn is_order_known(&self) -> bool {
        let read_at = self.progress.as_ref().map(|&(_, read_at)| read_at);
        self.order.is_some() || read_at.is_none_or(|read_at| self.settings_known_until >= read_at)
    }

    /// Returns the last known progress.
    pub fn progress(&self) -> Option<&RolloutProgress> {
        self.progress.as_ref().map(|(progress, _)| progress)
    }

    /// Returns the time since the current order, as far as this node can tell.
    pub fn elapsed_ms(&self, now: Instant) -> u64 {
        let own_ms = match &self.order {
            Some(order) if Some(order.id) >= self.progress().map(|known| known.order) => {
                now.ms_since(self.ordered_at)
            }
            _ => 0,
        };
        match &self.progress {
            Some((progress, read_at)) if Some(progress.order) == self.current_order() => {
                own_ms.max(progress.elapsed_ms + now.ms_since(*read_at))
            }
            _ => own_ms,
        }
    }

    /// Returns the evidence about the order that is under way, with the step that the node follows.
    pub fn evidence(&self) -> Option<NodeEvidence> {
        if !self.is_under_way() {
            return None;
        }
        let mut evidence = self.evidence.clone()?;
        let progress = self.progress().filter(|progress| progress.order == evidence.order);
        evidence.step = progress.map(|progress| progress.step);
        let target = self.target();
        let of_base = self.outstanding.iter().filter(|(software, _)| software.as_ref() != target);
        evidence.outstanding_base = of_base.map(|&(_, count)| count).sum();
        Some(evidence)
    }

    /// Stops sending to the target of the order, because the answers of this node show that it is bad.
    pub fn stop_target(&mut self, order: RolloutOrderId) {
        if let Some(evidence) = self.evidence.as_mut().filter(|evidence| evidence.order == order) {
            evidence.has_alarm = true;
        }
    }

    /// Returns to which versions a request may go. `random` is from 0 to 1, `nodes` the number of
    /// nodes, `has_target` and `has_base` say whether endpoints of the target and of other versions
    /// are registered for the request.
    pub fn filter(
        &self,
        random: f64,
        nodes: u32,
        has_target: bool,
        has_base: bool,
        now: Instant,
    ) -> VersionFilter {
        let denied = self.unconfirmed_versions();
        let mut filter = VersionFilter { denied, ..VersionFilter::default() };
        let Some(target) = self.target().cloned() else { return filter };
        if let Some(progress) = self.progress() {
            // A later order bars the target of one that was not completed.
            if progress.target != target && progress.stage != Stage::Completed {
                filter.denied.push(progress.target.clone());
            }
            filter
                .denied
                .extend(progress.barred.iter().filter(|barred| **barred != target).cloned());
            let is_replaced = progress.stage == Stage::Completed || progress.target != target;
            if has_target && is_replaced {
                let replaced = progress.replaced.iter().filter(|replaced| **replaced != target);
                filter.denied.extend(replaced.cloned());
            }
        }
        let current = self.progress().filter(|known| Some(known.order) == self.current_order());
        let preference = match current.map(|progress| progress.stage) {
            // The versions that were replaced are denied; later ones may be used.
            Some(Stage::Completed) => return filter,
            Some(Stage::Full) if !self.has_alarm() && self.order.is_some() => {
                if has_target {
                    Preference::TargetOnly
                } else {
                    return filter;
                }
            }
            Some(Stage::Observing | Stage::Raising(_)) => {
                let share = self.share(now);
                let is_drawn = share.includes(if has_base { random } else { 0.0 });
                filter.observed = Some(share);
                match is_drawn && self.may_expose(nodes, now) {
                    true => Preference::TargetFirst,
                    false => Preference::BaseOnly,
                }
            }
            None | Some(Stage::Waiting) if !has_base && self.is_established(&target) => {
                return filter;
            }
            _ => Preference::BaseOnly,
        };
        filter.target = Some((target, preference));
        filter
    }

    /// Counts a request that is sent to an endpoint of a version.
    pub fn record_sent(&mut self, software: Option<&SoftwareVersion>) -> CountedAttempt {
        match self.outstanding.iter_mut().find(|(known, _)| known.as_ref() == software) {
            Some((_, count)) => *count += 1,
            None => self.outstanding.push((software.cloned(), 1)),
        }
        let order = self.count_for_order(software);
        CountedAttempt { software: software.cloned(), order }
    }

    fn count_for_order(
        &mut self,
        software: Option<&SoftwareVersion>,
    ) -> Option<(RolloutOrderId, VersionRole)> {
        if !self.is_under_way() {
            return None;
        }
        let version = role_of(software, self.target()?);
        let evidence = self.evidence.as_mut()?;
        evidence.record_sent(version);
        Some((evidence.order, version))
    }

    /// Counts the end of that request; `answer` is `None` if it says nothing about the version.
    pub fn record_end(
        &mut self,
        attempt: CountedAttempt,
        endpoint: &EndpointId,
        answer: Option<(&RouteId, AnswerKind)>,
    ) {
        for (software, count) in &mut self.outstanding {
            *count -= u64::from(*software == attempt.software && *count > 0);
        }
        self.outstanding.retain(|&(_, count)| count > 0);
        let Some((order, version)) = attempt.order else { return };
        if let Some(evidence) = self.evidence.as_mut().filter(|known| known.order == order) {
            evidence.record_end(version, endpoint, answer);
        }
    }

    /// Returns the versions that appeared after the operators' settings were last known.
    fn unconfirmed_versions(&self) -> Vec<SoftwareVersion> {
        let is_unconfirmed =
            |&&(_, seen_at): &&(SoftwareVersion, Instant)| seen_at > self.settings_known_until;
        let unconfirmed = self.versions.iter().filter(is_unconfirmed);
        let unconfirmed: Vec<_> = unconfirmed.map(|(version, _)| version.clone()).collect();
        // A version that has replaced all others at once is the only one that can answer.
        let is_beside_others = unconfirmed.len() < self.versions.len();
        if is_beside_others { unconfirmed } else { Vec::new() }
    }

    /// Returns whether endpoints of the target were there before its order.
    fn is_established(&self, target: &SoftwareVersion) -> bool {
        let known = self.versions.iter().find(|(version, _)| version == target);
        known.is_some_and(|&(_, seen_at)| seen_at < self.ordered_at)
    }

    /// Returns the id of the last order, of operators or of holders.
    fn current_order(&self) -> Option<RolloutOrderId> {
        let ordered = self.order.as_ref().map(|order| order.id);
        ordered.max(self.progress().map(|progress| progress.order))
    }

    /// Returns the target of the last order.
    pub fn target(&self) -> Option<&SoftwareVersion> {
        let current = self.current_order();
        let ordered = self.order.as_ref().filter(|order| Some(order.id) == current);
        ordered.map(|order| &order.target).or(self.progress().map(|progress| &progress.target))
    }

    /// Returns whether the last order has not ended.
    pub fn is_under_way(&self) -> bool {
        let current = self.current_order();
        let is_ended =
            |known: &RolloutProgress| Some(known.order) == current && known.stage.is_final();
        current.is_some() && !self.progress().is_some_and(is_ended)
    }

    fn has_alarm(&self) -> bool {
        self.evidence.as_ref().is_some_and(|evidence| evidence.has_alarm)
    }

    /// Returns the share of the target that the node may rely on now.
    fn share(&self, now: Instant) -> TrafficShare {
        let valid_until = Deadline::after_ms(self.confirmed_until, self.limits.step_valid_ms());
        let is_valid = !valid_until.has_passed(now) && !self.has_alarm() && self.order.is_some();
        match self.progress() {
            Some(progress) if is_valid => progress.share,
            _ => TrafficShare::NONE,
        }
    }

    fn may_expose(&self, nodes: u32, now: Instant) -> bool {
        let (Some(evidence), Some(cap), Some(progress)) =
            (&self.evidence, &self.cap, self.progress())
        else {
            return false;
        };
        let projection = match progress.stage {
            Stage::Raising(_) => progress.duration_ms as f64 / self.elapsed_ms(now).max(1) as f64,
            _ => 1.0,
        };
        cap.allows(evidence.sent, evidence.exposed, nodes, projection)
    }

    /// Returns the order about which there is evidence.
    fn counted_order(&self) -> Option<RolloutOrderId> {
        self.evidence.as_ref().map(|evidence| evidence.order)
    }

    /// Begins to count for the current order, if that has changed.
    fn follow_order(&mut self) {
        let Some(current) = self.current_order() else { return };
        if self.counted_order() == Some(current) {
            return;
        }
        self.evidence = Some(NodeEvidence::new(self.incarnation, current));
        self.counted_target = self.target().cloned();
        self.cap = Some(ExposureCap::new(self.limits, &self.node, current));
    }
}
