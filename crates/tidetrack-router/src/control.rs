//! The control thread: it alone owns the node's state.
//!
//! It takes messages, lets the core decide, does what the core wants done by telling other threads,
//! and publishes the view that traffic decides on.

use std::collections::BTreeMap;
use std::sync::Arc;

use flume::{Receiver, Sender};
use serde::{Deserialize, Serialize};

use tidetrack_core::bill_replicator::Holder;
use tidetrack_core::config::{ObjectKey, ObjectKind, RolloutState};
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::facts::{Fact, Subject};
use tidetrack_core::ids::{HostId, Incarnation, RolloutId, VersionRef};
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

/// Roll-outs are looked at this often.
const ROLLOUT_CHECK_INTERVAL: Millis = Millis(300);

/// Views are built at most this often.
const MIN_VIEW_BUILD_INTERVAL: Millis = Millis(50);

/// Messages for the control thread.
pub enum ControlMsg {
    /// Time has passed.
    Tick,
    /// Another host exchanges.
    PeerExchange {
        /// Its half.
        half: Exchange,
        /// Takes ours.
        reply: Sender<Exchange>,
    },
    /// A host replied to an exchange.
    PeerReply {
        /// Who.
        to: HostId,
        /// When it was asked.
        sent_at: Millis,
        /// What was asked with.
        nonce: u64,
        /// Its half.
        reply: Exchange,
    },
    /// An exchange failed.
    PeerFailed {
        /// With whom.
        to: HostId,
    },
    /// A probe came back.
    ProbeFinished {
        /// Who was called.
        target: HostId,
        /// Whether it answered.
        is_reachable: bool,
    },
    /// A full list of the configuration.
    List {
        /// When it was asked for.
        requested_at: Millis,
        /// At which revision.
        revision: u64,
        /// The objects.
        entries: Vec<Entry>,
    },
    /// Changes of the configuration.
    Changes {
        /// When they were asked for.
        requested_at: Millis,
        /// The changes.
        delta: Delta,
    },
    /// The platform's list of hosts and endpoints.
    Hosts(Vec<ListedHost>),
    /// Something seen of a version.
    RecordCounts {
        /// The version.
        version: VersionRef,
        /// Its generation.
        generation: u64,
        /// Whether a roll-out of it is not done.
        is_canary: bool,
        /// What was seen.
        counts: VersionCounts,
    },
    /// A narrowing fact.
    AddFact(Fact),
    /// An endpoint said that it is leaving.
    EndpointLeaving(String),
    /// A state of a roll-out was written, at the version given.
    StateWritten {
        /// The roll-out.
        rollout: RolloutId,
        /// The new version.
        version: u64,
        /// The state.
        state: RolloutState,
    },
    /// Asks which incarnations are gone; the keeper of the bills is told.
    FindGoneIncarnations {
        /// Of these.
        incarnations: Vec<Incarnation>,
    },
    /// Asks for the host's address for callers, if that incarnation lives.
    Locate {
        /// Who.
        incarnation: Incarnation,
        /// Takes the answer.
        reply: Sender<Option<String>>,
    },
    /// Says to all that this host is leaving, or has left.
    Announce(MemberState),
    /// Asks for the host's state.
    Status(Sender<Status>),
    /// Ends the thread.
    Stop,
}

/// What a host shows of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// This life of the host.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: String,
    /// The configuration up to this revision is what traffic decides on.
    #[serde(rename = "in_force")]
    pub applied_revision: u64,
    /// Milliseconds since it was confirmed to be the newest.
    #[serde(rename = "confirmed_ms_ago")]
    pub confirmation_age_ms: Option<u64>,
    /// Whether it keeps a watch on the object API.
    #[serde(rename = "watcher")]
    pub is_watcher: bool,
    /// All hosts known, with how they are seen.
    pub members: Vec<Member>,
    /// Milliseconds since each link was last heard.
    #[serde(rename = "links")]
    pub link_silences_ms: BTreeMap<HostId, u64>,
    /// Narrowing facts.
    pub facts: Vec<Fact>,
    /// Where roll-outs stand.
    pub rollouts: Vec<RolloutStatus>,
    /// Rates that this host may use, by workspace.
    #[serde(rename = "shares")]
    pub workspace_rates: BTreeMap<String, f64>,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bills that are not in the object API yet.
    #[serde(rename = "bills_pending")]
    pub pending_bills: u64,
}

/// Where a roll-out stands, as a host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Its name.
    pub name: String,
    /// The version rolled out.
    pub to: VersionRef,
    /// The accepted state; absent before it is started.
    pub state: Option<RolloutState>,
    /// What is known of the new version.
    #[serde(rename = "new")]
    pub canary: VersionCounts,
    /// What is known of the proven version.
    #[serde(rename = "proven")]
    pub stable: VersionCounts,
}

/// The control thread's state.
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

/// What the control thread tells others through.
pub struct ControlOutputs {
    /// Calls to other hosts.
    pub peer_jobs: Sender<PeerJob>,
    /// The keeper of the bills.
    pub bill_messages: Sender<BillMsg>,
    /// The writer of roll-out states.
    pub state_writes: Sender<StateWrite>,
}

impl Control {
    /// Makes the thread's state.
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

    /// Takes messages until told to stop.
    pub fn run(mut self, messages: Receiver<ControlMsg>) {
        while let Ok(message) = messages.recv() {
            if matches!(message, ControlMsg::Stop) {
                return;
            }
            self.handle_message(message);
            // A narrowing fact is in force at once; what widens may wait for the next view.
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
                // A caller that has given up needs no answer.
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
                let _ = self.bill_messages.send(BillMsg::Gone(gone_incarnations));
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
        // The peers' thread is gone only when the process ends.
        let _ = self.peer_jobs.send(job);
    }

    /// Builds a new view if something changed, and tells traffic and the platform's thread.
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
        // What is known counts once traffic decides on it.
        let ready = self.shared.view.load().revision > 0;
        self.shared.admission.tick(now, self.node.confirmation(), ready);
        self.shared.admission.set_read_plan(ReadPlan {
            is_watcher: self.node.is_watcher(),
            // After a pause the answer to a short read is the first that tells.
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

    /// Bars an endpoint as it is declared now; a later declaration admits it again.
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

    /// Tells the keeper of the bills who may hold them, when the members changed.
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

    /// Counts the credits spent since the last look as requests started.
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
            // The writer's thread is gone only when the process ends.
            let _ = self.state_writes.send(job);
        }
    }

    fn finish_state_write(&mut self, rollout: &RolloutId, version: u64, state: &RolloutState) {
        self.pending_writes.remove(rollout);
        if version == 0 {
            return;
        }
        let key = ObjectKey::new(ObjectKind::RolloutState, rollout);
        let body = serde_json::to_string(state).expect("a state has text keys");
        let entry = Entry { key, version, body: Some(body.into()) };
        // Ahead of the watch: the entry counts, and the run stays as whole as it was.
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
            workspace_rates: shares.into_iter().map(|(w, r)| (w.to_string(), r)).collect(),
            in_flight: self.shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            pending_bills: self.shared.billing.pending(),
        }
    }
}
