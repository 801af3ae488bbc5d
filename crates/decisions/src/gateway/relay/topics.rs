//! What a node has read from its origins, and its answers to followers.

use smol_str::SmolStr;
use yuccapass_types::{Bytes, Instant, SortedMap};

use super::held_values::without_replaced;
use super::log::ChangeLog;
use super::{RelayItem, confirmed_at};

/// Maximum size of the items of all background topics in a reply. A relay with 20 followers, each of
/// which asks about three times a second, sends about 0.5 MB of them a second, less than half of what a
/// link of 10 Mbit/s carries.
const MAX_BACKGROUND: Bytes = Bytes::new(8 << 10);

/// Maximum size of the differences between two eras that are kept for followers; a reply has less room.
const MAX_CROSSING: Bytes = Bytes::new(48 << 10);

/// How long the end of an outage is passed on: longer than followers take to hear of it, also if
/// they first have to find another relay.
const OUTAGE_MEMORY_MS: u64 = 10_000;

/// How important the changes of a topic are; earlier variants get room in a reply first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TopicClass {
    /// Nodes must learn of changes in time: keys, configuration, endpoints. Followers get them at once,
    /// and do not follow a relay that does not know them.
    Urgent,
    /// Changes of stores, which followers get with the next reply. All topics of the key-value service have
    /// another class.
    Regular,
    /// Evidence and reports. They get what room the others leave, up to a limit; a follower that is
    /// behind gets a part of its changes with each reply, and only the newest of each key.
    Background,
}

/// The position up to which a follower knows a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicRequest {
    /// The name of the topic.
    pub topic: SmolStr,
    /// The run of the origin to which the position belongs.
    pub epoch: u64,
    /// The position.
    pub after: u64,
}

/// A relay's answer to a [`TopicRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicUpdate {
    /// The name of the topic.
    pub topic: SmolStr,
    /// The run of the origin to which the positions belong.
    pub epoch: u64,
    /// The position of the request.
    pub after: u64,
    /// The position up to which the items go.
    pub end: u64,
    /// Time since the origin confirmed that there are no later changes.
    pub age_ms: u64,
    /// Time since the origin answered again after an outage, if that was recent.
    pub outage_age_ms: Option<u64>,
    /// The time in milliseconds on a clock that the origin shares with others, if it sends it.
    pub clock_ms: Option<u64>,
    /// The changes after the position, or `None` if the follower has to read from the origin.
    pub items: Option<Vec<RelayItem>>,
}

impl TopicUpdate {
    /// Returns when the origin confirmed the changes, by the clock of a follower that sent the
    /// request at `sent_at` to a relay which replied `held_ms` later.
    pub fn confirmed_at(&self, sent_at: Instant, held_ms: u64) -> Instant {
        confirmed_at(sent_at, held_ms, self.age_ms)
    }

    /// Returns when the last recent outage of the origin ended, by the clock of the follower.
    pub fn outage_ended_at(&self, sent_at: Instant, held_ms: u64) -> Option<Instant> {
        self.outage_age_ms.map(|age_ms| confirmed_at(sent_at, held_ms, age_ms))
    }
}

/// A complete answer of an origin: all changes after `from` up to `to`.
#[derive(Debug, Clone)]
pub struct OriginRead {
    /// The run of the origin.
    pub epoch: u64,
    /// The position after which changes were requested.
    pub from: u64,
    /// The position up to which the changes go.
    pub to: u64,
    /// The changes with their positions.
    pub items: Vec<(u64, RelayItem)>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The time in milliseconds on a clock that the origin shares with others.
    pub clock_ms: Option<u64>,
}

/// The differences between what this node knew at a position and what it listed in a later era.
#[derive(Debug, Clone)]
pub struct Crossing {
    /// The era that has ended.
    pub epoch: u64,
    /// The position up to which this node knew the changes of that era.
    pub end: u64,
    /// The entries that are new or different, and those that are gone.
    pub items: Vec<RelayItem>,
}

#[derive(Debug, Clone)]
struct Topic {
    epoch: u64,
    log: ChangeLog<RelayItem>,
    // How followers get from the era before to the beginning of the log, with the log of that era.
    crossing: Option<(Crossing, u64, ChangeLog<RelayItem>)>,
    confirmed_at: Instant,
    outage_ended_at: Option<Instant>,
    // A time on the origin's clock, and the instant at which this node received it.
    clock: Option<(u64, Instant)>,
}

impl Topic {
    /// Returns the position that a follower knows. Those of another run mean nothing in this one, so
    /// everything is sent.
    fn known_position(&self, request: &TopicRequest) -> u64 {
        if self.epoch == request.epoch { request.after } else { 0 }
    }

    /// Returns the changes after the position of a request; `None` if the follower has to read them from
    /// the origin. The key-value service has entries that are older than its changes, so a follower in
    /// another era gets changes only if they lead from there into this one.
    fn changes(&self, request: &TopicRequest, class: TopicClass) -> Option<Vec<RelayItem>> {
        if self.epoch == request.epoch || class == TopicClass::Regular {
            return Some(self.log.since(self.known_position(request))?.cloned().collect());
        }
        let (crossing, begin, log) = self.crossing.as_ref()?;
        if crossing.epoch != request.epoch || crossing.end < request.after {
            return None;
        }
        let before = log.since(request.after)?;
        Some(before.chain(&crossing.items).chain(self.log.since(*begin)?).cloned().collect())
    }

    fn update(
        &self,
        request: &TopicRequest,
        end: u64,
        items: Option<Vec<RelayItem>>,
        now: Instant,
    ) -> TopicUpdate {
        let outage_age_ms = self.outage_ended_at.map(|at| now.ms_since(at));
        TopicUpdate {
            topic: request.topic.clone(),
            epoch: self.epoch,
            after: request.after,
            end,
            age_ms: now.ms_since(self.confirmed_at),
            outage_age_ms: outage_age_ms.filter(|&age_ms| age_ms <= OUTAGE_MEMORY_MS),
            clock_ms: self.clock.map(|(clock_ms, at)| clock_ms + now.ms_since(at)),
            items,
        }
    }
}

/// Returns the changes without those of keys that have changed again later.
fn newest_of_keys<'a>(
    changes: impl DoubleEndedIterator<Item = &'a (u64, RelayItem)>,
) -> Vec<(u64, &'a RelayItem)> {
    let mut keys: SortedMap<SmolStr, ()> = SortedMap::new();
    let mut is_newest = |item: &RelayItem| match item {
        RelayItem::Entry(entry) => keys.insert(entry.key.clone(), ()).is_none(),
        RelayItem::Reference(reference) => keys.insert(reference.key.clone(), ()).is_none(),
        RelayItem::Part(_) => true,
    };
    let mut newest: Vec<(u64, &RelayItem)> = changes
        .rev()
        .filter(|(_, item)| is_newest(item))
        .map(|(position, item)| (*position, item))
        .collect();
    newest.reverse();
    newest
}

/// The topics that this node reads from their origins.
#[derive(Debug, Clone, Default)]
pub struct RelayTopics {
    topics: SortedMap<SmolStr, Topic>,
    // The topics whose last call failed, also before the first one that succeeds, and those that are not called.
    lost: SortedMap<SmolStr, ()>,
    classes: SortedMap<SmolStr, TopicClass>,
}

impl RelayTopics {
    /// Sets the class of a topic; without one it is regular.
    pub fn set_class(&mut self, name: SmolStr, class: TopicClass) {
        self.classes.insert(name, class);
    }

    /// Returns the class of a topic.
    pub fn class(&self, name: &SmolStr) -> TopicClass {
        self.classes.get(name).copied().unwrap_or(TopicClass::Regular)
    }

    /// Records an answer of an origin.
    pub fn record_read(&mut self, name: &SmolStr, read: OriginRead, now: Instant) {
        let OriginRead { epoch, from, to, items, sent_at, clock_ms } = read;
        let new_topic = || Topic {
            epoch,
            log: ChangeLog::new(from),
            crossing: None,
            confirmed_at: sent_at,
            outage_ended_at: None,
            clock: None,
        };
        let topic = self.topics.get_or_insert_with(name.clone(), new_topic);
        if topic.epoch != epoch {
            topic.epoch = epoch;
            topic.log = ChangeLog::new(from);
            topic.crossing = None;
        }
        self.lost.remove(name);
        topic.log.extend(from, items, to);
        topic.confirmed_at = topic.confirmed_at.max(sent_at);
        topic.clock = clock_ms.map(|clock_ms| (clock_ms, now)).or(topic.clock);
    }

    /// Records a list of the key-value service in a later era, and how it differs from what this node knew.
    /// The differences are passed on if they are small, and if this node knew what it has published.
    pub fn record_crossing(
        &mut self,
        name: &SmolStr,
        read: OriginRead,
        crossing: Crossing,
        now: Instant,
    ) {
        let size: Bytes = crossing.items.iter().map(RelayItem::size).sum();
        let is_known = |topic: &&Topic| {
            (topic.epoch, topic.log.end()) == (crossing.epoch, crossing.end) && size <= MAX_CROSSING
        };
        let log = self.topics.get(name).filter(is_known).map(|topic| topic.log.clone());
        let begin = read.to;
        self.record_read(name, read, now);
        if let (Some(log), Some(topic)) = (log, self.topics.get_mut(name)) {
            topic.crossing = Some((crossing, begin, log));
        }
    }

    /// Records that an origin does not answer. The topic is not passed on until it does: other nodes may
    /// reach the origin, and the changes that this node misses are lost to its followers too.
    pub fn record_lost(&mut self, name: &SmolStr) {
        self.lost.insert(name.clone(), ());
    }

    /// Records that this node does not call the origins, since it follows another one.
    pub fn record_all_lost(&mut self) {
        for name in self.topics.keys() {
            self.lost.insert(name.clone(), ());
        }
    }

    /// Returns whether the origin of an urgent topic does not answer.
    pub fn has_lost_urgent(&self) -> bool {
        self.lost.keys().any(|name| self.class(name) == TopicClass::Urgent)
    }

    /// Returns a topic, unless its origin does not answer.
    fn answered(&self, name: &SmolStr) -> Option<&Topic> {
        self.topics.get(name).filter(|_| !self.lost.contains_key(name))
    }

    /// Records that an origin answered again after an outage.
    pub fn record_outage_end(&mut self, name: &SmolStr, now: Instant) {
        if let Some(topic) = self.topics.get_mut(name) {
            topic.outage_ended_at = Some(now);
        }
    }

    /// Removes a topic.
    pub fn remove(&mut self, name: &SmolStr) {
        self.topics.remove(name);
        self.lost.remove(name);
        self.classes.remove(name);
    }

    /// Answers all requests of a follower. Topics of a more important class get room first, whatever the
    /// order of the requests.
    pub fn answer_all(
        &self,
        requests: &[TopicRequest],
        mut budget: Bytes,
        now: Instant,
    ) -> Vec<TopicUpdate> {
        let mut by_class: Vec<(TopicClass, &TopicRequest)> =
            requests.iter().map(|request| (self.class(&request.topic), request)).collect();
        by_class.sort_by_key(|(class, _)| *class);
        let mut background = None;
        let answer = |(class, request): (TopicClass, &TopicRequest)| {
            if class != TopicClass::Background {
                return self.answer(request, &mut budget, now);
            }
            let budget = background.get_or_insert(budget.min(MAX_BACKGROUND));
            self.answer_in_parts(request, budget, now)
        };
        by_class.into_iter().filter_map(answer).collect()
    }

    /// Answers a follower; returns `None` if this node has not read the topic, or the origin does not answer.
    ///
    /// The items take at most `budget`, which is reduced by what they take. A follower that has
    /// missed more reads from the origin.
    pub fn answer(
        &self,
        request: &TopicRequest,
        budget: &mut Bytes,
        now: Instant,
    ) -> Option<TopicUpdate> {
        let topic = self.answered(&request.topic)?;
        let after = topic.known_position(request);
        let items = topic.changes(request, self.class(&request.topic)).map(without_replaced);
        let size: Bytes = items.iter().flatten().map(RelayItem::size).sum();
        let items = items.filter(|_| size <= *budget);
        if items.is_some() {
            *budget = budget.saturating_sub(size);
        }
        Some(topic.update(request, topic.log.end().max(after), items, now))
    }

    /// Answers a follower with as many of the oldest changes as there is room for, at least one; returns
    /// `None` as [`answer`](Self::answer). A change of a key that has changed again is left out.
    fn answer_in_parts(
        &self,
        request: &TopicRequest,
        budget: &mut Bytes,
        now: Instant,
    ) -> Option<TopicUpdate> {
        let topic = self.answered(&request.topic)?;
        let after = topic.known_position(request);
        let Some(changes) = topic.log.positions_since(after) else {
            return Some(topic.update(request, topic.log.end().max(after), None, now));
        };
        let newest = newest_of_keys(changes);
        let mut items: Vec<RelayItem> = Vec::new();
        let mut end = after;
        // Changes with the same position are sent together.
        for changes in newest.chunk_by(|one, next| one.0 == next.0) {
            let size: Bytes = changes.iter().map(|(_, item)| item.size()).sum();
            if size > *budget && !items.is_empty() {
                return Some(topic.update(request, end, Some(items), now));
            }
            *budget = budget.saturating_sub(size);
            items.extend(changes.iter().map(|(_, item)| (*item).clone()));
            end = changes[0].0;
        }
        Some(topic.update(request, topic.log.end().max(after), Some(items), now))
    }

    /// Returns whether there are changes after the position of a request, or a follower need not wait for any: this
    /// node has not read the topic, or the origin does not answer.
    pub fn has_news(&self, request: &TopicRequest) -> bool {
        self.answered(&request.topic).is_none_or(|topic| {
            let mut news = topic.log.since(request.after).into_iter().flatten();
            topic.epoch == request.epoch && news.next().is_some()
        })
    }
}
