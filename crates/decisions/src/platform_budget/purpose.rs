//! What calls to the platform are made for.

use std::fmt;
use std::str::FromStr;

use snafu::{OptionExt, Snafu};

/// The purpose of a call to the platform's key-value service, by which calls are counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPurpose {
    /// Keys, configuration and orders of operators.
    Settings,
    /// The registrations of endpoints.
    Endpoints,
    /// The registrations of nodes.
    Nodes,
    /// Swaps of weights: the leader's lock and its progress.
    WeightSwaps,
    /// Roll-outs of software versions: their steps, and what nodes report of them.
    Rollouts,
    /// Evidence about crashes.
    Evidence,
    /// Anything else.
    #[default]
    Other,
}

impl CallPurpose {
    /// All purposes.
    pub const ALL: [Self; 7] = [
        Self::Settings,
        Self::Endpoints,
        Self::Nodes,
        Self::WeightSwaps,
        Self::Rollouts,
        Self::Evidence,
        Self::Other,
    ];

    /// Returns the name, which is a label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Endpoints => "endpoints",
            Self::Nodes => "nodes",
            Self::WeightSwaps => "weight_swaps",
            Self::Rollouts => "rollouts",
            Self::Evidence => "evidence",
            Self::Other => "other",
        }
    }
}

impl fmt::Display for CallPurpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that names no purpose.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not the purpose of a call to the platform"))]
pub struct ParseCallPurposeError {
    text: String,
}

impl FromStr for CallPurpose {
    type Err = ParseCallPurposeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        all.find(|purpose| purpose.as_str() == text).context(ParseCallPurposeSnafu { text })
    }
}
