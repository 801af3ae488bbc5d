//! The requests of a run, computed from settings and a seed.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use yuccapass_types::Tokens;

use super::workload::Workload;

/// One turn of a conversation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedTurn {
    /// Number of the request, from 0 in order of time.
    pub number: u64,
    /// Scheduled time, from the start of the run.
    pub at_us: u64,
    /// The conversation.
    pub conversation: u32,
    /// Number of the turn within the conversation, from 0.
    pub turn: u32,
    /// Index of the organisation in the workload.
    pub organisation: usize,
    /// Index of the class in the workload.
    pub class: usize,
    /// Whether the request goes to the ledger model.
    pub is_ledger: bool,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Delay from the scheduled time after which the request is sent again, if it is.
    pub resend_after_us: Option<u64>,
    /// Bytes of the question.
    pub question_bytes: u64,
    /// Tokens of the answer.
    pub answer_tokens: Tokens,
}

/// A conversation with its next turn.
#[derive(Debug, Clone)]
struct OpenConversation {
    due_us: u64,
    conversation: u32,
    next_turn: u32,
    organisation: usize,
    class: usize,
    is_ledger: bool,
}

/// Computes all requests of a run; equal settings and seeds give equal requests.
pub fn plan_turns(workload: &Workload, seed: u64) -> Vec<PlannedTurn> {
    let mut planner = Planner {
        workload,
        random: StdRng::seed_from_u64(seed),
        open_conversations: VecDeque::new(),
        conversation_count: 0,
    };
    let mut turns = Vec::new();
    let mut at_us = 0;
    loop {
        at_us += planner.gap_us(at_us);
        if at_us >= workload.duration_ms * 1000 {
            return turns;
        }
        let turn = planner.plan_turn(turns.len() as u64, at_us);
        turns.push(turn);
    }
}

struct Planner<'a> {
    workload: &'a Workload,
    random: StdRng,
    /// Conversations that continue, sorted by due time.
    open_conversations: VecDeque<OpenConversation>,
    conversation_count: u32,
}

impl Planner<'_> {
    /// Samples the time to the next request from an exponential distribution.
    fn gap_us(&mut self, at_us: u64) -> u64 {
        let rate = rate_at(self.workload, at_us);
        let uniform: f64 = self.random.random();
        ((-(1.0 - uniform).ln() / rate.max(1e-6)) * 1e6).ceil() as u64
    }

    fn plan_turn(&mut self, number: u64, at_us: u64) -> PlannedTurn {
        let open = self.next_conversation(at_us);
        let is_repeatable = !(open.is_ledger && self.chance(self.workload.not_repeatable_percent));
        let is_resent = !is_repeatable && self.chance(self.workload.resend_percent);
        let max_delay_us = self.workload.max_resend_delay_ms * 1000;
        let resend_after_us = is_resent.then(|| self.random.random_range(1..=max_delay_us.max(1)));
        let lengths = match open.next_turn {
            0 => self.workload.document_bytes,
            _ => self.workload.question_bytes,
        };
        let turn = PlannedTurn {
            number,
            at_us,
            conversation: open.conversation,
            turn: open.next_turn,
            organisation: open.organisation,
            class: open.class,
            is_ledger: open.is_ledger,
            is_repeatable,
            resend_after_us,
            question_bytes: lengths.sample(&mut self.random),
            answer_tokens: Tokens::new(self.workload.answer_tokens.sample(&mut self.random)),
        };
        self.schedule_next_turn(open, at_us);
        turn
    }

    /// Takes the conversation that has been due the longest, or starts a new one.
    fn next_conversation(&mut self, at_us: u64) -> OpenConversation {
        let is_due = self.open_conversations.front().is_some_and(|open| open.due_us <= at_us);
        if is_due && self.chance(self.workload.return_percent) {
            return self.open_conversations.pop_front().expect("the list is not empty");
        }
        let conversation = self.conversation_count;
        self.conversation_count += 1;
        let organisation_weights = self.workload.organisations.iter().map(|item| item.weight);
        let organisation = pick_weighted(&mut self.random, organisation_weights);
        let class_weights = self.workload.classes.iter().map(|item| item.weight);
        let class = pick_weighted(&mut self.random, class_weights);
        let is_ledger = self.chance(self.workload.ledger_percent);
        OpenConversation {
            due_us: at_us,
            conversation,
            next_turn: 0,
            organisation,
            class,
            is_ledger,
        }
    }

    /// Schedules the next turn of a conversation unless it has reached the maximum number of turns.
    fn schedule_next_turn(&mut self, open: OpenConversation, at_us: u64) {
        let next_turn = open.next_turn + 1;
        if next_turn >= self.workload.max_turns {
            return;
        }
        let factor = 0.5 + self.random.random::<f64>();
        let gap_us = (self.workload.return_gap_ms as f64 * 1000.0 * factor) as u64;
        let due_us = at_us + gap_us;
        let position = self.open_conversations.partition_point(|other| other.due_us <= due_us);
        self.open_conversations.insert(position, OpenConversation { due_us, next_turn, ..open });
    }

    /// Returns true with a probability of `percent` %.
    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }
}

/// Returns the rate at a time; its mean over a burst period is the workload's rate.
fn rate_at(workload: &Workload, at_us: u64) -> f64 {
    let rate = workload.rate.get() as f64;
    if workload.burst_period_ms == 0 || workload.burst_ms >= workload.burst_period_ms {
        return rate;
    }
    let (period, burst) = (workload.burst_period_ms as f64, workload.burst_ms as f64);
    let factor = f64::from(workload.burst_factor.max(1));
    let base = rate * period / (period - burst + burst * factor);
    // A burst is the last part of a period, so that a run starts at the lower rate.
    let in_period_ms = at_us / 1000 % workload.burst_period_ms;
    let is_burst = in_period_ms >= workload.burst_period_ms - workload.burst_ms;
    if is_burst { base * factor } else { base }
}

/// Samples an index with a probability proportional to its weight.
fn pick_weighted(random: &mut StdRng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u32 = weights.clone().sum();
    let mut left = random.random_range(0..total.max(1));
    for (position, weight) in weights.enumerate() {
        if left < weight {
            return position;
        }
        left -= weight;
    }
    0
}
