//! A request rate with decimals.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

const MICROS_PER_UNIT: f64 = 1e6;

/// Reports a text that is not a decimal number of requests a second.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a number of requests/s from 0 to 1e9"))]
pub struct ParseRequestRateError {
    text: SmolStr,
}

/// A request rate, kept in millionths of a request per second.
///
/// Unlike [`RequestsPerSecond`](crate::RequestsPerSecond) it can be divided among many nodes.
///
/// # Examples
///
/// ```
/// use yuccapass_types::RequestRate;
///
/// let rate: RequestRate = "3.3".parse()?;
/// assert_eq!(rate.to_string(), "3.3 requests/s");
/// assert_eq!(rate.period_us(9), Some(2_727_273));
/// # Ok::<(), yuccapass_types::ParseRequestRateError>(())
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The largest rate, in requests a second.
    pub const MAX_PER_S: f64 = 1e9;

    /// Creates a rate from requests a second; returns `None` unless they are from 0 to
    /// [`MAX_PER_S`](Self::MAX_PER_S).
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = (0.0..=Self::MAX_PER_S).contains(&per_s);
        is_valid.then_some(Self((per_s * MICROS_PER_UNIT).round() as u64))
    }

    /// Returns the rate in requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / MICROS_PER_UNIT
    }

    /// Returns the time between two requests of one of `nodes` nodes that share the rate equally, in
    /// microseconds; `None` if the rate is zero.
    pub fn period_us(self, nodes: u32) -> Option<u64> {
        let period_us = MICROS_PER_UNIT * f64::from(nodes.max(1)) / self.per_s();
        (self.0 > 0).then_some(period_us.round() as u64)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = ParseRequestRateError;

    /// Parses a decimal number, with or without the unit behind it.
    fn from_str(text: &str) -> Result<Self, ParseRequestRateError> {
        let trimmed = text.trim();
        let number = trimmed.strip_suffix("requests/s").unwrap_or(trimmed).trim_end();
        number
            .parse()
            .ok()
            .and_then(Self::from_per_s)
            .ok_or_else(|| ParseRequestRateError { text: text.chars().take(64).collect() })
    }
}
