//! Numbered result codes.
//!
//! One table gives each code its number, HTTP status, whether the request had been run, and a
//! sentence. `docs/CODES.md` lists the same table, and a test compares the two.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request had been run by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No byte of it reached an endpoint, or the endpoint refused it before running.
    No,
    /// It may have been run.
    Unknown,
    /// It was run.
    Yes,
}

macro_rules! codes {
    ($($name:ident, $number:literal, $status:literal, $executed:ident, $text:literal;)*) => {
        /// A result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Gets the code's number.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Gets the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Gets whether a request that ends with this code had been run, unless said otherwise.
            pub fn executed(self) -> Executed {
                match self { $(Code::$name => Executed::$executed,)* }
            }

            /// Gets the code's sentence.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    NoKey, 1001, 401, No, "The request carries no key, or one that no workspace has.";
    UnknownRoute, 1002, 404, No, "The route, service or path is not known.";
    NotAllowed, 1003, 403, No, "The workspace does not allow the model or version.";
    BadBody, 1004, 400, No, "The body is not what the API takes.";
    TooLarge, 1005, 413, No, "The body or a header is larger than the limit.";
    TooSlow, 1006, 408, No, "The body did not arrive in time.";
    BadMethod, 1007, 405, No, "The path does not take this method.";
    BadToken, 1008, 400, No, "The session token or ticket is forged, foreign or malformed.";
    SessionEnded, 1009, 410, No, "The session's version is withdrawn; start a new session.";
    BadValue, 1010, 400, No, "A value is malformed.";
    KeyReused, 1011, 409, Unknown, "A call with this key was handed on before; it is not repeated.";
    TicketSpent, 1012, 409, Unknown, "The ticket was used before; the call is not repeated.";
    TicketGone, 1013, 409, Unknown, "The host that made the ticket is gone; not repeated.";
    TooLong, 1014, 400, No, "The prompt is longer than any allowed endpoint can hold.";
    CallerLeft, 1015, 499, Yes, "The caller left before the end of the answer.";
    CrashesEndpoints, 1016, 400, No, "Endpoints crashed each time they ran this request; it is not run any more.";
    OverLimit, 2001, 429, No, "The workspace's rate or concurrency limit is reached.";
    Overloaded, 2002, 503, No, "No endpoint has room for the request.";
    Draining, 2003, 503, No, "The host is leaving; ask another.";
    NotReady, 2004, 503, No, "The host has no configuration yet.";
    NoVersion, 2005, 503, No, "No allowed version may take new work.";
    Stale, 2006, 503, No, "The host has not confirmed its configuration for too long.";
    BillUnsafe, 2007, 503, No, "No place to keep the bill safe can be reached.";
    RetryBudget, 2008, 503, Unknown, "The attempt failed and the retry budget is spent.";
    SuspectRuns, 2009, 503, No, "Endpoints crashed under this request, and it runs already; come back for its outcome.";
    EndpointRefused, 3001, 503, No, "The endpoint refused the request before running it.";
    EndpointFailed, 3002, 502, Unknown, "The endpoint failed or its answer was cut.";
    EndpointUnreachable, 3003, 502, No, "No connection to the endpoint could be made.";
    Deadline, 3004, 504, Unknown, "The request's deadline passed.";
    WrongAnswer, 3005, 502, Unknown, "The answer's attempt id is not this request's.";
    EndpointMoved, 3006, 503, No, "Another endpoint has the address now, and refused the request.";
    PlatformDown, 4001, 503, No, "The object API cannot be reached.";
    Conflict, 4002, 409, No, "The object was changed by someone else.";
    PlatformBusy, 4003, 503, No, "The object API is over its rate.";
    ObjectGone, 4004, 404, No, "The object does not exist.";
    HistoryGone, 4005, 503, No, "The object API no longer knows the changes that were asked for.";
    ReplyNotNeeded, 4006, 503, No, "Another reply brought the changes meanwhile.";
    ReplyTooLarge, 4007, 503, No, "A reply is larger than what is read of one.";
    BadDeclaration, 5001, 400, No, "A declaration is wrong.";
    BadSettings, 5002, 400, No, "The settings are wrong.";
    BadPolicy, 5003, 400, No, "A policy does not compile or does not pass its cases.";
    BadUsage, 5004, 400, No, "The command line is wrong.";
    PeerRefused, 5005, 403, No, "A host's call is not authenticated.";
    Internal, 5999, 500, Unknown, "A fault of the router itself.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TT-{:04}", self.number())
    }
}

impl FromStr for Code {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let found = Code::ALL.iter().find(|c| c.to_string() == s);
        found.copied().ok_or_else(|| format!("{s:?} is not a result code"))
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let s = String::deserialize(de)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}

/// Renders the table of codes as Markdown, as `docs/CODES.md` holds it.
pub fn codes_table() -> String {
    let mut out = String::from("| code | status | ran | meaning |\n|---|---|---|---|\n");
    for code in Code::ALL {
        let executed = format!("{:?}", code.executed()).to_lowercase();
        out.push_str(&format!("| {code} | {} | {executed} | {} |\n", code.status(), code.text()));
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_distinct_and_round_trip() {
        let mut numbers: Vec<u16> = Code::ALL.iter().map(|c| c.number()).collect();
        numbers.dedup();
        assert_eq!(numbers.len(), Code::ALL.len());
        for code in Code::ALL {
            assert_eq!(code.to_string().parse::<Code>(), Ok(*code));
        }
    }

    #[test]
    fn the_docs_page_matches_the_table() {
        let page = include_str!("../../../docs/CODES.md");
        assert!(page.contains(&codes_table()), "docs/CODES.md differs; run tidetrackctl codes");
    }
}
