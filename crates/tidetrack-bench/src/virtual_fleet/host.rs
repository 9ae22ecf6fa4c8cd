//! A simulated host: the state machines of `tidetrack_core` and the state that a router process keeps
//! for them.

use std::collections::BTreeMap;

use tidetrack_core::bill_replicator::BillReplicator;
use tidetrack_core::config::ObjectKey;
use tidetrack_core::ids::{HostId, Incarnation};
use tidetrack_core::membership::{Member, MemberState};
use tidetrack_core::node::{Node, NodeOptions};
use tidetrack_core::tickets::{TicketOptions, TicketRegistry};
use tidetrack_core::units::Millis;
use tidetrack_core::view::{View, ViewBuilder};

use super::platform::canary_version;

pub(super) struct Host {
    pub(super) name: HostId,
    pub(super) domain: usize,
    pub(super) offset: u64,
    pub(super) incarnation_id: u64,
    pub(super) is_up: bool,
    pub(super) paused_until: u64,
    pub(super) is_cut_from_platform: bool,
    pub(super) is_cut_from_peers: bool,
    pub(super) node: Node,
    pub(super) builder: ViewBuilder,
    pub(super) view: View,
    pub(super) replicator: BillReplicator,
    pub(super) holders_epoch: Option<u64>,
    pub(super) tickets: TicketRegistry,
    pub(super) last_platform_read_at: u64,
    pub(super) is_writing_state: bool,
    pub(super) rollout_since: (u64, u64),
    pub(super) next_bill_number: u64,
    pub(super) spent_reported: u64,
    pub(super) last_versions: BTreeMap<ObjectKey, u64>,
    pub(super) started_at: u64,
}

fn member(name: &HostId, domain: usize, nonce: u64) -> Member {
    Member {
        incarnation: Incarnation { host: name.clone(), nonce },
        state_version: 1,
        state: MemberState::Alive,
        peer_address: name.to_string(),
        caller_address: name.to_string(),
        failure_domain: format!("d{domain}").parse().expect("the failure domain name parses"),
    }
}

impl Host {
    pub(super) fn new(
        index: usize,
        domain: usize,
        incarnation_id: u64,
        offset: u64,
        now: u64,
        host_count: usize,
    ) -> Host {
        let name: HostId = format!("h{index}").parse().expect("the host name parses");
        let own = member(&name, domain, incarnation_id);
        let incarnation = own.incarnation.clone();
        let mut node = Node::new(own, NodeOptions::default(), incarnation_id);
        let seeds = (0..host_count).map(|i| format!("h{i}"));
        node.set_seeds(seeds.map(|h| (h.parse().expect("the host name parses"), h)).collect());
        Host {
            name,
            domain,
            offset,
            incarnation_id,
            is_up: true,
            paused_until: 0,
            is_cut_from_platform: false,
            is_cut_from_peers: false,
            node,
            builder: ViewBuilder::default(),
            view: View::default(),
            replicator: BillReplicator::new(
                Millis(now + offset),
                incarnation.clone(),
                Millis(2_000),
            ),
            holders_epoch: None,
            tickets: TicketRegistry::new(incarnation, TicketOptions::default()),
            last_platform_read_at: 0,
            is_writing_state: false,
            rollout_since: (0, 0),
            next_bill_number: 0,
            spent_reported: 0,
            last_versions: BTreeMap::new(),
            started_at: now,
        }
    }

    pub(super) fn spent(&self) -> u64 {
        self.builder.credits(&canary_version(), 1).map_or(0, |c| c.spent())
    }
}
