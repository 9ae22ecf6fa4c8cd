//! What a host learns of roll-outs: orders that come and go, which versions may serve beside them, and the
//! answers that versions are judged by.

use crate::events::Event;
use crate::ids::{ServiceId, VersionName};
use crate::placement::draw;
use crate::traffic::canary::{Canary, Phase, RolloutOrder};
use crate::traffic::feeds::FeedKind;
use crate::traffic::judge::ObservedResponse;
use crate::traffic::peers::BarredVersion;
use crate::traffic::stagger::stagger_delay;
use crate::units::Millis;

use super::versions::Doubt;
use super::{Action, Beliefs};

impl Beliefs {
    /// Takes an order, or a newer state of one; another version begins a new trial.
    pub(super) fn take_order(
        &mut self,
        now: Millis,
        order: RolloutOrder,
        actions: &mut Vec<Action>,
    ) {
        let service = order.service.clone();
        let before = self.trials.get(&service).map(|t| (t.order.version.clone(), t.phase()));
        let of_version = |version: &VersionName| BarredVersion {
            service: service.clone(),
            version: version.clone(),
        };
        if let Some((version, phase)) = before.as_ref().filter(|(v, _)| *v != order.version) {
            if *phase != Phase::Done {
                self.versions.hold(now, of_version(version), Doubt::Bad);
            }
        }
        self.versions.release(&of_version(&order.version));
        self.versions.set_readable(&service);
        let is_news = before.as_ref().is_none_or(|(version, _)| *version != order.version);
        if is_news {
            self.versions.ordered(&service);
        }
        match self.trials.get_mut(&service) {
            Some(trial) => trial.update(now, order),
            None => {
                self.trials.insert(service.clone(), Canary::new(now, order, self.bound));
            }
        }
        let trial = &self.trials[&service];
        let after = (trial.order.version.clone(), trial.phase());
        if before.as_ref() != Some(&after) {
            let text = format!("service={service} version={} phase={:?}", after.0, after.1);
            actions.push(Action::Note(Event::RolloutMoved, text));
        }
    }

    /// Ends the trial of an order that is gone; tells whether there was one. Its version is not proven by that.
    pub(super) fn order_gone(&mut self, now: Millis, service: &ServiceId) -> bool {
        self.versions.set_readable(service);
        let Some(trial) = self.trials.remove(service) else { return false };
        let version =
            BarredVersion { service: service.clone(), version: trial.order.version.clone() };
        match trial.phase() {
            Phase::Done => {}
            Phase::Barred => self.versions.hold(now, version, Doubt::Bad),
            Phase::Sample | Phase::Moved => self.versions.hold(now, version, Doubt::Removed),
        }
        true
    }

    /// Lets versions serve that were held for want of news, and sees to it that it comes for the others; tells
    /// whether any may serve now.
    pub(super) fn clear_versions(&mut self, now: Millis) -> bool {
        let known = self.feeds.complete(FeedKind::Rollouts);
        let cleared = self.versions.clear(now, known);
        if let Some(revision) = cleared.wanted {
            let draw = draw(&format!("rollouts/{revision}"), self.host.as_str());
            let turn = (!self.duties.watches).then(|| stagger_delay(draw, self.hosts()));
            self.feeds.request_revision(now, FeedKind::Rollouts, revision, turn);
        }
        cleared.any
    }

    /// Takes an answer that was seen; tells whether a version is barred by it.
    pub(super) fn observe(
        &mut self,
        now: Millis,
        seen: &ObservedResponse,
        actions: &mut Vec<Action>,
    ) -> bool {
        let usual = self.usual.entry(seen.service.clone()).or_default();
        let trial = self.trials.get_mut(&seen.service).filter(|t| t.phase() != Phase::Done);
        match (trial, &seen.canary_version) {
            // What is usual is known when an order comes, and follows a version that was completed.
            (None, _) => usual.learn(seen),
            (Some(trial), None) => {
                trial.judge.record_stable(now, seen, usual);
                usual.learn(seen);
            }
            (Some(trial), Some(version)) if *version == trial.order.version => {
                match trial.has_cut_over(now, self.peers.len() + 1) {
                    true => trial.judge.record_after_cutover(now, seen, usual),
                    false => trial.judge.record_canary(now, seen, usual),
                }
                return self.judge(now, &seen.service, actions);
            }
            // Of a roll-out before this one.
            (Some(_), Some(_)) => {}
        }
        false
    }
}
