//! Attempts for one rung of a chat request: choice of version and endpoint, sending and retries.

use std::time::Instant;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::config::Workspace;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::{EndpointId, ModelId};
use tidetrack_core::ledger::BillOutcome;
use tidetrack_core::placement::{
    rendezvous, request_work, ring_position_of, PlacementRequest, PoolEndpoint,
};
use tidetrack_core::retry::{may_retry, FailedAttempt};
use tidetrack_core::units::Tokens;
use tidetrack_core::view::{ChosenVersion, View};
use tidetrack_wire::caller::{ResponsePart, StreamOptions, Usage};
use tidetrack_wire::headers;

use crate::upstream::{Attempt, AttemptParams, EventReader};

use super::stream_relay::{ResponseSink, StreamRelay};
use super::{Call, RungResponse};

/// Maximum number of attempts per rung.
const MAX_ATTEMPTS: usize = 3;

/// Response length in tokens that is assumed if a request sets no `max_tokens`.
const DEFAULT_RESPONSE_TOKENS: u64 = 256;

/// Number of characters at the start of a prompt that determine its position on the hash ring.
const PREFIX_CHARS: usize = 512;

/// Maximum size in bytes of a response that is buffered completely: several hundred thousand
/// tokens.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

impl<'a> Call<'a> {
    /// Runs one rung, with retries. Returns true if its response was accepted, and false if it was
    /// judged and rejected. `min_score` is the score that the response needs; `None` if it is not
    /// judged.
    pub(super) fn run_rung(
        &mut self,
        model: &ModelId,
        min_score: Option<f64>,
        sink: &mut ResponseSink,
    ) -> Result<bool> {
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut chosen: Option<ChosenVersion> = None;
        let mut previous_error: Option<Error> = None;
        loop {
            let tried_before = tried.len();
            let result = self.run_attempt(model, &mut chosen, &mut tried, min_score, sink);
            let err = match result {
                Ok(is_sent) => {
                    self.may_have_run = true;
                    return Ok(is_sent);
                }
                Err(err) => err,
            };
            self.may_have_run |= err.executed != Executed::No;
            // `Overloaded` means that no untried endpoint is available. The error of the previous
            // attempt, which caused the retry, says more.
            let err = match previous_error.take() {
                Some(previous_error) if err.code == Code::Overloaded => previous_error,
                _ => err,
            };
            previous_error = Some(err.clone());
            let failed_attempt = FailedAttempt {
                ran: err.executed,
                is_repeatable: true,
                has_partial_response: sink.has_started(),
            };
            let should_retry = tried.len() > tried_before
                && tried.len() < MAX_ATTEMPTS
                && is_endpoint_specific(err.code)
                && may_retry(failed_attempt)
                && Instant::now() < self.deadline;
            if !should_retry || !self.acquire_retry() {
                self.refund_credit(&chosen);
                return Err(err);
            }
        }
    }

    /// Returns the credit for the canary version if no attempt of the request can have been
    /// executed.
    fn refund_credit(&self, chosen: &Option<ChosenVersion>) {
        let credit = chosen.as_ref().and_then(|c| c.credit.as_ref());
        if let Some(credit) = credit.filter(|_| !self.may_have_run) {
            credit.refund();
        }
    }

    /// Takes one retry from the host's retry budget. Returns false if the budget is exhausted.
    fn acquire_retry(&self) -> bool {
        let mut retries = self.shared().retry_budget.lock().expect("no holder of the lock panics");
        retries.try_acquire()
    }

    /// Sends the request to one endpoint. The first attempt chooses the version, and later attempts
    /// reuse it. The chosen endpoint is added to `tried`. Returns what [`Call::run_rung`] returns.
    fn run_attempt(
        &mut self,
        model: &ModelId,
        chosen: &mut Option<ChosenVersion>,
        tried: &mut Vec<EndpointId>,
        min_score: Option<f64>,
        sink: &mut ResponseSink,
    ) -> Result<bool> {
        let freshness = self.shared().wait_for_confirmation();
        self.shared().suspects.check(self.shared().now(), self.fingerprint)?;
        let view = self.shared().view.load_full();
        let workspace = self.workspace(&view)?;
        if chosen.is_none() {
            *chosen = Some(match &self.session {
                Some(s) => {
                    view.choose_session_version(workspace, &s.version, s.generation, freshness)?
                }
                None => view.choose_version(workspace, model, self.version_fraction, freshness)?,
            });
        }
        let chosen = chosen.as_ref().expect("a version is chosen before the attempt").clone();
        let endpoint = self.pick_endpoint(&view, &chosen, tried)?;
        tried.push(endpoint.id.clone());
        self.labels.version = chosen.version.to_string();
        self.labels.failure_domain = endpoint.failure_domain.to_string();
        let attempt_id = format!("{}/{}-{}", self.context.id, chosen.version.model, tried.len());
        // The newest configuration is checked immediately before sending, so that a withdrawal that
        // arrived in the meantime takes effect.
        let view = self.shared().view.load_full();
        view.check_still_valid(self.workspace(&view)?, &chosen)?;
        let params = AttemptParams {
            shared: self.shared(),
            upstream: self.context.upstream,
            endpoint,
            work: request_work(
                Tokens(self.chat.prompt_tokens()),
                Tokens(self.max_response_tokens()),
            ),
            id: attempt_id,
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            accepts_any_status: false,
            is_repeatable: true,
        };
        let result = match min_score {
            None if self.chat.stream => self.relay_stream(params, &view, &chosen, sink),
            _ => self
                .fetch_complete(params, &chosen)
                .and_then(|response| self.judge_and_send(response, &view, min_score, sink)),
        };
        self.record_outcome(&chosen, &result);
        result
    }

    /// Counts the outcome of an attempt as evidence about the version. Errors count only if the
    /// endpoint failed and the attempt may have been executed.
    fn record_outcome(&self, chosen: &ChosenVersion, result: &Result<bool>) {
        let counts = match result {
            Ok(_) => VersionCounts { answered: 1, ..VersionCounts::default() },
            Err(err) if err.executed != Executed::No && err.code == Code::EndpointFailed => {
                VersionCounts { errors: 1, ..VersionCounts::default() }
            }
            Err(_) => return,
        };
        let is_canary = chosen.credit.is_some();
        self.shared().record_counts(&chosen.version, chosen.generation, is_canary, counts);
    }

    /// Returns the caller's workspace, or an error if it has been deleted since authentication.
    fn workspace<'v>(&self, view: &'v View) -> Result<&'v Workspace> {
        let workspace_deleted = || Error::new(Code::NoKey, "the workspace no longer exists");
        view.workspaces.get(&self.context.workspace).ok_or_else(workspace_deleted)
    }

    /// Returns the maximum length of the response in tokens, or the assumed length if the request
    /// sets none.
    fn max_response_tokens(&self) -> u64 {
        self.chat.max_tokens.unwrap_or(DEFAULT_RESPONSE_TOKENS)
    }

    /// Picks an endpoint of the version's pool that has not been tried yet. Fails if the request
    /// does not fit the version's context window or no endpoint is available.
    fn pick_endpoint(
        &self,
        view: &View,
        chosen: &ChosenVersion,
        tried: &[EndpointId],
    ) -> Result<PoolEndpoint> {
        let required_tokens = self.chat.prompt_tokens() + self.max_response_tokens();
        let context_tokens =
            view.versions.get(&chosen.version).map_or(0, |v| v.spec.context_tokens);
        if required_tokens > context_tokens {
            let message = format!(
                "{required_tokens} tokens exceed the context of {} ({context_tokens} tokens)",
                chosen.version
            );
            return Err(Error::new(Code::TooLong, message));
        }
        let pool = view.pools.get(&chosen.pool);
        let no_pool = || Error::new(Code::NoVersion, format!("no pool named {}", chosen.pool));
        let placement_request = PlacementRequest {
            ring_position: self.ring_position(),
            salt: rendezvous("endpoint", &self.context.id.to_string()),
            required_tokens: Tokens(required_tokens),
            tried,
            priority: self.priority,
            ..PlacementRequest::default()
        };
        pool.ok_or_else(no_pool)?.pick(self.shared().now(), &placement_request).cloned()
    }

    /// Returns the position on the hash ring, derived from the session's nonce or, without a
    /// session, from the start of the prompt. Requests with the same position prefer the same
    /// endpoint.
    pub(super) fn ring_position(&self) -> u64 {
        if let Some(session) = &self.session {
            return ring_position_of(&session.nonce.to_le_bytes());
        }
        let first_message =
            self.chat.messages.first().and_then(|m| m.content.as_str()).unwrap_or_default();
        let prefix: String = first_message.chars().take(PREFIX_CHARS).collect();
        ring_position_of(prefix.as_bytes())
    }

    /// Returns the HTTP request and the body to send to an endpoint.
    fn upstream_request(
        &self,
        chosen: &ChosenVersion,
        stream: bool,
    ) -> (http::request::Builder, Vec<u8>) {
        let mut chat = self.chat.clone();
        chat.model = chosen.version.model.to_string();
        chat.stream = stream;
        chat.stream_options = stream.then_some(StreamOptions { include_usage: true });
        let body = serde_json::to_vec(&chat).expect("a parsed request can be serialized");
        let request = http::Request::post("/v1/chat/completions")
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(headers::PRIORITY, self.priority)
            .header(headers::VERSION, chosen.version.to_string());
        (request, body)
    }

    /// Sends the request without streaming and buffers the complete response.
    fn fetch_complete(
        &self,
        params: AttemptParams<'_>,
        chosen: &ChosenVersion,
    ) -> Result<RungResponse> {
        let (request, body) = self.upstream_request(chosen, false);
        let (mut attempt, mut reply) = Attempt::send(params, request, body)?;
        let parsed = attempt.read_body(&mut reply, MAX_RESPONSE_BYTES).and_then(|body| {
            let part = serde_json::from_slice::<ResponsePart>(&body);
            part.map(|part| (part, body)).map_err(|err| attempt.endpoint_error(&err.to_string()))
        });
        match parsed {
            Ok((part, body)) => {
                attempt.record_success();
                let text = part.text().to_string();
                let usage = part.usage.unwrap_or_else(|| self.estimate_usage(&text));
                let endpoint = attempt.endpoint().clone();
                Ok(RungResponse { chosen: chosen.clone(), endpoint, text, usage, body })
            }
            Err(err) => {
                attempt.record_failure(&err);
                Err(err)
            }
        }
    }

    /// Estimates the token usage of a response that reports none, at four characters per token.
    fn estimate_usage(&self, text: &str) -> Usage {
        let completion_tokens = (text.chars().count() as u64).div_ceil(4);
        let prompt_tokens = self.chat.prompt_tokens();
        let total_tokens = prompt_tokens + completion_tokens;
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }

    /// Streams the response to the caller event by event and stores the bill before the end marker
    /// is sent. If the endpoint's stream is interrupted after the response has started, the rest is
    /// requested from the same endpoint once.
    fn relay_stream(
        &mut self,
        params: AttemptParams<'_>,
        view: &View,
        chosen: &ChosenVersion,
        sink: &mut ResponseSink,
    ) -> Result<bool> {
        let (request, body) = self.upstream_request(chosen, true);
        let (mut attempt, reply) = Attempt::send(params, request, body)?;
        let mut relay = StreamRelay::default();
        self.set_headers(view, chosen, attempt.endpoint(), sink);
        let relay_result = relay.relay_events(&mut EventReader::new(reply), &attempt, self, sink);
        let relay_result = match relay_result {
            Err(err) if err.code == Code::EndpointFailed && sink.has_started() => {
                relay.resume(&attempt, sink).map_err(|_| err)
            }
            other => other,
        };
        let usage = relay.usage.unwrap_or_else(|| Usage {
            prompt_tokens: self.chat.prompt_tokens(),
            completion_tokens: relay.chunks,
            total_tokens: self.chat.prompt_tokens() + relay.chunks,
        });
        if let Err(err) = relay_result {
            attempt.record_failure(&err);
            if sink.has_started() {
                self.add_line_item(view, chosen, usage);
                self.store_bill(BillOutcome::Truncated)?;
            }
            return Err(err);
        }
        attempt.record_success();
        self.add_line_item(view, chosen, usage);
        self.store_bill(BillOutcome::Complete)?;
        self.submit_for_rating(chosen, &relay.text);
        if relay.finish(self.wants_usage, sink).is_err() {
            self.shared().log(Event::CallerLeft, &self.context.id.to_string());
        }
        Ok(true)
    }
}

/// Reports whether an error concerns the endpoint, so that another endpoint may succeed.
fn is_endpoint_specific(code: Code) -> bool {
    matches!(
        code,
        Code::EndpointFailed
            | Code::EndpointRefused
            | Code::EndpointUnreachable
            | Code::WrongAnswer
    )
}
