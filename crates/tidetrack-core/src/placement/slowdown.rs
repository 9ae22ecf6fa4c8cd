//! How long work takes at an endpoint, as a multiple of the usual time.

use std::fmt;
use std::str::FromStr;

use crate::codes::Code;
use crate::errors::Error;

/// Smallest and largest multiple that is believed. Anything beyond is a faulty report.
const MIN_MULTIPLE: f64 = 0.1;
const MAX_MULTIPLE: f64 = 20.0;

/// How long work takes at an endpoint, as a multiple of the usual time: 1 is as usual, 2 is half as
/// fast.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Creates a slowdown from a multiple of the usual time, limited to what is plausible. A value
    /// that is not a number counts as usual.
    pub fn new(multiple: f64) -> Slowdown {
        match multiple.is_nan() {
            true => Slowdown::default(),
            false => Slowdown(multiple.clamp(MIN_MULTIPLE, MAX_MULTIPLE)),
        }
    }

    /// Creates a slowdown from a percentage of the usual time.
    pub fn from_percent(percent: u64) -> Slowdown {
        Slowdown::new(percent as f64 / 100.0)
    }

    /// Returns the multiple of the usual time.
    pub fn multiple(self) -> f64 {
        self.0
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown(1.0)
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

impl FromStr for Slowdown {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let multiple = text.parse::<f64>().ok().filter(|m| m.is_finite() && *m > 0.0);
        multiple.map(Slowdown::new).ok_or_else(|| {
            Error::new(Code::BadValue, format!("{text:?} is not a multiple of the usual time"))
        })
    }
}
