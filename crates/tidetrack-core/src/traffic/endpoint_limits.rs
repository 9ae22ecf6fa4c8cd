//! Limits that endpoints name on what they take from all hosts together.
//!
//! An endpoint in need tells with its answers how many requests a second it takes, and the sum over all hosts has to
//! keep to that. Hosts tell each other what an endpoint named last. As many hosts as it takes requests in a second
//! hold an equal share each, ranked alike at every host, those of its failure domain first; for the others it takes
//! nothing. An equal share for every host would be less than one request in minutes in a fleet of hundreds, and
//! one request of each, sent at once, many times the limit.
//!
//! The newest answer counts, whichever host it came to. A limit ends when an answer names none.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::EndpointKey;
use crate::traffic::gossip::{is_news, is_told_again, news_then_rest};
use crate::units::{Millis, Rate};

/// Limits that one message tells at most.
const MOST_TOLD: usize = 32;

/// How long it is told that a limit ended.
const ENDED_KEPT: Millis = Millis(10_000);

/// Least rate that is shared out: an endpoint that gets nothing could never tell that its limit ended.
const LEAST_RATE: Rate = Rate(0.1);

/// Steps of a rate in messages, a second.
const STEPS: f64 = 1_000.0;

/// What an endpoint named last, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests a second, in thousandths; `None` after the limit's end.
    pub rate: Option<u32>,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    rate: Option<Rate>,
    /// When the answer came.
    answered_at: Millis,
    /// When this host learned of it.
    known_at: Millis,
}

/// What endpoints named, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    named: BTreeMap<EndpointKey, Named>,
    has_untold: bool,
    /// Endpoints whose shares are to be worked out anew.
    changed: BTreeSet<EndpointKey>,
    turn: usize,
}

impl EndpointLimits {
    /// Takes what an endpoint named in an answer that has just come.
    pub fn answered(&mut self, now: Millis, endpoint: EndpointKey, rate: Option<Rate>) {
        if rate.is_some() || self.named.contains_key(&endpoint) {
            self.take(endpoint, Named { rate, answered_at: now, known_at: now });
        }
    }

    /// Takes what another host tells.
    pub fn hear(&mut self, now: Millis, told: &[ToldLimit]) {
        for told in told {
            let answered_at = Millis(now.0.saturating_sub(u64::from(told.age_ms)));
            let rate = told.rate.map(|rate| Rate(f64::from(rate) / STEPS));
            let known = self.named.get(&told.endpoint);
            let is_news = known.map_or(rate.is_some(), |known| {
                known.answered_at < answered_at && steps(known.rate) != told.rate
            });
            if is_news {
                self.take(told.endpoint, Named { rate, answered_at, known_at: now });
            }
        }
    }

    fn take(&mut self, endpoint: EndpointKey, named: Named) {
        self.named.insert(endpoint, named);
        self.has_untold = true;
        self.changed.insert(endpoint);
    }

    /// Tells whether something is known here that no other host was told of.
    pub fn has_untold(&self) -> bool {
        self.has_untold
    }

    /// Gets the endpoints of which something else is known since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<EndpointKey> {
        std::mem::take(&mut self.changed)
    }

    /// Tells whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// Gets what an endpoint named last; `None` if nothing is known of a limit.
    pub fn of(&self, endpoint: EndpointKey) -> Option<Option<Rate>> {
        self.named.get(&endpoint).map(|named| named.rate)
    }

    /// Lists what to tell other hosts in a round: what is new, and now and then the rest.
    pub fn told(&mut self, now: Millis) -> Vec<ToldLimit> {
        self.tell(now, |endpoint| is_told_again(now, endpoint.get()))
    }

    /// Lists what to tell a host that knows nothing: what is new, then the rest in turn.
    pub fn told_to_one(&mut self, now: Millis) -> Vec<ToldLimit> {
        self.tell(now, |_| true)
    }

    fn tell(&mut self, now: Millis, is_told: impl Fn(&EndpointKey) -> bool) -> Vec<ToldLimit> {
        self.has_untold = false;
        let (mut news, mut rest) = (Vec::new(), Vec::new());
        for (endpoint, named) in &self.named {
            let told = ToldLimit {
                endpoint: *endpoint,
                rate: steps(named.rate),
                age_ms: u32::try_from((now - named.answered_at).0).unwrap_or(u32::MAX),
            };
            match is_news(now, named.known_at) {
                true => news.push(told),
                false if is_told(endpoint) => rest.push(told),
                false => {}
            }
        }
        news_then_rest(&news, &rest, MOST_TOLD, &mut self.turn)
    }

    /// Forgets endpoints that are gone, and limits that ended a while ago.
    pub fn sweep(&mut self, now: Millis, is_listed: impl Fn(EndpointKey) -> bool) {
        self.named.retain(|endpoint, named| {
            let is_kept = named.rate.is_some() || now < named.known_at + ENDED_KEPT;
            is_kept && is_listed(*endpoint)
        });
    }
}

fn steps(rate: Option<Rate>) -> Option<u32> {
    // The cast stops at the largest number.
    rate.map(|rate| (rate.0 * STEPS).round() as u32)
}

/// Gets how many hosts of a fleet share a limit, and what each of them may send.
pub fn shares(limit: Rate, hosts: usize) -> (usize, Rate) {
    let limit = limit.0.max(LEAST_RATE.0);
    let holders = (limit.ceil() as usize).clamp(1, hosts.max(1));
    (holders, Rate(limit / holders as f64))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_limit_and_are_worth_having() {
        for (limit, hosts) in [(1.0, 7), (1.6, 295), (20.0, 7), (20.0, 295), (500.0, 295)] {
            let (holders, share) = shares(Rate(limit), hosts);

            assert!((share.0 * holders as f64 - limit).abs() < 1e-9);
            assert!(holders <= hosts);
            assert!(share.0 >= 0.5, "{share} each of {holders}");
        }
    }

    #[test]
    fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
        let (holders, share) = shares(Rate(0.0), 7);

        assert_eq!(holders, 1);
        assert!(share.0 > 0.0);
    }
}
