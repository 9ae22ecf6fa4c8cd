//! The error type of the crate.
//!
//! Every error has a numbered result code; `codes` contains the table of codes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::codes::{Code, Executed};
use crate::disconnect::DisconnectCause;

/// An error with a numbered result code.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// Result code from the table in `codes`.
    pub code: Code,
    /// Description for readers; it names the object or value concerned.
    pub message: String,
    /// Whether an endpoint executed the request.
    #[serde(rename = "ran")]
    pub executed: Executed,
    /// Delay in milliseconds after which the caller may retry; `None` if unknown.
    pub retry_after_ms: Option<u64>,
    /// Cause of a lost connection, if there was one. It is of interest to this host only and is not
    /// serialized.
    #[serde(skip)]
    pub disconnect_cause: Option<DisconnectCause>,
}

/// A result with the crate's error type by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error from a code and a message; `executed` is set to the default of the code.
    pub fn new(code: Code, message: impl Into<String>) -> Error {
        Error {
            code,
            message: message.into(),
            executed: code.executed(),
            retry_after_ms: None,
            disconnect_cause: None,
        }
    }

    /// Sets whether an endpoint executed the request.
    pub fn with_executed(mut self, executed: Executed) -> Error {
        self.executed = executed;
        self
    }

    /// Sets the cause of the lost connection.
    pub fn with_disconnect_cause(mut self, cause: DisconnectCause) -> Error {
        self.disconnect_cause = Some(cause);
        self
    }

    /// Sets the delay in milliseconds after which the caller may retry.
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

/// Creates the error for a value that cannot be parsed. At most 80 characters of the value are quoted.
pub fn bad_value(kind: &'static str, value: &str, expected: &str) -> Error {
    let truncated: String = value.chars().take(80).collect();
    Error::new(Code::BadValue, format!("{kind} {truncated:?} is not {expected}"))
}

/// Creates the error for a name that does not exist in the configuration.
pub fn unknown_name(code: Code, what: &str, name: &dyn fmt::Display) -> Error {
    Error::new(code, format!("no {what} named {name}"))
}
