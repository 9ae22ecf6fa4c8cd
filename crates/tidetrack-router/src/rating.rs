//! Ratings of answers, asked for off the path of the request.
//!
//! Every answer of a version under roll-out is rated; of a proven version one in a few. The jobs
//! wait in a bounded queue: when the rating service is slow, ratings are left out, never requests.

use std::sync::Arc;

use flume::Receiver;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::VersionRef;
use tidetrack_core::placement::hash_fraction;
use tidetrack_wire::endpoint::{Rating, RatingRequest};

use crate::shared::Shared;

/// Answers that may wait to be rated.
pub const QUEUE_CAPACITY: usize = 512;

/// Threads that ask for ratings.
pub const THREADS: usize = 2;

/// Share of a proven version's answers that are rated.
const STABLE_RATED_SHARE: f64 = 0.25;

/// Seconds that a rating may take.
const RATING_TIMEOUT_SECONDS: u64 = 5;

/// An answer to rate.
pub struct RatingJob {
    /// What is asked.
    pub rating_request: RatingRequest,
    /// The version that answered.
    pub version: VersionRef,
    /// Its generation.
    pub generation: u64,
    /// Whether a roll-out of it is not done.
    pub is_canary: bool,
}

/// Asks for one rating.
pub fn request_rating(
    address: &str,
    rating_request: &RatingRequest,
    timeout_seconds: u64,
) -> Result<f64> {
    let rating_error = |text: String| Error::new(Code::EndpointFailed, format!("rating: {text}"));
    let body = serde_json::to_string(rating_request).expect("an ask is plain text");
    let request = minreq::post(format!("http://{address}/v1/rate")).with_body(body);
    let response = request
        .with_timeout(timeout_seconds)
        .send()
        .map_err(|err| rating_error(err.to_string()))?;
    let rating: Rating =
        serde_json::from_slice(response.as_bytes()).map_err(|err| rating_error(err.to_string()))?;
    Ok(rating.score)
}

/// Hands an answer over to be rated, if it is one of those that are.
pub fn submit(shared: &Shared, job: RatingJob) {
    let is_sampled = hash_fraction("rate", &job.rating_request.request) < STABLE_RATED_SHARE;
    let should_rate = shared.settings.rating.is_some() && (job.is_canary || is_sampled);
    if should_rate && shared.ratings.try_send(job).is_err() {
        shared.metrics.event("rating_left_out");
    }
}

/// Rates answers until all senders are gone.
pub fn run(shared: Arc<Shared>, jobs: Receiver<RatingJob>) {
    for job in jobs {
        let Some(address) = shared.settings.rating.as_deref() else { continue };
        match request_rating(address, &job.rating_request, RATING_TIMEOUT_SECONDS) {
            Ok(score) => {
                let mut counts = VersionCounts::default();
                counts.add_rating(score);
                shared.count(&job.version, job.generation, job.is_canary, counts);
            }
            Err(_) => shared.metrics.event("rating_failed"),
        }
    }
}
