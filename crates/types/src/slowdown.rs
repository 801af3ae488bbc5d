//! How long work takes at an endpoint, relative to the usual time.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

/// Reports a text that is not a valid [`Slowdown`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a number of percent from 1 to 1000000"))]
pub struct ParseSlowdownError {
    text: SmolStr,
}

/// The time that work takes at an endpoint, in percent of the usual time.
///
/// # Examples
///
/// ```
/// use yuccapass_types::Slowdown;
///
/// let slowdown: Slowdown = "250".parse()?;
/// assert_eq!(slowdown.factor(), 2.5);
/// assert_eq!(slowdown.to_string(), "250 %");
/// # Ok::<(), yuccapass_types::ParseSlowdownError>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Slowdown(u32);

impl Slowdown {
    /// Work takes as long as usual.
    pub const USUAL: Self = Self(100);

    /// The largest value, in percent.
    pub const MAX_PERCENT: u32 = 1_000_000;

    /// Wraps a number of percent; returns `None` unless it is from 1 to
    /// [`MAX_PERCENT`](Self::MAX_PERCENT).
    pub const fn from_percent(percent: u32) -> Option<Self> {
        match percent {
            1..=Self::MAX_PERCENT => Some(Self(percent)),
            _ => None,
        }
    }

    /// Returns the value nearest to a multiple of the usual time.
    pub fn from_factor(factor: f64) -> Self {
        // The conversion saturates, and turns what is not a number into zero.
        Self(((factor * 100.0).round() as u32).clamp(1, Self::MAX_PERCENT))
    }

    /// Returns the percent.
    pub const fn percent(self) -> u32 {
        self.0
    }

    /// Returns the multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} %", self.0)
    }
}

impl FromStr for Slowdown {
    type Err = ParseSlowdownError;

    /// Parses a whole number, with or without the unit behind it.
    fn from_str(text: &str) -> Result<Self, ParseSlowdownError> {
        let trimmed = text.trim();
        let number = trimmed.strip_suffix('%').unwrap_or(trimmed).trim_end();
        number
            .parse()
            .ok()
            .and_then(Self::from_percent)
            .ok_or_else(|| ParseSlowdownError { text: text.chars().take(64).collect() })
    }
}
