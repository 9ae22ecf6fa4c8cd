//! What the state of the fleet takes in, and what it asks its caller to carry out.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::events::Event;
use crate::ids::{EndpointId, FailureDomain, ServiceId};
use crate::traffic::canary::{ProgressWrite, RolloutOrder};
use crate::traffic::catalog::Catalog;
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::feeds::{FeedKind, Fetch};
use crate::traffic::forwarding::ForwardTarget;
use crate::traffic::judge::ObservedResponse;
use crate::traffic::peers::PeerMessage;
use crate::traffic::view::FleetView;
use crate::units::{Millis, Rate};

/// An event that changes the state.
#[derive(Debug)]
pub enum Input {
    /// A version of the configuration was read.
    Catalog(Arc<Catalog>),
    /// The complete list of endpoints was read.
    EndpointList(Vec<EndpointRecord>),
    /// An endpoint's entry was created or changed.
    Endpoint(EndpointRecord),
    /// An endpoint's entry was removed.
    EndpointRemoved(EndpointId),
    /// An endpoint's entry was changed to a state that cannot be parsed.
    EndpointUnreadable(EndpointId),
    /// The complete list of roll-outs was read.
    RolloutList {
        /// Orders that could be parsed.
        orders: Vec<RolloutOrder>,
        /// Services whose orders could not be parsed; the last known orders of these services stay
        /// in force.
        unreadable: Vec<ServiceId>,
    },
    /// A roll-out order was created or changed.
    Rollout(RolloutOrder),
    /// A roll-out order was removed.
    RolloutRemoved(ServiceId),
    /// A roll-out order was changed to a state that cannot be parsed; the last known order stays in
    /// force.
    RolloutUnreadable(ServiceId),
    /// The complete list of evacuated failure domains was read.
    EvacuationList(BTreeSet<FailureDomain>),
    /// The evacuation of a failure domain was ordered.
    EvacuationStarted(FailureDomain),
    /// The order to evacuate a failure domain was removed.
    EvacuationEnded(FailureDomain),
    /// The store was restored from an older copy, and the next list of a kind is the state of the copy.
    StoreRestored(FeedKind),
    /// All changes of one kind up to a store revision have been received.
    CaughtUp {
        /// Kind of the changed objects.
        kind: FeedKind,
        /// Store revision up to which changes are complete.
        complete: u64,
        /// Revision of the newest change; `None` if a complete list was read instead of single
        /// changes.
        changed: Option<u64>,
    },
    /// The configuration was read and is still current; the value is the time at which the read
    /// began. This input follows the configuration itself, so that the proof only takes effect once
    /// traffic uses that configuration.
    ConfigConfirmed(Millis),
    /// Revision of the store at the time the configuration was read.
    StoreRevisionSeen(u64),
    /// A large reply with changes of this kind has begun to arrive.
    ReplyStarted(FeedKind),
    /// Store changes could not be fetched.
    FetchFailed(Fetch),
    /// The store stopped responding to this host.
    StoreUnreachable,
    /// The store responds to this host again.
    StoreReachable,
    /// The outcome of a request to an endpoint was observed.
    ResponseObserved(ObservedResponse),
    /// An endpoint reported a different limit on its requests from all hosts, or reports none any
    /// more (`None`).
    LimitReported(EndpointId, Option<Rate>),
    /// An endpoint says that it bears a different number of refusals per second before it falls over,
    /// or no longer says so (`None`).
    MaxRefusalsReported(EndpointId, Option<u32>),
    /// An endpoint closed or refused a connection, or did not respond for too long, so it may have
    /// been restarted since.
    EndpointLost(EndpointId),
    /// The services to whose endpoints this host has lost its network paths have changed.
    LostServices(Vec<ServiceId>),
    /// The host is stopping.
    Leaving,
    /// A message from another host arrived.
    PeerMessageReceived(Box<PeerMessage>),
    /// Time has passed without any other input.
    Tick,
}

/// An action that the caller of [`FleetState`] has to carry out.
#[derive(Debug)]
pub enum Action {
    /// Makes traffic use this view from now on.
    PublishView(Arc<FleetView>),
    /// Writes the progress of a roll-out to the store.
    WriteProgress(ProgressWrite),
    /// The configuration that traffic uses was the newest one at this time.
    ConfigConfirmed(Millis),
    /// Fetches changes from the store or from another host.
    Fetch(Fetch),
    /// Sends messages to other hosts.
    SendMessages(Vec<(SocketAddr, PeerMessage)>),
    /// Makes traffic use these hosts as targets of forwarded requests.
    PublishForwardTargets(Vec<ForwardTarget>),
    /// Logs an event with its details.
    Log(Event, String),
}
