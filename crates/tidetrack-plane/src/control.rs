//! The control thread: owns the beliefs, publishes views, and talks with the store.

use std::rc::Rc;
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

use crate::clock::{Moment, Suspensions};
use crate::dialect::{Age, FeedKind};
use crate::peers::Peers;
use crate::shared::SharedRef;
use crate::store::{Cause, Purpose, Store};
use crate::watch::Watches;

/// How often the beliefs are told that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// Runs the control thread until the process ends.
pub fn run(shared: SharedRef, inputs: Receiver<Input>) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let store = Rc::new(Store::new(shared.clone()));
        let (duties, duties_seen) = watch::channel(HostRoles::default());
        let watches = Watches::start(shared.clone(), store.clone(), duties_seen);
        let settings = &shared.settings;
        let (host, address) = (settings.host.clone(), settings.peer_address);
        let book = PeerTable::new(
            host.clone(),
            address,
            settings.failure_domain.clone(),
            settings.seeds.clone(),
        )
        .with_incarnation(rand::random())
        .with_well_connected(is_well_connected(settings.link));
        let peers = Peers::start(shared.clone()).await;
        let starter = BootstrapInfo {
            link: settings.link,
            is_seed: settings.seeds.is_empty() || settings.seeds.contains(&address),
            random_fraction: rand::random(),
        };
        let mut beliefs = FleetState::new(host, book)
            .with_exposure_bound(settings.bounds.new_version)
            .with_suspects(shared.suspects.clone())
            .with_bootstrap(shared.now(), starter);
        // Others are told of this start at once.
        shared.tell(Input::Tick);
        let outlets = Outlets { shared: shared.clone(), store, watches, peers };
        let (began, steady) = (Moment::now(), Instant::now());
        let mut suspensions = Suspensions::default();
        loop {
            let input = match tokio::time::timeout(TICK, inputs.recv_async()).await {
                Ok(Ok(input)) => input,
                Ok(Err(_)) => return,
                Err(_) => Input::Tick,
            };
            if let Some(time) = suspensions.look(began.elapsed(), steady.elapsed()) {
                shared.journal.line(Event::Suspended, &[("ms", &time.as_millis())]);
                shared.metrics.suspended(time);
            }
            for action in beliefs.handle_input(shared.now(), input, &shared.fresh) {
                outlets.carry_out(action);
            }
            if inputs.is_empty() {
                beliefs
                    .refresh_view(shared.now())
                    .into_iter()
                    .for_each(|view| outlets.carry_out(view));
            }
            let now = beliefs.roles();
            duties.send_if_modified(|is| std::mem::replace(is, now) != now);
        }
    });
    Ok(())
}

/// What the control thread acts through.
struct Outlets {
    shared: SharedRef,
    store: Rc<Store>,
    watches: Rc<Watches>,
    /// `None` if messages of other hosts cannot be heard.
    peers: Option<Peers>,
}

impl Outlets {
    fn carry_out(&self, action: Action) {
        let shared = &self.shared;
        match action {
            Action::PublishView(view) => shared.view.store(view),
            Action::ConfigConfirmed(began) => shared.fresh.record_proof(began),
            Action::SendMessages(messages) => {
                if let Some(peers) = &self.peers {
                    peers.send(&messages);
                }
            }
            Action::Fetch(catch) => {
                tokio::task::spawn_local(self.watches.clone().catch(catch));
            }
            Action::Log(event, text) => shared.journal.line(event, &[("detail", &text)]),
            Action::WriteProgress(write) => {
                tokio::task::spawn_local(write_progress(shared.clone(), self.store.clone(), write));
            }
        }
    }
}

/// Writes a roll-out's progress. The watch tells what came of it; another host may have been first.
async fn write_progress(shared: SharedRef, store: Rc<Store>, write: ProgressWrite) {
    let call = (shared.dialect.store.write_progress)(&write);
    let purpose = Purpose { kind: FeedKind::Rollouts, cause: Cause::Write, age: Age::Newest };
    let result = store.call(&call, purpose, Duration::ZERO, None).await;
    let state = format!("{:?}", write.progress.state);
    let fields: [(&'static str, &dyn std::fmt::Display); 4] = [
        ("service", &write.service),
        ("version", &write.progress.version),
        ("state", &state),
        ("revision", &write.revision),
    ];
    match result {
        Ok(_) => shared.journal.line(Event::ProgressWritten, &fields),
        Err(e) if e.code == Code::Conflict => {
            shared.journal.routine(Event::ProgressLost, &fields);
        }
        Err(e) => {
            let [service, version, state, revision] = fields;
            let why = ("why", &e as &dyn std::fmt::Display);
            shared.journal.line(Event::ProgressLost, &[service, version, state, revision, why]);
        }
    }
}
