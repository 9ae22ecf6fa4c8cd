//! Tickets: permission to run one call at most once.
//!
//! A caller asks for a ticket before a call that must not be repeated. The ticket names the
//! incarnation that made it, and only that incarnation may run it; other hosts pass the call on.
//! Once the incarnation is gone the answer is "unknown, not repeated". No clock, lease or write is
//! needed, so it works while the object API is down, and a pause cannot break it.

use std::collections::HashMap;

use crate::codes::{Code, Ran};
use crate::errors::{Error, Result};
use crate::ids::{Incarnation, WorkspaceId};
use crate::message_auth::{KeyRing, Purpose};
use crate::units::Millis;

/// When to come back for a ticket when too many are open, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// The form of ticket made here.
const FORM: &str = "t1";

/// A ticket's identity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The workspace that may use it.
    pub workspace: WorkspaceId,
    /// Who made it and alone may run it.
    pub made_by: Incarnation,
    /// Its number there.
    pub number: u64,
}

impl Ticket {
    fn text(&self) -> String {
        format!("{}/{}", self.made_by, self.number)
    }

    /// Makes the ticket's text.
    pub fn to_token(&self, ring: &KeyRing) -> String {
        ring.to_token(FORM, Purpose::Ticket, self.workspace.as_str(), &self.text())
    }

    /// Reads a ticket that `workspace` sends.
    pub fn from_token(token: &str, workspace: &WorkspaceId, ring: &KeyRing) -> Result<Ticket> {
        let bad = || Error::new(Code::BadToken, "the ticket is not one of this workspace");
        let text = ring.open_token(FORM, Purpose::Ticket, workspace.as_str(), token);
        let (made_by, number) = text.and_then(|t| t.split_once('/')).ok_or_else(bad)?;
        Ok(Ticket {
            workspace: workspace.clone(),
            made_by: made_by.parse().map_err(|_| bad())?,
            number: number.parse().map_err(|_| bad())?,
        })
    }
}

/// Options of the ticket book.
#[derive(Clone, Debug)]
pub struct TicketOptions {
    /// A ticket not used for so long lapses.
    pub unused_for: Millis,
    /// A used ticket's answer is kept for so long.
    pub answer_kept_for: Millis,
    /// Most tickets remembered at a time.
    pub most: usize,
    /// Largest answer kept for a repeat, in bytes.
    pub largest_answer: usize,
}

impl Default for TicketOptions {
    fn default() -> Self {
        TicketOptions {
            unused_for: Millis(120_000),
            answer_kept_for: Millis(120_000),
            most: 10_000,
            largest_answer: 1024,
        }
    }
}

/// An answer kept for a repeat of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body; absent if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused { until: Millis },
    Running,
    Unknown { until: Millis },
    Done { until: Millis, answer: KeptAnswer },
}

/// What a call with a ticket may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it: this is the one time.
    Run,
    /// It ran; here is what it gave.
    Repeat(KeptAnswer),
}

/// The tickets of one incarnation.
#[derive(Debug)]
pub struct TicketBook {
    incarnation: Incarnation,
    options: TicketOptions,
    next: u64,
    states: HashMap<u64, TicketState>,
}

impl TicketBook {
    /// Makes an empty book.
    pub fn new(incarnation: Incarnation, options: TicketOptions) -> TicketBook {
        TicketBook { incarnation, options, next: 1, states: HashMap::new() }
    }

    /// Makes a ticket for a workspace.
    pub fn make(&mut self, now: Millis, workspace: &WorkspaceId) -> Result<Ticket> {
        if self.states.len() >= self.options.most {
            self.sweep(now);
        }
        if self.states.len() >= self.options.most {
            let message = "too many tickets are open on this host";
            return Err(Error::new(Code::Overloaded, message).with_retry_after(FULL_RETRY_MS));
        }
        let number = self.next;
        self.next += 1;
        let until = now + self.options.unused_for;
        self.states.insert(number, TicketState::Unused { until });
        Ok(Ticket { workspace: workspace.clone(), made_by: self.incarnation.clone(), number })
    }

    /// Admits a call with a ticket; `Run` is given once for each ticket.
    pub fn admit(&mut self, now: Millis, ticket: &Ticket) -> Result<Admission> {
        if ticket.made_by != self.incarnation {
            return Err(Error::new(Code::TicketGone, "another incarnation made the ticket"));
        }
        match self.states.get(&ticket.number) {
            Some(TicketState::Unused { until }) if *until > now => {
                self.states.insert(ticket.number, TicketState::Running);
                Ok(Admission::Run)
            }
            Some(TicketState::Unused { .. }) => {
                let message = "the ticket lapsed without being used";
                Err(Error::new(Code::TicketSpent, message).with_ran(Ran::No))
            }
            Some(TicketState::Running | TicketState::Unknown { .. }) => {
                Err(Error::new(Code::TicketSpent, "the call is running or its end is not known"))
            }
            Some(TicketState::Done { answer, .. }) => Ok(Admission::Repeat(answer.clone())),
            None => Err(Error::new(Code::TicketSpent, "the ticket is no longer remembered")),
        }
    }

    /// Records the end of a call; `None` if it is not known. Either way it is never run again.
    pub fn done(&mut self, now: Millis, ticket: &Ticket, answer: Option<KeptAnswer>) {
        let until = now + self.options.answer_kept_for;
        let Some(mut answer) = answer else {
            self.states.insert(ticket.number, TicketState::Unknown { until });
            return;
        };
        if answer.body.as_ref().is_some_and(|b| b.len() > self.options.largest_answer) {
            answer.body = None;
        }
        self.states.insert(ticket.number, TicketState::Done { until, answer });
    }

    /// Gives a ticket back when nothing of the call left the host.
    pub fn not_run(&mut self, now: Millis, ticket: &Ticket) {
        let until = now + self.options.unused_for;
        self.states.insert(ticket.number, TicketState::Unused { until });
    }

    /// Forgets what has lapsed. A forgotten ticket is never run.
    pub fn sweep(&mut self, now: Millis) {
        self.states.retain(|_, state| match state {
            TicketState::Unused { until }
            | TicketState::Unknown { until }
            | TicketState::Done { until, .. } => *until > now,
            TicketState::Running => true,
        });
    }

    /// Counts the tickets remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn book() -> TicketBook {
        let incarnation = "a~1".parse().expect("an incarnation");
        TicketBook::new(incarnation, TicketOptions::default())
    }

    fn workspace() -> WorkspaceId {
        "w".parse().expect("a workspace")
    }

    #[test]
    fn a_ticket_runs_once_and_then_repeats_its_answer() {
        let mut book = book();
        let ticket = book.make(Millis(0), &workspace()).expect("a ticket");
        assert_eq!(book.admit(Millis(1), &ticket), Ok(Admission::Run));
        assert_eq!(book.admit(Millis(1), &ticket).expect_err("spent").code, Code::TicketSpent);
        let answer = KeptAnswer { status: 200, body: Some(b"ok".to_vec()) };
        book.done(Millis(2), &ticket, Some(answer.clone()));
        assert_eq!(book.admit(Millis(3), &ticket), Ok(Admission::Repeat(answer)));
    }

    #[test]
    fn a_forgotten_ticket_is_not_run() {
        let mut book = book();
        let ticket = book.make(Millis(0), &workspace()).expect("a ticket");
        book.sweep(Millis(1_000_000));
        assert!(book.is_empty());
        assert_eq!(book.admit(Millis(1_000_001), &ticket).expect_err("gone").ran, Ran::Unknown);
    }

    #[test]
    fn another_life_of_the_host_does_not_run_it() {
        let ticket = book().make(Millis(0), &workspace()).expect("a ticket");
        let next_life = "a~2".parse().expect("an incarnation");
        let mut next = TicketBook::new(next_life, TicketOptions::default());
        next.make(Millis(0), &workspace()).expect("a ticket of the same number");
        assert_eq!(next.admit(Millis(1), &ticket).expect_err("gone").code, Code::TicketGone);
    }
}
