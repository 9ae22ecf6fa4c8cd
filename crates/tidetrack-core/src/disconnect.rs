//! Causes for which connections fail.

use std::error::Error;
use std::fmt;
use std::io::ErrorKind;

/// Why a connection was lost or could not be established.
///
/// A timeout may be caused by the network path or by the remote end, whereas only the remote end
/// closes or resets a connection. They are handled differently for this reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DisconnectCause {
    /// The remote end acknowledged nothing within the time limit.
    TimedOut,
    /// The remote end reset the connection, or it was already gone when data was written.
    Reset,
    /// Nothing listens at the address.
    Refused,
    /// The remote end closed the connection before its response was complete.
    Closed,
    /// Any other cause.
    Other,
}

impl DisconnectCause {
    /// Derives the cause from an error and its chain of sources.
    pub fn from_error(e: &(dyn Error + 'static)) -> DisconnectCause {
        let cause_of = |e: &(dyn Error + 'static)| {
            let kind = e.downcast_ref::<std::io::Error>()?.kind();
            match kind {
                ErrorKind::TimedOut => Some(DisconnectCause::TimedOut),
                ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Some(DisconnectCause::Reset),
                ErrorKind::ConnectionRefused => Some(DisconnectCause::Refused),
                ErrorKind::UnexpectedEof => Some(DisconnectCause::Closed),
                _ => None,
            }
        };
        sources(e).find_map(cause_of).unwrap_or(DisconnectCause::Other)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DisconnectCause::TimedOut => "silence",
            DisconnectCause::Reset => "reset",
            DisconnectCause::Refused => "refused",
            DisconnectCause::Closed => "closed",
            DisconnectCause::Other => "other",
        }
    }
}

impl fmt::Display for DisconnectCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Iterates over an error and its chain of sources.
fn sources<'a>(e: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(e), |e: &&'a (dyn Error + 'static)| (*e).source())
}

/// Returns the messages of an error and of its chain of sources, separated by colons.
pub fn format_error_chain(e: &(dyn Error + 'static)) -> String {
    let texts: Vec<String> = sources(e).map(|e| e.to_string()).collect();
    texts.join(": ")
}

#[cfg(test)]
mod tests {
    use std::io;

    use super::*;

    #[derive(Debug)]
    struct WrappedError(io::Error);

    impl fmt::Display for WrappedError {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("connection error")
        }
    }

    impl Error for WrappedError {
        fn source(&self) -> Option<&(dyn Error + 'static)> {
            Some(&self.0)
        }
    }

    fn cause_of_kind(kind: ErrorKind) -> DisconnectCause {
        DisconnectCause::from_error(&WrappedError(io::Error::from(kind)))
    }

    #[test]
    fn cause_is_derived_from_io_error_kind() {
        let found = [
            cause_of_kind(ErrorKind::TimedOut),
            cause_of_kind(ErrorKind::ConnectionReset),
            cause_of_kind(ErrorKind::ConnectionRefused),
            cause_of_kind(ErrorKind::UnexpectedEof),
            cause_of_kind(ErrorKind::InvalidData),
        ];

        let expected = [
            DisconnectCause::TimedOut,
            DisconnectCause::Reset,
            DisconnectCause::Refused,
            DisconnectCause::Closed,
            DisconnectCause::Other,
        ];
        assert_eq!(found, expected);
    }

    #[test]
    fn error_chain_text_includes_all_sources() {
        let text = format_error_chain(&WrappedError(io::Error::other("no route to host")));

        assert_eq!(text, "connection error: no route to host");
    }
}
