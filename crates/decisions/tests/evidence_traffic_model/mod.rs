//! A model of a fleet in which engines full of streams crash at once, in virtual time: the guards of all
//! nodes, their reports, and the relays that pass reports and configuration on over links of 10 Mbit/s.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_decisions::gateway::relay::{
    OriginRead, RelayItem, RelayTopics, RelayedEntry, TopicClass, TopicRequest, relay_count,
};
use yuccapass_decisions::part_guard::{
    CrashedProcess, Evidence, PartGuard, PartGuardSettings, ReportPacing,
};
use yuccapass_types::{Bytes, Deadline, Instant, PromptPartId};

/// Length of a step of the model.
const STEP_MS: u64 = 10;

/// Length of a run.
const LENGTH_MS: u64 = 13_000;

/// When engines crash, and how many at once, each with so many streams.
pub const WAVES_MS: [u64; 3] = [1_000, 4_500, 8_000];
const CRASHES: usize = 18;
const STREAMS: usize = 24;

/// Number of zones.
const ZONES: usize = 6;

/// Different first parts, and second parts, of prompts.
const FIRST_PARTS: usize = 97;
const SECOND_PARTS: usize = 4_700;

/// Answers that end at each node in a second.
const ANSWERS_PER_S: f64 = 4.0;

/// Time between two changes of the configuration, and the size of one.
const CONFIGURATION_MS: u64 = 1_000;
const CONFIGURATION_BYTES: usize = 4_000;

/// Time between two looks of a node at its evidence: 150 ms and a random addition.
const LOOK_MS: std::ops::Range<u64> = 150..350;

/// Time between two reads of a relay while there are changes: a pause and a call.
const READ_MS: u64 = 250;

/// Time between two requests of a follower.
const ASK_MS: u64 = 280;

/// What the topics of a reply may take together, and what a link carries in a millisecond.
const MAX_REPLY: Bytes = Bytes::new(56 << 10);
const LINK_BYTES_PER_MS: u64 = 1_250;

const CONFIGURATION_TOPIC: &str = "keys:op/";
// Sorts before the configuration, so that its class has to put it behind.
const EVIDENCE_TOPIC: &str = "keys:crashes/";

/// A limit that is taken out to see that the model notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// All limits are in place.
    Complete,
    /// Nodes publish whenever they look at their evidence.
    WithoutPacing,
    /// Evidence is a topic like any other.
    WithoutClasses,
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Report {
    /// Writes of evidence by all nodes, by second.
    pub writes_by_second: Vec<usize>,
    /// Bytes of evidence that were written.
    pub written_bytes: u64,
    /// The most that a relay has sent in one second.
    pub most_relay_bytes_per_s: u64,
    /// The longest time until a node knew a change of the configuration.
    pub longest_configuration_ms: u64,
    /// Reports that nodes have merged.
    pub merges: usize,
    /// Decisions of nodes to block a part. All parts are sound.
    pub blocked_parts: usize,
}

struct Node {
    guard: PartGuard,
    pacing: ReportPacing,
    next_look_ms: u64,
    // Positions in both topics.
    known: [u64; 2],
}

/// A node that reads from the origin and answers followers.
struct Relay {
    topics: RelayTopics,
    read: [u64; 2],
    link_free_ms: u64,
    sent_by_second: Vec<u64>,
}

/// A reply on its way to a follower.
struct Reply {
    arrives_ms: u64,
    node: usize,
    items: Vec<RelayItem>,
    ends: [Option<u64>; 2],
}

/// The model.
pub struct Model {
    guard: Guard,
    random: StdRng,
    now_ms: u64,
    nodes: Vec<Node>,
    relays: Vec<Relay>,
    replies: Vec<Reply>,
    // What the origin has, by revision; the configuration is `None`.
    changes: Vec<(RelayedEntry, Option<(usize, Evidence)>)>,
    configured_ms: BTreeMap<u64, u64>,
    processes: u64,
    report: Report,
}

impl Model {
    pub fn new(nodes: usize, seed: u64, guard: Guard) -> Self {
        let new_node = |number: usize| {
            let mut pacing = ReportPacing::default();
            pacing.set_fleet_nodes(nodes as u32);
            let next_look_ms = (number as u64 * 37) % LOOK_MS.end;
            let mut guard = PartGuard::new(PartGuardSettings::default());
            guard.set_fleet_nodes(nodes as u32);
            Node { guard, pacing, next_look_ms, known: [0; 2] }
        };
        let new_relay = || {
            let mut topics = RelayTopics::default();
            topics.set_class(CONFIGURATION_TOPIC.into(), TopicClass::Urgent);
            if guard != Guard::WithoutClasses {
                topics.set_class(EVIDENCE_TOPIC.into(), TopicClass::Background);
            }
            Relay { topics, read: [0; 2], link_free_ms: 0, sent_by_second: Vec::new() }
        };
        let relays = ZONES * relay_count(nodes / ZONES);
        Self {
            guard,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            nodes: (0..nodes).map(new_node).collect(),
            relays: (0..relays).map(|_| new_relay()).collect(),
            replies: Vec::new(),
            changes: Vec::new(),
            configured_ms: BTreeMap::new(),
            processes: 0,
            report: Report::default(),
        }
    }

    pub fn run(mut self) -> Report {
        self.report.writes_by_second = vec![0; (LENGTH_MS / 1_000) as usize + 1];
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if self.now_ms.is_multiple_of(CONFIGURATION_MS) {
                self.configure();
            }
            if WAVES_MS.contains(&self.now_ms) {
                self.crash_engines();
            }
            self.end_answers();
            self.look();
            self.read();
            self.ask();
            self.deliver();
        }
        let sent = self.relays.iter().flat_map(|relay| relay.sent_by_second.iter().copied());
        self.report.most_relay_bytes_per_s = sent.max().unwrap_or_default();
        self.report
    }

    fn now(&self) -> Instant {
        // Ages are subtracted from it.
        Instant::from_ms(100_000 + self.now_ms)
    }

    fn prompt(&mut self) -> Vec<PromptPartId> {
        // The product of two uniform numbers prefers small ones.
        let skewed = self.random.random::<f64>() * self.random.random::<f64>();
        let first = (skewed * FIRST_PARTS as f64) as usize;
        let second = self.random.random_range(0..SECOND_PARTS);
        [format!("{first:012x}"), format!("{second:011x}-")]
            .map(|part| part.parse().expect("valid"))
            .to_vec()
    }

    /// Ends engines whose streams belong to nodes of the whole fleet. Nodes notice it at once, or a
    /// little later.
    fn crash_engines(&mut self) {
        let now = self.now();
        for _ in 0..CRASHES {
            self.processes += 1;
            let process = CrashedProcess {
                endpoint: format!("i-{:010x}", self.processes).parse().expect("valid"),
                started_unix_ms: Some(1_777_991_268_000),
            };
            for _ in 0..STREAMS {
                let prompt = self.prompt();
                let node = self.random.random_range(0..self.nodes.len());
                self.nodes[node].guard.record_crash(&process, &[prompt], now);
            }
        }
    }

    fn end_answers(&mut self) {
        for node in 0..self.nodes.len() {
            if self.random.random_bool(ANSWERS_PER_S * STEP_MS as f64 / 1_000.0) {
                let prompt = self.prompt();
                self.nodes[node].guard.record_answer(&prompt);
            }
        }
    }

    fn configure(&mut self) {
        let revision = self.changes.len() as u64 + 1;
        let value = Some(vec![0; CONFIGURATION_BYTES]);
        self.changes.push((RelayedEntry { key: "settings/current".into(), value, revision }, None));
        self.configured_ms.insert(revision, self.now_ms);
    }

    /// Lets the nodes look at their evidence, and publish it when it is time.
    fn look(&mut self) {
        let now = self.now();
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            if self.now_ms < node.next_look_ms {
                continue;
            }
            node.next_look_ms = self.now_ms + self.random.random_range(LOOK_MS);
            self.report.blocked_parts += node.guard.decide(now).len();
            if !node.guard.has_news(now) {
                node.pacing.rest(now);
                continue;
            }
            let due = node.pacing.due(now, &mut self.random);
            if self.guard != Guard::WithoutPacing && !due.has_passed(now) {
                node.next_look_ms = node.next_look_ms.min(ms_of(due));
                continue;
            }
            let evidence = node.guard.report(now).expect("there are news");
            node.pacing.record_report(now, &mut self.random);
            self.write(number, evidence);
        }
    }

    fn write(&mut self, node: usize, evidence: Evidence) {
        let value = serde_json::to_vec(&evidence).expect("it can be encoded");
        self.report.writes_by_second[(self.now_ms / 1_000) as usize] += 1;
        self.report.written_bytes += value.len() as u64;
        let revision = self.changes.len() as u64 + 1;
        let key = format!("yuccapass/crashes/evidence/node-{node}").into();
        let entry = RelayedEntry { key, value: Some(value), revision };
        self.changes.push((entry, Some((node, evidence))));
    }

    /// Lets the relays read from the origin.
    fn read(&mut self) {
        let now = self.now();
        for (number, relay) in self.relays.iter_mut().enumerate() {
            if !(self.now_ms + number as u64 * 20).is_multiple_of(READ_MS / STEP_MS * STEP_MS) {
                continue;
            }
            let to = self.changes.len() as u64;
            for (topic, name) in [CONFIGURATION_TOPIC, EVIDENCE_TOPIC].into_iter().enumerate() {
                let from = relay.read[topic];
                let news = self.changes[from as usize..].iter();
                let items = news
                    .filter(|(_, evidence)| usize::from(evidence.is_some()) == topic)
                    .map(|(entry, _)| (entry.revision, RelayItem::Entry(entry.clone())))
                    .collect();
                let read = OriginRead { epoch: 0, from, to, items, sent_at: now, clock_ms: None };
                relay.topics.record_read(&name.into(), read, now);
                relay.read[topic] = to;
            }
        }
    }

    /// Lets the followers ask their relays.
    fn ask(&mut self) {
        let now = self.now();
        for number in 0..self.nodes.len() {
            if !(self.now_ms + number as u64 * 10).is_multiple_of(ASK_MS) {
                continue;
            }
            let known = self.nodes[number].known;
            let request =
                |topic: &str, after| TopicRequest { topic: topic.into(), epoch: 0, after };
            let requests =
                [request(EVIDENCE_TOPIC, known[1]), request(CONFIGURATION_TOPIC, known[0])];
            let relays = self.relays.len();
            let relay = &mut self.relays[number % relays];
            let updates = relay.topics.answer_all(&requests, MAX_REPLY, now);
            let size: Bytes = updates
                .iter()
                .flat_map(|update| update.items.iter().flatten())
                .map(RelayItem::size)
                .sum();
            let starts_ms = relay.link_free_ms.max(self.now_ms);
            relay.link_free_ms = starts_ms + size.get() / LINK_BYTES_PER_MS;
            let second = (self.now_ms / 1_000) as usize;
            relay.sent_by_second.resize(relay.sent_by_second.len().max(second + 1), 0);
            relay.sent_by_second[second] += size.get();
            let end_of = |topic: &str| {
                let update = updates.iter().find(|update| update.topic == topic)?;
                update.items.as_ref().map(|_| update.end)
            };
            let ends = [end_of(CONFIGURATION_TOPIC), end_of(EVIDENCE_TOPIC)];
            let items = updates.into_iter().filter_map(|update| update.items).flatten().collect();
            let arrives_ms = relay.link_free_ms + 1;
            self.replies.push(Reply { arrives_ms, node: number, items, ends });
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let (due, later): (Vec<Reply>, Vec<Reply>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|at| at.arrives_ms <= self.now_ms);
        self.replies = later;
        for Reply { node: number, items, ends, .. } in due {
            let node = &mut self.nodes[number];
            for (known, end) in node.known.iter_mut().zip(ends) {
                *known = end.unwrap_or_default().max(*known);
            }
            for item in items {
                let RelayItem::Entry(entry) = item else { continue };
                match &self.changes[entry.revision as usize - 1].1 {
                    Some((sender, _)) if *sender == number => {}
                    Some((_, evidence)) => {
                        node.guard.merge(evidence, now);
                        self.report.merges += 1;
                    }
                    None => {
                        let age_ms = self.now_ms - self.configured_ms[&entry.revision];
                        let longest = &mut self.report.longest_configuration_ms;
                        *longest = age_ms.max(*longest);
                    }
                }
            }
        }
    }
}

fn ms_of(deadline: Deadline) -> u64 {
    deadline.instant().as_ms() - 100_000
}
