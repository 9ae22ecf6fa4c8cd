//! What this host expects of a second run: whether its answer comes in time, and how scarce the
//! engines' time is.

use std::collections::HashMap;

use crate::ids::{ModelId, RouteId};
use crate::traffic::cascade::GenerationSize;
use crate::units::Millis;

/// Weight of the newest answer in a running mean: about the last ten count.
const WEIGHT: f64 = 0.1;

/// Prompts are told apart by size at these tokens: reading takes a large model about 50 ms for each
/// thousand.
const SIZE_STEPS: [u64; 3] = [2_000, 8_000, 20_000];

/// Part of a chance that is forgotten a second without answers, so that a model that was too slow
/// is tried again.
const FORGOTTEN_A_SECOND: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct Chance {
    in_time: f64,
    at: Millis,
}

/// Running means of one host.
#[derive(Clone, Debug, Default)]
pub struct Outlook {
    chances: HashMap<(RouteId, ModelId, usize), Chance>,
    wait: HashMap<RouteId, f64>,
}

fn size_step(size: &GenerationSize) -> usize {
    SIZE_STEPS.iter().filter(|step| size.prompt.0 >= **step).count()
}

impl Outlook {
    /// Takes note of an answer of a model, by whether it came in time.
    pub fn answered(
        &mut self,
        now: Millis,
        route: &RouteId,
        model: &ModelId,
        size: &GenerationSize,
        in_time: bool,
    ) {
        let before = self.chance(now, route, model, size);
        let in_time = before + (f64::from(u8::from(in_time)) - before) * WEIGHT;
        let key = (route.clone(), model.clone(), size_step(size));
        self.chances.insert(key, Chance { in_time, at: now });
    }

    /// Gets the chance that an answer of a model comes in time.
    pub fn chance(
        &self,
        now: Millis,
        route: &RouteId,
        model: &ModelId,
        size: &GenerationSize,
    ) -> f64 {
        let key = (route.clone(), model.clone(), size_step(size));
        let Some(chance) = self.chances.get(&key) else { return 1.0 };
        let forgotten = (now - chance.at).0 as f64 / 1_000.0 * FORGOTTEN_A_SECOND;
        (chance.in_time + forgotten).min(1.0)
    }

    /// Takes note of how long a first run took to begin, as part of the route's objective.
    pub fn waited(&mut self, route: &RouteId, part: f64) {
        let wait = self.wait.entry(route.clone()).or_insert(part);
        *wait += (part - *wait) * WEIGHT;
    }

    /// Gets how long first runs take to begin, as part of the route's objective.
    pub fn wait(&self, route: &RouteId) -> f64 {
        self.wait.get(route).copied().unwrap_or(0.0)
    }
}
