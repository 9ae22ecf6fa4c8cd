//! Ratings of answers, asked for off the path of the request.
//!
//! Every answer of a version under roll-out is rated; of a proven version one in a few. The jobs wait
//! in a bounded queue: when the rating service is slow, ratings are left out, never requests.

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
pub const WAITING: usize = 512;

/// Threads that ask for ratings.
pub const THREADS: usize = 2;

/// Share of a proven version's answers that are rated.
const PROVEN_SHARE: f64 = 0.25;

/// Seconds that a rating may take.
const RATE_SECONDS: u64 = 5;

/// An answer to rate.
pub struct RateJob {
    /// What is asked.
    pub ask: RatingRequest,
    /// The version that answered.
    pub version: VersionRef,
    /// Its generation.
    pub generation: u64,
    /// Whether a roll-out of it is not done.
    pub unproven: bool,
}

/// Asks for one rating.
pub fn rate(address: &str, ask: &RatingRequest, seconds: u64) -> Result<f64> {
    let fail = |text: String| Error::new(Code::EndpointFailed, format!("rating: {text}"));
    let body = serde_json::to_string(ask).expect("an ask is plain text");
    let request = minreq::post(format!("http://{address}/v1/rate")).with_body(body);
    let response = request.with_timeout(seconds).send().map_err(|e| fail(e.to_string()))?;
    let rating: Rating =
        serde_json::from_slice(response.as_bytes()).map_err(|e| fail(e.to_string()))?;
    Ok(rating.score)
}

/// Hands an answer over to be rated, if it is one of those that are.
pub fn offer(shared: &Shared, job: RateJob) {
    let sampled = hash_fraction("rate", &job.ask.request) < PROVEN_SHARE;
    let wanted = shared.settings.rating_address.is_some() && (job.unproven || sampled);
    if wanted && shared.rating_jobs.try_send(job).is_err() {
        shared.metrics.count_event("rating_left_out");
    }
}

/// Rates answers until all senders are gone.
pub fn run(shared: Arc<Shared>, jobs: Receiver<RateJob>) {
    for job in jobs {
        let Some(address) = shared.settings.rating_address.as_deref() else { continue };
        match rate(address, &job.ask, RATE_SECONDS) {
            Ok(score) => {
                let mut counts = VersionCounts::default();
                counts.add_rating(score);
                shared.record_counts(&job.version, job.generation, job.unproven, counts);
            }
            Err(_) => shared.metrics.count_event("rating_failed"),
        }
    }
}
