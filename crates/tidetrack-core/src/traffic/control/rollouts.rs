//! Handling of roll-out orders: new, changed and removed orders, which other versions may serve
//! meanwhile, and the responses by which versions are judged.

use crate::events::Event;
use crate::ids::{ServiceId, VersionName};
use crate::placement::hash_fraction;
use crate::traffic::canary::{Canary, Phase, RolloutOrder};
use crate::traffic::feeds::FeedKind;
use crate::traffic::judge::ObservedResponse;
use crate::traffic::peers::BarredVersion;
use crate::traffic::stagger::stagger_delay;
use crate::units::Millis;

use super::versions::WithholdReason;
use super::{Action, FleetState};

impl FleetState {
    /// Applies a roll-out order or a newer state of a known one. An order for another version
    /// starts a new canary.
    pub(super) fn apply_order(
        &mut self,
        now: Millis,
        order: RolloutOrder,
        actions: &mut Vec<Action>,
    ) {
        let service = order.service.clone();
        let previous = self.canaries.get(&service).map(|t| (t.order.version.clone(), t.phase()));
        let version_key = |version: &VersionName| BarredVersion {
            service: service.clone(),
            version: version.clone(),
        };
        if let Some((version, phase)) = previous.as_ref().filter(|(v, _)| *v != order.version) {
            if *phase != Phase::Done {
                self.versions.withhold(now, version_key(version), WithholdReason::Bad);
            }
        }
        self.versions.stop_withholding(&version_key(&order.version));
        self.versions.mark_order_readable(&service);
        let is_new_version = previous.as_ref().is_none_or(|(version, _)| *version != order.version);
        if is_new_version {
            self.versions.release_for_order(&service);
        }
        match self.canaries.get_mut(&service) {
            Some(canary) => canary.update(now, order),
            None => {
                self.canaries.insert(service.clone(), Canary::new(now, order, self.exposure_bound));
            }
        }
        let canary = &self.canaries[&service];
        let current = (canary.order.version.clone(), canary.phase());
        if previous.as_ref() != Some(&current) {
            let text = format!("service={service} version={} phase={:?}", current.0, current.1);
            actions.push(Action::Log(Event::RolloutMoved, text));
        }
    }

    /// Ends the canary of a removed order and returns whether there was one. Removal of the order
    /// does not make its version stable.
    pub(super) fn remove_order(&mut self, now: Millis, service: &ServiceId) -> bool {
        self.versions.mark_order_readable(service);
        let Some(canary) = self.canaries.remove(service) else { return false };
        let version =
            BarredVersion { service: service.clone(), version: canary.order.version.clone() };
        match canary.phase() {
            Phase::Done => {}
            Phase::Barred => self.versions.withhold(now, version, WithholdReason::Bad),
            Phase::Sample | Phase::Moved => {
                self.versions.withhold(now, version, WithholdReason::OrderRemoved)
            }
        }
        true
    }

    /// Releases versions that were withheld until the roll-outs are known, and requests the
    /// roll-outs that the remaining ones need. Returns whether any version was released.
    pub(super) fn release_versions(&mut self, now: Millis) -> bool {
        let known_revision = self.feeds.complete(FeedKind::Rollouts);
        let released = self.versions.release_ready(now, known_revision);
        if let Some(revision) = released.wanted_revision {
            let fraction = hash_fraction(&format!("rollouts/{revision}"), self.host.as_str());
            let delay =
                (!self.roles.is_watcher).then(|| stagger_delay(fraction, self.host_count()));
            self.feeds.request_revision(now, FeedKind::Rollouts, revision, delay);
        }
        released.has_released
    }

    /// Records an observed response. Returns whether it caused a version to be barred.
    pub(super) fn observe_response(
        &mut self,
        now: Millis,
        observed: &ObservedResponse,
        actions: &mut Vec<Action>,
    ) -> bool {
        let baseline = self.baselines.entry(observed.service.clone()).or_default();
        let canary = self.canaries.get_mut(&observed.service).filter(|t| t.phase() != Phase::Done);
        match (canary, &observed.canary_version) {
            // The baseline is also learned outside of roll-outs, so that it is known when an order
            // arrives and follows a version that was completed.
            (None, _) => baseline.learn(observed),
            (Some(canary), None) => {
                canary.judge.record_stable(now, observed, baseline);
                baseline.learn(observed);
            }
            (Some(canary), Some(version)) if *version == canary.order.version => {
                match canary.has_cut_over(now, self.peers.len() + 1) {
                    true => canary.judge.record_after_cutover(now, observed, baseline),
                    false => canary.judge.record_canary(now, observed, baseline),
                }
                return self.judge_version(now, &observed.service, actions);
            }
            // The response is from the canary version of an earlier roll-out.
            (Some(_), Some(_)) => {}
        }
        false
    }
}
