//! What hosts ask of the platform and write there: reads, and the states of roll-outs.

use tidetrack_core::config::{Object, ObjectKey, ObjectKind, RolloutState};
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::units::Millis;

use super::{Event, World, CALL_TIMEOUT_MS, DUTY_MS, MOST_CHECKED};

impl World {
    pub(super) fn ask_platform(&mut self, h: usize) {
        let now = self.local(h);
        let host = &self.hosts[h];
        let due = host.node.is_watcher() || host.node.needs_poll(now);
        if !due || self.now < host.asked_platform_at + 200 {
            return;
        }
        let (life, after) = (host.life, host.node.store.complete_to());
        self.hosts[h].asked_platform_at = self.now;
        if let Some(ms) = self.latency().filter(|_| self.platform_reachable(h)) {
            self.at(self.now + ms, Event::Read { by: h, life, asked_at: now, after });
        }
    }

    pub(super) fn read(&mut self, by: usize, life: u64, asked_at: Millis, after: u64) {
        if !self.platform.up {
            return;
        }
        let entries = self.platform.objects.values().filter(|e| e.version > after);
        let entries: Vec<Entry> = entries.cloned().collect();
        let to = self.platform.revision;
        let (list, delta) = match after {
            0 => (Some((to, entries)), None),
            _ => (None, Some(Delta { from: after, to, entries })),
        };
        if let Some(ms) = self.latency().filter(|_| self.platform_reachable(by)) {
            let event = Event::ReadDone { at: by, life, asked_at, list, delta };
            self.at(self.now + ms, event);
        }
    }

    pub(super) fn rollout_duty(&mut self, h: usize) {
        let now = self.local(h);
        let global = self.now;
        let host = &mut self.hosts[h];
        // A roll-out is looked at a few times a second, as the router does.
        if !global.is_multiple_of(DUTY_MS) && self.schedule.hosts > MOST_CHECKED {
            return;
        }
        let Some(rollout) = host.view.rollouts.first().cloned() else { return };
        if host.rollout_since.0 != rollout.state_version {
            host.rollout_since = (rollout.state_version, global);
        }
        if host.writing_state {
            return;
        }
        let since = Millis(host.rollout_since.1 + host.offset);
        let view = host.view.clone();
        let Some(mut state) = host.node.rollout_update(now, &view, &rollout, since) else { return };
        state.operation_id = format!("{}-{}", host.name, global);
        host.writing_state = true;
        let (life, expected) = (host.life, rollout.state_version);
        match self.latency().filter(|_| self.platform_reachable(h)) {
            Some(ms) => {
                self.at(self.now + ms, Event::WriteState { by: h, life, expected, state });
            }
            None => {
                let at = self.now + CALL_TIMEOUT_MS;
                self.at(at, Event::StateDone { at: h, life, version: 0, state });
            }
        }
    }

    pub(super) fn write_state(&mut self, by: usize, life: u64, expected: u64, state: RolloutState) {
        let key = ObjectKey::new(ObjectKind::RolloutState, "r");
        let body = Object::RolloutState(state.clone()).to_json();
        let written = match self.platform.up {
            true => self.platform.write(self.now, &key, expected, Some(body)),
            false => None,
        };
        if let Some(revision) = written {
            self.in_force.insert(revision, self.now);
        }
        // The write took effect; its reply may be lost all the same.
        let reply = self.latency().filter(|_| self.platform_reachable(by));
        let (ms, version) = match reply {
            Some(ms) => (ms, written.unwrap_or(0)),
            None => (CALL_TIMEOUT_MS, 0),
        };
        self.at(self.now + ms, Event::StateDone { at: by, life, version, state });
    }

    pub(super) fn state_done(&mut self, h: usize, version: u64, state: &RolloutState) {
        self.hosts[h].writing_state = false;
        if version > 0 {
            let key = ObjectKey::new(ObjectKind::RolloutState, "r");
            let body = Object::RolloutState(state.clone()).to_json();
            let entry = Entry { key, version, body: Some(body.into()) };
            let delta = Delta { from: u64::MAX, to: 0, entries: vec![entry] };
            self.hosts[h].node.on_object_written(delta);
        }
    }
}
