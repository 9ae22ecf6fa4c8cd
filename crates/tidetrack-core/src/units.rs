//! Units for sizes, rates and times.
//!
//! Times are in milliseconds of a monotonic clock that starts with the process. No decision compares the
//! clocks of two hosts: messages contain ages, never points in time.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{bad_value, Error, Result};

/// Defines a newtype for a number with a unit, which is formatted with a suffix and parsed with or without
/// it.
macro_rules! number_unit {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $suffix:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                let digits = s.trim().trim_end_matches($suffix).trim();
                let n = digits.parse();
                n.map($name).map_err(|_| bad_value(stringify!($name), s, "a number"))
            }
        }
    };
}

number_unit!(
    /// A point in time on the host's monotonic clock, or a duration, in milliseconds.
    #[derive(Eq, Ord, Hash)]
    Millis,
    u64,
    " ms"
);
number_unit!(
    /// A number of model tokens.
    #[derive(Eq, Ord, Hash)]
    Tokens,
    u64,
    " tokens"
);
number_unit!(
    /// A price or cost, in millionths of the currency unit.
    #[derive(Eq, Ord, Hash)]
    Micros,
    u64,
    " micros"
);
number_unit!(
    /// A rate in requests per second.
    Rate,
    f64,
    "/s"
);
number_unit!(
    /// The bandwidth of a network link, in megabits per second.
    Bandwidth,
    f64,
    " Mbit/s"
);
number_unit!(
    /// An amount of memory, in megabytes of 1,048,576 bytes.
    MemorySize,
    f64,
    " MB"
);
number_unit!(
    /// A fraction of a total, from 0 to 1.
    Share,
    f64,
    ""
);
number_unit!(
    /// A quality score from 0 to 1.
    Score,
    f64,
    ""
);

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    /// Subtracts and saturates at zero.
    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl Millis {
    /// Longest duration that is taken from other parties: a year.
    pub const MAX_STATED: Millis = Millis(365 * 24 * 3_600 * 1_000);

    /// Converts a number of milliseconds that another party states as the value of `name`. Fails if it
    /// is negative, not a number, or above [`Millis::MAX_STATED`].
    pub fn from_stated(name: &'static str, ms: f64) -> Result<Millis> {
        match ms {
            _ if (0.0..=Millis::MAX_STATED.0 as f64).contains(&ms) => Ok(Millis(ms as u64)),
            _ => Err(bad_value(name, &format!("{ms} ms"), "a time from 0 to a year")),
        }
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl MemorySize {
    /// Returns the number of bytes.
    pub fn bytes(self) -> f64 {
        self.0 * 1_048_576.0
    }
}

impl Bandwidth {
    /// Returns the number of bytes that the link transfers in a duration.
    pub fn bytes_in(self, span: Millis) -> u64 {
        const BITS: f64 = 8.0;
        const MS: f64 = 1_000.0;
        (self.0 * 1e6 / BITS * span.0 as f64 / MS) as u64
    }
}

/// Number of tokens for which a price is quoted.
pub const TOKENS_PER_PRICE_UNIT: u64 = 1000;

impl Micros {
    /// Returns the cost of `tokens` at this price per 1000 tokens, rounded up.
    pub fn cost_of(self, tokens: Tokens) -> Micros {
        Micros(self.0.saturating_mul(tokens.0).div_ceil(TOKENS_PER_PRICE_UNIT))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn units_round_trip_as_text() {
        assert_eq!("250 ms".parse::<Millis>().expect("the duration parses"), Millis(250));
        assert_eq!(Millis(250).to_string(), "250 ms");
        assert!("soon".parse::<Millis>().is_err());
    }

    #[test]
    fn bandwidth_converts_to_bytes() {
        assert_eq!(Bandwidth(10.0).bytes_in(Millis(200)), 250_000);
        assert_eq!(
            "200 Mbit/s".parse::<Bandwidth>().expect("the bandwidth parses"),
            Bandwidth(200.0)
        );
    }

    #[test]
    fn cost_rounds_up_and_never_wraps() {
        assert_eq!(Micros(3).cost_of(Tokens(1)), Micros(1));
        assert_eq!(Micros(u64::MAX).cost_of(Tokens(u64::MAX)), Micros(u64::MAX.div_ceil(1000)));
    }
}
