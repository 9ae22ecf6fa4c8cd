//! Model cascade: runs the smallest model of a route first, and a larger one where its response is
//! worth the price.
//!
//! With the head of its response, before any of it is passed on, an engine states the model's
//! confidence in it. The response is then either kept or discarded for a second opinion by the
//! largest model. The decision compares the additional value of a correct response with the cost of
//! the second attempt.

use crate::ids::ModelId;
use crate::traffic::catalog::{Route, Service};
use crate::units::Tokens;

/// Weight of a generated token relative to a prompt token in the value of a request.
const GENERATED_TOKEN_WEIGHT: f64 = 10.0;

/// Price of a prompt token as a fraction of the price of a generated token.
const PROMPT_PRICE_RATIO: f64 = 0.25;

/// Number of tokens that prices and values refer to.
const PRICE_UNIT_TOKENS: f64 = 1_000.0;

/// Value of a response that a too small model got wrong, as a fraction of the value of a correct
/// response.
const WRONG_RESPONSE_VALUE: f64 = 0.05;

/// Value of a correct response that is late, as a fraction of the value of a timely one.
const LATE_RESPONSE_VALUE: f64 = 0.15;

/// Confidence at which a response is equally likely to be right or wrong. In low-load runs where
/// all responses below a limit were repeated on the largest model, responses with a confidence of
/// 0–15, 15–30, 30–45, 45–60 and 60–75 were right in about 5, 7, 24, 78 and 100 % of the cases on
/// one fleet; on two other fleets, earnings rose and leveled off at the same limits. See
/// `docs/decisions-under-load.md`.
const EVEN_ODDS_CONFIDENCE: f64 = 45.0;

/// Increase in confidence that multiplies the odds of a correct response by e, from the same runs.
const CONFIDENCE_SCALE: f64 = 6.0;

/// Fraction of the maximum length that a response has on average, used when the caller gives no
/// estimate.
const DEFAULT_GENERATED_FRACTION: f64 = 0.6;

/// Parameters of the decision on second opinions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeOptions {
    /// Value of a correct response per 1,000 tokens, as a multiple of the largest model's price.
    /// Operators who run that model consider its responses worth somewhat more than they cost. A
    /// multiple of the price makes the decision independent of currency and fleet.
    pub value_to_price_ratio: f64,
    /// Cost that a second attempt causes at low load by delaying others, as a multiple of its
    /// price.
    pub delay_cost_ratio: f64,
    /// Growth of that cost with the square of the second attempt's wait, which is measured in
    /// lengths of the objective.
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
    /// Number of tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that may be generated.
    pub max_generated_tokens: Tokens,
    /// The caller's estimate of the number of generated tokens, if given.
    pub generated_tokens_hint: Option<Tokens>,
}

impl GenerationSize {
    /// Estimates the number of generated tokens.
    pub fn estimated_generated_tokens(&self) -> f64 {
        let max_tokens = self.max_generated_tokens.0 as f64;
        match self.generated_tokens_hint {
            Some(hint) => (hint.0 as f64).min(max_tokens),
            None => max_tokens * DEFAULT_GENERATED_FRACTION,
        }
    }

    /// Estimates the price of an attempt on a model with the given price per 1,000 tokens.
    pub fn estimated_price(&self, price_per_1k: f64) -> f64 {
        let charged_tokens =
            self.estimated_generated_tokens() + self.prompt_tokens.0 as f64 * PROMPT_PRICE_RATIO;
        charged_tokens / PRICE_UNIT_TOKENS * price_per_1k
    }

    /// Estimates the value of a correct response if the largest model has the given price per 1,000
    /// tokens.
    pub fn estimated_value(&self, largest_price_per_1k: f64, opts: &CascadeOptions) -> f64 {
        let value_tokens = self.prompt_tokens.0 as f64
            + GENERATED_TOKEN_WEIGHT * self.estimated_generated_tokens();
        value_tokens / PRICE_UNIT_TOKENS * largest_price_per_1k * opts.value_to_price_ratio
    }
}

/// Returns the model of a request's first attempt.
pub fn first_model(route: &Route) -> Option<&ModelId> {
    route.models.first()
}

/// Inputs to the decision whether to discard a response for a second opinion.
#[derive(Clone, Copy, Debug)]
pub struct SecondOpinionEstimate {
    /// Confidence of the model in the present response, from 0 to 100.
    pub confidence: u8,
    /// Probability that the larger model's response starts in time.
    pub in_time_probability: f64,
    /// Time that the second attempt waits for other work, as a fraction of the objective.
    pub wait: f64,
}

/// What is known about a second attempt while requests contend for capacity.
#[derive(Clone, Copy, Debug)]
pub struct ContendedEstimate {
    /// Confidence of the model in the present response, from 0 to 100.
    pub confidence: u8,
    /// Whether the present response has started within the objective.
    pub is_present_in_time: bool,
    /// Probability that the larger model's response starts in time.
    pub in_time_probability: f64,
    /// Probability that the larger model's response is complete before the deadline.
    pub completion_probability: f64,
    /// Factor by which the values of the request's rank count.
    pub rank_weight: f64,
    /// Value that other requests lose because the second attempt delays them.
    pub delay_cost: f64,
}

/// Returns the model of a second opinion, or `None` if `model` is already the largest.
pub fn second_opinion_model<'a>(route: &'a Route, model: &ModelId) -> Option<&'a ModelId> {
    route.models.last().filter(|m| *m != model)
}

/// Gain and cost of a second opinion, both in the unit of the models' prices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondOpinionTradeoff<'a> {
    /// Model that gives the second opinion.
    pub larger_model: &'a ModelId,
    /// Expected additional value of its response.
    pub gain: f64,
    /// Price of the second attempt, including the cost of delaying others.
    pub cost: f64,
}

impl SecondOpinionTradeoff<'_> {
    /// Reports whether to discard the present response.
    pub fn is_worth_it(&self) -> bool {
        self.gain > self.cost
    }
}

/// Returns the probability that a response with the given confidence is correct.
///
/// Confidence is not a probability: nearly all responses well below the even-odds confidence are
/// wrong and nearly all well above it are correct. A logistic function of the confidence directs
/// second opinions to where they help.
fn correct_probability(confidence: u8) -> f64 {
    let distance_from_even = f64::from(confidence.min(100)) - EVEN_ODDS_CONFIDENCE;
    1.0 / (1.0 + (-distance_from_even / CONFIDENCE_SCALE).exp())
}

/// Compares the response of `model` with a second opinion by the largest model. Returns `None` if
/// `model` is already the largest.
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
    let price_per_1k = service.model_price(larger_model);
    let gain = (second_value - current_value) * size.estimated_value(price_per_1k, opts);
    // The second attempt also delays others, and more so the busier the engines are.
    let cost_multiplier =
        opts.delay_cost_ratio * (1.0 + opts.wait_cost_factor * estimate.wait * estimate.wait);
    Some(SecondOpinionTradeoff {
        larger_model,
        gain,
        cost: size.estimated_price(price_per_1k) * cost_multiplier,
    })
}

/// Compares the response of `model` with a second opinion by the largest model while requests
/// contend for capacity: what the second attempt costs other requests is counted in full, and an
/// attempt that is likely to miss the deadline is worth little. Returns `None` if `model` is
/// already the largest.
pub fn weigh_contended_second_opinion<'a>(
    route: &'a Route,
    service: &Service,
    model: &ModelId,
    estimate: ContendedEstimate,
    size: &GenerationSize,
    opts: &CascadeOptions,
) -> Option<SecondOpinionTradeoff<'a>> {
    let larger_model = second_opinion_model(route, model)?;
    let timely = |in_time: f64| in_time + (1.0 - in_time) * LATE_RESPONSE_VALUE;
    let correct_probability = correct_probability(estimate.confidence);
    let present_quality = correct_probability + (1.0 - correct_probability) * WRONG_RESPONSE_VALUE;
    let present_value = present_quality * timely(f64::from(estimate.is_present_in_time));
    let second_value = estimate.completion_probability * timely(estimate.in_time_probability);
    let price_per_1k = service.model_price(larger_model);
    let value = size.estimated_value(price_per_1k, opts) * estimate.rank_weight;
    let price = size.estimated_price(price_per_1k) * opts.delay_cost_ratio;
    Some(SecondOpinionTradeoff {
        larger_model,
        gain: (second_value - present_value) * value,
        cost: price + estimate.delay_cost,
    })
}
