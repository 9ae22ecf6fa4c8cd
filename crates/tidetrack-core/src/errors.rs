//! The crate's error type.
//!
//! Every error carries a numbered result code; the table of codes is in `codes`.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::broke::Broke;
use crate::codes::{Code, Executed};

/// A coded error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// What went wrong, as a number of the table.
    pub code: Code,
    /// What went wrong, for a person. Names the place.
    pub message: String,
    /// Whether the request had been run.
    #[serde(rename = "ran")]
    pub executed: Executed,
    /// When to come back, in milliseconds, where that is known.
    pub retry_after_ms: Option<u64>,
    /// How the connection broke, if one did. It concerns this host only.
    #[serde(skip)]
    pub disconnect_cause: Option<Broke>,
}

/// A result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Makes an error from a code and a message; `ran` is the code's own.
    pub fn new(code: Code, message: impl Into<String>) -> Error {
        Error {
            code,
            message: message.into(),
            executed: code.executed(),
            retry_after_ms: None,
            disconnect_cause: None,
        }
    }

    /// Sets whether the request had been run.
    pub fn with_executed(mut self, executed: Executed) -> Error {
        self.executed = executed;
        self
    }

    /// Sets how the connection broke.
    pub fn with_disconnect_cause(mut self, cause: Broke) -> Error {
        self.disconnect_cause = Some(cause);
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
pub fn bad_value(kind: &'static str, value: &str, expected: &str) -> Error {
    let truncated: String = value.chars().take(80).collect();
    Error::new(Code::BadValue, format!("{kind} {truncated:?} is not {expected}"))
}

/// Makes the error for something that is not known here.
pub fn unknown_name(code: Code, what: &str, name: &dyn fmt::Display) -> Error {
    Error::new(code, format!("no {what} named {name}"))
}
