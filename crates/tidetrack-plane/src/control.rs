//! The control thread. It owns the fleet state, publishes views of it and calls the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::Receiver;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use tidetrack_core::codes::Code;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::bootstrap::{is_well_connected, BootstrapInfo};
use tidetrack_core::traffic::canary::ProgressWrite;
use tidetrack_core::traffic::control::{Action, FleetState, HostRoles, Input};
use tidetrack_core::traffic::peers::PeerTable;
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::traffic::view::FleetView;

use crate::clock::{BootInstant, SuspensionDetector};
use crate::dialect::{FeedKind, ListAge};
use crate::peers::PeerSocket;
use crate::shared::SharedRef;
use crate::store::{CallPurpose, CallReason, StoreClient};
use crate::watch::StoreSync;

/// Interval at which the fleet state is updated when no input arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the control thread until the process ends. Fails if the runtime cannot be created.
pub fn run(shared: SharedRef, input_receiver: Receiver<Input>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let store = Rc::new(StoreClient::new(shared.clone()));
        let (roles, roles_receiver) = watch::channel(HostRoles::default());
        let store_sync = StoreSync::start(shared.clone(), store.clone(), roles_receiver);
        let settings = &shared.settings;
        let (host, address) = (settings.host.clone(), settings.peer_address);
        let peer_table = PeerTable::new(
            host.clone(),
            address,
            settings.failure_domain.clone(),
            settings.seeds.clone(),
        )
        .with_incarnation(rand::random())
        .with_well_connected(is_well_connected(settings.link));
        let peers = PeerSocket::start(shared.clone()).await;
        let bootstrap = BootstrapInfo {
            link: settings.link,
            is_seed: settings.seeds.is_empty() || settings.seeds.contains(&address),
            random_fraction: rand::random(),
        };
        let mut fleet_state = FleetState::new(host, peer_table)
            .with_exposure_bound(settings.bounds.canary_exposure)
            .with_suspects(shared.suspects.clone())
            .with_fair_shares(shared.fair_shares.clone())
            .with_bootstrap(shared.now(), bootstrap);
        // Sends the first messages at once, so that other hosts learn of the start.
        shared.send_input(Input::Tick);
        let executor = ActionExecutor { shared: shared.clone(), store, store_sync, peers };
        let (boot_start, monotonic_start) = (BootInstant::now(), Instant::now());
        let mut suspension_detector = SuspensionDetector::default();
        loop {
            let input = match tokio::time::timeout(TICK_INTERVAL, input_receiver.recv_async()).await
            {
                Ok(Ok(input)) => input,
                Ok(Err(_)) => return,
                Err(_) => Input::Tick,
            };
            if let Some(suspended_for) =
                suspension_detector.update(boot_start.elapsed(), monotonic_start.elapsed())
            {
                shared.journal.log(Event::Suspended, &[("ms", &suspended_for.as_millis())]);
                shared.metrics.record_suspension(suspended_for);
            }
            for action in fleet_state.handle_input(shared.now(), input, &shared.freshness) {
                executor.execute(action);
            }
            if input_receiver.is_empty() {
                fleet_state
                    .refresh_view(shared.now())
                    .into_iter()
                    .for_each(|view| executor.execute(view));
            }
            let new_roles = fleet_state.roles();
            roles.send_if_modified(|current| std::mem::replace(current, new_roles) != new_roles);
        }
    });
    Ok(())
}

/// Executes the actions that the fleet state returns.
struct ActionExecutor {
    shared: SharedRef,
    store: Rc<StoreClient>,
    store_sync: Rc<StoreSync>,
    peers: PeerSocket,
}

impl ActionExecutor {
    fn execute(&self, action: Action) {
        let shared = &self.shared;
        match action {
            Action::PublishView(view) => self.publish_view(view),
            Action::ConfigConfirmed(read_started_at) => {
                shared.freshness.record_proof(read_started_at)
            }
            Action::SendMessages(messages) => {
                self.peers.send(&messages);
            }
            Action::Fetch(fetch) => {
                tokio::task::spawn_local(self.store_sync.clone().fetch(fetch));
            }
            Action::PublishForwardTargets(targets) => {
                shared.forward_targets.store(Arc::new(targets));
            }
            Action::Log(event, text) => shared.journal.log(event, &[("detail", &text)]),
            Action::WriteProgress(write) => {
                tokio::task::spawn_local(write_progress(shared.clone(), self.store.clone(), write));
            }
        }
    }
}

impl ActionExecutor {
    fn publish_view(&self, view: Arc<FleetView>) {
        let metrics = &self.shared.metrics;
        let previous = self.shared.view.load();
        for domain in previous.evacuated_endpoints.keys() {
            if !view.evacuated_endpoints.contains_key(domain) {
                metrics.record_evacuated_endpoints(domain.as_str(), 0);
            }
        }
        for (domain, endpoints) in &view.evacuated_endpoints {
            metrics.record_evacuated_endpoints(domain.as_str(), *endpoints);
        }
        self.shared.view.store(view);
    }
}

/// Writes the progress of a roll-out. The result is taken from the watch of the store and not from
/// the reply, since another host may have written first.
async fn write_progress(shared: SharedRef, store: Rc<StoreClient>, write: ProgressWrite) {
    let position = StorePosition::from_packed(write.revision);
    let state = format!("{:?}", write.progress.state);
    let fields: [(&'static str, &dyn std::fmt::Display); 4] = [
        ("service", &write.service),
        ("version", &write.progress.version),
        ("state", &state),
        ("revision", &position),
    ];
    // In a later era the revision may stand for another state of the order, which is read again.
    if position.era < store.era() {
        return shared.journal.log_routine(Event::ProgressLost, &fields);
    }
    let write = ProgressWrite { revision: position.revision, ..write.clone() };
    let call = (shared.dialect.store.write_progress)(&write);
    let purpose =
        CallPurpose { kind: FeedKind::Rollouts, reason: CallReason::Write, age: ListAge::Newest };
    let mut hold = store.reply_memory.open();
    let result = store.call(&call, purpose, Duration::ZERO, None, &mut hold).await;
    match result {
        Ok(_) => shared.journal.log(Event::ProgressWritten, &fields),
        Err(e) if e.code == Code::Conflict => {
            shared.journal.log_routine(Event::ProgressLost, &fields);
        }
        Err(e) => {
            let [service, version, state, revision] = fields;
            let reason = ("why", &e as &dyn std::fmt::Display);
            shared.journal.log(Event::ProgressLost, &[service, version, state, revision, reason]);
        }
    }
}
