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
const TICKET_LIMIT_RETRY_MS: u64 = 1_000;

/// The form of ticket made here.
const TOKEN_FORMAT: &str = "t1";

/// A ticket's identity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The workspace that may use it.
    pub workspace: WorkspaceId,
    /// Who made it and alone may run it.
    pub issued_by: Incarnation,
    /// Its number there.
    pub number: u64,
}

impl Ticket {
    fn payload(&self) -> String {
        format!("{}/{}", self.issued_by, self.number)
    }

    /// Makes the ticket's text.
    pub fn to_token(&self, ring: &KeyRing) -> String {
        ring.sign_token(TOKEN_FORMAT, Purpose::Ticket, self.workspace.as_str(), &self.payload())
    }

    /// Reads a ticket that `workspace` sends.
    pub fn from_token(token: &str, workspace: &WorkspaceId, ring: &KeyRing) -> Result<Ticket> {
        let bad = || Error::new(Code::BadToken, "the ticket is not one of this workspace");
        let payload = ring.verify_token(TOKEN_FORMAT, Purpose::Ticket, workspace.as_str(), token);
        let (issued_by, number) = payload.and_then(|t| t.split_once('/')).ok_or_else(bad)?;
        Ok(Ticket {
            workspace: workspace.clone(),
            issued_by: issued_by.parse().map_err(|_| bad())?,
            number: number.parse().map_err(|_| bad())?,
        })
    }
}

/// Options of the ticket book.
#[derive(Clone, Debug)]
pub struct TicketOptions {
    /// A ticket not used for so long lapses.
    pub unused_ttl: Millis,
    /// A used ticket's answer is kept for so long.
    pub response_ttl: Millis,
    /// Most tickets remembered at a time.
    pub max_tickets: usize,
    /// Largest answer kept for a repeat, in bytes.
    pub max_response_bytes: usize,
}

impl Default for TicketOptions {
    fn default() -> Self {
        TicketOptions {
            unused_ttl: Millis(120_000),
            response_ttl: Millis(120_000),
            max_tickets: 10_000,
            max_response_bytes: 1024,
        }
    }
}

/// An answer kept for a repeat of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body; absent if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused { expires_at: Millis },
    Running,
    OutcomeUnknown { expires_at: Millis },
    Finished { expires_at: Millis, response: StoredResponse },
}

/// What a call with a ticket may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketAdmission {
    /// Run it: this is the one time.
    Execute,
    /// It ran; here is what it gave.
    Replay(StoredResponse),
}

/// The tickets of one incarnation.
#[derive(Debug)]
pub struct TicketRegistry {
    incarnation: Incarnation,
    options: TicketOptions,
    next_number: u64,
    states: HashMap<u64, TicketState>,
}

impl TicketRegistry {
    /// Makes an empty book.
    pub fn new(incarnation: Incarnation, options: TicketOptions) -> TicketRegistry {
        TicketRegistry { incarnation, options, next_number: 1, states: HashMap::new() }
    }

    /// Makes a ticket for a workspace.
    pub fn issue(&mut self, now: Millis, workspace: &WorkspaceId) -> Result<Ticket> {
        if self.states.len() >= self.options.max_tickets {
            self.remove_expired(now);
        }
        if self.states.len() >= self.options.max_tickets {
            let message = "too many tickets are open on this host";
            return Err(
                Error::new(Code::Overloaded, message).with_retry_after(TICKET_LIMIT_RETRY_MS)
            );
        }
        let number = self.next_number;
        self.next_number += 1;
        let expires_at = now + self.options.unused_ttl;
        self.states.insert(number, TicketState::Unused { expires_at });
        Ok(Ticket { workspace: workspace.clone(), issued_by: self.incarnation.clone(), number })
    }

    /// Admits a call with a ticket; `Run` is given once for each ticket.
    pub fn admit(&mut self, now: Millis, ticket: &Ticket) -> Result<TicketAdmission> {
        if ticket.issued_by != self.incarnation {
            return Err(Error::new(Code::TicketGone, "another incarnation made the ticket"));
        }
        match self.states.get(&ticket.number) {
            Some(TicketState::Unused { expires_at }) if *expires_at > now => {
                self.states.insert(ticket.number, TicketState::Running);
                Ok(TicketAdmission::Execute)
            }
            Some(TicketState::Unused { .. }) => {
                let message = "the ticket lapsed without being used";
                Err(Error::new(Code::TicketSpent, message).with_ran(Ran::No))
            }
            Some(TicketState::Running | TicketState::OutcomeUnknown { .. }) => {
                Err(Error::new(Code::TicketSpent, "the call is running or its end is not known"))
            }
            Some(TicketState::Finished { response, .. }) => {
                Ok(TicketAdmission::Replay(response.clone()))
            }
            None => Err(Error::new(Code::TicketSpent, "the ticket is no longer remembered")),
        }
    }

    /// Records the end of a call; `None` if it is not known. Either way it is never run again.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        response: Option<StoredResponse>,
    ) {
        let expires_at = now + self.options.response_ttl;
        let Some(mut response) = response else {
            self.states.insert(ticket.number, TicketState::OutcomeUnknown { expires_at });
            return;
        };
        if response.body.as_ref().is_some_and(|b| b.len() > self.options.max_response_bytes) {
            response.body = None;
        }
        self.states.insert(ticket.number, TicketState::Finished { expires_at, response });
    }

    /// Gives a ticket back when nothing of the call left the host.
    pub fn reset_unused(&mut self, now: Millis, ticket: &Ticket) {
        let expires_at = now + self.options.unused_ttl;
        self.states.insert(ticket.number, TicketState::Unused { expires_at });
    }

    /// Forgets what has lapsed. A forgotten ticket is never run.
    pub fn remove_expired(&mut self, now: Millis) {
        self.states.retain(|_, state| match state {
            TicketState::Unused { expires_at }
            | TicketState::OutcomeUnknown { expires_at }
            | TicketState::Finished { expires_at, .. } => *expires_at > now,
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

    fn registry() -> TicketRegistry {
        let incarnation = "a~1".parse().expect("an incarnation");
        TicketRegistry::new(incarnation, TicketOptions::default())
    }

    fn workspace() -> WorkspaceId {
        "w".parse().expect("a workspace")
    }

    #[test]
    fn ticket_executes_once_then_replays_response() {
        let mut registry = registry();
        let ticket = registry.issue(Millis(0), &workspace()).expect("a ticket");
        assert_eq!(registry.admit(Millis(1), &ticket), Ok(TicketAdmission::Execute));
        assert_eq!(registry.admit(Millis(1), &ticket).expect_err("spent").code, Code::TicketSpent);
        let response = StoredResponse { status: 200, body: Some(b"ok".to_vec()) };
        registry.record_outcome(Millis(2), &ticket, Some(response.clone()));
        assert_eq!(registry.admit(Millis(3), &ticket), Ok(TicketAdmission::Replay(response)));
    }

    #[test]
    fn removed_ticket_is_not_executed() {
        let mut registry = registry();
        let ticket = registry.issue(Millis(0), &workspace()).expect("a ticket");
        registry.remove_expired(Millis(1_000_000));
        assert!(registry.is_empty());
        assert_eq!(registry.admit(Millis(1_000_001), &ticket).expect_err("gone").ran, Ran::Unknown);
    }

    #[test]
    fn ticket_of_another_incarnation_is_rejected() {
        let ticket = registry().issue(Millis(0), &workspace()).expect("a ticket");
        let next_incarnation = "a~2".parse().expect("an incarnation");
        let mut next = TicketRegistry::new(next_incarnation, TicketOptions::default());
        next.issue(Millis(0), &workspace()).expect("a ticket of the same number");
        assert_eq!(next.admit(Millis(1), &ticket).expect_err("gone").code, Code::TicketGone);
    }
}
