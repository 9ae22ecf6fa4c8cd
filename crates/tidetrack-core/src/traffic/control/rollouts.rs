//! What a host learns of roll-outs: orders that come and go, which versions may serve beside them, and the
//! answers that versions are judged by.

use crate::events::Event;
use crate::ids::{ServiceId, VersionName};
use crate::placement::hash_fraction;
use crate::traffic::feeds::Kind;
use crate::traffic::judge::Observed;
use crate::traffic::peers::Barred;
use crate::traffic::trial::{Phase, RolloutOrder, Trial};
use crate::traffic::turns::turn;
use crate::units::Millis;

use super::versions::WithholdReason;
use super::{Action, FleetState};

impl FleetState {
    /// Takes an order, or a newer state of one; another version begins a new trial.
    pub(super) fn apply_order(
        &mut self,
        now: Millis,
        order: RolloutOrder,
        actions: &mut Vec<Action>,
    ) {
        let service = order.service.clone();
        let previous = self.canaries.get(&service).map(|t| (t.order.version.clone(), t.phase()));
        let version_key =
            |version: &VersionName| Barred { service: service.clone(), version: version.clone() };
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
                self.canaries.insert(service.clone(), Trial::new(now, order, self.exposure_bound));
            }
        }
        let canary = &self.canaries[&service];
        let current = (canary.order.version.clone(), canary.phase());
        if previous.as_ref() != Some(&current) {
            let text = format!("service={service} version={} phase={:?}", current.0, current.1);
            actions.push(Action::Log(Event::RolloutMoved, text));
        }
    }

    /// Ends the trial of an order that is gone; tells whether there was one. Its version is not proven by that.
    pub(super) fn remove_order(&mut self, now: Millis, service: &ServiceId) -> bool {
        self.versions.mark_order_readable(service);
        let Some(canary) = self.canaries.remove(service) else { return false };
        let version = Barred { service: service.clone(), version: canary.order.version.clone() };
        match canary.phase() {
            Phase::Done => {}
            Phase::Barred => self.versions.withhold(now, version, WithholdReason::Bad),
            Phase::Sample | Phase::Moved => {
                self.versions.withhold(now, version, WithholdReason::OrderRemoved)
            }
        }
        true
    }

    /// Lets versions serve that were held for want of news, and sees to it that it comes for the others; tells
    /// whether any may serve now.
    pub(super) fn release_versions(&mut self, now: Millis) -> bool {
        let known_revision = self.feeds.complete(Kind::Rollouts);
        let released = self.versions.release_ready(now, known_revision);
        if let Some(revision) = released.wanted_revision {
            let draw = hash_fraction(&format!("rollouts/{revision}"), self.host.as_str());
            let turn = (!self.roles.is_watcher).then(|| turn(draw, self.hosts()));
            self.feeds.wants(now, Kind::Rollouts, revision, turn);
        }
        released.has_released
    }

    /// Takes an answer that was seen; tells whether a version is barred by it.
    pub(super) fn observe_response(
        &mut self,
        now: Millis,
        observed: &Observed,
        actions: &mut Vec<Action>,
    ) -> bool {
        let baseline = self.baselines.entry(observed.service.clone()).or_default();
        let canary = self.canaries.get_mut(&observed.service).filter(|t| t.phase() != Phase::Done);
        match (canary, &observed.new_version) {
            // What is usual is known when an order comes, and follows a version that was completed.
            (None, _) => baseline.learn(observed),
            (Some(canary), None) => {
                canary.judge.see_proven(now, observed, baseline);
                baseline.learn(observed);
            }
            (Some(canary), Some(version)) if *version == canary.order.version => {
                match canary.has_moved(now, self.peers.len() + 1) {
                    true => canary.judge.see_moved(now, observed, baseline),
                    false => canary.judge.see_new(now, observed, baseline),
                }
                return self.judge_version(now, &observed.service, actions);
            }
            // Of a roll-out before this one.
            (Some(_), Some(_)) => {}
        }
        false
    }
}
