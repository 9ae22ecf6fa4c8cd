//! The control thread, the only owner of the node's state.
//!
//! It receives messages, passes them to the core for decisions, delegates the resulting actions to
//! other threads, and publishes the view that requests are routed by.

use std::collections::BTreeMap;
use std::sync::Arc;

use flume::{Receiver, Sender};
use serde::{Deserialize, Serialize};

use tidetrack_core::bill_replicator::Holder;
use tidetrack_core::config::{ObjectKey, ObjectKind, RolloutState};
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::facts::{Fact, Subject};
use tidetrack_core::ids::{FailureDomain, HostId, Incarnation, RolloutId, VersionRef};
use tidetrack_core::membership::{Member, MemberState};
use tidetrack_core::node::{Action, Exchange, Node};
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::units::Millis;
use tidetrack_core::view::{View, ViewBuilder};
use tidetrack_wire::peer::ProbeCall;
use tidetrack_wire::platform::{ListedHost, ListedState};

use crate::billing::BillMsg;
use crate::peers::PeerJob;
use crate::platform_io::StateWrite;
use crate::shared::{ReadPlan, Shared};

/// Interval between evaluations of the roll-outs.
const ROLLOUT_CHECK_INTERVAL: Millis = Millis(300);

/// Minimum time between two builds of the view.
const MIN_VIEW_BUILD_INTERVAL: Millis = Millis(50);

/// A message for the control thread.
pub enum ControlMsg {
    /// Periodic timer.
    Tick,
    /// Request half of an exchange, received from another host.
    PeerExchange {
        /// The request half.
        half: Exchange,
        /// Receives the reply half of this host.
        reply: Sender<Exchange>,
    },
    /// Reply to an exchange that this host requested.
    PeerReply {
        /// Host that replied.
        to: HostId,
        /// Time at which the request was sent.
        sent_at: Millis,
        /// Nonce of the request.
        nonce: u64,
        /// The reply half.
        reply: Exchange,
    },
    /// An exchange that this host requested failed.
    PeerFailed {
        /// Host that did not reply.
        to: HostId,
    },
    /// Result of a probe that another host made on behalf of this host.
    ProbeFinished {
        /// Host that was probed.
        target: HostId,
        /// Whether the other host could connect to the target.
        is_reachable: bool,
    },
    /// The full list of configuration objects, read from the object API.
    List {
        /// Time at which the request was sent.
        requested_at: Millis,
        /// Revision of the list.
        revision: u64,
        /// All objects of the configuration.
        entries: Vec<Entry>,
    },
    /// Configuration changes, read from the object API.
    Changes {
        /// Time at which the request was sent.
        requested_at: Millis,
        /// The range of changes.
        delta: Delta,
    },
    /// The platform's list of hosts and endpoints.
    Hosts(Vec<ListedHost>),
    /// Outcomes observed for a version.
    RecordCounts {
        /// Version that the outcomes belong to.
        version: VersionRef,
        /// Generation of the version.
        generation: u64,
        /// Whether the version is the canary of an unfinished roll-out.
        is_canary: bool,
        /// Counts to add to those of this host.
        counts: VersionCounts,
    },
    /// A fact that bars a version or an endpoint.
    AddFact(Fact),
    /// Name of an endpoint that reported that it is shutting down.
    EndpointLeaving(String),
    /// Result of writing the state of a roll-out.
    StateWritten {
        /// Roll-out whose state was written.
        rollout: RolloutId,
        /// Version of the written object; 0 if the write failed.
        version: u64,
        /// The written state.
        state: RolloutState,
    },
    /// Requests which incarnations are gone. The result is sent to the bill replicator.
    FindGoneIncarnations {
        /// Incarnations to check.
        incarnations: Vec<Incarnation>,
    },
    /// Requests a host's address for callers.
    Locate {
        /// Incarnation to look up.
        incarnation: Incarnation,
        /// Receives the address as `ip:port`, or `None` if the incarnation is not live.
        reply: Sender<Option<String>>,
    },
    /// Announces to all hosts that this host is leaving or has left.
    Announce(MemberState),
    /// Requests the status of this host.
    Status(Sender<Status>),
    /// Ends the control thread.
    Stop,
}

/// Status of a host, as shown on its status page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Revision of the configuration that requests are routed by.
    #[serde(rename = "in_force")]
    pub applied_revision: u64,
    /// Milliseconds since the configuration was last confirmed to be the newest; `None` if it never
    /// was.
    #[serde(rename = "confirmed_ms_ago")]
    pub confirmation_age_ms: Option<u64>,
    /// Whether the host watches the object API for its failure domain.
    #[serde(rename = "watcher")]
    pub is_watcher: bool,
    /// All known hosts with their states as this host sees them.
    pub members: Vec<Member>,
    /// Milliseconds since the last message from each linked host.
    #[serde(rename = "links")]
    pub link_silences_ms: BTreeMap<HostId, u64>,
    /// Facts that bar versions and endpoints.
    pub facts: Vec<Fact>,
    /// State of each roll-out.
    pub rollouts: Vec<RolloutStatus>,
    /// Outstanding work of this host in each evacuated failure domain, in answer tokens.
    #[serde(rename = "evacuated", default)]
    pub evacuated_work: BTreeMap<FailureDomain, u64>,
    /// Request rate per second that this host may use, by workspace.
    #[serde(rename = "shares")]
    pub workspace_rates: BTreeMap<String, f64>,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Number of bills that are not in the object API yet.
    #[serde(rename = "bills_pending")]
    pub pending_bills: u64,
}

/// State of a roll-out as a host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Name of the roll-out.
    pub name: String,
    /// Canary version, to which the roll-out moves requests.
    pub to: VersionRef,
    /// State stored in the object API; `None` before the roll-out starts.
    pub state: Option<RolloutState>,
    /// Total counts of the canary version from all hosts.
    #[serde(rename = "new")]
    pub canary: VersionCounts,
    /// Total counts of the stable version from all hosts.
    #[serde(rename = "proven")]
    pub stable: VersionCounts,
}

/// State of the control thread.
pub struct Control {
    shared: Arc<Shared>,
    node: Node,
    view_builder: ViewBuilder,
    peer_jobs: Sender<PeerJob>,
    bill_messages: Sender<BillMsg>,
    state_writes: Sender<StateWrite>,
    holders_epoch: Option<u64>,
    rollouts_checked_at: Millis,
    view_built_at: Millis,
    facts_seq: u64,
    rollout_state_since: BTreeMap<RolloutId, (u64, Millis)>,
    pending_writes: BTreeMap<RolloutId, u64>,
    counted_credits: BTreeMap<(VersionRef, u64), u64>,
}

/// Channels through which the control thread sends work to other threads.
pub struct ControlOutputs {
    /// Calls to other hosts.
    pub peer_jobs: Sender<PeerJob>,
    /// Messages for the bill replicator.
    pub bill_messages: Sender<BillMsg>,
    /// Roll-out states to write to the object API.
    pub state_writes: Sender<StateWrite>,
}

impl Control {
    /// Creates the state of the control thread. The node shares its limits and suspects with the
    /// request threads.
    pub fn new(shared: Arc<Shared>, mut node: Node, outputs: ControlOutputs) -> Control {
        node.limits = shared.limits.clone();
        node.suspects = shared.suspects.clone();
        Control {
            shared,
            node,
            view_builder: ViewBuilder::default(),
            peer_jobs: outputs.peer_jobs,
            bill_messages: outputs.bill_messages,
            state_writes: outputs.state_writes,
            holders_epoch: None,
            rollouts_checked_at: Millis(0),
            view_built_at: Millis(0),
            facts_seq: 0,
            rollout_state_since: BTreeMap::new(),
            pending_writes: BTreeMap::new(),
            counted_credits: BTreeMap::new(),
        }
    }

    /// Handles messages until `Stop` is received or all senders are dropped.
    pub fn run(mut self, messages: Receiver<ControlMsg>) {
        while let Ok(message) = messages.recv() {
            if matches!(message, ControlMsg::Stop) {
                return;
            }
            self.handle_message(message);
            // A new fact bars its subject immediately; other changes may wait for the next
            // scheduled view.
            if self.node.facts.seq() != self.facts_seq {
                self.facts_seq = self.node.facts.seq();
                self.view_built_at = Millis(0);
                self.publish_view(self.shared.now());
            }
        }
    }

    fn handle_message(&mut self, message: ControlMsg) {
        let now = self.shared.now();
        match message {
            ControlMsg::Tick => self.tick(now),
            ControlMsg::PeerExchange { half, reply } => {
                // The receiver is gone if the requesting host has disconnected.
                let _ = reply.send(self.node.on_exchange(now, half));
            }
            ControlMsg::PeerReply { to, sent_at, nonce, reply } => {
                self.node.on_reply(now, &to, sent_at, nonce, reply);
            }
            ControlMsg::PeerFailed { to } => self.node.on_exchange_failed(&to),
            ControlMsg::ProbeFinished { target, is_reachable } => {
                self.node.on_probe(now, &target, is_reachable)
            }
            ControlMsg::List { requested_at, revision, entries } => {
                self.node.on_list(requested_at, revision, entries);
                self.publish_view(now);
            }
            ControlMsg::Changes { requested_at, delta } => {
                self.node.on_changes(requested_at, delta);
                self.publish_view(now);
            }
            ControlMsg::Hosts(hosts) => self.apply_hosts(hosts),
            ControlMsg::RecordCounts { version, generation, is_canary, counts } => {
                self.node.record_counts(&version, generation, is_canary, &counts);
            }
            ControlMsg::AddFact(fact) => {
                self.node.add_fact(fact);
            }
            ControlMsg::EndpointLeaving(name) => self.withdraw_leaving_endpoint(&name),
            ControlMsg::StateWritten { rollout, version, state } => {
                self.finish_state_write(&rollout, version, &state);
            }
            ControlMsg::FindGoneIncarnations { incarnations } => {
                let gone_incarnations =
                    incarnations.into_iter().filter(|i| self.node.members.is_gone(i)).collect();
                let _ = self.bill_messages.send(BillMsg::IncarnationsGone(gone_incarnations));
            }
            ControlMsg::Locate { incarnation, reply } => {
                let _ = reply.send(self.locate_caller_address(&incarnation));
            }
            ControlMsg::Announce(state) => self.node.announce(state),
            ControlMsg::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            ControlMsg::Stop => {}
        }
    }

    fn tick(&mut self, now: Millis) {
        self.record_spent_credits();
        for action in self.node.tick(now) {
            self.perform_action(now, action);
        }
        self.update_holders();
        if now - self.rollouts_checked_at >= ROLLOUT_CHECK_INTERVAL {
            self.rollouts_checked_at = now;
            let view = self.shared.view.load_full();
            self.node.quarantine_bad_versions(&view);
            self.advance_rollouts(now, &view);
        }
        self.publish_view(now);
    }

    fn perform_action(&mut self, now: Millis, action: Action) {
        let job = match action {
            Action::Log(event, text) => return self.shared.log(event, &text),
            Action::Exchange { to, address, message } => {
                PeerJob::Exchange { to, address, sent_at: now, half: message }
            }
            Action::Probe { via_address, target, target_address, .. } => PeerJob::Probe {
                via: via_address,
                call: ProbeCall { target, address: target_address },
            },
        };
        // The peers thread ends only with the process.
        let _ = self.peer_jobs.send(job);
    }

    /// Builds and publishes a new view if something changed, and updates the admission state and
    /// the plan for the thread that reads the configuration.
    fn publish_view(&mut self, now: Millis) {
        if now - self.view_built_at >= MIN_VIEW_BUILD_INTERVAL && self.node.take_changed() {
            self.view_built_at = now;
            let view = self.node.view(now, &mut self.view_builder);
            let old = self.shared.view.swap(Arc::new(view));
            let revision = self.node.store.complete_to();
            if old.revision != revision {
                self.shared.log(Event::ConfigApplied, &format!("revision {revision}"));
            }
        }
        // The configuration counts as applied once requests are routed by it, so readiness is taken
        // from the published view.
        let ready = self.shared.view.load().revision > 0;
        self.shared.admission.tick(now, self.node.confirmation(), ready);
        self.shared.admission.set_read_plan(ReadPlan {
            is_watcher: self.node.is_watcher(),
            // After a pause of the process, the response to a read without a wait is the earliest
            // confirmation of the configuration.
            needs_poll: self.node.needs_poll(now) || self.shared.admission.is_unconfirmed(now),
            is_alone: self.node.live_host_count() <= 1,
            complete_to: self.node.store.complete_to(),
        });
    }

    fn apply_hosts(&mut self, hosts: Vec<ListedHost>) {
        let is_leaving_endpoint =
            |h: &&ListedHost| h.role == "endpoint" && h.state == ListedState::Leaving;
        for host in hosts.iter().filter(is_leaving_endpoint) {
            self.withdraw_leaving_endpoint(&host.name);
        }
        let routers = hosts.into_iter().filter(|h| h.role == "router");
        let seeds = routers.filter_map(|h| Some((h.name.parse().ok()?, h.address)));
        self.node.set_seeds(seeds.collect());
    }

    /// Bars an endpoint up to its current declaration; a later declaration admits it again.
    fn withdraw_leaving_endpoint(&mut self, name: &str) {
        let Ok(endpoint) = name.parse() else { return };
        let declared = self.node.store.iter().filter(|e| {
            matches!(e.key.kind, ObjectKind::Pool | ObjectKind::Service)
                && e.body.as_ref().is_some_and(|b| b.contains(&format!("{name:?}")))
        });
        let generation = declared.map(|e| e.version).max().unwrap_or(0);
        if generation > 0 {
            self.node.add_fact(Fact { subject: Subject::Leaving(endpoint), generation });
        }
    }

    /// Sends the list of hosts that may hold bills to the bill replicator whenever the members
    /// change.
    fn update_holders(&mut self) {
        let epoch = self.node.members.epoch();
        if self.holders_epoch == Some(epoch) {
            return;
        }
        self.holders_epoch = Some(epoch);
        let holders = self.node.members.holders().into_iter();
        let holders = holders.map(|m| Holder {
            incarnation: m.incarnation.clone(),
            address: m.peer_address.clone(),
        });
        let _ = self.bill_messages.send(BillMsg::Holders(holders.collect()));
    }

    /// Adds the credits spent since the last call to the counts of started requests.
    fn record_spent_credits(&mut self) {
        let view = self.shared.view.load();
        for rollout in &view.rollouts {
            let version = &rollout.spec.to;
            let Some(v) = view.versions.get(version) else { continue };
            let generation = v.spec.generation;
            let Some(credits) = self.view_builder.credits(version, generation) else { continue };
            let spent_credits = credits.spent();
            let counted = self.counted_credits.entry((version.clone(), generation)).or_default();
            if spent_credits > *counted {
                let counts =
                    VersionCounts { started: spent_credits - *counted, ..VersionCounts::default() };
                *counted = spent_credits;
                self.node.record_counts(version, generation, true, &counts);
            }
        }
    }

    fn advance_rollouts(&mut self, now: Millis, view: &View) {
        for rollout in &view.rollouts {
            let state_since =
                self.rollout_state_since.entry(rollout.id.clone()).or_insert((0, now));
            if state_since.0 != rollout.state_version {
                *state_since = (rollout.state_version, now);
                if let Some(state) = &rollout.state {
                    let text = format!("{} {:?} stage {}", rollout.id, state.phase, state.stage);
                    self.shared.log(Event::RolloutMoved, &text);
                }
            }
            let state_since = state_since.1;
            if self.pending_writes.get(&rollout.id) == Some(&rollout.state_version) {
                continue;
            }
            let Some(mut state) = self.node.rollout_update(now, view, rollout, state_since) else {
                continue;
            };
            state.operation_id =
                format!("{}-{}-{}", self.shared.incarnation, rollout.state_version, now.0);
            self.pending_writes.insert(rollout.id.clone(), rollout.state_version);
            let expected_version = rollout.state_version;
            let job = StateWrite { rollout: rollout.id.clone(), expected_version, state };
            // The thread that writes roll-out states ends only with the process.
            let _ = self.state_writes.send(job);
        }
    }

    fn finish_state_write(&mut self, rollout: &RolloutId, version: u64, state: &RolloutState) {
        self.pending_writes.remove(rollout);
        if version == 0 {
            return;
        }
        let key = ObjectKey::new(ObjectKind::RolloutState, rollout);
        let body = serde_json::to_string(state).expect("a roll-out state serializes to JSON");
        let entry = Entry { key, version, body: Some(body.into()) };
        // The entry is applied before the watch delivers it. The range starts at the maximum
        // revision, so that it does not advance the revision up to which the configuration is
        // complete.
        let delta = Delta { from: u64::MAX, to: 0, entries: vec![entry] };
        self.node.on_object_written(delta);
    }

    fn locate_caller_address(&self, incarnation: &Incarnation) -> Option<String> {
        let member = self.node.members.lookup(&incarnation.host)?;
        let is_live = member.incarnation == *incarnation && member.is_live();
        is_live.then(|| member.caller_address.clone())
    }

    fn status(&self, now: Millis) -> Status {
        let view = self.shared.view.load();
        let counts = |v: &VersionRef| {
            let generation = view.versions.get(v).map_or(0, |v| v.spec.generation);
            self.node.evidence.total(v, generation)
        };
        let rollouts = view.rollouts.iter().map(|r| RolloutStatus {
            name: r.id.to_string(),
            to: r.spec.to.clone(),
            state: r.state.clone(),
            canary: counts(&r.spec.to),
            stable: counts(&r.spec.from),
        });
        let shares = self.shared.limits().rates(now);
        Status {
            incarnation: self.shared.incarnation.clone(),
            failure_domain: self.shared.settings.failure_domain.to_string(),
            applied_revision: view.revision,
            confirmation_age_ms: self.node.confirmation_age(now).map(|a| a.0),
            is_watcher: self.node.is_watcher(),
            members: self.node.members.iter().cloned().collect(),
            link_silences_ms: self
                .node
                .link_silences(now)
                .into_iter()
                .map(|(h, a)| (h, a.0))
                .collect(),
            facts: self.node.facts.iter().collect(),
            rollouts: rollouts.collect(),
            evacuated_work: view.evacuated_work(),
            workspace_rates: shares.into_iter().map(|(w, r)| (w.to_string(), r)).collect(),
            in_flight: self.shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            pending_bills: self.shared.billing.pending(),
        }
    }
}
