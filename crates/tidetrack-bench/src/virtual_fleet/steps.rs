//! A host's tick, the view that it publishes, and its messages to others.

use std::time::Instant;

use tidetrack_core::bill_replicator::Holder;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::node::{Action, Exchange};
use tidetrack_core::units::Millis;

use super::platform::new_version;
use super::{Broken, Event, World, CALL_TIMEOUT_MS, TICK_MS};

impl World {
    pub(super) fn tick(&mut self, h: usize) -> Result<(), String> {
        let now = self.local(h);
        self.at(self.now + TICK_MS, Event::Tick(h));
        let from = Instant::now();
        let actions = self.hosts[h].node.tick(now);
        self.seen.node_ns += from.elapsed().as_nanos() as u64;
        for action in actions {
            self.act(h, action);
        }
        let spent = self.hosts[h].spent();
        let told = std::mem::replace(&mut self.hosts[h].spent_told, spent);
        if spent > told {
            let counts = VersionCounts { started: spent - told, ..VersionCounts::default() };
            self.hosts[h].node.record_counts(&new_version(), 1, true, &counts);
        }
        self.publish(h)?;
        self.ask_platform(h);
        self.rollout_duty(h);
        let epoch = self.hosts[h].node.members.epoch();
        if self.hosts[h].holders_epoch != Some(epoch) {
            self.hosts[h].holders_epoch = Some(epoch);
            let holders = self.hosts[h].node.members.holders().into_iter();
            let holders = holders.map(|m| Holder {
                incarnation: m.incarnation.clone(),
                address: m.peer_address.clone(),
            });
            let holders = holders.collect();
            self.hosts[h].keeper.set_holders(holders);
        }
        self.pump(h);
        self.check_limits()
    }

    pub(super) fn publish(&mut self, h: usize) -> Result<(), String> {
        let now = self.local(h);
        let host = &mut self.hosts[h];
        if !host.node.take_changed() {
            return Ok(());
        }
        let view = host.node.view(now, &mut host.builder);
        let broken = self.schedule.broken == Broken::IgnoredWithdrawal;
        if !(broken && host.view.revision > 0) {
            host.view = view;
        }
        let mut reverted = None;
        for entry in host.node.store.iter() {
            let seen = host.seen.entry(entry.key.clone()).or_default();
            if entry.version < *seen {
                reverted =
                    Some(format!("{} went back from {seen} to {}", entry.key, entry.version));
            }
            *seen = entry.version;
        }
        if let Some(what) = reverted {
            return self.fail(what);
        }
        let view = self.hosts[h].view.clone();
        self.hosts[h].node.quarantine_bad_versions(&view);
        self.note_in_force();
        Ok(())
    }

    /// Notes when the last host had each revision in force.
    pub(super) fn note_in_force(&mut self) {
        let up = self.hosts.iter().filter(|h| h.up);
        let least = up.map(|h| h.view.revision).min().unwrap_or(0);
        let reached: Vec<u64> = self.in_force.range(..=least).map(|(r, _)| *r).collect();
        for revision in reached {
            let accepted = self.in_force.remove(&revision).expect("it was listed");
            self.seen.in_force_ms.push(self.now - accepted);
        }
    }

    pub(super) fn act(&mut self, h: usize, action: Action) {
        let life = self.hosts[h].life;
        match action {
            Action::Log(..) => {}
            Action::Exchange { to, message, .. } => {
                self.seen.messages += 1;
                self.seen.bytes += serde_json::to_string(&message).map_or(0, |s| s.len() as u64);
                let target = self.index(&to);
                let arrives = self.latency().filter(|_| self.reachable(h, target));
                let sent_at = self.local(h);
                match arrives {
                    Some(ms) => {
                        let message = Box::new(message);
                        let event = Event::Exchange { to: target, from: h, life, sent_at, message };
                        self.at(self.now + ms, event);
                    }
                    None => {
                        self.at(self.now + CALL_TIMEOUT_MS, Event::Failed { at: h, life, to });
                    }
                }
            }
            Action::Probe { via, target, .. } => {
                let (v, t) = (self.index(&via), self.index(&target));
                let paused = self.hosts[t].paused_until > self.now;
                let reached = self.reachable(h, v) && self.reachable(v, t) && !paused;
                self.at(self.now + 60, Event::Probed { at: h, life, target, reached });
            }
        }
    }

    pub(super) fn exchange(
        &mut self,
        to: usize,
        from: usize,
        life: u64,
        sent_at: Millis,
        message: Exchange,
    ) {
        let now = self.local(to);
        let nonce = message.nonce;
        let from_instant = Instant::now();
        let reply = self.hosts[to].node.on_exchange(now, message);
        self.seen.node_ns += from_instant.elapsed().as_nanos() as u64;
        self.seen.messages += 1;
        self.seen.bytes += serde_json::to_string(&reply).map_or(0, |s| s.len() as u64);
        let name = self.hosts[to].name.clone();
        match self.latency().filter(|_| self.reachable(to, from)) {
            Some(ms) => {
                let message = Box::new(reply);
                let event = Event::Reply { to: from, from: name, life, sent_at, nonce, message };
                self.at(self.now + ms, event);
            }
            None => {
                let event = Event::Failed { at: from, life, to: name };
                self.at(self.now + CALL_TIMEOUT_MS, event);
            }
        }
    }
}
