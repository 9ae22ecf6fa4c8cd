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
use crate::peers::Job;
use crate::platform_io::StateJob;
use crate::shared::{PlatformDuty, Shared};

/// Roll-outs are looked at this often.
const DUTY_EVERY: Millis = Millis(300);

/// Views are built at most this often.
const BUILD_EVERY: Millis = Millis(50);

/// Messages for the control thread.
pub enum Msg {
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
    Probed {
        /// Who was called.
        target: HostId,
        /// Whether it answered.
        reached: bool,
    },
    /// A full list of the configuration.
    List {
        /// When it was asked for.
        asked_at: Millis,
        /// At which revision.
        revision: u64,
        /// The objects.
        entries: Vec<Entry>,
    },
    /// Changes of the configuration.
    Changes {
        /// When they were asked for.
        asked_at: Millis,
        /// The changes.
        delta: Delta,
    },
    /// The platform's list of hosts and endpoints.
    Hosts(Vec<ListedHost>),
    /// Something seen of a version.
    Count {
        /// The version.
        version: VersionRef,
        /// Its generation.
        generation: u64,
        /// Whether a roll-out of it is not done.
        unproven: bool,
        /// What was seen.
        counts: VersionCounts,
    },
    /// A narrowing fact.
    Learn(Fact),
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
    Gone {
        /// Of these.
        of: Vec<Incarnation>,
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
    pub in_force: u64,
    /// Milliseconds since it was confirmed to be the newest.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether it keeps a watch on the object API.
    pub watcher: bool,
    /// All hosts known, with how they are seen.
    pub members: Vec<Member>,
    /// Milliseconds since each link was last heard.
    pub links: BTreeMap<HostId, u64>,
    /// Narrowing facts.
    pub facts: Vec<Fact>,
    /// Where roll-outs stand.
    pub rollouts: Vec<RolloutStatus>,
    /// Rates that this host may use, by workspace.
    pub shares: BTreeMap<String, f64>,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bills that are not in the object API yet.
    pub bills_pending: u64,
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
    pub new: VersionCounts,
    /// What is known of the proven version.
    pub proven: VersionCounts,
}

/// The control thread's state.
pub struct Control {
    shared: Arc<Shared>,
    node: Node,
    builder: ViewBuilder,
    jobs: Sender<Job>,
    bills: Sender<BillMsg>,
    states: Sender<StateJob>,
    holders_epoch: Option<u64>,
    duty_at: Millis,
    built_at: Millis,
    facts_seq: u64,
    rollout_since: BTreeMap<RolloutId, (u64, Millis)>,
    writing: BTreeMap<RolloutId, u64>,
    spent: BTreeMap<(VersionRef, u64), u64>,
}

/// What the control thread tells others through.
pub struct Outlets {
    /// Calls to other hosts.
    pub jobs: Sender<Job>,
    /// The keeper of the bills.
    pub bills: Sender<BillMsg>,
    /// The writer of roll-out states.
    pub states: Sender<StateJob>,
}

impl Control {
    /// Makes the thread's state.
    pub fn new(shared: Arc<Shared>, mut node: Node, outlets: Outlets) -> Control {
        node.limits = shared.limits.clone();
        node.suspects = shared.suspects.clone();
        Control {
            shared,
            node,
            builder: ViewBuilder::default(),
            jobs: outlets.jobs,
            bills: outlets.bills,
            states: outlets.states,
            holders_epoch: None,
            duty_at: Millis(0),
            built_at: Millis(0),
            facts_seq: 0,
            rollout_since: BTreeMap::new(),
            writing: BTreeMap::new(),
            spent: BTreeMap::new(),
        }
    }

    /// Takes messages until told to stop.
    pub fn run(mut self, messages: Receiver<Msg>) {
        while let Ok(msg) = messages.recv() {
            if matches!(msg, Msg::Stop) {
                return;
            }
            self.take(msg);
            // A narrowing fact is in force at once; what widens may wait for the next view.
            if self.node.facts.seq() != self.facts_seq {
                self.facts_seq = self.node.facts.seq();
                self.built_at = Millis(0);
                self.publish(self.shared.now());
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        let now = self.shared.now();
        match msg {
            Msg::Tick => self.tick(now),
            Msg::PeerExchange { half, reply } => {
                // A caller that has given up needs no answer.
                let _ = reply.send(self.node.on_exchange(now, half));
            }
            Msg::PeerReply { to, sent_at, nonce, reply } => {
                self.node.on_reply(now, &to, sent_at, nonce, reply);
            }
            Msg::PeerFailed { to } => self.node.on_exchange_failed(&to),
            Msg::Probed { target, reached } => self.node.on_probe(now, &target, reached),
            Msg::List { asked_at, revision, entries } => {
                self.node.on_list(asked_at, revision, entries);
                self.publish(now);
            }
            Msg::Changes { asked_at, delta } => {
                self.node.on_changes(asked_at, delta);
                self.publish(now);
            }
            Msg::Hosts(hosts) => self.take_hosts(hosts),
            Msg::Count { version, generation, unproven, counts } => {
                self.node.record_counts(&version, generation, unproven, &counts);
            }
            Msg::Learn(fact) => {
                self.node.add_fact(fact);
            }
            Msg::EndpointLeaving(name) => self.endpoint_leaving(&name),
            Msg::StateWritten { rollout, version, state } => {
                self.state_written(&rollout, version, &state);
            }
            Msg::Gone { of } => {
                let gone = of.into_iter().filter(|i| self.node.members.is_gone(i)).collect();
                let _ = self.bills.send(BillMsg::IncarnationsGone(gone));
            }
            Msg::Locate { incarnation, reply } => {
                let _ = reply.send(self.locate(&incarnation));
            }
            Msg::Announce(state) => self.node.announce(state),
            Msg::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            Msg::Stop => {}
        }
    }

    fn tick(&mut self, now: Millis) {
        self.count_spent();
        for action in self.node.tick(now) {
            self.act(now, action);
        }
        self.choose_holders();
        if now - self.duty_at >= DUTY_EVERY {
            self.duty_at = now;
            let view = self.shared.view.load_full();
            self.node.quarantine_bad_versions(&view);
            self.rollouts(now, &view);
        }
        self.publish(now);
    }

    fn act(&mut self, now: Millis, action: Action) {
        let job = match action {
            Action::Log(event, text) => return self.shared.log(event, &text),
            Action::Exchange { to, address, message } => {
                Job::Exchange { to, address, sent_at: now, half: message }
            }
            Action::Probe { via_address, target, target_address, .. } => {
                Job::Probe { via: via_address, call: ProbeCall { target, address: target_address } }
            }
        };
        // The peers' thread is gone only when the process ends.
        let _ = self.jobs.send(job);
    }

    /// Builds a new view if something changed, and tells traffic and the platform's thread.
    fn publish(&mut self, now: Millis) {
        if now - self.built_at >= BUILD_EVERY && self.node.take_changed() {
            self.built_at = now;
            let view = self.node.view(now, &mut self.builder);
            let old = self.shared.view.swap(Arc::new(view));
            let revision = self.node.store.complete_to();
            if old.revision != revision {
                self.shared.log(Event::ConfigApplied, &format!("revision {revision}"));
            }
        }
        // What is known counts once traffic decides on it.
        let ready = self.shared.view.load().revision > 0;
        self.shared.gate.tick(now, self.node.confirmation(), ready);
        self.shared.gate.set_duty(PlatformDuty {
            watcher: self.node.is_watcher(),
            // After a pause the answer to a short read is the first that tells.
            poll: self.node.needs_poll(now) || self.shared.gate.is_unconfirmed(now),
            alone: self.node.live_host_count() <= 1,
            complete_to: self.node.store.complete_to(),
        });
    }

    fn take_hosts(&mut self, hosts: Vec<ListedHost>) {
        let leaving = |h: &&ListedHost| h.role == "endpoint" && h.state == ListedState::Leaving;
        for host in hosts.iter().filter(leaving) {
            self.endpoint_leaving(&host.name);
        }
        let routers = hosts.into_iter().filter(|h| h.role == "router");
        let seeds = routers.filter_map(|h| Some((h.name.parse().ok()?, h.address)));
        self.node.set_seeds(seeds.collect());
    }

    /// Bars an endpoint as it is declared now; a later declaration admits it again.
    fn endpoint_leaving(&mut self, name: &str) {
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
    fn choose_holders(&mut self) {
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
        let _ = self.bills.send(BillMsg::Holders(holders.collect()));
    }

    /// Counts the credits spent since the last look as requests started.
    fn count_spent(&mut self) {
        let view = self.shared.view.load();
        for rollout in &view.rollouts {
            let version = &rollout.spec.to;
            let Some(v) = view.versions.get(version) else { continue };
            let generation = v.spec.generation;
            let Some(credits) = self.builder.credits(version, generation) else { continue };
            let spent = credits.spent();
            let told = self.spent.entry((version.clone(), generation)).or_default();
            if spent > *told {
                let counts = VersionCounts { started: spent - *told, ..VersionCounts::default() };
                *told = spent;
                self.node.record_counts(version, generation, true, &counts);
            }
        }
    }

    fn rollouts(&mut self, now: Millis, view: &View) {
        for rollout in &view.rollouts {
            let since = self.rollout_since.entry(rollout.id.clone()).or_insert((0, now));
            if since.0 != rollout.state_version {
                *since = (rollout.state_version, now);
                if let Some(state) = &rollout.state {
                    let text = format!("{} {:?} stage {}", rollout.id, state.phase, state.stage);
                    self.shared.log(Event::RolloutMoved, &text);
                }
            }
            let since = since.1;
            if self.writing.get(&rollout.id) == Some(&rollout.state_version) {
                continue;
            }
            let Some(mut state) = self.node.rollout_update(now, view, rollout, since) else {
                continue;
            };
            state.operation_id = format!("{}-{}-{}", self.shared.own, rollout.state_version, now.0);
            self.writing.insert(rollout.id.clone(), rollout.state_version);
            let expected = rollout.state_version;
            let job = StateJob { rollout: rollout.id.clone(), expected, state };
            // The writer's thread is gone only when the process ends.
            let _ = self.states.send(job);
        }
    }

    fn state_written(&mut self, rollout: &RolloutId, version: u64, state: &RolloutState) {
        self.writing.remove(rollout);
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

    fn locate(&self, incarnation: &Incarnation) -> Option<String> {
        let member = self.node.members.lookup(&incarnation.host)?;
        let lives = member.incarnation == *incarnation && member.is_live();
        lives.then(|| member.caller_address.clone())
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
            new: counts(&r.spec.to),
            proven: counts(&r.spec.from),
        });
        let shares = self.shared.limits().rates(now);
        Status {
            incarnation: self.shared.own.clone(),
            failure_domain: self.shared.settings.failure_domain.to_string(),
            in_force: view.revision,
            confirmed_ms_ago: self.node.confirmation_age(now).map(|a| a.0),
            watcher: self.node.is_watcher(),
            members: self.node.members.iter().cloned().collect(),
            links: self.node.link_silences(now).into_iter().map(|(h, a)| (h, a.0)).collect(),
            facts: self.node.facts.iter().collect(),
            rollouts: rollouts.collect(),
            shares: shares.into_iter().map(|(w, r)| (w.to_string(), r)).collect(),
            in_flight: self.shared.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            bills_pending: self.shared.billing.pending(),
        }
    }
}
