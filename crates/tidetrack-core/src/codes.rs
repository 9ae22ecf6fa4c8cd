//! Numbered result codes.
//!
//! One table gives the number of each code, its HTTP status, whether an endpoint executed the request, and
//! a description. `docs/CODES.md` contains the same table, and a test compares the two.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether an endpoint executed a request that was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No byte of the request reached an endpoint, or the endpoint refused it before executing it.
    No,
    /// An endpoint may have executed the request.
    Unknown,
    /// An endpoint executed the request.
    Yes,
}

/// Defines `Code` from the table of codes.
macro_rules! codes {
    ($($name:ident, $number:literal, $status:literal, $executed:ident, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status for the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns whether an endpoint executed a request that ends with this code. An error may override
            /// this default.
            pub fn executed(self) -> Executed {
                match self { $(Code::$name => Executed::$executed,)* }
            }

            /// Returns the description of the code.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    NoKey, 1001, 401, No, "The request has no API key, or its key does not belong to any workspace.";
    UnknownRoute, 1002, 404, No, "The route, service or path does not exist.";
    NotAllowed, 1003, 403, No, "The workspace does not allow the model or version.";
    BadBody, 1004, 400, No, "The request body is malformed or not supported by the API.";
    TooLarge, 1005, 413, No, "The body or a header exceeds the size limit.";
    TooSlow, 1006, 408, No, "The body did not arrive in time.";
    BadMethod, 1007, 405, No, "The path does not support this method.";
    BadToken, 1008, 400, No, "The session token or ticket is malformed, forged, or issued for another workspace or route.";
    SessionEnded, 1009, 410, No, "The session's version is withdrawn; start a new session.";
    BadValue, 1010, 400, No, "A value is malformed.";
    KeyReused, 1011, 409, Unknown, "A call with this idempotency key was already forwarded; it is not repeated.";
    TicketSpent, 1012, 409, Unknown, "The ticket was already used; the call is not repeated.";
    TicketGone, 1013, 409, Unknown, "The host that issued the ticket is gone; the call is not repeated.";
    TooLong, 1014, 400, No, "The prompt exceeds the context length of every allowed endpoint.";
    CallerLeft, 1015, 499, Yes, "The caller disconnected before the end of the response.";
    CrashesEndpoints, 1016, 400, No, "Endpoints crashed each time they executed this request, or requests with a part of its prompt; it is not executed again.";
    OverLimit, 2001, 429, No, "The workspace's rate or concurrency limit is reached.";
    Overloaded, 2002, 503, No, "No endpoint has capacity for the request.";
    Draining, 2003, 503, No, "The host is shutting down; send the request to another host.";
    NotReady, 2004, 503, No, "The host has no configuration yet.";
    NoVersion, 2005, 503, No, "No version that the workspace allows accepts new work.";
    Stale, 2006, 503, No, "The host has not confirmed its configuration for too long.";
    BillUnsafe, 2007, 503, No, "No host or store that can keep the bill safely is reachable.";
    RetryBudget, 2008, 503, Unknown, "The attempt failed and the retry budget is exhausted.";
    SuspectRuns, 2009, 503, No, "Endpoints crashed while executing this request and another attempt is running; retry later for its outcome.";
    Evacuated, 2010, 503, No, "All endpoints of the service are in evacuated failure domains.";
    NoPath, 2011, 503, No, "The host has lost its network paths to the endpoints of the service, and no other host can take the request.";
    NoBodyMemory, 2012, 503, No, "The host has no memory left for the request's body; send the request again.";
    EndpointRefused, 3001, 503, No, "The endpoint refused the request before executing it.";
    EndpointFailed, 3002, 502, Unknown, "The endpoint failed or its response was truncated.";
    EndpointUnreachable, 3003, 502, No, "The connection to the endpoint could not be established.";
    Deadline, 3004, 504, Unknown, "The request's deadline expired.";
    WrongAnswer, 3005, 502, Unknown, "The attempt ID in the response does not match the request.";
    EndpointMoved, 3006, 503, No, "Another endpoint now has the address and refused the request.";
    HostStopped, 3007, 502, Unknown, "The host stopped before the response was complete.";
    PlatformDown, 4001, 503, No, "The object API cannot be reached.";
    Conflict, 4002, 409, No, "The object was changed by another writer.";
    PlatformBusy, 4003, 503, No, "The rate limit of the object API is exceeded.";
    ObjectGone, 4004, 404, No, "The object does not exist.";
    HistoryGone, 4005, 503, No, "The object API no longer has the requested changes.";
    ReplyNotNeeded, 4006, 503, No, "Another reply delivers the requested changes.";
    ReplyTooLarge, 4007, 503, No, "A reply exceeds the maximum size that is read.";
    BadDeclaration, 5001, 400, No, "A declaration is invalid.";
    BadSettings, 5002, 400, No, "The settings are invalid.";
    BadPolicy, 5003, 400, No, "A policy does not compile or fails its test cases.";
    BadUsage, 5004, 400, No, "The command line is invalid.";
    PeerRefused, 5005, 403, No, "A call from another host is not authenticated.";
    Internal, 5999, 500, Unknown, "The router had an internal error.";
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

/// Renders the table of codes as Markdown, as contained in `docs/CODES.md`.
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
