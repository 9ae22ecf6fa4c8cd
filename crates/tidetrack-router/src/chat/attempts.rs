//! Attempts at one rung of a chat request's plan: choice of version and endpoint, sending, retries.

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

use crate::upstream::{Attempt, Begin, Events};

use super::flow::{Flow, Out};
use super::{Answer, Call};

/// Most attempts at one rung.
const MOST_ATTEMPTS: usize = 3;

/// Answer tokens assumed where a request does not say.
const ASSUMED_ANSWER: u64 = 256;

/// Characters of a prompt that decide its place on the ring.
const PREFIX_CHARS: usize = 512;

/// Largest whole answer, in bytes: some hundred thousand tokens.
const LARGEST_ANSWER: usize = 4 << 20;

impl<'a> Call<'a> {
    /// Runs one rung; tells whether its answer was given to the caller.
    pub(super) fn rung(
        &mut self,
        model: &ModelId,
        judged: Option<f64>,
        out: &mut Out,
    ) -> Result<bool> {
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut chosen: Option<ChosenVersion> = None;
        let mut first: Option<Error> = None;
        loop {
            let tried_before = tried.len();
            let result = self.attempt(model, &mut chosen, &mut tried, judged, out);
            let e = match result {
                Ok(given) => {
                    self.may_have_run = true;
                    return Ok(given);
                }
                Err(e) => e,
            };
            self.may_have_run |= e.executed != Executed::No;
            // That no other endpoint is left says less than why one is looked for.
            let e = match first.take() {
                Some(first) if e.code == Code::Overloaded => first,
                _ => e,
            };
            first = Some(e.clone());
            let failed = FailedAttempt {
                ran: e.executed,
                is_repeatable: true,
                has_partial_response: out.has_begun(),
            };
            let again = tried.len() > tried_before
                && tried.len() < MOST_ATTEMPTS
                && is_attempts_fault(e.code)
                && may_retry(failed)
                && Instant::now() < self.deadline;
            if !again || !self.take_retry() {
                self.give_back(&chosen);
                return Err(e);
            }
        }
    }

    /// Gives the credit back if no attempt of the request can have run.
    fn give_back(&self, chosen: &Option<ChosenVersion>) {
        let credit = chosen.as_ref().and_then(|c| c.credit.as_ref());
        if let Some(credit) = credit.filter(|_| !self.may_have_run) {
            credit.refund();
        }
    }

    fn take_retry(&self) -> bool {
        let mut retries = self.shared().retry_budget.lock().expect("no holder of the lock panics");
        retries.try_acquire()
    }

    fn attempt(
        &mut self,
        model: &ModelId,
        chosen: &mut Option<ChosenVersion>,
        tried: &mut Vec<EndpointId>,
        judged: Option<f64>,
        out: &mut Out,
    ) -> Result<bool> {
        let fresh = self.shared().wait_for_confirmation();
        self.shared().suspects.check(self.shared().now(), self.fingerprint)?;
        let view = self.shared().view.load_full();
        let workspace = self.workspace(&view)?;
        if chosen.is_none() {
            *chosen = Some(match &self.session {
                Some(s) => {
                    view.choose_session_version(workspace, &s.version, s.generation, fresh)?
                }
                None => view.choose_version(workspace, model, self.draw, fresh)?,
            });
        }
        let chosen = chosen.as_ref().expect("a version was chosen").clone();
        let endpoint = self.pick(&view, &chosen, tried)?;
        tried.push(endpoint.id.clone());
        self.labels.version = chosen.version.to_string();
        self.labels.failure_domain = endpoint.failure_domain.to_string();
        let attempt = format!("{}/{}-{}", self.caller.id, chosen.version.model, tried.len());
        // The last look before work leaves: a withdrawal that came meanwhile counts.
        let view = self.shared().view.load_full();
        view.check_still_valid(self.workspace(&view)?, &chosen)?;
        let begin = Begin {
            shared: self.shared(),
            upstream: self.caller.upstream,
            endpoint,
            work: request_work(Tokens(self.chat.prompt_tokens()), Tokens(self.answer_tokens())),
            id: attempt,
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            any_status: false,
            is_repeatable: true,
        };
        let result = match judged {
            None if self.chat.stream => self.streamed(begin, &view, &chosen, out),
            _ => self.whole(begin, &chosen).and_then(|a| self.judge(a, &view, judged, out)),
        };
        self.count(&chosen, &result);
        result
    }

    /// Counts the end of an attempt as evidence about the version.
    fn count(&self, chosen: &ChosenVersion, result: &Result<bool>) {
        let counts = match result {
            Ok(_) => VersionCounts { answered: 1, ..VersionCounts::default() },
            Err(e) if e.executed != Executed::No && e.code == Code::EndpointFailed => {
                VersionCounts { errors: 1, ..VersionCounts::default() }
            }
            Err(_) => return,
        };
        let unproven = chosen.credit.is_some();
        self.shared().record_counts(&chosen.version, chosen.generation, unproven, counts);
    }

    fn workspace<'v>(&self, view: &'v View) -> Result<&'v Workspace> {
        let gone = || Error::new(Code::NoKey, "the workspace is gone");
        view.workspaces.get(&self.caller.workspace).ok_or_else(gone)
    }

    fn answer_tokens(&self) -> u64 {
        self.chat.max_tokens.unwrap_or(ASSUMED_ANSWER)
    }

    fn pick(
        &self,
        view: &View,
        chosen: &ChosenVersion,
        tried: &[EndpointId],
    ) -> Result<PoolEndpoint> {
        let need = self.chat.prompt_tokens() + self.answer_tokens();
        let context = view.versions.get(&chosen.version).map_or(0, |v| v.spec.context_tokens);
        if need > context {
            let message = format!("{need} tokens; {} takes {context}", chosen.version);
            return Err(Error::new(Code::TooLong, message));
        }
        let pool = view.pools.get(&chosen.pool);
        let no_pool = || Error::new(Code::NoVersion, format!("no pool named {}", chosen.pool));
        let ask = PlacementRequest {
            ring_position: self.place(),
            salt: rendezvous("endpoint", &self.caller.id.to_string()),
            required_tokens: Tokens(need),
            tried,
            priority: self.priority,
            ..PlacementRequest::default()
        };
        pool.ok_or_else(no_pool)?.pick(self.shared().now(), &ask).cloned()
    }

    /// Gets the place on the ring: the session's, or that of the prompt's beginning.
    pub(super) fn place(&self) -> u64 {
        if let Some(session) = &self.session {
            return ring_position_of(&session.nonce.to_le_bytes());
        }
        let first = self.chat.messages.first().and_then(|m| m.content.as_str()).unwrap_or_default();
        let prefix: String = first.chars().take(PREFIX_CHARS).collect();
        ring_position_of(prefix.as_bytes())
    }

    /// Makes the request that an endpoint gets.
    fn upstream_request(
        &self,
        chosen: &ChosenVersion,
        stream: bool,
    ) -> (http::request::Builder, Vec<u8>) {
        let mut chat = self.chat.clone();
        chat.model = chosen.version.model.to_string();
        chat.stream = stream;
        chat.stream_options = stream.then_some(StreamOptions { include_usage: true });
        let body = serde_json::to_vec(&chat).expect("a request that was read can be written");
        let request = http::Request::post("/v1/chat/completions")
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(headers::PRIORITY, self.priority)
            .header(headers::VERSION, chosen.version.to_string());
        (request, body)
    }

    /// Gets a whole answer.
    fn whole(&self, begin: Begin<'_>, chosen: &ChosenVersion) -> Result<Answer> {
        let (request, body) = self.upstream_request(chosen, false);
        let (mut attempt, mut reply) = Attempt::send(begin, request, body)?;
        let parsed = attempt.read_body(&mut reply, LARGEST_ANSWER).and_then(|body| {
            let part = serde_json::from_slice::<ResponsePart>(&body);
            part.map(|part| (part, body)).map_err(|e| attempt.cut(&e.to_string()))
        });
        match parsed {
            Ok((part, body)) => {
                attempt.succeeded();
                let text = part.text().to_string();
                let usage = part.usage.unwrap_or_else(|| self.assumed_usage(&text));
                let endpoint = attempt.endpoint().clone();
                Ok(Answer { chosen: chosen.clone(), endpoint, text, usage, body })
            }
            Err(e) => {
                attempt.failed(&e);
                Err(e)
            }
        }
    }

    fn assumed_usage(&self, text: &str) -> Usage {
        let completion_tokens = (text.chars().count() as u64).div_ceil(4);
        let prompt_tokens = self.chat.prompt_tokens();
        let total_tokens = prompt_tokens + completion_tokens;
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }

    /// Passes a stream on event by event.
    fn streamed(
        &mut self,
        begin: Begin<'_>,
        view: &View,
        chosen: &ChosenVersion,
        out: &mut Out,
    ) -> Result<bool> {
        let (request, body) = self.upstream_request(chosen, true);
        let (mut attempt, reply) = Attempt::send(begin, request, body)?;
        let mut flow = Flow::default();
        self.set_headers(view, chosen, attempt.endpoint(), out);
        let passed = flow.pass(&mut Events::new(reply), &attempt, self, out);
        let passed = match passed {
            Err(e) if e.code == Code::EndpointFailed && out.has_begun() => {
                flow.resume(&attempt, out).map_err(|_| e)
            }
            other => other,
        };
        let usage = flow.usage.unwrap_or_else(|| Usage {
            prompt_tokens: self.chat.prompt_tokens(),
            completion_tokens: flow.chunks,
            total_tokens: self.chat.prompt_tokens() + flow.chunks,
        });
        if let Err(e) = passed {
            attempt.failed(&e);
            if out.has_begun() {
                self.add_part(view, chosen, usage);
                self.bill(BillOutcome::Truncated)?;
            }
            return Err(e);
        }
        attempt.succeeded();
        self.add_part(view, chosen, usage);
        self.bill(BillOutcome::Complete)?;
        self.offer_rating(chosen, &flow.text);
        if flow.finish(self.wants_usage, out).is_err() {
            self.shared().log(Event::CallerLeft, &self.caller.id.to_string());
        }
        Ok(true)
    }
}

/// Tells whether an error is one that another endpoint may not have.
fn is_attempts_fault(code: Code) -> bool {
    matches!(
        code,
        Code::EndpointFailed
            | Code::EndpointRefused
            | Code::EndpointUnreachable
            | Code::WrongAnswer
    )
}
