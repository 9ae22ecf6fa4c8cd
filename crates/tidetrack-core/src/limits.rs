//! Rate and concurrency limits of workspaces, enforced across the fleet without communication per
//! request.
//!
//! Each host has an equal base share of a limit. A host that needs more borrows from another host
//! that it exchanges messages with. The lender's share shrinks before the loan is sent and grows
//! back only after the borrower's loan has certainly expired, so loans never raise the total. Both
//! measure with their own monotonic clocks: the borrower from before it sent the request, the
//! lender from when it granted the loan.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;
use crate::units::Millis;

/// Duration of a loan on the borrower's side.
pub const LOAN_DURATION: Millis = Millis(3_000);

/// How much longer than the borrower's loan the lender's share stays reduced.
pub const LOAN_MARGIN: Millis = Millis(1_000);

/// Largest part of its spare rate that a host lends to one borrower.
const MAX_LENT_FRACTION: f64 = 0.5;

/// Capacity of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Time constant, in milliseconds, of the moving average of the demand.
const DEMAND_TIME_CONSTANT_MS: f64 = 2_000.0;

/// Smallest rate that is requested or granted as a loan, in requests per second.
const MIN_LOAN_RATE: f64 = 0.5;

/// A request for a loan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Workspace whose limit is concerned.
    pub workspace: WorkspaceId,
    /// Rate wanted beyond the host's own share, in requests per second.
    pub rate: f64,
}

/// A granted loan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Workspace whose limit is concerned.
    pub workspace: WorkspaceId,
    /// Rate lent, in requests per second.
    pub rate: f64,
}

#[derive(Clone, Debug)]
struct ExpiringRate {
    rate: f64,
    until: Millis,
}

/// One host's share of a workspace's limits.
#[derive(Clone, Debug)]
pub struct WorkspaceShare {
    limit: f64,
    hosts: usize,
    tokens: f64,
    refilled_at: Millis,
    demand: f64,
    demand_at: Millis,
    was_refused: bool,
    lent: Vec<ExpiringRate>,
    borrowed: Vec<ExpiringRate>,
    in_flight: u32,
    concurrency: u32,
}

impl WorkspaceShare {
    fn new(now: Millis, limit: f64, concurrency: u32, hosts: usize) -> WorkspaceShare {
        let hosts = hosts.max(1);
        WorkspaceShare {
            limit,
            hosts,
            tokens: (limit / hosts as f64).max(1.0),
            refilled_at: now,
            demand: 0.0,
            demand_at: now,
            was_refused: false,
            lent: Vec::new(),
            borrowed: Vec::new(),
            in_flight: 0,
            concurrency,
        }
    }

    /// Returns the base share: the rate limit divided by the number of hosts.
    pub fn base(&self) -> f64 {
        self.limit / self.hosts as f64
    }

    /// Returns the rate that this host may use now, in requests per second. Removes expired loans.
    pub fn rate(&mut self, now: Millis) -> f64 {
        self.lent.retain(|l| l.until > now);
        self.borrowed.retain(|l| l.until > now);
        let lent: f64 = self.lent.iter().map(|l| l.rate).sum();
        let borrowed: f64 = self.borrowed.iter().map(|l| l.rate).sum();
        (self.base() - lent).max(0.0) + borrowed
    }

    /// Returns the rate that is lent to other hosts now.
    pub fn lent(&self, now: Millis) -> f64 {
        self.lent.iter().filter(|l| l.until > now).map(|l| l.rate).sum()
    }

    /// Returns the recent demand on this host in requests per second.
    pub fn demand(&self, now: Millis) -> f64 {
        let elapsed = (now - self.demand_at).0 as f64;
        self.demand * (-elapsed / DEMAND_TIME_CONSTANT_MS).exp()
    }

    fn record_demand(&mut self, now: Millis) {
        self.demand = self.demand(now) + 1000.0 / DEMAND_TIME_CONSTANT_MS;
        self.demand_at = now;
    }

    fn refill(&mut self, now: Millis) {
        let rate = self.rate(now);
        let elapsed = (now - self.refilled_at).0 as f64 / 1000.0;
        self.refilled_at = now;
        let capacity = (rate * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + rate * elapsed).min(capacity);
    }

    fn concurrency_share(&self) -> u32 {
        self.concurrency.div_ceil(self.hosts as u32).max(1)
    }
}

/// Result of an attempt to admit a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request is admitted and counts as running until `release` is called.
    Granted,
    /// The request exceeds a limit.
    Refused {
        /// When the request may be repeated, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Shares of all workspaces on one host.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    shares: HashMap<WorkspaceId, WorkspaceShare>,
    hosts: usize,
}

impl Limits {
    /// Sets the number of hosts that share the limits.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
        self.shares.values_mut().for_each(|s| s.hosts = hosts.max(1));
    }

    /// Sets a workspace's limits: requests per second and concurrent requests, for the whole fleet.
    pub fn set_limit(&mut self, now: Millis, workspace: &WorkspaceId, rate: f64, concurrency: u32) {
        let hosts = self.hosts;
        let share = self.shares.entry(workspace.clone());
        let share = share.or_insert_with(|| WorkspaceShare::new(now, rate, concurrency, hosts));
        share.limit = rate;
        share.concurrency = concurrency;
    }

    /// Removes the workspaces for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&WorkspaceId) -> bool) {
        self.shares.retain(|w, _| is_kept(w));
    }

    /// Tries to admit one request. Requests of unknown workspaces are refused.
    pub fn try_acquire(&mut self, now: Millis, workspace: &WorkspaceId) -> Admission {
        let Some(share) = self.shares.get_mut(workspace) else {
            return Admission::Refused { retry_after_ms: 1000 };
        };
        share.record_demand(now);
        share.refill(now);
        if share.in_flight >= share.concurrency_share() {
            return Admission::Refused { retry_after_ms: 100 };
        }
        if share.tokens < 1.0 {
            share.was_refused = true;
            let rate = share.rate(now).max(0.01);
            let wait = ((1.0 - share.tokens) / rate * 1000.0).ceil();
            return Admission::Refused { retry_after_ms: wait.min(60_000.0) as u64 };
        }
        share.tokens -= 1.0;
        share.in_flight += 1;
        Admission::Granted
    }

    /// Records that an admitted request ended.
    pub fn release(&mut self, workspace: &WorkspaceId) {
        if let Some(share) = self.shares.get_mut(workspace) {
            share.in_flight = share.in_flight.saturating_sub(1);
        }
    }

    /// Returns the loans to request: for workspaces with requests refused by rate since the last
    /// call.
    pub fn loan_requests(&mut self, now: Millis) -> Vec<LoanRequest> {
        let mut requests = Vec::new();
        for (workspace, share) in &mut self.shares {
            let shortfall = share.demand(now) * 1.1 - share.rate(now);
            if std::mem::take(&mut share.was_refused) && shortfall >= MIN_LOAN_RATE {
                requests.push(LoanRequest { workspace: workspace.clone(), rate: shortfall });
            }
        }
        requests
    }

    /// Grants loans from this host's spare rate. The host's own share is reduced before this
    /// returns.
    pub fn grant(&mut self, now: Millis, requests: &[LoanRequest]) -> Vec<Loan> {
        requests.iter().filter_map(|request| self.grant_one(now, request)).collect()
    }

    fn grant_one(&mut self, now: Millis, request: &LoanRequest) -> Option<Loan> {
        let share = self.shares.get_mut(&request.workspace)?;
        // Only the host's base share is lent: a borrowed rate may expire before the loan would.
        let lendable = (share.base() - share.lent(now)).max(0.0);
        let spare = (lendable - share.demand(now) * 1.2).max(0.0) * MAX_LENT_FRACTION;
        let rate = request.rate.min(spare);
        if !rate.is_finite() || rate < MIN_LOAN_RATE {
            return None;
        }
        share.lent.push(ExpiringRate { rate, until: now + LOAN_DURATION + LOAN_MARGIN });
        share.refill(now);
        Some(Loan { workspace: request.workspace.clone(), rate })
    }

    /// Adds loans that were requested at `requested_at`.
    pub fn accept_loans(&mut self, requested_at: Millis, loans: &[Loan]) {
        for loan in loans {
            if let Some(share) = self.shares.get_mut(&loan.workspace) {
                let until = requested_at + LOAN_DURATION;
                share.borrowed.push(ExpiringRate { rate: loan.rate, until });
            }
        }
    }

    /// Returns the current rates by workspace, in requests per second.
    pub fn rates(&mut self, now: Millis) -> BTreeMap<WorkspaceId, f64> {
        self.shares.iter_mut().map(|(w, s)| (w.clone(), s.rate(now))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workspace() -> WorkspaceId {
        "w".parse().expect("the workspace name parses")
    }

    fn host(hosts: usize) -> Limits {
        let mut limits = Limits::default();
        limits.set_hosts(hosts);
        limits.set_limit(Millis(0), &workspace(), 70.0, 1000);
        limits
    }

    fn acquire_repeatedly(limits: &mut Limits, now: Millis, attempts: u32) -> u32 {
        let mut granted = 0;
        for _ in 0..attempts {
            if limits.try_acquire(now, &workspace()) == Admission::Granted {
                limits.release(&workspace());
                granted += 1;
            }
        }
        granted
    }

    #[test]
    fn loans_never_raise_the_total_rate() {
        let mut hosts: Vec<Limits> = (0..7).map(|_| host(7)).collect();
        let mut granted_last_second = 0;
        for ms in (0..20_000).step_by(50) {
            let now = Millis(ms);
            let granted = acquire_repeatedly(&mut hosts[0], now, 4);
            if ms >= 19_000 {
                granted_last_second += granted;
            }
            if ms % 200 == 0 {
                let requests = hosts[0].loan_requests(now);
                let lender = 1 + (ms as usize / 200) % 6;
                let loans = hosts[lender].grant(now, &requests);
                hosts[0].accept_loans(now, &loans);
            }
            let sum: f64 = hosts.iter_mut().map(|h| h.rates(now)[&workspace()]).sum();
            assert!(sum <= 70.0 + 1e-6, "rates add up to {sum} at {ms} ms");
        }
        assert!(granted_last_second > 20, "{granted_last_second} against a base of 10");
    }

    #[test]
    fn lost_loans_never_raise_the_total_rate() {
        let (mut a, mut b) = (host(2), host(2));
        acquire_repeatedly(&mut a, Millis(0), 200);
        let loans = b.grant(Millis(0), &a.loan_requests(Millis(0)));
        assert!(!loans.is_empty());
        let sum = a.rates(Millis(1))[&workspace()] + b.rates(Millis(1))[&workspace()];
        assert!(sum < 70.0);
    }
}
