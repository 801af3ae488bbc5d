//! Newtypes for sizes, token counts and rates.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use smol_str::SmolStr;
use snafu::Snafu;

/// Reports a text that is not a whole number followed by the expected unit.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a whole number of {unit}"))]
pub struct ParseUnitError {
    text: SmolStr,
    unit: &'static str,
}

macro_rules! unit {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay,
            DeserializeFromStr,
        )]
        pub struct $name(u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Wraps a number of this unit.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number without its unit.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Subtracts, stopping at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
                values.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            /// Parses a whole number, with or without the unit behind it.
            fn from_str(text: &str) -> Result<Self, ParseUnitError> {
                let trimmed = text.trim();
                let number = trimmed.strip_suffix($suffix).unwrap_or(trimmed).trim_end();
                number.parse().map(Self).map_err(|_| ParseUnitError {
                    text: text.chars().take(64).collect(),
                    unit: $suffix,
                })
            }
        }
    };
}

unit! {
    /// A size in bytes.
    Bytes, "B"
}
unit! {
    /// A number of tokens.
    Tokens, "tokens"
}
unit! {
    /// A token rate.
    TokensPerSecond, "tokens/s"
}
unit! {
    /// A byte rate.
    BytesPerSecond, "B/s"
}
unit! {
    /// A request rate.
    RequestsPerSecond, "requests/s"
}
