//! Random faults and their end.

use rand::RngExt;

use super::{Event, Host, Simulation, MIN_DOMAIN_LOSS_INTERVAL_MS};

impl Simulation {
    pub(super) fn fault(&mut self) {
        if self.have_faults_ended {
            return;
        }
        let gap = self.rng.random_range(200..6_000);
        self.schedule_event(self.now + gap, Event::Fault);
        self.last_fault_at = self.now;
        self.stats.faults += 1;
        let h = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..10) {
            0 => self.platform.is_up = false,
            1 | 2 => self.platform.is_up = true,
            3 => self.hosts[h].is_cut_from_platform = !self.hosts[h].is_cut_from_platform,
            4 => self.hosts[h].is_cut_from_peers = !self.hosts[h].is_cut_from_peers,
            5 => {
                let ms = self.rng.random_range(500..9_000);
                self.hosts[h].paused_until = self.now + ms;
            }
            6 | 7 => self.stop_domain(h),
            8 => self.restart_stopped_hosts(),
            _ => {
                self.hosts.iter_mut().for_each(|h| {
                    h.is_cut_from_peers = false;
                    h.is_cut_from_platform = false;
                });
            }
        }
    }

    /// Stops all hosts of the failure domain of `h`, unless a recent loss or another fault could have
    /// prevented the bills of the domain from being copied to another one.
    fn stop_domain(&mut self, h: usize) {
        let cut = self.hosts.iter().any(|h| h.is_cut_from_peers || h.paused_until > self.now);
        if self.now < self.next_domain_loss_at
            || cut
            || !self.has_copies_in_other_domains(self.hosts[h].domain)
        {
            return;
        }
        self.next_domain_loss_at = self.now + MIN_DOMAIN_LOSS_INTERVAL_MS;
        let domain = self.hosts[h].domain;
        for i in 0..self.hosts.len() {
            if self.hosts[i].domain == domain && self.hosts[i].is_up {
                self.spent_by_stopped_hosts += self.hosts[i].spent();
                self.hosts[i].is_up = false;
            }
        }
    }

    /// Reports whether all running hosts of a domain have copied their bills to a running host in another
    /// domain. Copies cannot protect against the loss of the last domain; see `docs/design/billing.md`.
    fn has_copies_in_other_domains(&self, domain: usize) -> bool {
        let is_copied_elsewhere = |h: &Host| {
            let holder = h.replicator.holder().map(|i| self.host_index(&i.host));
            h.replicator.bills_to_transfer() == 0
                && holder.is_some_and(|i| self.hosts[i].domain != domain && self.hosts[i].is_up)
        };
        self.hosts.iter().filter(|h| h.is_up && h.domain == domain).all(is_copied_elsewhere)
    }

    pub(super) fn restart_stopped_hosts(&mut self) {
        let count = self.hosts.len();
        for i in 0..count {
            if !self.hosts[i].is_up {
                let (domain, offset) =
                    (self.hosts[i].domain, self.rng.random_range(1_000_000..9_000_000));
                let incarnation_id = self.rng.random::<u32>().into();
                self.hosts[i] = Host::new(i, domain, incarnation_id, offset, self.now, count);
            }
        }
    }

    pub(super) fn end_faults(&mut self) {
        self.have_faults_ended = true;
        self.last_fault_at = self.now;
        self.platform.is_up = true;
        for host in &mut self.hosts {
            host.is_cut_from_peers = false;
            host.is_cut_from_platform = false;
            host.paused_until = 0;
        }
        self.restart_stopped_hosts();
    }
}
