//! Choice of the model: the smallest first, a larger one where that is worth its price.
//!
//! An engine tells with the head of its answer how sure the model is of it, before any of it has
//! been passed on. The answer is then kept, or dropped for a run on the largest model, by comparing
//! what a right answer is worth more with what the second run costs.

use crate::ids::ModelId;
use crate::traffic::catalog::{Route, Service};
use crate::units::Tokens;

/// Tokens that one generated token counts as in a request's worth.
const WORTH_OF_GENERATED: f64 = 10.0;

/// Part of a generated token's price that a token read costs.
const PRICE_OF_READ: f64 = 0.25;

/// Tokens that prices and worths are quoted for.
const QUOTED_TOKENS: f64 = 1_000.0;

/// What an answer on a model that was too small still earns, as part of its worth.
const POOR_ANSWER: f64 = 0.05;

/// What a right answer that comes late still earns, as part of its worth.
const LATE_ANSWER: f64 = 0.15;

/// Confidence at which an answer is as often right as wrong. From calm days of three fleets, whose
/// answers below a bound were all asked again: of answers with a confidence of 0 to 15, 15 to 30, 30 to
/// 45, 45 to 60 and 60 to 75 about 5, 7, 24, 78 and 100 in 100 were right on the third fleet, and the
/// others' earnings rose and stayed at the same bounds (`docs/decisions-under-load.md`).
const EVEN_CONFIDENCE: f64 = 45.0;

/// Confidence beyond the even one that makes the odds of a right answer e times as high; from the same
/// plays.
const CONFIDENCE_SCALE: f64 = 6.0;

/// Share of the longest answer that is generated in the mean, where nothing better is known.
const USUAL_PART_GENERATED: f64 = 0.6;

/// What the choice is made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeOptions {
    /// Worth of a right answer for each 1,000 tokens of size, as a multiple of the largest model's
    /// price: who runs that model at all holds its answers worth somewhat more than they cost. So the
    /// choice needs no unit and no figure of one fleet.
    pub worth_in_prices: f64,
    /// What a second run costs others in idle times, as a multiple of its price.
    pub others_delayed: f64,
    /// How that grows with the square of the time that the second run waits, in objectives' lengths.
    pub scarcity: f64,
}

impl Default for CascadeOptions {
    fn default() -> Self {
        CascadeOptions { worth_in_prices: 1.2, others_delayed: 1.5, scarcity: 5.0 }
    }
}

/// Size of a generation request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens that may be generated.
    pub most_generated: Tokens,
    /// The caller's estimate of the generated tokens.
    pub hint: Option<Tokens>,
}

impl GenerationSize {
    /// Estimates the tokens that will be generated.
    pub fn generated(&self) -> f64 {
        let most = self.most_generated.0 as f64;
        match self.hint {
            Some(hint) => (hint.0 as f64).min(most),
            None => most * USUAL_PART_GENERATED,
        }
    }

    /// Estimates the price of a run on a model.
    pub fn price(&self, per_1k: f64) -> f64 {
        let charged = self.generated() + self.prompt.0 as f64 * PRICE_OF_READ;
        charged / QUOTED_TOKENS * per_1k
    }

    /// Estimates what a right answer is worth where the largest model has this price.
    pub fn worth(&self, largest_per_1k: f64, opts: &CascadeOptions) -> f64 {
        let size = self.prompt.0 as f64 + WORTH_OF_GENERATED * self.generated();
        size / QUOTED_TOKENS * largest_per_1k * opts.worth_in_prices
    }
}

/// Gets the model of a request's first run.
pub fn first_model(route: &Route) -> Option<&ModelId> {
    route.models.first()
}

/// What is known when an answer may be dropped for a larger model's.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// How sure the model is of the answer at hand, 0 to 100.
    pub confidence: u8,
    /// The chance that the larger model's answer comes in time.
    pub in_time: f64,
    /// How long others' work goes before the second run, as part of the objective.
    pub wait: f64,
}

/// Gets the model of a second run; `None` if `model` is the largest itself.
pub fn second_model<'a>(route: &'a Route, model: &ModelId) -> Option<&'a ModelId> {
    route.models.last().filter(|m| *m != model)
}

/// What speaks for a second run and against it, both in the unit of the models' prices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighed<'a> {
    /// The model of the second run.
    pub larger: &'a ModelId,
    /// What its answer is worth more than the one at hand.
    pub gain: f64,
    /// What it costs, others' delay included.
    pub cost: f64,
}

impl Weighed<'_> {
    /// Tells whether the answer at hand is to be dropped.
    pub fn is_worth_it(&self) -> bool {
        self.gain > self.cost
    }
}

/// Gets the chance that an answer is right of which its model is so sure.
///
/// A confidence is a rough opinion, not a chance: nearly all answers well below the even one are wrong,
/// nearly all well above it right. Read so, second runs go where they help.
fn chance_right(confidence: u8) -> f64 {
    let from_even = f64::from(confidence.min(100)) - EVEN_CONFIDENCE;
    1.0 / (1.0 + (-from_even / CONFIDENCE_SCALE).exp())
}

/// Weighs an answer of `model` against a run on the largest model; `None` if that is `model` itself.
pub fn weigh<'a>(
    route: &'a Route,
    service: &Service,
    model: &ModelId,
    prospect: Prospect,
    size: &GenerationSize,
    opts: &CascadeOptions,
) -> Option<Weighed<'a>> {
    let larger = second_model(route, model)?;
    let chance_right = chance_right(prospect.confidence);
    let at_hand = chance_right + (1.0 - chance_right) * POOR_ANSWER;
    let second = prospect.in_time + (1.0 - prospect.in_time) * LATE_ANSWER;
    let per_1k = service.model_price(larger);
    let gain = (second - at_hand) * size.worth(per_1k, opts);
    // The second run also delays others' runs, the more the busier the engines are.
    let scarcity = opts.others_delayed * (1.0 + opts.scarcity * prospect.wait * prospect.wait);
    Some(Weighed { larger, gain, cost: size.price(per_1k) * scarcity })
}
