//! Access of the hosts to the platform: configuration reads and writes of roll-out states.

use tidetrack_core::config::{Object, ObjectKey, ObjectKind, RolloutState};
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::units::Millis;

use super::{Event, Simulation, CALL_TIMEOUT_MS, MAX_CHECKED_HOSTS, ROLLOUT_CHECK_INTERVAL_MS};

impl Simulation {
    pub(super) fn read_platform_if_due(&mut self, h: usize) {
        let now = self.host_time(h);
        let host = &self.hosts[h];
        let due = host.node.is_watcher() || host.node.needs_poll(now);
        if !due || self.now < host.last_platform_read_at + 200 {
            return;
        }
        let (incarnation_id, after) = (host.incarnation_id, host.node.store.complete_to());
        self.hosts[h].last_platform_read_at = self.now;
        if let Some(ms) = self.latency().filter(|_| self.is_platform_reachable(h)) {
            self.schedule_event(
                self.now + ms,
                Event::StoreRead { host: h, incarnation_id, requested_at: now, after },
            );
        }
    }

    pub(super) fn read(
        &mut self,
        from_host: usize,
        incarnation_id: u64,
        requested_at: Millis,
        after: u64,
    ) {
        if !self.platform.is_up {
            return;
        }
        let entries = self.platform.objects.values().filter(|e| e.version > after);
        let entries: Vec<Entry> = entries.cloned().collect();
        let to = self.platform.revision;
        let (list, delta) = match after {
            0 => (Some((to, entries)), None),
            _ => (None, Some(Delta { from: after, to, entries })),
        };
        if let Some(ms) = self.latency().filter(|_| self.is_platform_reachable(from_host)) {
            let event =
                Event::StoreReadDone { host: from_host, incarnation_id, requested_at, list, delta };
            self.schedule_event(self.now + ms, event);
        }
    }

    pub(super) fn update_rollout(&mut self, h: usize) {
        let now = self.host_time(h);
        let global = self.now;
        let host = &mut self.hosts[h];
        // Like the router, large fleets evaluate roll-outs only a few times per second.
        if !global.is_multiple_of(ROLLOUT_CHECK_INTERVAL_MS)
            && self.schedule.hosts > MAX_CHECKED_HOSTS
        {
            return;
        }
        let Some(rollout) = host.view.rollouts.first().cloned() else { return };
        if host.rollout_since.0 != rollout.state_version {
            host.rollout_since = (rollout.state_version, global);
        }
        if host.is_writing_state {
            return;
        }
        let since = Millis(host.rollout_since.1 + host.offset);
        let view = host.view.clone();
        let Some(mut state) = host.node.rollout_update(now, &view, &rollout, since) else { return };
        state.operation_id = format!("{}-{}", host.name, global);
        host.is_writing_state = true;
        let (incarnation_id, expected) = (host.incarnation_id, rollout.state_version);
        match self.latency().filter(|_| self.is_platform_reachable(h)) {
            Some(ms) => {
                self.schedule_event(
                    self.now + ms,
                    Event::WriteRolloutState { host: h, incarnation_id, expected, state },
                );
            }
            None => {
                let at = self.now + CALL_TIMEOUT_MS;
                self.schedule_event(
                    at,
                    Event::RolloutStateWritten { host: h, incarnation_id, version: 0, state },
                );
            }
        }
    }

    pub(super) fn write_state(
        &mut self,
        from_host: usize,
        incarnation_id: u64,
        expected: u64,
        state: RolloutState,
    ) {
        let key = ObjectKey::new(ObjectKind::RolloutState, "r");
        let body = Object::RolloutState(state.clone()).to_json();
        let written = match self.platform.is_up {
            true => self.platform.write(self.now, &key, expected, Some(body)),
            false => None,
        };
        if let Some(revision) = written {
            self.revisions_not_in_force.insert(revision, self.now);
        }
        // The reply may be lost even though the write took effect.
        let reply = self.latency().filter(|_| self.is_platform_reachable(from_host));
        let (ms, version) = match reply {
            Some(ms) => (ms, written.unwrap_or(0)),
            None => (CALL_TIMEOUT_MS, 0),
        };
        self.schedule_event(
            self.now + ms,
            Event::RolloutStateWritten { host: from_host, incarnation_id, version, state },
        );
    }

    pub(super) fn on_rollout_state_written(
        &mut self,
        h: usize,
        version: u64,
        state: &RolloutState,
    ) {
        self.hosts[h].is_writing_state = false;
        if version > 0 {
            let key = ObjectKey::new(ObjectKind::RolloutState, "r");
            let body = Object::RolloutState(state.clone()).to_json();
            let entry = Entry { key, version, body: Some(body.into()) };
            let delta = Delta { from: u64::MAX, to: 0, entries: vec![entry] };
            self.hosts[h].node.on_object_written(delta);
        }
    }
}
