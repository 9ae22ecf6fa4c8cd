//! Choice of the model: the smallest first, a larger one where that is worth its price.
//!
//! An engine tells with the head of its answer how sure the model is of it, before any of it has
//! been passed on. The answer is then kept, or dropped for a run on the largest model, by comparing
//! what a right answer is worth more with what the second run costs.

use crate::ids::ModelId;
use crate::traffic::catalog::{Route, Service};
use crate::units::Tokens;

/// Tokens that one generated token counts as in a request's worth.
const GENERATED_TOKEN_WEIGHT: f64 = 10.0;

/// Part of a generated token's price that a token read costs.
const PROMPT_PRICE_RATIO: f64 = 0.25;

/// Tokens that prices and worths are quoted for.
const PRICE_UNIT_TOKENS: f64 = 1_000.0;

/// What an answer on a model that was too small still earns, as part of its worth.
const WRONG_RESPONSE_VALUE: f64 = 0.05;

/// What a right answer that comes late still earns, as part of its worth.
const LATE_RESPONSE_VALUE: f64 = 0.15;

/// Confidence at which an answer is as often right as wrong. From calm days of three fleets, whose
/// answers below a bound were all asked again: of answers with a confidence of 0 to 15, 15 to 30, 30 to
/// 45, 45 to 60 and 60 to 75 about 5, 7, 24, 78 and 100 in 100 were right on the third fleet, and the
/// others' earnings rose and stayed at the same bounds (`docs/decisions-under-load.md`).
const EVEN_ODDS_CONFIDENCE: f64 = 45.0;

/// Confidence beyond the even one that makes the odds of a right answer e times as high; from the same
/// plays.
const CONFIDENCE_SCALE: f64 = 6.0;

/// Share of the longest answer that is generated in the mean, where nothing better is known.
const DEFAULT_GENERATED_FRACTION: f64 = 0.6;

/// What the choice is made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeOptions {
    /// Worth of a right answer for each 1,000 tokens of size, as a multiple of the largest model's
    /// price: who runs that model at all holds its answers worth somewhat more than they cost. So the
    /// choice needs no unit and no figure of one fleet.
    pub value_to_price_ratio: f64,
    /// What a second run costs others in idle times, as a multiple of its price.
    pub delay_cost_ratio: f64,
    /// How that grows with the square of the time that the second run waits, in objectives' lengths.
    pub wait_cost_factor: f64,
}

impl Default for CascadeOptions {
    fn default() -> Self {
        CascadeOptions { value_to_price_ratio: 1.2, delay_cost_ratio: 1.5, wait_cost_factor: 5.0 }
    }
}

/// Size of a generation request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that may be generated.
    pub max_generated_tokens: Tokens,
    /// The caller's estimate of the generated tokens.
    pub generated_tokens_hint: Option<Tokens>,
}

impl GenerationSize {
    /// Estimates the tokens that will be generated.
    pub fn estimated_generated_tokens(&self) -> f64 {
        let max_tokens = self.max_generated_tokens.0 as f64;
        match self.generated_tokens_hint {
            Some(hint) => (hint.0 as f64).min(max_tokens),
            None => max_tokens * DEFAULT_GENERATED_FRACTION,
        }
    }

    /// Estimates the price of a run on a model.
    pub fn estimated_price(&self, per_1k: f64) -> f64 {
        let charged_tokens =
            self.estimated_generated_tokens() + self.prompt_tokens.0 as f64 * PROMPT_PRICE_RATIO;
        charged_tokens / PRICE_UNIT_TOKENS * per_1k
    }

    /// Estimates what a right answer is worth where the largest model has this price.
    pub fn estimated_value(&self, largest_per_1k: f64, opts: &CascadeOptions) -> f64 {
        let value_tokens = self.prompt_tokens.0 as f64
            + GENERATED_TOKEN_WEIGHT * self.estimated_generated_tokens();
        value_tokens / PRICE_UNIT_TOKENS * largest_per_1k * opts.value_to_price_ratio
    }
}

/// Gets the model of a request's first run.
pub fn first_model(route: &Route) -> Option<&ModelId> {
    route.models.first()
}

/// What is known when an answer may be dropped for a larger model's.
#[derive(Clone, Copy, Debug)]
pub struct SecondOpinionEstimate {
    /// How sure the model is of the answer at hand, 0 to 100.
    pub confidence: u8,
    /// The chance that the larger model's answer comes in time.
    pub in_time_probability: f64,
    /// How long others' work goes before the second run, as part of the objective.
    pub wait: f64,
}

/// Gets the model of a second run; `None` if `model` is the largest itself.
pub fn second_opinion_model<'a>(route: &'a Route, model: &ModelId) -> Option<&'a ModelId> {
    route.models.last().filter(|m| *m != model)
}

/// What speaks for a second run and against it, both in the unit of the models' prices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondOpinionTradeoff<'a> {
    /// The model of the second run.
    pub larger_model: &'a ModelId,
    /// What its answer is worth more than the one at hand.
    pub gain: f64,
    /// What it costs, others' delay included.
    pub cost: f64,
}

impl SecondOpinionTradeoff<'_> {
    /// Tells whether the answer at hand is to be dropped.
    pub fn is_worth_it(&self) -> bool {
        self.gain > self.cost
    }
}

/// Gets the chance that an answer is right of which its model is so sure.
///
/// A confidence is a rough opinion, not a chance: nearly all answers well below the even one are wrong,
/// nearly all well above it right. Read so, second runs go where they help.
fn correct_probability(confidence: u8) -> f64 {
    let distance_from_even = f64::from(confidence.min(100)) - EVEN_ODDS_CONFIDENCE;
    1.0 / (1.0 + (-distance_from_even / CONFIDENCE_SCALE).exp())
}

/// Weighs an answer of `model` against a run on the largest model; `None` if that is `model` itself.
pub fn weigh_second_opinion<'a>(
    route: &'a Route,
    service: &Service,
    model: &ModelId,
    estimate: SecondOpinionEstimate,
    size: &GenerationSize,
    opts: &CascadeOptions,
) -> Option<SecondOpinionTradeoff<'a>> {
    let larger_model = second_opinion_model(route, model)?;
    let correct_probability = correct_probability(estimate.confidence);
    let current_value = correct_probability + (1.0 - correct_probability) * WRONG_RESPONSE_VALUE;
    let second_value =
        estimate.in_time_probability + (1.0 - estimate.in_time_probability) * LATE_RESPONSE_VALUE;
    let per_1k = service.price_of(larger_model);
    let gain = (second_value - current_value) * size.estimated_value(per_1k, opts);
    // The second run also delays others' runs, the more the busier the engines are.
    let cost_multiplier =
        opts.delay_cost_ratio * (1.0 + opts.wait_cost_factor * estimate.wait * estimate.wait);
    Some(SecondOpinionTradeoff {
        larger_model,
        gain,
        cost: size.estimated_price(per_1k) * cost_multiplier,
    })
}
