//! Traffic of the hosts: requests, ratings, bills and tickets.

use rand::RngExt;

use tidetrack_core::bill_replicator::ReplicatorAction;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::{Incarnation, RequestId};
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem, Segment};
use tidetrack_core::tickets::{Ticket, TicketAdmission};
use tidetrack_core::units::{Micros, Tokens};
use tidetrack_core::view::{ChosenVersion, Freshness};

use super::platform::{new_version, workspace};
use super::{Broken, Event, World, CALL_TIMEOUT_MS, HEALED_TRAFFIC_MS};

impl World {
    pub(super) fn traffic(&mut self, h: usize) -> Result<(), String> {
        let gap = self.rng.random_range(20..120);
        self.at(self.now + gap, Event::Traffic(h));
        let ended = self.now > self.schedule.length_ms + HEALED_TRAFFIC_MS;
        if ended || self.hosts[h].view.revision == 0 {
            return Ok(());
        }
        let now = self.local(h);
        let draw: f64 = self.rng.random();
        let host = &self.hosts[h];
        let Some(age) = host.node.confirmation_age(now) else { return Ok(()) };
        let Some(caller) = host.view.workspaces.get(&workspace()) else { return Ok(()) };
        let model = "m".parse().expect("a model");
        let mut chosen = host.view.choose_version(caller, &model, draw, Freshness { age });
        if self.schedule.broken == Broken::IgnoredCap && draw < 0.5 {
            chosen = Ok(ChosenVersion {
                version: new_version(),
                generation: 1,
                pool: "p".parse().expect("a pool"),
                credit: None,
            });
        }
        if self.rng.random_range(0..20) == 0 {
            self.start_ticket(h);
        }
        let Ok(chosen) = chosen else { return Ok(()) };
        self.check_withdrawn(h, &chosen)?;
        if chosen.version == new_version() {
            self.started += 1;
            self.seen.exposed += 1;
        }
        let life = self.hosts[h].life;
        let ms = self.rng.random_range(20..400);
        self.at(self.now + ms, Event::Done { at: h, life, chosen: Box::new(chosen) });
        Ok(())
    }

    pub(super) fn done(&mut self, h: usize, chosen: ChosenVersion) {
        let unproven = chosen.version == new_version();
        let answered = VersionCounts { answered: 1, ..VersionCounts::default() };
        let host = &mut self.hosts[h];
        host.node.record_counts(&chosen.version, 1, unproven, &answered);
        host.next_bill += 1;
        let number = host.next_bill;
        let part = LineItem(chosen.version.clone(), Tokens(1), Tokens(1), Micros(1));
        host.keeper.add_bill(Bill(number, workspace(), vec![part], BillOutcome::Complete));
        let id = RequestId { incarnation: host.node.incarnation().clone(), number };
        self.made.insert(id.clone());
        match self.schedule.broken {
            // The end marker goes first; the bill is on its way with the next tick.
            Broken::EarlyEnd => drop(self.answered.insert(id)),
            _ => self.pump(h),
        }
        if unproven || self.rng.random_range(0..4) == 0 {
            let life = self.hosts[h].life;
            let ms = self.rng.random_range(20..300);
            self.at(self.now + ms, Event::Rate { at: h, life, chosen: Box::new(chosen) });
        }
    }

    pub(super) fn rate(&mut self, h: usize, chosen: &ChosenVersion) {
        let unproven = chosen.version == new_version();
        let quality = if unproven { self.schedule.new_quality } else { 0.85 };
        let mut counts = VersionCounts::default();
        counts.add_rating(quality + self.rng.random_range(-0.1..0.1));
        self.judged += u64::from(unproven);
        self.hosts[h].node.record_counts(&chosen.version, 1, unproven, &counts);
    }

    /// Carries out what the keeper of a host's bills wants done.
    pub(super) fn pump(&mut self, h: usize) {
        let now = self.local(h);
        let life = self.hosts[h].life;
        for action in self.hosts[h].keeper.poll_actions(now) {
            match action {
                ReplicatorAction::Hold { holder, batch, call } => {
                    let to = self.index(&holder.parse().expect("a host"));
                    let arrives = self.latency().filter(|_| self.reachable(h, to));
                    let failed = Event::HoldDone { at: h, life, batch, held: false };
                    self.at(self.now + CALL_TIMEOUT_MS, failed);
                    if let Some(ms) = arrives {
                        self.at(self.now + ms, Event::Hold { to, from: h, life, batch, call });
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
                    self.hosts[h].keeper.take_over(&gone);
                }
                ReplicatorAction::Flushed(_) => {}
            }
        }
    }

    pub(super) fn send_segment(&mut self, h: usize, mut segment: Segment) {
        let life = self.hosts[h].life;
        let own = segment.origin.host == self.hosts[h].name;
        if self.schedule.broken == Broken::DoubleFlush && !own {
            segment.origin.nonce ^= 1;
        }
        match self.latency().filter(|_| self.platform_reachable(h)) {
            Some(ms) => self.at(self.now + ms, Event::Write { by: h, life, segment }),
            None => {
                let event = Event::WriteDone { at: h, life, origin: segment.origin, stands: None };
                self.at(self.now + CALL_TIMEOUT_MS, event);
            }
        }
    }

    /// Creates a segment if absent, and reads what stands: the settled write of the router.
    pub(super) fn write_segment(&mut self, by: usize, life: u64, segment: Segment) {
        let origin = segment.origin.clone();
        let stands = self.platform.up.then(|| {
            let name = segment.object_name();
            self.platform.segments.entry(name).or_insert(segment).clone()
        });
        let reply = self.latency().filter(|_| self.platform_reachable(by));
        let ms = reply.unwrap_or(CALL_TIMEOUT_MS);
        let stands = stands.filter(|_| reply.is_some());
        self.at(self.now + ms, Event::WriteDone { at: by, life, origin, stands });
    }

    pub(super) fn start_ticket(&mut self, h: usize) {
        let now = self.local(h);
        let Ok(ticket) = self.hosts[h].tickets.issue(now, &workspace()) else { return };
        self.seen.tickets += 1;
        let calls = self.rng.random_range(1..4);
        for _ in 0..calls {
            let to = self.rng.random_range(0..self.hosts.len());
            let at = self.now + self.rng.random_range(1..8_000);
            self.at(at, Event::TicketCall { to, ticket: ticket.clone(), hops: 0 });
        }
    }

    pub(super) fn ticket_call(
        &mut self,
        h: usize,
        ticket: Ticket,
        hops: u32,
    ) -> Result<(), String> {
        let now = self.local(h);
        let host = &mut self.hosts[h];
        let ours = ticket.issued_by == *host.node.incarnation();
        if !ours && self.schedule.broken != Broken::SharedTicket {
            let maker = self.index(&ticket.issued_by.host);
            if let Some(ms) = self.latency().filter(|_| hops == 0 && self.reachable(h, maker)) {
                let event = Event::TicketCall { to: maker, ticket, hops: 1 };
                self.at(self.now + ms, event);
            }
            return Ok(());
        }
        let admitted = host.tickets.admit(now, &ticket);
        let runs = self.runs.entry(ticket.clone()).or_default();
        match admitted {
            Ok(TicketAdmission::Execute) => *runs += 1,
            Ok(TicketAdmission::Replay(_)) => {}
            Err(_) if self.schedule.broken == Broken::SharedTicket && !ours => *runs += 1,
            Err(e) if e.executed == tidetrack_core::codes::Executed::No && *runs > 0 => {
                return self.fail(format!("a refusal said that {ticket:?} was not run"));
            }
            Err(_) => return Ok(()),
        }
        if self.runs[&ticket] > 1 {
            return self.fail(format!("{ticket:?} ran twice"));
        }
        let life = self.hosts[h].life;
        let lost = self.rng.random_range(0..5) == 0;
        let ms = self.rng.random_range(5..500);
        self.at(self.now + ms, Event::TicketDone { at: h, life, ticket, lost });
        Ok(())
    }
}
