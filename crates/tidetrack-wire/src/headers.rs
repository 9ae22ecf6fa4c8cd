//! Names of the HTTP headers that tidetrack reads and writes.

/// Id of the request, assigned by the router.
pub const REQUEST_ID: &str = "Tidetrack-Request";
/// Id that the caller assigned to the request; returned unchanged.
pub const CALLER_REQUEST_ID: &str = "X-Request-Id";
/// Token of the session, in requests and responses.
pub const SESSION: &str = "Tidetrack-Session";
/// Ticket for a call that must not be repeated.
pub const TICKET: &str = "Tidetrack-Ticket";
/// Key assigned by the caller to a call that must not be repeated.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Version that served the request.
pub const VERSION: &str = "Tidetrack-Version";
/// Endpoint that served the request.
pub const ENDPOINT: &str = "Tidetrack-Endpoint";
/// Id of an attempt, echoed by the endpoint.
pub const ATTEMPT: &str = "Tidetrack-Attempt";
/// Load of an endpoint, in its responses: `work capacity`.
pub const LOAD: &str = "Tidetrack-Load";
/// Set by an endpoint that is leaving.
pub const LEAVING: &str = "Tidetrack-Leaving";
/// Set by an endpoint that refused a request before executing it.
pub const NOT_RUN: &str = "Tidetrack-Not-Run";
/// Tags of a request for use by its policy, separated by commas.
pub const TAGS: &str = "Tidetrack-Tags";
/// Priority of a request, an integer; higher is more urgent.
pub const PRIORITY: &str = "Tidetrack-Priority";
/// Model chosen by the routing script that the policy replaces, for a policy in observe or share
/// mode.
pub const SCRIPT_CHOICE: &str = "Tidetrack-Script-Choice";
/// Set on a call forwarded by another host, so that it is not forwarded again.
pub const FORWARDED: &str = "Tidetrack-Forwarded";
/// Time that the caller will wait for a response, in milliseconds.
pub const DEADLINE: &str = "Tidetrack-Deadline-Ms";
/// Version of the object that a conditional update expects.
pub const IF_VERSION: &str = "If-Version";

/// Returns the value of a header; names are compared without regard to case.
pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

/// Reports whether there was no response at all: `minreq` returns status 503 without headers if the
/// connection ended before a status line was received.
pub fn is_missing_response(status: u16, headers: &[(String, String)]) -> bool {
    status == 503 && headers.is_empty()
}
