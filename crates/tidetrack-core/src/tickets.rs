//! Tickets allow a call to be executed at most once.
//!
//! A caller requests a ticket before a call that must not be repeated. The ticket names the
//! incarnation that issued it, and only that incarnation may execute the call; other hosts forward
//! it. Once the incarnation is gone, the response is that the outcome is unknown and the call is
//! not repeated. No clock, lease or write to the object API is needed, so tickets work while the
//! object API is down and are not affected by pauses of the process.

use std::collections::HashMap;

use crate::codes::{Code, Executed};
use crate::errors::{Error, Result};
use crate::ids::{Incarnation, WorkspaceId};
use crate::message_auth::{KeyRing, Purpose};
use crate::units::Millis;

/// Time after which a caller may retry when the limit of open tickets is reached, in milliseconds.
const TICKET_LIMIT_RETRY_MS: u64 = 1_000;

/// Format identifier at the start of a ticket token.
const TOKEN_FORMAT: &str = "t1";

/// Identity of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Workspace that may use the ticket.
    pub workspace: WorkspaceId,
    /// Incarnation that issued the ticket and is the only one that may execute the call.
    pub issued_by: Incarnation,
    /// Number of the ticket, unique within the issuing incarnation.
    pub number: u64,
}

impl Ticket {
    fn payload(&self) -> String {
        format!("{}/{}", self.issued_by, self.number)
    }

    /// Returns the ticket as a signed token.
    pub fn to_token(&self, ring: &KeyRing) -> String {
        ring.sign_token(TOKEN_FORMAT, Purpose::Ticket, self.workspace.as_str(), &self.payload())
    }

    /// Parses and verifies a token that `workspace` sent. Returns `BadToken` if it is malformed or
    /// was not issued to this workspace.
    pub fn from_token(token: &str, workspace: &WorkspaceId, ring: &KeyRing) -> Result<Ticket> {
        let bad = || {
            Error::new(
                Code::BadToken,
                "the ticket is malformed or was not issued to this workspace",
            )
        };
        let payload = ring.verify_token(TOKEN_FORMAT, Purpose::Ticket, workspace.as_str(), token);
        let (issued_by, number) = payload.and_then(|t| t.split_once('/')).ok_or_else(bad)?;
        Ok(Ticket {
            workspace: workspace.clone(),
            issued_by: issued_by.parse().map_err(|_| bad())?,
            number: number.parse().map_err(|_| bad())?,
        })
    }
}

/// Limits of a ticket registry.
#[derive(Clone, Debug)]
pub struct TicketOptions {
    /// Time after which an unused ticket expires.
    pub unused_ttl: Millis,
    /// Time for which the response of a used ticket is kept.
    pub response_ttl: Millis,
    /// Maximum number of tickets remembered at a time.
    pub max_tickets: usize,
    /// Maximum size of a body that is kept for replay, in bytes.
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

/// A response that is kept and replayed if the call is repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum TicketState {
    Unused { expires_at: Millis },
    Running,
    OutcomeUnknown { expires_at: Millis },
    Finished { expires_at: Millis, response: StoredResponse },
}

/// How to handle a call with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketAdmission {
    /// Execute the call. Each ticket gets this result once.
    Execute,
    /// The call was executed before; return its response.
    Replay(StoredResponse),
}

/// The tickets issued by one incarnation.
#[derive(Debug)]
pub struct TicketRegistry {
    incarnation: Incarnation,
    options: TicketOptions,
    next_number: u64,
    states: HashMap<u64, TicketState>,
}

impl TicketRegistry {
    /// Creates an empty registry.
    pub fn new(incarnation: Incarnation, options: TicketOptions) -> TicketRegistry {
        TicketRegistry { incarnation, options, next_number: 1, states: HashMap::new() }
    }

    /// Issues a ticket to a workspace. Returns `Overloaded` if too many tickets are open.
    pub fn issue(&mut self, now: Millis, workspace: &WorkspaceId) -> Result<Ticket> {
        if self.states.len() >= self.options.max_tickets {
            self.remove_expired(now);
        }
        if self.states.len() >= self.options.max_tickets {
            let message = "this host has reached its limit of open tickets";
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

    /// Decides how to handle a call with a ticket. `Execute` is returned at most once per ticket
    /// unless `reset_unused` is called. Returns `TicketGone` for a ticket of another incarnation,
    /// and `TicketSpent` for one that has expired, is in use or has an unknown outcome.
    pub fn admit(&mut self, now: Millis, ticket: &Ticket) -> Result<TicketAdmission> {
        if ticket.issued_by != self.incarnation {
            return Err(Error::new(
                Code::TicketGone,
                "the ticket was issued by another incarnation",
            ));
        }
        match self.states.get(&ticket.number) {
            Some(TicketState::Unused { expires_at }) if *expires_at > now => {
                self.states.insert(ticket.number, TicketState::Running);
                Ok(TicketAdmission::Execute)
            }
            Some(TicketState::Unused { .. }) => {
                let message = "the ticket expired before it was used";
                Err(Error::new(Code::TicketSpent, message).with_executed(Executed::No))
            }
            Some(TicketState::Running | TicketState::OutcomeUnknown { .. }) => Err(Error::new(
                Code::TicketSpent,
                "the call with this ticket is still running or its outcome is unknown",
            )),
            Some(TicketState::Finished { response, .. }) => {
                Ok(TicketAdmission::Replay(response.clone()))
            }
            None => Err(Error::new(Code::TicketSpent, "the ticket has expired and was removed")),
        }
    }

    /// Records the response of a call, or `None` if its outcome is unknown. In both cases the call
    /// is not executed again.
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

    /// Makes a ticket usable again after a call of which nothing was sent.
    pub fn reset_unused(&mut self, now: Millis, ticket: &Ticket) {
        let expires_at = now + self.options.unused_ttl;
        self.states.insert(ticket.number, TicketState::Unused { expires_at });
    }

    /// Removes expired tickets. The call of a removed ticket is never executed.
    pub fn remove_expired(&mut self, now: Millis) {
        self.states.retain(|_, state| match state {
            TicketState::Unused { expires_at }
            | TicketState::OutcomeUnknown { expires_at }
            | TicketState::Finished { expires_at, .. } => *expires_at > now,
            TicketState::Running => true,
        });
    }

    /// Returns the number of tickets remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Reports whether no tickets are remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn registry() -> TicketRegistry {
        let incarnation = "a~1".parse().expect("the incarnation parses");
        TicketRegistry::new(incarnation, TicketOptions::default())
    }

    fn workspace() -> WorkspaceId {
        "w".parse().expect("the workspace name parses")
    }

    #[test]
    fn ticket_executes_once_then_replays_response() {
        let mut registry = registry();
        let ticket = registry.issue(Millis(0), &workspace()).expect("a ticket is issued");
        assert_eq!(registry.admit(Millis(1), &ticket), Ok(TicketAdmission::Execute));
        assert_eq!(
            registry.admit(Millis(1), &ticket).expect_err("a spent ticket is refused").code,
            Code::TicketSpent
        );
        let response = StoredResponse { status: 200, body: Some(b"ok".to_vec()) };
        registry.record_outcome(Millis(2), &ticket, Some(response.clone()));
        assert_eq!(registry.admit(Millis(3), &ticket), Ok(TicketAdmission::Replay(response)));
    }

    #[test]
    fn removed_ticket_is_not_executed() {
        let mut registry = registry();
        let ticket = registry.issue(Millis(0), &workspace()).expect("a ticket is issued");
        registry.remove_expired(Millis(1_000_000));
        assert!(registry.is_empty());
        assert_eq!(
            registry
                .admit(Millis(1_000_001), &ticket)
                .expect_err("a ticket that is gone is refused")
                .executed,
            Executed::Unknown
        );
    }

    #[test]
    fn ticket_of_another_incarnation_is_rejected() {
        let ticket = registry().issue(Millis(0), &workspace()).expect("a ticket is issued");
        let next_incarnation = "a~2".parse().expect("the incarnation parses");
        let mut next = TicketRegistry::new(next_incarnation, TicketOptions::default());
        next.issue(Millis(0), &workspace()).expect("a ticket of the same number is issued");
        assert_eq!(
            next.admit(Millis(1), &ticket).expect_err("a ticket that is gone is refused").code,
            Code::TicketGone
        );
    }
}
