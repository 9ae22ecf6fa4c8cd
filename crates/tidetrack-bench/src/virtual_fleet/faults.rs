//! The faults that are drawn, and their end.

use rand::RngExt;

use super::{Event, Host, World, KILLS_APART_MS};

impl World {
    pub(super) fn fault(&mut self) {
        if self.healed {
            return;
        }
        let gap = self.rng.random_range(200..6_000);
        self.at(self.now + gap, Event::Fault);
        self.last_fault = self.now;
        self.seen.faults += 1;
        let h = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..10) {
            0 => self.platform.up = false,
            1 | 2 => self.platform.up = true,
            3 => self.hosts[h].cut_platform = !self.hosts[h].cut_platform,
            4 => self.hosts[h].cut_peers = !self.hosts[h].cut_peers,
            5 => {
                let ms = self.rng.random_range(500..9_000);
                self.hosts[h].paused_until = self.now + ms;
            }
            6 | 7 => self.kill_domain(h),
            8 => self.revive(),
            _ => {
                self.hosts.iter_mut().for_each(|h| {
                    h.cut_peers = false;
                    h.cut_platform = false;
                });
            }
        }
    }

    /// Ends all hosts of one failure domain, but not so soon after another that no copy was made.
    fn kill_domain(&mut self, h: usize) {
        let cut = self.hosts.iter().any(|h| h.cut_peers || h.paused_until > self.now);
        if self.now < self.next_kill || cut || !self.copies_are_elsewhere(self.hosts[h].domain) {
            return;
        }
        self.next_kill = self.now + KILLS_APART_MS;
        let domain = self.hosts[h].domain;
        for i in 0..self.hosts.len() {
            if self.hosts[i].domain == domain && self.hosts[i].up {
                self.spent_by_dead += self.hosts[i].spent();
                self.hosts[i].up = false;
            }
        }
    }

    /// Tells whether the hosts of a domain have their copies in another one. Where no other domain is
    /// left, the loss of the last one is past what a copy can bear; `docs/design/billing.md` says so.
    fn copies_are_elsewhere(&self, domain: usize) -> bool {
        let elsewhere = |h: &Host| {
            let holder = h.keeper.holder().map(|i| self.index(&i.host));
            h.keeper.bills_to_transfer() == 0
                && holder.is_some_and(|i| self.hosts[i].domain != domain && self.hosts[i].up)
        };
        self.hosts.iter().filter(|h| h.up && h.domain == domain).all(elsewhere)
    }

    pub(super) fn revive(&mut self) {
        let count = self.hosts.len();
        for i in 0..count {
            if !self.hosts[i].up {
                let (domain, offset) =
                    (self.hosts[i].domain, self.rng.random_range(1_000_000..9_000_000));
                let life = self.rng.random::<u32>().into();
                self.hosts[i] = Host::new(i, domain, life, offset, self.now, count);
            }
        }
    }

    pub(super) fn heal(&mut self) {
        self.healed = true;
        self.last_fault = self.now;
        self.platform.up = true;
        for host in &mut self.hosts {
            host.cut_peers = false;
            host.cut_platform = false;
            host.paused_until = 0;
        }
        self.revive();
    }
}
