//! When a silent stream is resumed, and the search for an endpoint that continues it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::EndpointState;

use crate::choose::choose_resume_endpoint;
use crate::crash::{detect_crash, wait_for_crash_reports};
use crate::job::{AttemptHistory, Job, Traffic};
use crate::report::record_failed_attempt;
use crate::send::send;
use crate::stall_aware_sleep::stall_aware_sleep;

use super::source::Source;

/// Multiple of the route's maximum event gap after which a stream is resumed elsewhere, if its
/// endpoint sent nothing at all meanwhile. A new attempt has to read the prompt again, so it is
/// better to wait through a short stall.
const SILENT_GAP_RATIO: f64 = 1.3;

/// Multiple of the maximum event gap that applies if the endpoint serves other requests meanwhile.
const STALLED_GAP_RATIO: f64 = 3.0;

/// Maximum gap between events if the route does not set one.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);

pub(super) fn timeout_error(text: &str) -> Error {
    Error::new(Code::Deadline, text).with_executed(Executed::Yes)
}

/// Waits until a silent stream is to be resumed elsewhere. Returns whether its endpoint has sent nothing
/// for other requests either.
pub(super) async fn wait_for_silence(
    traffic: &Traffic,
    job: &Job,
    live: Arc<EndpointState>,
) -> bool {
    let max_gap = job
        .admitted
        .route
        .max_event_gap
        .map_or(DEFAULT_MAX_EVENT_GAP, |gap| Duration::from_millis(gap.0));
    let since = traffic.shared.now();
    let (silent_timeout, stalled_timeout) =
        (max_gap.mul_f64(SILENT_GAP_RATIO), max_gap.mul_f64(STALLED_GAP_RATIO));
    stall_aware_sleep(silent_timeout).await;
    let is_endpoint_silent = !live.was_active_since(since);
    if !is_endpoint_silent {
        stall_aware_sleep(stalled_timeout.saturating_sub(silent_timeout)).await;
    }
    is_endpoint_silent
}

/// Sends the request to other endpoints, one after another, to resume the stream after
/// `last_event_id`. Returns the first successful response; fails if no attempts are left or the
/// request's time is over.
///
/// While a silent endpoint is listened to, an attempt that reaches no endpoint is refunded: a
/// stream may stall often, and attempts are reserved for interruptions. Connects are limited per
/// search, and the searches are spaced out by the silence before each of them.
pub(super) async fn resume_elsewhere(
    traffic: &Rc<Traffic>,
    job: &Job,
    model: Option<&ModelId>,
    last_event_id: Option<u64>,
    tries: &mut AttemptHistory,
) -> Result<(http::response::Parts, Source)> {
    tries.connect_failures = 0;
    loop {
        wait_for_crash_reports(traffic, job).await;
        traffic.paths.wait_for_decision(&job.service, job.deadline).await;
        let (chosen, work_share) = match choose_resume_endpoint(traffic, job, tries, model) {
            Ok(chosen) => chosen,
            Err(e) => {
                let is_restored = e.code == Code::NoPath
                    && !job.is_forwarded
                    && traffic.paths.wait_for_return(traffic, &job.service, job.deadline).await;
                if is_restored {
                    continue;
                }
                return Err(e);
            }
        };
        let sent_at = Instant::now();
        let error = match send(traffic, job, tries, &chosen, &work_share, model, last_event_id)
            .await
        {
            Ok(response) if response.head.status.is_success() => {
                return Ok(Source::new(response, chosen, work_share, sent_at, last_event_id));
            }
            Ok(response) => {
                let text =
                    format!("the request to resume the stream got status {}", response.head.status);
                Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes)
            }
            Err(e) => e,
        };
        if error.disconnect_cause.is_some() || error.executed == Executed::No {
            work_share.record_closed();
        }
        record_failed_attempt(traffic, job, &chosen, model, &error, sent_at.elapsed());
        detect_crash(traffic, job, &chosen, &error, sent_at).await;
        // An endpoint whose attempt timed out may still work on the response for a moment.
        if let Some(held) = tries.silent_endpoint.as_ref().filter(|_| error.code != Code::Deadline)
        {
            held.record_replacement_failure();
        }
        let has_silent_endpoint =
            tries.silent_endpoint.as_ref().is_some_and(|held| held.is_listening());
        let has_exhausted_connects =
            has_silent_endpoint && tries.connect_failures >= job.admitted.route.max_attempts;
        if has_exhausted_connects || job.is_expired() {
            return Err(error);
        }
    }
}
