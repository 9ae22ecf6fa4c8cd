//! Roll-outs: exposure credits and the transitions of the roll-out state.
//!
//! A stage caps the number of requests on the canary version, running or finished, that have not been
//! judged yet. The cap is divided into credits: the stored state grants each incarnation a number of
//! credits that never decreases, and a host spends one credit per request. The sum of the grants stays
//! within the cap plus the number of responses known to be judged, so the cap holds during a partition
//! and needs no message per request. Any host may write the next state; the rendezvous order of the
//! hosts normally limits this to one writer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

use crate::config::{Rollout, RolloutPhase, RolloutState};
use crate::evidence::{compare, Evidence, EvidenceKey, Verdict, DEFAULT_ALPHA};
use crate::ids::Incarnation;
use crate::placement::rendezvous;

/// Minimum number of hosts that get credits; in a smaller fleet, all of them do.
const MIN_PARTICIPANTS: usize = 8;

/// The state is written for new grants alone only if they are at least the cap divided by this number.
const MIN_GRANT_DIVISOR: u64 = 4;

/// One host's credits for one generation of a canary version.
#[derive(Debug, Default)]
pub struct Credits {
    granted: AtomicU64,
    spent: AtomicU64,
}

impl Credits {
    /// Spends one credit; returns `false` if none is left.
    pub fn try_spend(&self) -> bool {
        let granted = self.granted.load(Ordering::Acquire);
        let increment = |spent: u64| (spent < granted).then_some(spent + 1);
        self.spent.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).is_ok()
    }

    /// Gives back the credit of a request that was never sent to an endpoint.
    pub fn refund(&self) {
        self.spent.fetch_sub(1, Ordering::AcqRel);
    }

    /// Raises the number of granted credits to `granted`. Smaller values are ignored, since grants never
    /// decrease.
    pub fn grant(&self, granted: u64) {
        self.granted.fetch_max(granted, Ordering::AcqRel);
    }

    /// Returns the number of credits spent.
    pub fn spent(&self) -> u64 {
        self.spent.load(Ordering::Acquire)
    }

    /// Returns the number of credits granted.
    pub fn granted(&self) -> u64 {
        self.granted.load(Ordering::Acquire)
    }
}

/// Everything that the writer of a roll-out's state takes into account.
#[derive(Clone, Debug)]
pub struct RolloutContext<'a> {
    /// The declared roll-out.
    pub spec: &'a Rollout,
    /// Name of the roll-out, used as the rendezvous key for the order of the hosts.
    pub rollout_name: &'a str,
    /// Generation of the canary version.
    pub canary_generation: u64,
    /// Generation of the stable version.
    pub stable_generation: u64,
    /// Evidence known to the host.
    pub evidence: &'a Evidence,
    /// Incarnations that are alive and can get credits.
    pub alive: &'a BTreeSet<Incarnation>,
    /// Whether the canary version is barred, which aborts the roll-out.
    pub is_canary_barred: bool,
}

/// Returns the initial state of a roll-out of a generation of the canary version.
pub fn initial_state(generation: u64) -> RolloutState {
    RolloutState {
        phase: RolloutPhase::Running,
        stage: 0,
        generation,
        granted: BTreeMap::new(),
        judged: BTreeMap::new(),
        operation_id: String::new(),
    }
}

/// Compares the canary version with the stable version by the evidence.
pub fn verdict(context: &RolloutContext<'_>) -> Verdict {
    let canary = context.evidence.total(&context.spec.to, context.canary_generation);
    let stable = context.evidence.total(&context.spec.from, context.stable_generation);
    compare(&canary, &stable, DEFAULT_ALPHA)
}

/// Returns the state that should be written next, or `None` if the present one needs no change.
pub fn next_state(context: &RolloutContext<'_>, state: &RolloutState) -> Option<RolloutState> {
    if state.phase != RolloutPhase::Running {
        return None;
    }
    let mut next = state.clone();
    if context.is_canary_barred || verdict(context) == Verdict::Bad {
        next.phase = RolloutPhase::Aborted;
        return Some(next);
    }
    for (incarnation, counts) in
        context.evidence.counts_by_incarnation(&context.spec.to, context.canary_generation)
    {
        let judged = next.judged.entry(incarnation.clone()).or_default();
        *judged = (*judged).max(counts.judged_count());
    }
    let judged: u64 = next.judged.values().sum();
    let stage = context.spec.stages.get(state.stage)?;
    if judged >= stage.judged {
        next.stage += 1;
        if next.stage >= context.spec.stages.len() {
            next.stage = state.stage;
            next.phase = RolloutPhase::Done;
            return Some(next);
        }
    }
    let newly_granted = grant(context, &mut next, judged);
    let cap = context.spec.stages.get(next.stage)?.cap;
    let is_worth_writing =
        newly_granted >= cap.div_ceil(MIN_GRANT_DIVISOR) || next.stage != state.stage;
    is_worth_writing.then_some(next)
}

/// Grants the credits that the cap still allows, to the hosts with the fewest unspent ones, and returns
/// their number.
fn grant(context: &RolloutContext<'_>, next: &mut RolloutState, judged: u64) -> u64 {
    let Some(stage) = context.spec.stages.get(next.stage) else { return 0 };
    let granted: u64 = next.granted.values().sum();
    let grantable = (stage.cap + judged).saturating_sub(granted);
    let hosts = participants(context, stage.share);
    if hosts.is_empty() || grantable == 0 {
        return 0;
    }
    let spent = |i: &Incarnation| {
        let key = EvidenceKey {
            version: context.spec.to.clone(),
            generation: context.canary_generation,
            observer: i.clone(),
        };
        context.evidence.counts(&key).started
    };
    let mut unspent: Vec<(u64, Incarnation)> = hosts
        .into_iter()
        .map(|i| {
            let granted = next.granted.get(&i).copied().unwrap_or(0);
            (granted.saturating_sub(spent(&i)), i)
        })
        .collect();
    for _ in 0..grantable {
        let fewest = unspent.iter_mut().min().expect("the roll-out has a participant");
        fewest.0 += 1;
        *next.granted.entry(fewest.1.clone()).or_default() += 1;
    }
    grantable
}

/// Chooses the hosts that get credits: the stage's share of the fleet, but at least `MIN_PARTICIPANTS`.
fn participants(context: &RolloutContext<'_>, share: f64) -> Vec<Incarnation> {
    let proportional_count = (context.alive.len() as f64 * share).ceil() as usize;
    let count = proportional_count.max(MIN_PARTICIPANTS);
    let mut ranked: Vec<&Incarnation> = context.alive.iter().collect();
    ranked.sort_by_key(|i| std::cmp::Reverse(rendezvous(context.rollout_name, i.host.as_str())));
    ranked.into_iter().take(count).cloned().collect()
}

/// Returns the maximum exposure that a state allows: the credits granted minus the responses known to be
/// judged.
pub fn max_unjudged(state: &RolloutState) -> u64 {
    let granted: u64 = state.granted.values().sum();
    granted.saturating_sub(state.judged.values().sum())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{Stage, WhenStale};
    use crate::evidence::VersionCounts;

    fn spec() -> Rollout {
        let stage = |share, cap, judged| Stage { share, cap, judged };
        Rollout {
            from: "m@1".parse().expect("the version name parses"),
            to: "m@2".parse().expect("the version name parses"),
            stages: vec![stage(0.1, 20, 50), stage(0.5, 80, 200)],
            when_stale: WhenStale::StableOnly,
            stale_ms: 10_000,
        }
    }

    fn alive(n: usize) -> BTreeSet<Incarnation> {
        (0..n).map(|i| format!("h{i}~1").parse().expect("the incarnation parses")).collect()
    }

    fn context<'a>(
        spec: &'a Rollout,
        evidence: &'a Evidence,
        alive: &'a BTreeSet<Incarnation>,
    ) -> RolloutContext<'a> {
        let (canary_generation, stable_generation) = (1, 1);
        RolloutContext {
            spec,
            rollout_name: "r",
            canary_generation,
            stable_generation,
            evidence,
            alive,
            is_canary_barred: false,
        }
    }

    fn rated(n: u64, score: f64) -> VersionCounts {
        let mut counts = VersionCounts { started: n, answered: n, ..VersionCounts::default() };
        (0..n).for_each(|_| counts.add_rating(score));
        counts
    }

    fn key_of(version: &str, host: &str) -> EvidenceKey {
        EvidenceKey {
            version: version.parse().expect("the version name parses"),
            generation: 1,
            observer: host.parse().expect("the incarnation parses"),
        }
    }

    #[test]
    fn grants_stay_within_the_cap_and_grow_with_judged_responses() {
        let (spec, alive) = (spec(), alive(7));
        let mut evidence = Evidence::default();
        let first = next_state(&context(&spec, &evidence, &alive), &initial_state(1))
            .expect("the first grants are due");
        assert_eq!(max_unjudged(&first), 20);
        assert_eq!(next_state(&context(&spec, &evidence, &alive), &first), None);
        evidence.merge(key_of("m@2", "h1~1"), &rated(10, 0.8));
        let second =
            next_state(&context(&spec, &evidence, &alive), &first).expect("further grants are due");
        assert_eq!(max_unjudged(&second), 20);
    }

    #[test]
    fn a_roll_out_advances_to_its_end_and_stops_when_bad() {
        let (spec, alive) = (spec(), alive(7));
        let mut evidence = Evidence::default();
        evidence.merge(key_of("m@1", "h0~1"), &rated(300, 0.8));
        evidence.merge(key_of("m@2", "h1~1"), &rated(60, 0.8));
        let next = next_state(&context(&spec, &evidence, &alive), &initial_state(1))
            .expect("the next stage is due");
        assert_eq!(next.stage, 1);
        let mut bad = evidence.clone();
        bad.merge(key_of("m@2", "h2~1"), &rated(200, 0.2));
        let stopped = next_state(&context(&spec, &bad, &alive), &next).expect("the roll-out ends");
        assert_eq!(stopped.phase, RolloutPhase::Aborted);
        evidence.merge(key_of("m@2", "h2~1"), &rated(200, 0.8));
        let done =
            next_state(&context(&spec, &evidence, &alive), &next).expect("the roll-out ends");
        assert_eq!(done.phase, RolloutPhase::Done);
    }

    #[test]
    fn credits_are_spent_once_each() {
        let credits = Credits::default();
        credits.grant(3);
        credits.grant(2);
        assert_eq!((0..10).filter(|_| credits.try_spend()).count(), 3);
        credits.refund();
        assert!(credits.try_spend());
    }
}
