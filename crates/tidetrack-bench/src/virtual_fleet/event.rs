//! What happens in the world, and who takes it.

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

use super::{Broken, World, TICK_MS};

pub(super) enum Event {
    Tick(usize),
    Traffic(usize),
    Exchange {
        to: usize,
        from: usize,
        life: u64,
        sent_at: Millis,
        message: Box<Exchange>,
    },
    Reply {
        to: usize,
        from: HostId,
        life: u64,
        sent_at: Millis,
        nonce: u64,
        message: Box<Exchange>,
    },
    Failed {
        at: usize,
        life: u64,
        to: HostId,
    },
    Probed {
        at: usize,
        life: u64,
        target: HostId,
        reached: bool,
    },
    Read {
        by: usize,
        life: u64,
        asked_at: Millis,
        after: u64,
    },
    ReadDone {
        at: usize,
        life: u64,
        asked_at: Millis,
        list: Option<(u64, Vec<Entry>)>,
        delta: Option<Delta>,
    },
    Hold {
        to: usize,
        from: usize,
        life: u64,
        batch: u64,
        call: HoldCall,
    },
    HoldDone {
        at: usize,
        life: u64,
        batch: u64,
        held: bool,
    },
    Write {
        by: usize,
        life: u64,
        segment: Segment,
    },
    WriteDone {
        at: usize,
        life: u64,
        origin: Incarnation,
        stands: Option<Segment>,
    },
    WriteState {
        by: usize,
        life: u64,
        expected: u64,
        state: RolloutState,
    },
    StateDone {
        at: usize,
        life: u64,
        version: u64,
        state: RolloutState,
    },
    Done {
        at: usize,
        life: u64,
        chosen: Box<ChosenVersion>,
    },
    Rate {
        at: usize,
        life: u64,
        chosen: Box<ChosenVersion>,
    },
    TicketCall {
        to: usize,
        ticket: Ticket,
        hops: u32,
    },
    TicketDone {
        at: usize,
        life: u64,
        ticket: Ticket,
        lost: bool,
    },
    Operator,
    Fault,
}

impl World {
    /// Gets the host that an event happens on, with the life that it is meant for.
    pub(super) fn place(event: &Event) -> Option<(usize, Option<u64>)> {
        match event {
            Event::Tick(h) | Event::Traffic(h) => Some((*h, None)),
            Event::Exchange { to, .. } | Event::Hold { to, .. } => Some((*to, None)),
            Event::TicketCall { to, .. } => Some((*to, None)),
            Event::Reply { to, life, .. } => Some((*to, Some(*life))),
            Event::Failed { at, life, .. }
            | Event::Probed { at, life, .. }
            | Event::ReadDone { at, life, .. }
            | Event::HoldDone { at, life, .. }
            | Event::WriteDone { at, life, .. }
            | Event::StateDone { at, life, .. }
            | Event::Done { at, life, .. }
            | Event::Rate { at, life, .. }
            | Event::TicketDone { at, life, .. } => Some((*at, Some(*life))),
            // These happen at the platform, whatever became of who asked.
            Event::Read { .. } | Event::Write { .. } | Event::WriteState { .. } => None,
            Event::Operator | Event::Fault => None,
        }
    }

    pub(super) fn step(&mut self, event: Event) -> Result<(), String> {
        if let Some((host, life)) = World::place(&event) {
            let repeats = matches!(event, Event::Tick(_) | Event::Traffic(_));
            let h = &self.hosts[host];
            if !h.up || life.is_some_and(|l| l != h.life) {
                if repeats {
                    self.at(self.now + TICK_MS, event);
                }
                return Ok(());
            }
            if h.paused_until > self.now {
                // Whatever comes to a paused process waits in its sockets.
                let until = h.paused_until;
                self.at(until, event);
                return Ok(());
            }
        }
        match event {
            Event::Tick(h) => self.tick(h)?,
            Event::Traffic(h) => self.traffic(h)?,
            Event::Exchange { to, from, life, sent_at, message } => {
                self.exchange(to, from, life, sent_at, *message);
            }
            Event::Reply { to, from, sent_at, nonce, message, .. } => {
                let now = self.local(to);
                let sent_at = match self.schedule.broken {
                    Broken::FreshOnArrival => now,
                    _ => sent_at,
                };
                let started = Instant::now();
                self.hosts[to].node.on_reply(now, &from, sent_at, nonce, *message);
                self.seen.node_ns += started.elapsed().as_nanos() as u64;
                self.check_fresh(to)?;
            }
            Event::Failed { at, to, .. } => self.hosts[at].node.on_exchange_failed(&to),
            Event::Probed { at, target, reached, .. } => {
                let now = self.local(at);
                self.hosts[at].node.on_probe(now, &target, reached);
            }
            Event::Read { by, life, asked_at, after } => self.read(by, life, asked_at, after),
            Event::ReadDone { at, asked_at, list, delta, .. } => {
                let node = &mut self.hosts[at].node;
                if let Some((revision, entries)) = list {
                    node.on_list(asked_at, revision, entries);
                }
                if let Some(delta) = delta {
                    node.on_changes(asked_at, delta);
                }
                self.check_fresh(at)?;
            }
            Event::Hold { to, from, life, batch, call } => {
                let held = self.hosts[to].keeper.hold_for(call);
                if let Some(ms) = self.latency().filter(|_| self.reachable(to, from)) {
                    self.at(self.now + ms, Event::HoldDone { at: from, life, batch, held });
                }
            }
            Event::HoldDone { at, batch, held, .. } => {
                let now = self.local(at);
                self.hosts[at].keeper.hold_done(now, batch, held);
                self.pump(at);
            }
            Event::Write { by, life, segment } => self.write_segment(by, life, segment),
            Event::WriteDone { at, origin, stands, .. } => {
                let now = self.local(at);
                self.hosts[at].keeper.write_done(now, &origin, stands);
                self.pump(at);
            }
            Event::WriteState { by, life, expected, state } => {
                self.write_state(by, life, expected, state);
            }
            Event::StateDone { at, version, state, .. } => self.state_done(at, version, &state),
            Event::Done { at, chosen, .. } => self.done(at, *chosen),
            Event::Rate { at, chosen, .. } => self.rate(at, &chosen),
            Event::TicketCall { to, ticket, hops } => self.ticket_call(to, ticket, hops)?,
            Event::TicketDone { at, ticket, lost, .. } => {
                let now = self.local(at);
                let answer = (!lost).then_some(StoredResponse { status: 200, body: None });
                self.hosts[at].tickets.record_outcome(now, &ticket, answer);
            }
            Event::Operator => self.operate(),
            Event::Fault => self.fault(),
        }
        self.check_cap()
    }
}
