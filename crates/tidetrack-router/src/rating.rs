//! Ratings of responses, requested by separate threads so that requests do not wait for them.
//!
//! Each response of a canary version is rated, and a fixed share of the responses of a stable
//! version. The jobs wait in a bounded queue: if the rating service is slow, ratings are dropped,
//! and requests are not delayed.

use std::sync::Arc;

use flume::Receiver;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::VersionRef;
use tidetrack_core::placement::hash_fraction;
use tidetrack_wire::endpoint::{Rating, RatingRequest};

use crate::shared::Shared;

/// Maximum number of responses that wait to be rated.
pub const QUEUE_CAPACITY: usize = 512;

/// Number of threads that request ratings.
pub const THREADS: usize = 2;

/// Share of a stable version's responses that are rated.
const STABLE_RATED_SHARE: f64 = 0.25;

/// Timeout in seconds of a rating request.
const RATING_TIMEOUT_SECONDS: u64 = 5;

/// A response to rate.
pub struct RatingJob {
    /// Request to send to the rating service.
    pub rating_request: RatingRequest,
    /// Version that produced the response.
    pub version: VersionRef,
    /// Generation of the version.
    pub generation: u64,
    /// Whether the version is a canary version, whose roll-out is not complete.
    pub is_canary: bool,
}

/// Requests a rating from the service at `address` and returns the score. Fails after
/// `timeout_seconds`.
pub fn fetch_score(
    address: &str,
    rating_request: &RatingRequest,
    timeout_seconds: u64,
) -> Result<f64> {
    let rating_error =
        |text: String| Error::new(Code::EndpointFailed, format!("rating request failed: {text}"));
    let body = serde_json::to_string(rating_request).expect("a rating request can be serialized");
    let request = minreq::post(format!("http://{address}/v1/rate")).with_body(body);
    let response = request
        .with_timeout(timeout_seconds)
        .send()
        .map_err(|err| rating_error(err.to_string()))?;
    let rating: Rating =
        serde_json::from_slice(response.as_bytes()).map_err(|err| rating_error(err.to_string()))?;
    Ok(rating.score)
}

/// Queues a response for rating if it is from a canary version or sampled. A response that does not
/// fit the queue is dropped and counted.
pub fn submit(shared: &Shared, job: RatingJob) {
    let is_sampled = hash_fraction("rate", &job.rating_request.request) < STABLE_RATED_SHARE;
    let should_rate = shared.settings.rating_address.is_some() && (job.is_canary || is_sampled);
    if should_rate && shared.rating_jobs.try_send(job).is_err() {
        shared.metrics.count_event("rating_left_out");
    }
}

/// Rates responses until all senders have been dropped.
pub fn run(shared: Arc<Shared>, jobs: Receiver<RatingJob>) {
    for job in jobs {
        let Some(address) = shared.settings.rating_address.as_deref() else { continue };
        match fetch_score(address, &job.rating_request, RATING_TIMEOUT_SECONDS) {
            Ok(score) => {
                let mut counts = VersionCounts::default();
                counts.add_rating(score);
                shared.record_counts(&job.version, job.generation, job.is_canary, counts);
            }
            Err(_) => shared.metrics.count_event("rating_failed"),
        }
    }
}
