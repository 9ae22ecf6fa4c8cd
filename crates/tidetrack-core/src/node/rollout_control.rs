//! Roll-out control on each host: writes the next roll-out state and quarantines bad canary versions.

use std::collections::BTreeSet;

use crate::evidence::{compare, Verdict, DEFAULT_ALPHA};
use crate::facts::{Fact, Subject};
use crate::ids::Incarnation;
use crate::membership::MemberState;
use crate::rollout;
use crate::units::Millis;
use crate::view::{RolloutView, View};

use super::Node;

/// Additional delay of each host by its rank for a roll-out before it writes the state, in milliseconds.
const WRITER_STAGGER_MS: u64 = 1_500;

/// Minimum interval between two writes that only add grants, in milliseconds per host of the fleet.
const GRANT_INTERVAL_PER_HOST_MS: u64 = 20;

impl Node {
    /// Returns the state that this host should write for a roll-out, or `None` if nothing is due.
    /// `changed_at` is the time of the last state change.
    ///
    /// The first host in rendezvous order writes at once. Each following host waits longer, so that the
    /// roll-out continues when the first ones are down and there is normally one writer.
    pub fn rollout_update(
        &mut self,
        now: Millis,
        view: &View,
        rollout: &RolloutView,
        changed_at: Millis,
    ) -> Option<crate::config::RolloutState> {
        let state = rollout.state.as_ref()?;
        let rank = self.members.rank_for(rollout.id.as_str()) as u64;
        if now - changed_at < Millis(rank * WRITER_STAGGER_MS) {
            return None;
        }
        let canary = view.versions.get(&rollout.spec.to)?;
        let stable = view.versions.get(&rollout.spec.from)?;
        let alive: BTreeSet<Incarnation> = self
            .members
            .live()
            .filter(|m| m.state == MemberState::Alive)
            .map(|m| m.incarnation.clone())
            .collect();
        let context = rollout::RolloutContext {
            spec: &rollout.spec,
            rollout_name: rollout.id.as_str(),
            canary_generation: canary.spec.generation,
            stable_generation: stable.spec.generation,
            evidence: &self.evidence,
            alive: &alive,
            is_canary_barred: canary.is_barred,
        };
        let next = rollout::next_state(&context, state)?;
        // Every host receives each written state, so writes that only add grants are spaced further
        // apart in a larger fleet.
        let is_new_stage = next.phase != state.phase || next.stage != state.stage;
        let min_interval = Millis(self.live_host_count() as u64 * GRANT_INTERVAL_PER_HOST_MS);
        (is_new_stage || now - changed_at >= min_interval).then_some(next)
    }

    /// Quarantines every canary version that the evidence shows to be worse than its stable version.
    pub fn quarantine_bad_versions(&mut self, view: &View) {
        let mut bad = Vec::new();
        for rollout in &view.rollouts {
            let versions =
                (view.versions.get(&rollout.spec.to), view.versions.get(&rollout.spec.from));
            let (Some(to), Some(from)) = versions else { continue };
            if to.is_barred || to.canary_credits.is_none() {
                continue;
            }
            let canary = self.evidence.total(&rollout.spec.to, to.spec.generation);
            let stable = self.evidence.total(&rollout.spec.from, from.spec.generation);
            if compare(&canary, &stable, DEFAULT_ALPHA) == Verdict::Bad {
                let subject = Subject::Quarantined(rollout.spec.to.clone());
                bad.push(Fact { subject, generation: to.spec.generation });
            }
        }
        for fact in bad {
            self.add_fact(fact);
        }
    }
}
