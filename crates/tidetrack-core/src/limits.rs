//! A workspace's limits, kept over the fleet with no call per request.
//!
//! Each host has an equal base share of a limit. A host that needs more borrows from one it talks
//! with; the lender's share shrinks before the loan is sent and grows back only after the borrower's
//! has surely ended, so loans never raise the sum. Both measure on their own monotonic clocks: the
//! borrower from before it asked, the lender from when it granted.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;
use crate::units::Millis;

/// How long a loan lasts for the borrower.
pub const LOAN_LASTS: Millis = Millis(3_000);

/// How much longer the lender goes without.
pub const LOAN_MARGIN: Millis = Millis(1_000);

/// Share of its spare rate that a host lends to one asker.
const LENT_SHARE: f64 = 0.5;

/// Seconds of rate that a bucket holds.
const BURST_SECONDS: f64 = 1.0;

/// Demand and spare are averaged over this many milliseconds.
const AVERAGED_MS: f64 = 2_000.0;

/// Smallest rate worth a loan, in requests a second.
const LEAST_LOAN: f64 = 0.5;

/// A wish for a larger share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanAsk {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests a second wanted beyond the own share.
    pub rate: f64,
}

/// A granted loan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests a second lent.
    pub rate: f64,
}

#[derive(Clone, Debug)]
struct Dated {
    rate: f64,
    until: Millis,
}

/// One workspace's share on one host.
#[derive(Clone, Debug)]
pub struct Share {
    limit: f64,
    hosts: usize,
    tokens: f64,
    filled_at: Millis,
    demand: f64,
    demand_at: Millis,
    refused: bool,
    lent: Vec<Dated>,
    borrowed: Vec<Dated>,
    running: u32,
    concurrency: u32,
}

impl Share {
    fn new(now: Millis, limit: f64, concurrency: u32, hosts: usize) -> Share {
        let hosts = hosts.max(1);
        Share {
            limit,
            hosts,
            tokens: (limit / hosts as f64).max(1.0),
            filled_at: now,
            demand: 0.0,
            demand_at: now,
            refused: false,
            lent: Vec::new(),
            borrowed: Vec::new(),
            running: 0,
            concurrency,
        }
    }

    /// Gets the base share: the limit over the hosts.
    pub fn base(&self) -> f64 {
        self.limit / self.hosts as f64
    }

    /// Gets the rate that this host may use now.
    pub fn rate(&mut self, now: Millis) -> f64 {
        self.lent.retain(|l| l.until > now);
        self.borrowed.retain(|l| l.until > now);
        let lent: f64 = self.lent.iter().map(|l| l.rate).sum();
        let borrowed: f64 = self.borrowed.iter().map(|l| l.rate).sum();
        (self.base() - lent).max(0.0) + borrowed
    }

    /// Gets the rate lent out now.
    pub fn lent(&self, now: Millis) -> f64 {
        self.lent.iter().filter(|l| l.until > now).map(|l| l.rate).sum()
    }

    /// Gets the requests a second asked of this host of late.
    pub fn demand(&self, now: Millis) -> f64 {
        let passed = (now - self.demand_at).0 as f64;
        self.demand * (-passed / AVERAGED_MS).exp()
    }

    fn note_demand(&mut self, now: Millis) {
        self.demand = self.demand(now) + 1000.0 / AVERAGED_MS;
        self.demand_at = now;
    }

    fn fill(&mut self, now: Millis) {
        let rate = self.rate(now);
        let passed = (now - self.filled_at).0 as f64 / 1000.0;
        self.filled_at = now;
        let most = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * passed).min(most);
    }

    fn concurrent_share(&self) -> u32 {
        self.concurrency.div_ceil(self.hosts as u32).max(1)
    }
}

/// The outcome of asking for room within the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Room {
    /// There is room; the request counts as running until `release`.
    Granted,
    /// There is none; come back after so many milliseconds.
    Refused {
        /// When a token should be there.
        retry_after_ms: u64,
    },
}

/// The shares of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    shares: HashMap<WorkspaceId, Share>,
    hosts: usize,
}

impl Limits {
    /// Sets the number of hosts that share every limit.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.shares.values_mut().for_each(|s| s.hosts = hosts.max(1));
    }

    /// Sets a workspace's limits.
    pub fn set_limit(&mut self, now: Millis, workspace: &WorkspaceId, rate: f64, concurrency: u32) {
        let hosts = self.hosts;
        let share = self.shares.entry(workspace.clone());
        let share = share.or_insert_with(|| Share::new(now, rate, concurrency, hosts));
        share.limit = rate;
        share.concurrency = concurrency;
    }

    /// Drops workspaces that are gone.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.shares.retain(|w, _| keep(w));
    }

    /// Asks for room for one request.
    pub fn take(&mut self, now: Millis, workspace: &WorkspaceId) -> Room {
        let Some(share) = self.shares.get_mut(workspace) else {
            return Room::Refused { retry_after_ms: 1000 };
        };
        share.note_demand(now);
        share.fill(now);
        if share.running >= share.concurrent_share() {
            return Room::Refused { retry_after_ms: 100 };
        }
        if share.tokens < 1.0 {
            share.refused = true;
            let rate = share.rate(now).max(0.01);
            let wait = ((1.0 - share.tokens) / rate * 1000.0).ceil();
            return Room::Refused { retry_after_ms: wait.min(60_000.0) as u64 };
        }
        share.tokens -= 1.0;
        share.running += 1;
        Room::Granted
    }

    /// Counts a request as ended.
    pub fn release(&mut self, workspace: &WorkspaceId) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.running = share.running.saturating_sub(1);
        }
    }

    /// Lists what to borrow: for workspaces that were refused since the last call.
    pub fn asks(&mut self, now: Millis) -> Vec<LoanAsk> {
        let mut asks = Vec::new();
        for (workspace, share) in &mut self.shares {
            let lacking = share.demand(now) * 1.1 - share.rate(now);
            if std::mem::take(&mut share.refused) && lacking >= LEAST_LOAN {
                asks.push(LoanAsk { workspace: workspace.clone(), rate: lacking });
            }
        }
        asks
    }

    /// Grants what is spare to an asker. The share shrinks before this returns.
    pub fn grant(&mut self, now: Millis, asks: &[LoanAsk]) -> Vec<Loan> {
        asks.iter().filter_map(|ask| self.grant_one(now, ask)).collect()
    }

    fn grant_one(&mut self, now: Millis, ask: &LoanAsk) -> Option<Loan> {
        let share = self.shares.get_mut(&ask.workspace)?;
        // Only the own base is lent on: what was borrowed may end before the loan would.
        let own = (share.base() - share.lent(now)).max(0.0);
        let spare = (own - share.demand(now) * 1.2).max(0.0) * LENT_SHARE;
        let rate = ask.rate.min(spare);
        if !rate.is_finite() || rate < LEAST_LOAN {
            return None;
        }
        share.lent.push(Dated { rate, until: now + LOAN_LASTS + LOAN_MARGIN });
        share.fill(now);
        Some(Loan { workspace: ask.workspace.clone(), rate })
    }

    /// Takes loans that were asked for at `asked_at`.
    pub fn accept(&mut self, asked_at: Millis, loans: &[Loan]) {
        for loan in loans {
            if let Some(share) = self.shares.get_mut(&loan.workspace) {
                let until = asked_at + LOAN_LASTS;
                share.borrowed.push(Dated { rate: loan.rate, until });
            }
        }
    }

    /// Gets the rates in force, by workspace.
    pub fn rates(&mut self, now: Millis) -> BTreeMap<WorkspaceId, f64> {
        self.shares.iter_mut().map(|(w, s)| (w.clone(), s.rate(now))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workspace() -> WorkspaceId {
        "w".parse().expect("a workspace")
    }

    fn host(hosts: usize) -> Limits {
        let mut limits = Limits::default();
        limits.set_hosts(hosts);
        limits.set_limit(Millis(0), &workspace(), 70.0, 1000);
        limits
    }

    fn pass(limits: &mut Limits, now: Millis, tries: u32) -> u32 {
        let mut passed = 0;
        for _ in 0..tries {
            if limits.take(now, &workspace()) == Room::Granted {
                limits.release(&workspace());
                passed += 1;
            }
        }
        passed
    }

    #[test]
    fn loans_move_a_share_and_never_raise_the_sum() {
        let mut hosts: Vec<Limits> = (0..7).map(|_| host(7)).collect();
        let mut passed_last_second = 0;
        for ms in (0..20_000).step_by(50) {
            let now = Millis(ms);
            let passed = pass(&mut hosts[0], now, 4);
            if ms >= 19_000 {
                passed_last_second += passed;
            }
            if ms % 200 == 0 {
                let asks = hosts[0].asks(now);
                let lender = 1 + (ms as usize / 200) % 6;
                let loans = hosts[lender].grant(now, &asks);
                hosts[0].accept(now, &loans);
            }
            let sum: f64 = hosts.iter_mut().map(|h| h.rates(now)[&workspace()]).sum();
            assert!(sum <= 70.0 + 1e-6, "{sum} at {ms}");
        }
        assert!(passed_last_second > 20, "{passed_last_second} against a base of 10");
    }

    #[test]
    fn a_lost_loan_costs_rate_and_adds_none() {
        let (mut a, mut b) = (host(2), host(2));
        pass(&mut a, Millis(0), 200);
        let loans = b.grant(Millis(0), &a.asks(Millis(0)));
        assert!(!loans.is_empty());
        let sum = a.rates(Millis(1))[&workspace()] + b.rates(Millis(1))[&workspace()];
        assert!(sum < 70.0);
    }
}
