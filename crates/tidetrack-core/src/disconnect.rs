//! How connections come to their ends.

use std::error::Error;
use std::fmt;
use std::io::ErrorKind;

/// How a connection broke, or why none came up.
///
/// Silence may be the way's doing as well as the other end's, and a close or reset is the other end's
/// own: what is to be done differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broke {
    /// The other end acknowledged nothing for too long.
    Silence,
    /// The other end reset it.
    Reset,
    /// Nobody listens at the address.
    Refused,
    /// The other end closed it before its answer was whole.
    Closed,
    /// In another way.
    Otherwise,
}

impl Broke {
    /// Tells how a connection broke from an error and its causes.
    pub fn of(e: &(dyn Error + 'static)) -> Broke {
        let of_cause = |e: &(dyn Error + 'static)| {
            let kind = e.downcast_ref::<std::io::Error>()?.kind();
            match kind {
                ErrorKind::TimedOut => Some(Broke::Silence),
                ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Some(Broke::Reset),
                ErrorKind::ConnectionRefused => Some(Broke::Refused),
                ErrorKind::UnexpectedEof => Some(Broke::Closed),
                _ => None,
            }
        };
        causes(e).find_map(of_cause).unwrap_or(Broke::Otherwise)
    }

    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Broke::Silence => "silence",
            Broke::Reset => "reset",
            Broke::Refused => "refused",
            Broke::Closed => "closed",
            Broke::Otherwise => "other",
        }
    }
}

impl fmt::Display for Broke {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Walks from an error to its causes.
fn causes<'a>(e: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(e), |e: &&'a (dyn Error + 'static)| (*e).source())
}

/// Gets an error's text with those of its causes.
pub fn with_causes(e: &(dyn Error + 'static)) -> String {
    let texts: Vec<String> = causes(e).map(|e| e.to_string()).collect();
    texts.join(": ")
}

#[cfg(test)]
mod tests {
    use std::io;

    use super::*;

    #[derive(Debug)]
    struct Outer(io::Error);

    impl fmt::Display for Outer {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("connection error")
        }
    }

    impl Error for Outer {
        fn source(&self) -> Option<&(dyn Error + 'static)> {
            Some(&self.0)
        }
    }

    fn of(kind: ErrorKind) -> Broke {
        Broke::of(&Outer(io::Error::from(kind)))
    }

    #[test]
    fn a_break_is_told_from_its_cause() {
        let told = [
            of(ErrorKind::TimedOut),
            of(ErrorKind::ConnectionReset),
            of(ErrorKind::ConnectionRefused),
            of(ErrorKind::UnexpectedEof),
            of(ErrorKind::InvalidData),
        ];

        let expected =
            [Broke::Silence, Broke::Reset, Broke::Refused, Broke::Closed, Broke::Otherwise];
        assert_eq!(told, expected);
    }

    #[test]
    fn a_text_names_the_causes() {
        let text = with_causes(&Outer(io::Error::other("no such way")));

        assert_eq!(text, "connection error: no such way");
    }
}
