//! Names of the HTTP headers that tidetrack reads and writes.

/// The request's id, made by the router.
pub const REQUEST_ID: &str = "Tidetrack-Request";
/// The caller's own id of the request, given back as it came.
pub const CALLER_REQUEST_ID: &str = "X-Request-Id";
/// The session's token, both ways.
pub const SESSION: &str = "Tidetrack-Session";
/// A ticket for a call that must not be repeated.
pub const TICKET: &str = "Tidetrack-Ticket";
/// A caller's own key for a call that must not be repeated.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The version that answered.
pub const VERSION: &str = "Tidetrack-Version";
/// The endpoint that answered.
pub const ENDPOINT: &str = "Tidetrack-Endpoint";
/// An attempt's id, echoed by the endpoint.
pub const ATTEMPT: &str = "Tidetrack-Attempt";
/// An endpoint's load, on its answers: `work capacity`.
pub const LOAD: &str = "Tidetrack-Load";
/// Set by an endpoint that is leaving.
pub const LEAVING: &str = "Tidetrack-Leaving";
/// Set by an endpoint that refused before running.
pub const NOT_RUN: &str = "Tidetrack-Not-Run";
/// Tags of a request, for its policy; separated by commas.
pub const TAGS: &str = "Tidetrack-Tags";
/// A request's priority, a whole number; higher is more urgent.
pub const PRIORITY: &str = "Tidetrack-Priority";
/// The model that an old script chose, for a policy in observe or share mode.
pub const SCRIPT_CHOICE: &str = "Tidetrack-Script-Choice";
/// Set on a call that another host passed on, so that it is not passed on again.
pub const FORWARDED: &str = "Tidetrack-Forwarded";
/// Milliseconds that the caller will wait.
pub const DEADLINE: &str = "Tidetrack-Deadline-Ms";
/// Version of the object that a conditional update expects.
pub const IF_VERSION: &str = "If-Version";

/// Finds a header without regard to case.
pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Tells whether an answer is none: `minreq` gives a bare 503 where the connection ended before a
/// status line came.
pub fn is_missing_response(status: u16, headers: &[(String, String)]) -> bool {
    status == 503 && headers.is_empty()
}
