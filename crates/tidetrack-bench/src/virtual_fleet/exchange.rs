//! Ticks of a host, publication of its view, and its message exchange with other hosts.

use std::time::Instant;

use tidetrack_core::bill_replicator::Holder;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::node::{Action, Exchange};
use tidetrack_core::units::Millis;

use super::platform::canary_version;
use super::{Event, InjectedBug, Simulation, CALL_TIMEOUT_MS, TICK_INTERVAL_MS};

impl Simulation {
    pub(super) fn tick(&mut self, h: usize) -> Result<(), String> {
        let now = self.host_time(h);
        self.schedule_event(self.now + TICK_INTERVAL_MS, Event::Tick(h));
        let started_at = Instant::now();
        let actions = self.hosts[h].node.tick(now);
        self.stats.control_state_ns += started_at.elapsed().as_nanos() as u64;
        for action in actions {
            self.execute_action(h, action);
        }
        let spent = self.hosts[h].spent();
        let reported = std::mem::replace(&mut self.hosts[h].spent_reported, spent);
        if spent > reported {
            let counts = VersionCounts { started: spent - reported, ..VersionCounts::default() };
            self.hosts[h].node.record_counts(&canary_version(), 1, true, &counts);
        }
        self.publish(h)?;
        self.read_platform_if_due(h);
        self.update_rollout(h);
        let epoch = self.hosts[h].node.members.epoch();
        if self.hosts[h].holders_epoch != Some(epoch) {
            self.hosts[h].holders_epoch = Some(epoch);
            let holders = self.hosts[h].node.members.holders().into_iter();
            let holders = holders.map(|m| Holder {
                incarnation: m.incarnation.clone(),
                address: m.peer_address.clone(),
            });
            let holders = holders.collect();
            self.hosts[h].replicator.set_holders(holders);
        }
        self.execute_replicator_actions(h);
        self.check_limits()
    }

    pub(super) fn publish(&mut self, h: usize) -> Result<(), String> {
        let now = self.host_time(h);
        let host = &mut self.hosts[h];
        if !host.node.take_changed() {
            return Ok(());
        }
        let view = host.node.view(now, &mut host.builder);
        let ignores_withdrawal = self.schedule.injected_bug == InjectedBug::IgnoredWithdrawal;
        if !(ignores_withdrawal && host.view.revision > 0) {
            host.view = view;
        }
        let mut reverted = None;
        for entry in host.node.store.iter() {
            let previous_version = host.last_versions.entry(entry.key.clone()).or_default();
            if entry.version < *previous_version {
                reverted = Some(format!(
                    "the stored version of {} went back from {previous_version} to {}",
                    entry.key, entry.version
                ));
            }
            *previous_version = entry.version;
        }
        if let Some(message) = reverted {
            return self.fail(message);
        }
        let view = self.hosts[h].view.clone();
        self.hosts[h].node.quarantine_bad_versions(&view);
        self.record_in_force();
        Ok(())
    }

    /// Records how long each revision took to be in force on all running hosts.
    pub(super) fn record_in_force(&mut self) {
        let running_hosts = self.hosts.iter().filter(|h| h.is_up);
        let min_revision = running_hosts.map(|h| h.view.revision).min().unwrap_or(0);
        let reached: Vec<u64> =
            self.revisions_not_in_force.range(..=min_revision).map(|(r, _)| *r).collect();
        for revision in reached {
            let accepted = self
                .revisions_not_in_force
                .remove(&revision)
                .expect("the revision was just listed");
            self.stats.in_force_ms.push(self.now - accepted);
        }
    }

    pub(super) fn execute_action(&mut self, h: usize, action: Action) {
        let incarnation_id = self.hosts[h].incarnation_id;
        match action {
            Action::Log(..) => {}
            Action::Exchange { to, message, .. } => {
                self.stats.messages += 1;
                self.stats.bytes += serde_json::to_string(&message).map_or(0, |s| s.len() as u64);
                let target = self.host_index(&to);
                let delay_ms = self.latency().filter(|_| self.is_reachable(h, target));
                let sent_at = self.host_time(h);
                match delay_ms {
                    Some(ms) => {
                        let message = Box::new(message);
                        let event = Event::Exchange {
                            to: target,
                            from: h,
                            incarnation_id,
                            sent_at,
                            message,
                        };
                        self.schedule_event(self.now + ms, event);
                    }
                    None => {
                        self.schedule_event(
                            self.now + CALL_TIMEOUT_MS,
                            Event::ExchangeFailed { host: h, incarnation_id, to },
                        );
                    }
                }
            }
            Action::Probe { via, target, .. } => {
                let (v, t) = (self.host_index(&via), self.host_index(&target));
                let is_paused = self.hosts[t].paused_until > self.now;
                let reached = self.is_reachable(h, v) && self.is_reachable(v, t) && !is_paused;
                self.schedule_event(
                    self.now + 60,
                    Event::ProbeDone { host: h, incarnation_id, target, reached },
                );
            }
        }
    }

    pub(super) fn exchange(
        &mut self,
        to: usize,
        from: usize,
        incarnation_id: u64,
        sent_at: Millis,
        message: Exchange,
    ) {
        let now = self.host_time(to);
        let nonce = message.nonce;
        let started_at = Instant::now();
        let reply = self.hosts[to].node.on_exchange(now, message);
        self.stats.control_state_ns += started_at.elapsed().as_nanos() as u64;
        self.stats.messages += 1;
        self.stats.bytes += serde_json::to_string(&reply).map_or(0, |s| s.len() as u64);
        let name = self.hosts[to].name.clone();
        match self.latency().filter(|_| self.is_reachable(to, from)) {
            Some(ms) => {
                let message = Box::new(reply);
                let event =
                    Event::Reply { to: from, from: name, incarnation_id, sent_at, nonce, message };
                self.schedule_event(self.now + ms, event);
            }
            None => {
                let event = Event::ExchangeFailed { host: from, incarnation_id, to: name };
                self.schedule_event(self.now + CALL_TIMEOUT_MS, event);
            }
        }
    }
}
