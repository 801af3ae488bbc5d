//! A share of the requests to a service.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

const MICROS_PER_UNIT: f64 = 1e6;

/// Reports a text that is not a share.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a number from 0 to 1"))]
pub struct ParseTrafficShareError {
    text: SmolStr,
}

/// A share of the requests to a service from 0 to 1, kept in millionths.
///
/// # Examples
///
/// ```
/// use yuccapass_types::TrafficShare;
///
/// let share: TrafficShare = "0.06".parse()?;
/// assert!(share.includes(0.05) && !share.includes(0.06));
/// assert_eq!(share.to_string(), "0.06");
/// # Ok::<(), yuccapass_types::ParseTrafficShareError>(())
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
pub struct TrafficShare(u32);

impl TrafficShare {
    /// No requests.
    pub const NONE: Self = Self(0);

    /// All requests.
    pub const ALL: Self = Self(1_000_000);

    /// Creates a share from a fraction, which is limited to the range from 0 to 1.
    pub fn from_fraction(fraction: f64) -> Self {
        // The conversion maps a fraction that is not a number to 0.
        Self((fraction.clamp(0.0, 1.0) * MICROS_PER_UNIT).round() as u32)
    }

    /// Returns the share as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / MICROS_PER_UNIT
    }

    /// Returns whether a request with this random number, from 0 up to 1, belongs to the share.
    pub fn includes(self, random: f64) -> bool {
        random < self.fraction()
    }
}

impl fmt::Display for TrafficShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.fraction())
    }
}

impl FromStr for TrafficShare {
    type Err = ParseTrafficShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseTrafficShareError { text: SmolStr::new(text) };
        let fraction: f64 = text.trim().parse().map_err(|_| invalid())?;
        (0.0..=1.0).contains(&fraction).then(|| Self::from_fraction(fraction)).ok_or_else(invalid)
    }
}
