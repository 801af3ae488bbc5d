//! The settings of a run's requests: presets, whose values flags can override.

use std::str::FromStr;

use rand::RngExt;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccapass_types::{ClassId, ModelId, OrganisationId, RequestsPerSecond};

/// A named set of settings, modelled on a real deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Preset {
    /// Coast Mountain Scaffold Clip Exchange Society.
    Society,
    /// Midlands Hinge Solderers' Association.
    Association,
}

/// The error for a text that is not the name of a preset.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no preset; the presets are society and association"))]
pub struct ParsePresetError {
    text: String,
}

impl FromStr for Preset {
    type Err = ParsePresetError;

    fn from_str(text: &str) -> Result<Self, ParsePresetError> {
        match text {
            "society" => Ok(Self::Society),
            "association" => Ok(Self::Association),
            _ => Err(ParsePresetError { text: text.to_owned() }),
        }
    }
}

/// A log-uniform distribution of lengths: most are short, and a few are much longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LengthDistribution {
    /// Smallest length.
    pub min: u64,
    /// Largest length.
    pub max: u64,
}

impl LengthDistribution {
    /// Samples a length.
    pub fn sample(self, random: &mut StdRng) -> u64 {
        let (low, high) = ((self.min.max(1) as f64).ln(), (self.max.max(1) as f64).ln());
        let value = (low + (high - low) * random.random::<f64>()).exp().round() as u64;
        value.clamp(self.min, self.max.max(self.min))
    }

    /// Returns the mean length.
    pub fn mean(self) -> f64 {
        let (min, max) = (self.min.max(1) as f64, self.max.max(1) as f64);
        if min >= max { min } else { (max - min) / (max / min).ln() }
    }
}

/// An organisation and its weight in the mix of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedOrganisation {
    /// The organisation.
    pub id: OrganisationId,
    /// Its part of the requests, relative to the others.
    pub weight: u32,
}

impl WeightedOrganisation {
    /// Returns the organisation's bearer key in planned deployments.
    pub fn key(&self) -> String {
        format!("key-{}", self.id)
    }
}

/// A request class and its weight in the mix of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedClass {
    /// The class.
    pub id: ClassId,
    /// Its scheduling priority.
    pub priority: i32,
    /// Its part of the requests, relative to the others.
    pub weight: u32,
    /// Time until an answer has to be complete.
    pub deadline_ms: u64,
}

/// All settings of the requests of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Mean rate, including bursts but not requests that are sent again.
    pub rate: RequestsPerSecond,
    /// Time in which requests are sent.
    pub duration_ms: u64,
    /// The organisations that send requests.
    pub organisations: Vec<WeightedOrganisation>,
    /// Request classes.
    pub classes: Vec<WeightedClass>,
    /// The model of ordinary conversations, whose requests are all repeatable.
    pub chat_model: ModelId,
    /// The model that keeps a ledger, some of whose requests are not repeatable.
    pub ledger_model: ModelId,
    /// Share of new conversations with the ledger model.
    pub ledger_percent: u32,
    /// Share of requests to the ledger model that are not repeatable.
    pub not_repeatable_percent: u32,
    /// Share of not repeatable requests that are sent again, with the same idempotency key, to
    /// another node.
    pub resend_percent: u32,
    /// Maximum delay after which a request is sent again.
    pub max_resend_delay_ms: u64,
    /// Bytes of the instructions at the start of every prompt of an organisation.
    pub instruction_bytes: u64,
    /// Bytes of the first question of a conversation, which includes a document.
    pub document_bytes: LengthDistribution,
    /// Bytes of each later question.
    pub question_bytes: LengthDistribution,
    /// Tokens of an answer.
    pub answer_tokens: LengthDistribution,
    /// Share of requests that continue a conversation, where one is due.
    pub return_percent: u32,
    /// Mean gap between two turns of a conversation.
    pub return_gap_ms: u64,
    /// Maximum number of turns of a conversation.
    pub max_turns: u32,
    /// Time from the start of one burst to the next; 0 means no bursts.
    pub burst_period_ms: u64,
    /// Duration of a burst.
    pub burst_ms: u64,
    /// Rate within a burst as a multiple of the rate between bursts.
    pub burst_factor: u32,
}

impl Workload {
    /// Returns the settings of a preset.
    ///
    /// Each preset has 10 organisations, 3 of which send two thirds of the requests.
    ///
    /// # Panics
    ///
    /// Panics if a name in this function is not a valid id; a test covers all presets.
    pub fn preset(preset: Preset) -> Self {
        let (chat, ledger, organisation, classes) = match preset {
            Preset::Society => (
                "clip-models",
                "yard-ledger",
                "society",
                [("driver", 10, 50, 8_000), ("manifest", 5, 40, 15_000), ("batch", 0, 10, 30_000)],
            ),
            Preset::Association => (
                "bench-adviser",
                "member-ledger",
                "association",
                [("bench", 10, 50, 8_000), ("dossier", 5, 40, 15_000), ("batch", 0, 10, 30_000)],
            ),
        };
        Self {
            rate: RequestsPerSecond::new(10),
            duration_ms: 60_000,
            organisations: organisations(organisation),
            classes: classes.into_iter().map(class).collect(),
            chat_model: chat.parse().expect("the name is a valid id"),
            ledger_model: ledger.parse().expect("the name is a valid id"),
            ledger_percent: 10,
            not_repeatable_percent: 60,
            resend_percent: 20,
            max_resend_delay_ms: 2_000,
            instruction_bytes: 1_024,
            document_bytes: LengthDistribution { min: 1_024, max: 16_384 },
            question_bytes: LengthDistribution { min: 64, max: 512 },
            answer_tokens: LengthDistribution { min: 8, max: 128 },
            return_percent: 50,
            return_gap_ms: 10_000,
            max_turns: 6,
            burst_period_ms: 20_000,
            burst_ms: 2_000,
            burst_factor: 3,
        }
    }

    /// Returns the mean number of tokens of the first prompt of a conversation, at 4 bytes a token.
    pub fn first_prompt_tokens(&self) -> f64 {
        (self.instruction_bytes as f64 + self.document_bytes.mean()) / 4.0
    }
}

fn organisations(prefix: &str) -> Vec<WeightedOrganisation> {
    [28, 22, 16, 8, 7, 6, 5, 4, 3, 1]
        .into_iter()
        .enumerate()
        .map(|(number, weight)| WeightedOrganisation {
            id: format!("{prefix}-{number}").parse().expect("the name is a valid id"),
            weight,
        })
        .collect()
}

fn class((id, priority, weight, deadline_ms): (&str, i32, u32, u64)) -> WeightedClass {
    WeightedClass { id: id.parse().expect("the name is a valid id"), priority, weight, deadline_ms }
}
