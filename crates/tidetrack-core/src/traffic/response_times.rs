//! Usual times of complete responses, by route.

use std::collections::{HashMap, VecDeque};

use crate::ids::RouteId;
use crate::units::Millis;

/// Number of responses of a route whose times are kept.
const KEPT_RESPONSES: usize = 32;

/// Share of the responses that take at most the usual time.
const USUAL_SHARE: f64 = 0.95;

/// Times from the heads of requests to the ends of their responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    routes: HashMap<RouteId, VecDeque<Millis>>,
}

impl ResponseTimes {
    /// Records the time of a complete response.
    pub fn record(&mut self, route: &RouteId, time: Millis) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), VecDeque::with_capacity(KEPT_RESPONSES));
        }
        let Some(times) = self.routes.get_mut(route) else { return };
        if times.len() == KEPT_RESPONSES {
            times.pop_front();
        }
        times.push_back(time);
    }

    /// Returns the time that few of the latest responses exceeded; `None` if there were none.
    pub fn usual(&self, route: &RouteId) -> Option<Millis> {
        let mut times: Vec<Millis> = self.routes.get(route)?.iter().copied().collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * USUAL_SHARE).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied()
    }
}
