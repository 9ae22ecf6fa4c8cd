//! Stand-in for the rating service. It reads the true quality that the engine's stand-in writes into
//! its response, and adds noise derived from a hash of the request's ID.

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tiny_http::Request;

use tidetrack_core::placement::hash_fraction;
use tidetrack_wire::endpoint::{Rating, RatingRequest};

use crate::http::{self, RunningServer};

/// Options of the rating service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rater {
    /// Maximum absolute noise added to a rating.
    pub noise: f64,
    /// Duration of one rating, in milliseconds.
    pub delay_ms: u64,
}

impl Default for Rater {
    fn default() -> Self {
        Rater { noise: 0.15, delay_ms: 0 }
    }
}

impl Rater {
    /// Starts serving on `address`.
    pub fn serve(self, address: &str) -> Result<RunningServer> {
        http::serve(address, move |request| self.handle(request))
    }

    fn handle(&self, mut request: Request) {
        std::thread::sleep(std::time::Duration::from_millis(self.delay_ms));
        match http::read_json::<RatingRequest>(&mut request) {
            Ok(rating_request) => {
                http::reply_json(request, 200, &Rating { score: self.score(&rating_request) })
            }
            Err(e) => http::reply_json(request, 400, &e.to_string()),
        }
    }

    fn score(&self, rating_request: &RatingRequest) -> f64 {
        let quality = parse_quality(&rating_request.answer).unwrap_or(0.0);
        let noise_fraction = hash_fraction("noise", &rating_request.request);
        (quality + (noise_fraction * 2.0 - 1.0) * self.noise).clamp(0.0, 1.0)
    }
}

/// Parses the quality from a response of the engine's stand-in. Returns `None` if there is none.
fn parse_quality(answer: &str) -> Option<f64> {
    let (_, after) = answer.split_once("q=")?;
    after.split(']').next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_quality_is_parsed_from_the_response_text() {
        assert_eq!(parse_quality("[m@1 q=0.850] hello w1"), Some(0.85));
        assert_eq!(parse_quality("nothing"), None);
    }
}
