//! The crate's error type.
//!
//! Every error carries a numbered result code; the table of codes is in `codes`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::codes::{Code, Ran};
use crate::disconnect::DisconnectCause;

/// A coded error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong, as a number of the table.
    pub code: Code,
    /// What went wrong, for a person. Names the place.
    pub message: String,
    /// Whether the request had been run.
    pub ran: Ran,
    /// When to come back, in milliseconds, where that is known.
    pub retry_after_ms: Option<u64>,
    /// How the connection broke, if one did. It concerns this host only.
    #[serde(skip)]
    pub broke: Option<DisconnectCause>,
}

/// A result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Makes an error from a code and a message; `ran` is the code's own.
    pub fn new(code: Code, message: impl Into<String>) -> Error {
        Error { code, message: message.into(), ran: code.ran(), retry_after_ms: None, broke: None }
    }

    /// Sets whether the request had been run.
    pub fn with_ran(mut self, ran: Ran) -> Error {
        self.ran = ran;
        self
    }

    /// Sets how the connection broke.
    pub fn with_broke(mut self, broke: DisconnectCause) -> Error {
        self.broke = Some(broke);
        self
    }

    /// Sets when the caller may come back.
    pub fn with_retry_after(mut self, ms: u64) -> Error {
        self.retry_after_ms = Some(ms);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Error {}

/// Makes the error for a value that does not parse.
pub fn bad_value(kind: &'static str, value: &str, want: &str) -> Error {
    let shown: String = value.chars().take(80).collect();
    Error::new(Code::BadValue, format!("{kind} {shown:?} is not {want}"))
}

/// Makes the error for something that is not known here.
pub fn unknown(code: Code, what: &str, name: &dyn fmt::Display) -> Error {
    Error::new(code, format!("no {what} named {name}"))
}
