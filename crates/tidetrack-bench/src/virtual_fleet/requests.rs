//! Simulated traffic: requests, ratings, bills and tickets.

use rand::RngExt;

use tidetrack_core::bill_replicator::ReplicatorAction;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::{Incarnation, RequestId};
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem, Segment};
use tidetrack_core::tickets::{Ticket, TicketAdmission};
use tidetrack_core::units::{Micros, Tokens};
use tidetrack_core::view::{ChosenVersion, Freshness};

use super::platform::{canary_version, workspace};
use super::{Event, InjectedBug, Simulation, CALL_TIMEOUT_MS, TRAFFIC_AFTER_FAULTS_MS};

impl Simulation {
    pub(super) fn traffic(&mut self, h: usize) -> Result<(), String> {
        let gap = self.rng.random_range(20..120);
        self.schedule_event(self.now + gap, Event::Traffic(h));
        let has_ended = self.now > self.schedule.fault_phase_ms + TRAFFIC_AFTER_FAULTS_MS;
        if has_ended || self.hosts[h].view.revision == 0 {
            return Ok(());
        }
        let now = self.host_time(h);
        let random_fraction: f64 = self.rng.random();
        let host = &self.hosts[h];
        let Some(age) = host.node.confirmation_age(now) else { return Ok(()) };
        let Some(caller) = host.view.workspaces.get(&workspace()) else { return Ok(()) };
        let model = "m".parse().expect("the model name parses");
        let mut chosen =
            host.view.choose_version(caller, &model, random_fraction, Freshness { age });
        if self.schedule.injected_bug == InjectedBug::IgnoredCap && random_fraction < 0.5 {
            chosen = Ok(ChosenVersion {
                version: canary_version(),
                generation: 1,
                pool: "p".parse().expect("the pool name parses"),
                credit: None,
            });
        }
        if self.rng.random_range(0..20) == 0 {
            self.start_ticket(h);
        }
        let Ok(chosen) = chosen else { return Ok(()) };
        self.check_withdrawn(h, &chosen)?;
        if chosen.version == canary_version() {
            self.started_canary_requests += 1;
            self.stats.canary_requests += 1;
        }
        let incarnation_id = self.hosts[h].incarnation_id;
        let ms = self.rng.random_range(20..400);
        self.schedule_event(
            self.now + ms,
            Event::ResponseDone { host: h, incarnation_id, chosen: Box::new(chosen) },
        );
        Ok(())
    }

    pub(super) fn on_response_done(&mut self, h: usize, chosen: ChosenVersion) {
        let is_canary = chosen.version == canary_version();
        let answered = VersionCounts { answered: 1, ..VersionCounts::default() };
        let host = &mut self.hosts[h];
        host.node.record_counts(&chosen.version, 1, is_canary, &answered);
        host.next_bill_number += 1;
        let number = host.next_bill_number;
        let line_item = LineItem(chosen.version.clone(), Tokens(1), Tokens(1), Micros(1));
        host.replicator.add_bill(Bill(number, workspace(), vec![line_item], BillOutcome::Complete));
        let id = RequestId { incarnation: host.node.incarnation().clone(), number };
        self.completed_requests.insert(id.clone());
        match self.schedule.injected_bug {
            // The response ends first; the next tick sends the bill.
            InjectedBug::EarlyResponseEnd => drop(self.answered.insert(id)),
            _ => self.execute_replicator_actions(h),
        }
        if is_canary || self.rng.random_range(0..4) == 0 {
            let incarnation_id = self.hosts[h].incarnation_id;
            let ms = self.rng.random_range(20..300);
            self.schedule_event(
                self.now + ms,
                Event::Rating { host: h, incarnation_id, chosen: Box::new(chosen) },
            );
        }
    }

    pub(super) fn record_rating(&mut self, h: usize, chosen: &ChosenVersion) {
        let is_canary = chosen.version == canary_version();
        let quality = if is_canary { self.schedule.canary_quality } else { 0.85 };
        let mut counts = VersionCounts::default();
        counts.add_rating(quality + self.rng.random_range(-0.1..0.1));
        self.judged_canary_responses += u64::from(is_canary);
        self.hosts[h].node.record_counts(&chosen.version, 1, is_canary, &counts);
    }

    /// Executes the pending actions of a host's bill replicator.
    pub(super) fn execute_replicator_actions(&mut self, h: usize) {
        let now = self.host_time(h);
        let incarnation_id = self.hosts[h].incarnation_id;
        for action in self.hosts[h].replicator.poll_actions(now) {
            match action {
                ReplicatorAction::Hold { holder, batch, call } => {
                    let to = self.host_index(&holder.parse().expect("the host name parses"));
                    let delay_ms = self.latency().filter(|_| self.is_reachable(h, to));
                    let failed = Event::BillsHeld { host: h, incarnation_id, batch, held: false };
                    self.schedule_event(self.now + CALL_TIMEOUT_MS, failed);
                    if let Some(ms) = delay_ms {
                        self.schedule_event(
                            self.now + ms,
                            Event::HoldBills { to, from: h, incarnation_id, batch, call },
                        );
                    }
                }
                ReplicatorAction::Write(segment) => self.send_segment(h, segment),
                ReplicatorAction::ReleaseResponse(number) => {
                    let incarnation = self.hosts[h].node.incarnation().clone();
                    self.answered.insert(RequestId { incarnation, number });
                }
                ReplicatorAction::CheckGone(of) => {
                    let members = &self.hosts[h].node.members;
                    let gone: Vec<Incarnation> =
                        of.into_iter().filter(|i| members.is_gone(i)).collect();
                    self.hosts[h].replicator.take_over(&gone);
                }
                ReplicatorAction::Flushed(_) => {}
            }
        }
    }

    pub(super) fn send_segment(&mut self, h: usize, mut segment: Segment) {
        let incarnation_id = self.hosts[h].incarnation_id;
        let is_own = segment.origin.host == self.hosts[h].name;
        if self.schedule.injected_bug == InjectedBug::DoubleFlush && !is_own {
            segment.origin.nonce ^= 1;
        }
        match self.latency().filter(|_| self.is_platform_reachable(h)) {
            Some(ms) => self.schedule_event(
                self.now + ms,
                Event::WriteSegment { host: h, incarnation_id, segment },
            ),
            None => {
                let event = Event::SegmentWritten {
                    host: h,
                    incarnation_id,
                    origin: segment.origin,
                    stored: None,
                };
                self.schedule_event(self.now + CALL_TIMEOUT_MS, event);
            }
        }
    }

    /// Creates a segment if it is absent and returns the stored one to the writer, like the write of the
    /// router that ends once it knows the stored segment.
    pub(super) fn write_segment(
        &mut self,
        from_host: usize,
        incarnation_id: u64,
        segment: Segment,
    ) {
        let origin = segment.origin.clone();
        let stored = self.platform.is_up.then(|| {
            let name = segment.object_name();
            self.platform.segments.entry(name).or_insert(segment).clone()
        });
        let reply = self.latency().filter(|_| self.is_platform_reachable(from_host));
        let ms = reply.unwrap_or(CALL_TIMEOUT_MS);
        let stored = stored.filter(|_| reply.is_some());
        self.schedule_event(
            self.now + ms,
            Event::SegmentWritten { host: from_host, incarnation_id, origin, stored },
        );
    }

    pub(super) fn start_ticket(&mut self, h: usize) {
        let now = self.host_time(h);
        let Ok(ticket) = self.hosts[h].tickets.issue(now, &workspace()) else { return };
        self.stats.tickets += 1;
        let calls = self.rng.random_range(1..4);
        for _ in 0..calls {
            let to = self.rng.random_range(0..self.hosts.len());
            let at = self.now + self.rng.random_range(1..8_000);
            self.schedule_event(at, Event::TicketCall { to, ticket: ticket.clone(), hops: 0 });
        }
    }

    pub(super) fn ticket_call(
        &mut self,
        h: usize,
        ticket: Ticket,
        hops: u32,
    ) -> Result<(), String> {
        let now = self.host_time(h);
        let host = &mut self.hosts[h];
        let is_issuer = ticket.issued_by == *host.node.incarnation();
        if !is_issuer && self.schedule.injected_bug != InjectedBug::SharedTicket {
            let issuer = self.host_index(&ticket.issued_by.host);
            if let Some(ms) = self.latency().filter(|_| hops == 0 && self.is_reachable(h, issuer)) {
                let event = Event::TicketCall { to: issuer, ticket, hops: 1 };
                self.schedule_event(self.now + ms, event);
            }
            return Ok(());
        }
        let admitted = host.tickets.admit(now, &ticket);
        let executions = self.executions.entry(ticket.clone()).or_default();
        match admitted {
            Ok(TicketAdmission::Execute) => *executions += 1,
            Ok(TicketAdmission::Replay(_)) => {}
            Err(_) if self.schedule.injected_bug == InjectedBug::SharedTicket && !is_issuer => {
                *executions += 1
            }
            Err(e) if e.executed == tidetrack_core::codes::Executed::No && *executions > 0 => {
                return self
                    .fail(format!("{ticket:?} was refused as not executed after it was executed"));
            }
            Err(_) => return Ok(()),
        }
        if self.executions[&ticket] > 1 {
            return self.fail(format!("{ticket:?} was executed twice"));
        }
        let incarnation_id = self.hosts[h].incarnation_id;
        let lost = self.rng.random_range(0..5) == 0;
        let ms = self.rng.random_range(5..500);
        self.schedule_event(
            self.now + ms,
            Event::TicketDone { host: h, incarnation_id, ticket, lost },
        );
        Ok(())
    }
}
