//! One router: starts the threads, and stops them as planned.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use flume::Sender;

use tidetrack_core::bill_replicator::BillReplicator;
use tidetrack_core::events::Event;
use tidetrack_core::ids::Incarnation;
use tidetrack_core::membership::{Member, MemberState};
use tidetrack_core::node::Node;
use tidetrack_core::tickets::{TicketOptions, TicketRegistry};
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::units::Millis;
use tidetrack_core::view::View;
use tidetrack_wire::platform::PlatformClient;

use crate::billing::{self, BillMsg, Billing, ReplicatorThread};
use crate::control::{Control, Msg, Outlets};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::server::Listening;
use crate::settings::Settings;
use crate::shared::{Clock, Gate, Shared};
use crate::timers::Timers;
use crate::upstream::Upstream;
use crate::{loads, platform_io, rating, server, upstream};

/// The control thread looks around this often.
const TICK: Duration = Duration::from_millis(25);

/// Tickets are swept this often.
const SWEEP: Duration = Duration::from_secs(5);

/// Stack of a thread that carries requests, in bytes.
const TRAFFIC_STACK: usize = 256 * 1024;

/// Stack of the other threads, in bytes.
const SMALL_STACK: usize = 256 * 1024;

/// Threads that cancel attempts.
const CANCEL_THREADS: usize = 2;

/// Pause between looks at whether a planned stop has come to its end.
const DRAIN_LOOK: Duration = Duration::from_millis(10);

/// Bills must stand or be held within this time at a planned stop.
const LAST_FLUSH: Duration = Duration::from_secs(30);

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    listening: Listening,
    caller_address: String,
    peer_address: String,
    bills: Sender<BillMsg>,
    stop: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

fn spawn(name: &str, stack: usize, f: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    Ok(Builder::new().name(name.to_string()).stack_size(stack).spawn(f)?)
}

fn listen(address: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| format!("listen on {address}"))?;
    // Accepted sockets inherit the option; a stream's small events would wait otherwise.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

impl Router {
    /// Starts a router; it serves when this returns, and is ready once it has a configuration.
    pub fn start(settings: Settings, logger: slog::Logger) -> Result<Router> {
        let callers = listen(&settings.caller_address)?;
        let others = listen(&settings.peer_address)?;
        let caller_address = callers.local_addr()?.to_string();
        let peer_address = others.local_addr()?.to_string();
        let own =
            Incarnation { host: settings.host.clone(), nonce: u64::from(rand::random::<u32>()) };
        let member = Member {
            incarnation: own.clone(),
            state_version: 1,
            state: MemberState::Alive,
            peer_address: settings.advertised_peer_address.clone().unwrap_or(peer_address.clone()),
            caller_address: settings
                .advertised_caller_address
                .clone()
                .unwrap_or(caller_address.clone()),
            failure_domain: settings.failure_domain.clone(),
        };
        let node = Node::new(member, settings.control.clone(), rand::random());
        let timers = Timers::start()?;
        let (control_tx, control_rx) = flume::unbounded();
        let (jobs_tx, jobs_rx) = flume::unbounded();
        let (states_tx, states_rx) = flume::unbounded();
        let (ratings_tx, ratings_rx) = flume::bounded(rating::QUEUE_CAPACITY);
        let (segments_tx, segments_rx) = flume::unbounded();
        let (cancels_tx, cancels_rx) = flume::unbounded();
        let (stop_tx, stop_rx) = flume::bounded::<()>(0);
        let (billing, bills_rx) = Billing::new(Duration::from_millis(settings.times.bill_ms));
        let bills_tx = billing.sender();
        let platform = PlatformClient::new(&settings.platform);
        let shared = Arc::new(Shared {
            own: own.clone(),
            clock: Clock::start(),
            view: ArcSwap::from_pointee(View::default()),
            gate: Gate::default(),
            leaving: AtomicBool::new(false),
            limits: Arc::default(),
            suspects: Arc::new(Suspects::new(settings.suspects)),
            tickets: Mutex::new(TicketRegistry::new(own.clone(), TicketOptions::default())),
            retries: Mutex::default(),
            control: control_tx.clone(),
            billing: billing.clone(),
            ratings: ratings_tx,
            timers: timers.clone(),
            platform: platform.clone(),
            metrics: Metrics::new()?,
            logger: logger.clone(),
            numbers: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            reading: AtomicU64::new(0),
            settings,
        });
        let settings = &shared.settings;
        let mut threads = Vec::new();
        peers::start(
            Peers {
                host: settings.host.clone(),
                keys: settings.peer_keys.clone(),
                jobs: jobs_rx,
                control: control_tx.clone(),
                bills: bills_tx.clone(),
                logger: logger.clone(),
            },
            others,
        )?;
        let flush_every = Millis(settings.times.flush_ms);
        let keeper = ReplicatorThread {
            replicator: BillReplicator::new(shared.now(), own.clone(), flush_every),
            clock: shared.clock,
            jobs: jobs_tx.clone(),
            control: control_tx.clone(),
            segments: segments_tx,
        };
        spawn("bills", SMALL_STACK, move || keeper.run(&billing, bills_rx))?;
        let done = bills_tx.clone();
        let log = logger.clone();
        spawn("segments", SMALL_STACK, move || {
            billing::write_loop(platform, segments_rx, done, log);
        })?;
        let outlets = Outlets { jobs: jobs_tx, bills: bills_tx.clone(), states: states_tx };
        let control = Control::new(shared.clone(), node, outlets);
        threads.push(spawn("control", SMALL_STACK * 4, move || control.run(control_rx))?);
        let (s, stop) = (shared.clone(), stop_rx.clone());
        spawn("platform", SMALL_STACK, move || platform_io::read_loop(s, stop))?;
        let (s, stop) = (shared.clone(), stop_rx.clone());
        spawn("hosts", SMALL_STACK, move || platform_io::hosts_loop(s, stop))?;
        let s = shared.clone();
        spawn("states", SMALL_STACK, move || platform_io::write_loop(s, states_rx))?;
        let (s, stop) = (shared.clone(), stop_rx);
        spawn("loads", SMALL_STACK, move || loads::run(s, stop))?;
        for _ in 0..rating::THREADS {
            let (s, jobs) = (shared.clone(), ratings_rx.clone());
            spawn("ratings", SMALL_STACK, move || rating::run(s, jobs))?;
        }
        for _ in 0..CANCEL_THREADS {
            let cancels = cancels_rx.clone();
            spawn("cancels", SMALL_STACK, move || upstream::cancel_loop(cancels))?;
        }
        let (errands_tx, errands_rx) = flume::unbounded();
        let upstream = Upstream { requests: errands_tx, cancels: cancels_tx };
        let (taken_tx, taken_rx) = flume::bounded(settings.limits.waiting);
        for _ in 0..settings.limits.threads {
            let (s, taken, upstream) = (shared.clone(), taken_rx.clone(), upstream.clone());
            spawn("traffic", TRAFFIC_STACK, move || server::traffic_loop(s, taken, upstream))?;
        }
        let (listening, end) = Listening::new();
        let s = shared.clone();
        spawn("callers", SMALL_STACK * 2, move || {
            if let Err(e) = server::serve_callers(s.clone(), callers, end, taken_tx, errands_rx) {
                s.log(Event::AcceptFailed, &e.to_string());
            }
        })?;
        subscribe(&timers, &shared);
        shared.log(Event::Started, &format!("{own} {caller_address} {peer_address}"));
        let stop = Some(stop_tx);
        let bills = bills_tx;
        Ok(Router { shared, listening, caller_address, peer_address, bills, stop, threads })
    }

    /// Gets the address for callers.
    pub fn caller_address(&self) -> &str {
        &self.caller_address
    }

    /// Gets the address for other hosts.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// Gets what the threads share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops as planned: says so, lets requests end, makes every bill stand or be held.
    ///
    /// Gives back whether all of it came about within the settings' times.
    pub fn stop(mut self) -> bool {
        let shared = self.shared.clone();
        let times = shared.settings.times.clone();
        shared.log(Event::Stopping, "");
        shared.leaving.store(true, Ordering::Release);
        let _ = shared.control.send(Msg::Announce(MemberState::Leaving));
        // Balancers see readiness say no before requests are refused.
        std::thread::sleep(Duration::from_millis(times.grace_ms));
        shared.gate.drain();
        let drained = wait_until(Duration::from_millis(times.drain_ms), || {
            shared.in_flight.load(Ordering::Acquire) == 0
        });
        let safe = wait_until(LAST_FLUSH, || shared.billing.flush());
        let _ = shared.control.send(Msg::Announce(MemberState::Dead));
        // One beat of the links carries the farewell; without it the others find out by silence.
        std::thread::sleep(Duration::from_millis(shared.settings.control.heartbeat_ms));
        shared.log(Event::Stopped, &format!("drained={drained} bills_safe={safe}"));
        self.end();
        drained && safe
    }

    fn end(&mut self) {
        self.stop = None;
        self.listening.stop();
        let _ = self.bills.send(BillMsg::Stop);
        let _ = self.shared.control.send(Msg::Stop);
        for thread in self.threads.drain(..) {
            // A panic of the control thread was printed when it happened.
            drop(thread.join());
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

fn subscribe(timers: &Timers, shared: &Arc<Shared>) {
    let control = shared.control.clone();
    timers.subscribe(TICK, move || control.send(Msg::Tick).is_ok());
    let tickets = Arc::downgrade(shared);
    timers.subscribe(SWEEP, move || match tickets.upgrade() {
        Some(shared) => {
            shared.tickets().remove_expired(shared.now());
            true
        }
        None => false,
    });
}

fn wait_until(most: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + most;
    loop {
        if done() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(DRAIN_LOOK);
    }
}
