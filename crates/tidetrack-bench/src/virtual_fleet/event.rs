//! Events of the simulation and their dispatch to the hosts.

use std::time::Instant;

use tidetrack_core::bill_replicator::HoldCall;
use tidetrack_core::config::RolloutState;
use tidetrack_core::ids::{HostId, Incarnation};
use tidetrack_core::ledger::Segment;
use tidetrack_core::node::Exchange;
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::tickets::{StoredResponse, Ticket};
use tidetrack_core::units::Millis;
use tidetrack_core::view::ChosenVersion;

use super::{InjectedBug, Simulation, TICK_INTERVAL_MS};

pub(super) enum Event {
    Tick(usize),
    Traffic(usize),
    Exchange {
        to: usize,
        from: usize,
        incarnation_id: u64,
        sent_at: Millis,
        message: Box<Exchange>,
    },
    Reply {
        to: usize,
        from: HostId,
        incarnation_id: u64,
        sent_at: Millis,
        nonce: u64,
        message: Box<Exchange>,
    },
    ExchangeFailed {
        host: usize,
        incarnation_id: u64,
        to: HostId,
    },
    ProbeDone {
        host: usize,
        incarnation_id: u64,
        target: HostId,
        reached: bool,
    },
    StoreRead {
        host: usize,
        incarnation_id: u64,
        requested_at: Millis,
        after: u64,
    },
    StoreReadDone {
        host: usize,
        incarnation_id: u64,
        requested_at: Millis,
        list: Option<(u64, Vec<Entry>)>,
        delta: Option<Delta>,
    },
    HoldBills {
        to: usize,
        from: usize,
        incarnation_id: u64,
        batch: u64,
        call: HoldCall,
    },
    BillsHeld {
        host: usize,
        incarnation_id: u64,
        batch: u64,
        held: bool,
    },
    WriteSegment {
        host: usize,
        incarnation_id: u64,
        segment: Segment,
    },
    SegmentWritten {
        host: usize,
        incarnation_id: u64,
        origin: Incarnation,
        stored: Option<Segment>,
    },
    WriteRolloutState {
        host: usize,
        incarnation_id: u64,
        expected: u64,
        state: RolloutState,
    },
    RolloutStateWritten {
        host: usize,
        incarnation_id: u64,
        version: u64,
        state: RolloutState,
    },
    ResponseDone {
        host: usize,
        incarnation_id: u64,
        chosen: Box<ChosenVersion>,
    },
    Rating {
        host: usize,
        incarnation_id: u64,
        chosen: Box<ChosenVersion>,
    },
    TicketCall {
        to: usize,
        ticket: Ticket,
        hops: u32,
    },
    TicketDone {
        host: usize,
        incarnation_id: u64,
        ticket: Ticket,
        lost: bool,
    },
    Operator,
    Fault,
}

impl Simulation {
    /// Returns the host that handles an event and the incarnation that the event is addressed to.
    ///
    /// The incarnation is `None` if any incarnation of the host handles the event.
    pub(super) fn target_host(event: &Event) -> Option<(usize, Option<u64>)> {
        match event {
            Event::Tick(h) | Event::Traffic(h) => Some((*h, None)),
            Event::Exchange { to, .. } | Event::HoldBills { to, .. } => Some((*to, None)),
            Event::TicketCall { to, .. } => Some((*to, None)),
            Event::Reply { to, incarnation_id, .. } => Some((*to, Some(*incarnation_id))),
            Event::ExchangeFailed { host, incarnation_id, .. }
            | Event::ProbeDone { host, incarnation_id, .. }
            | Event::StoreReadDone { host, incarnation_id, .. }
            | Event::BillsHeld { host, incarnation_id, .. }
            | Event::SegmentWritten { host, incarnation_id, .. }
            | Event::RolloutStateWritten { host, incarnation_id, .. }
            | Event::ResponseDone { host, incarnation_id, .. }
            | Event::Rating { host, incarnation_id, .. }
            | Event::TicketDone { host, incarnation_id, .. } => {
                Some((*host, Some(*incarnation_id)))
            }
            // The platform handles these even if the requesting host has stopped.
            Event::StoreRead { .. }
            | Event::WriteSegment { .. }
            | Event::WriteRolloutState { .. } => None,
            Event::Operator | Event::Fault => None,
        }
    }

    pub(super) fn handle_event(&mut self, event: Event) -> Result<(), String> {
        if let Some((host, incarnation_id)) = Simulation::target_host(&event) {
            let repeats = matches!(event, Event::Tick(_) | Event::Traffic(_));
            let h = &self.hosts[host];
            if !h.is_up || incarnation_id.is_some_and(|l| l != h.incarnation_id) {
                if repeats {
                    self.schedule_event(self.now + TICK_INTERVAL_MS, event);
                }
                return Ok(());
            }
            if h.paused_until > self.now {
                // Data for a paused process waits in its sockets.
                let until = h.paused_until;
                self.schedule_event(until, event);
                return Ok(());
            }
        }
        match event {
            Event::Tick(h) => self.tick(h)?,
            Event::Traffic(h) => self.traffic(h)?,
            Event::Exchange { to, from, incarnation_id, sent_at, message } => {
                self.exchange(to, from, incarnation_id, sent_at, *message);
            }
            Event::Reply { to, from, sent_at, nonce, message, .. } => {
                let now = self.host_time(to);
                let sent_at = match self.schedule.injected_bug {
                    InjectedBug::FreshnessFromArrival => now,
                    _ => sent_at,
                };
                let started_at = Instant::now();
                self.hosts[to].node.on_reply(now, &from, sent_at, nonce, *message);
                self.stats.control_state_ns += started_at.elapsed().as_nanos() as u64;
                self.check_freshness(to)?;
            }
            Event::ExchangeFailed { host, to, .. } => self.hosts[host].node.on_exchange_failed(&to),
            Event::ProbeDone { host, target, reached, .. } => {
                let now = self.host_time(host);
                self.hosts[host].node.on_probe(now, &target, reached);
            }
            Event::StoreRead { host, incarnation_id, requested_at, after } => {
                self.read(host, incarnation_id, requested_at, after)
            }
            Event::StoreReadDone { host, requested_at, list, delta, .. } => {
                let node = &mut self.hosts[host].node;
                if let Some((revision, entries)) = list {
                    node.on_list(requested_at, revision, entries);
                }
                if let Some(delta) = delta {
                    node.on_changes(requested_at, delta);
                }
                self.check_freshness(host)?;
            }
            Event::HoldBills { to, from, incarnation_id, batch, call } => {
                let held = self.hosts[to].replicator.hold_for(call);
                if let Some(ms) = self.latency().filter(|_| self.is_reachable(to, from)) {
                    self.schedule_event(
                        self.now + ms,
                        Event::BillsHeld { host: from, incarnation_id, batch, held },
                    );
                }
            }
            Event::BillsHeld { host, batch, held, .. } => {
                let now = self.host_time(host);
                self.hosts[host].replicator.hold_done(now, batch, held);
                self.execute_replicator_actions(host);
            }
            Event::WriteSegment { host, incarnation_id, segment } => {
                self.write_segment(host, incarnation_id, segment)
            }
            Event::SegmentWritten { host, origin, stored, .. } => {
                let now = self.host_time(host);
                self.hosts[host].replicator.write_done(now, &origin, stored);
                self.execute_replicator_actions(host);
            }
            Event::WriteRolloutState { host, incarnation_id, expected, state } => {
                self.write_state(host, incarnation_id, expected, state);
            }
            Event::RolloutStateWritten { host, version, state, .. } => {
                self.on_rollout_state_written(host, version, &state)
            }
            Event::ResponseDone { host, chosen, .. } => self.on_response_done(host, *chosen),
            Event::Rating { host, chosen, .. } => self.record_rating(host, &chosen),
            Event::TicketCall { to, ticket, hops } => self.ticket_call(to, ticket, hops)?,
            Event::TicketDone { host, ticket, lost, .. } => {
                let now = self.host_time(host);
                let answer = (!lost).then_some(StoredResponse { status: 200, body: None });
                self.hosts[host].tickets.record_outcome(now, &ticket, answer);
            }
            Event::Operator => self.run_operator(),
            Event::Fault => self.fault(),
        }
        self.check_cap()
    }
}
