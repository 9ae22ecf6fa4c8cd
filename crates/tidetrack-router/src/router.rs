//! A router: starts its threads and shuts them down in order.

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
use crate::control::{Control, ControlMsg, ControlOutputs};
use crate::metrics::Metrics;
use crate::peers::{self, PeerServiceParams};
use crate::server::CallerListener;
use crate::settings::Settings;
use crate::shared::{AdmissionState, Clock, Shared};
use crate::timers::Timers;
use crate::upstream::Upstream;
use crate::{loads, platform_io, rating, server, upstream};

/// Interval of the control thread's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which expired tickets are removed.
const TICKET_SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Stack size of a request thread in bytes.
const TRAFFIC_STACK_BYTES: usize = 256 * 1024;

/// Base stack size of the other threads in bytes; some use a multiple of it.
const DEFAULT_STACK_BYTES: usize = 256 * 1024;

/// Number of threads that send cancellations of attempts to endpoints.
const CANCEL_THREADS: usize = 2;

/// Interval at which a shutdown checks whether requests have ended and bills are stored.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a shutdown must get every bill written to the object API or held by another
/// host.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    caller_listener: CallerListener,
    caller_address: String,
    peer_address: String,
    bill_messages: Sender<BillMsg>,
    stop_sender: Option<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

fn spawn(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    Ok(Builder::new().name(name.to_string()).stack_size(stack).spawn(body)?)
}

fn listen(address: &str) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))?;
    // Accepted sockets inherit TCP_NODELAY. Without it, Nagle's algorithm would delay the small
    // events of a stream.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

impl Router {
    /// Starts a router. It serves connections when this returns and is ready once it has a
    /// configuration.
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings, logger: slog::Logger) -> Result<Router> {
        let caller_socket = listen(&settings.caller_address)?;
        let peer_socket = listen(&settings.peer_address)?;
        let caller_address = caller_socket.local_addr()?.to_string();
        let peer_address = peer_socket.local_addr()?.to_string();
        let incarnation =
            Incarnation { host: settings.host.clone(), nonce: u64::from(rand::random::<u32>()) };
        let member = Member {
            incarnation: incarnation.clone(),
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
        let (billing, bills_rx) =
            Billing::new(Duration::from_millis(settings.times.max_bill_wait_ms));
        let bills_tx = billing.sender();
        let platform = PlatformClient::new(&settings.platform_address);
        let shared = Arc::new(Shared {
            incarnation: incarnation.clone(),
            clock: Clock::start(),
            view: ArcSwap::from_pointee(View::default()),
            admission: AdmissionState::default(),
            is_leaving: AtomicBool::new(false),
            limits: Arc::default(),
            suspects: Arc::new(Suspects::new(settings.suspects).with_trial_delay(rand::random())),
            tickets: Mutex::new(TicketRegistry::new(incarnation.clone(), TicketOptions::default())),
            retry_budget: Mutex::default(),
            control: control_tx.clone(),
            billing: billing.clone(),
            rating_jobs: ratings_tx,
            timers: timers.clone(),
            platform: platform.clone(),
            metrics: Metrics::new()?,
            logger: logger.clone(),
            request_count: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            body_reads: AtomicU64::new(0),
            settings,
        });
        let settings = &shared.settings;
        let mut threads = Vec::new();
        peers::start(
            PeerServiceParams {
                host: settings.host.clone(),
                keys: settings.peer_keys.clone(),
                jobs: jobs_rx,
                control: control_tx.clone(),
                bill_messages: bills_tx.clone(),
                logger: logger.clone(),
            },
            peer_socket,
        )?;
        let flush_interval = Millis(settings.times.flush_interval_ms);
        let replicator_thread = ReplicatorThread {
            replicator: BillReplicator::new(shared.now(), incarnation.clone(), flush_interval),
            clock: shared.clock,
            jobs: jobs_tx.clone(),
            control: control_tx.clone(),
            segments: segments_tx,
        };
        spawn("bills", DEFAULT_STACK_BYTES, move || replicator_thread.run(&billing, bills_rx))?;
        let write_results = bills_tx.clone();
        let writer_logger = logger.clone();
        spawn("segments", DEFAULT_STACK_BYTES, move || {
            billing::write_loop(platform, segments_rx, write_results, writer_logger);
        })?;
        let outputs = ControlOutputs {
            peer_jobs: jobs_tx,
            bill_messages: bills_tx.clone(),
            state_writes: states_tx,
        };
        let control = Control::new(shared.clone(), node, outputs);
        threads.push(spawn("control", DEFAULT_STACK_BYTES * 4, move || control.run(control_rx))?);
        let (thread_shared, stop) = (shared.clone(), stop_rx.clone());
        spawn("platform", DEFAULT_STACK_BYTES, move || {
            platform_io::config_loop(thread_shared, stop)
        })?;
        let (thread_shared, stop) = (shared.clone(), stop_rx.clone());
        spawn("hosts", DEFAULT_STACK_BYTES, move || platform_io::hosts_loop(thread_shared, stop))?;
        let thread_shared = shared.clone();
        spawn("states", DEFAULT_STACK_BYTES, move || {
            platform_io::state_write_loop(thread_shared, states_rx)
        })?;
        let (thread_shared, stop) = (shared.clone(), stop_rx);
        spawn("loads", DEFAULT_STACK_BYTES, move || loads::run(thread_shared, stop))?;
        for _ in 0..rating::THREADS {
            let (thread_shared, jobs) = (shared.clone(), ratings_rx.clone());
            spawn("ratings", DEFAULT_STACK_BYTES, move || rating::run(thread_shared, jobs))?;
        }
        for _ in 0..CANCEL_THREADS {
            let cancels = cancels_rx.clone();
            spawn("cancels", DEFAULT_STACK_BYTES, move || upstream::cancel_loop(cancels))?;
        }
        let (endpoint_requests_tx, endpoint_requests_rx) = flume::unbounded();
        let upstream = Upstream { requests: endpoint_requests_tx, cancels: cancels_tx };
        let (queue_sender, queue_receiver) = flume::bounded(settings.limits.max_queued_requests);
        for _ in 0..settings.limits.threads {
            let (thread_shared, queued_requests, upstream) =
                (shared.clone(), queue_receiver.clone(), upstream.clone());
            spawn("traffic", TRAFFIC_STACK_BYTES, move || {
                server::process_requests(thread_shared, queued_requests, upstream)
            })?;
        }
        let (caller_listener, stop_signal) = CallerListener::new();
        let thread_shared = shared.clone();
        spawn("callers", DEFAULT_STACK_BYTES * 2, move || {
            if let Err(err) = server::serve_callers(
                thread_shared.clone(),
                caller_socket,
                stop_signal,
                queue_sender,
                endpoint_requests_rx,
            ) {
                thread_shared.log(Event::AcceptFailed, &err.to_string());
            }
        })?;
        subscribe_timers(&timers, &shared);
        shared.log(Event::Started, &format!("{incarnation} {caller_address} {peer_address}"));
        let stop_sender = Some(stop_tx);
        let bill_messages = bills_tx;
        Ok(Router {
            shared,
            caller_listener,
            caller_address,
            peer_address,
            bill_messages,
            stop_sender,
            threads,
        })
    }

    /// Returns the address that serves callers, as `ip:port`.
    pub fn caller_address(&self) -> &str {
        &self.caller_address
    }

    /// Returns the address that serves other hosts, as `ip:port`.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }

    /// Returns the state shared by the threads.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down in order: announces that the host is leaving, waits for requests in flight, and
    /// waits until every bill is written to the object API or held by another host.
    ///
    /// Returns whether the requests ended within `drain_timeout_ms` and the bills were stored
    /// within `FINAL_FLUSH_TIMEOUT`.
    pub fn stop(mut self) -> bool {
        let shared = self.shared.clone();
        let times = shared.settings.times.clone();
        shared.log(Event::Stopping, "");
        shared.is_leaving.store(true, Ordering::Release);
        let _ = shared.control.send(ControlMsg::Announce(MemberState::Leaving));
        // Load balancers must see that the host is not ready before it rejects requests.
        std::thread::sleep(Duration::from_millis(times.stop_grace_ms));
        shared.admission.drain();
        let drained = wait_until(Duration::from_millis(times.drain_timeout_ms), || {
            shared.in_flight.load(Ordering::Acquire) == 0
        });
        let is_billing_flushed = wait_until(FINAL_FLUSH_TIMEOUT, || shared.billing.flush());
        let _ = shared.control.send(ControlMsg::Announce(MemberState::Dead));
        // Waits for one heartbeat, which carries the announcement. Without it, the other hosts
        // would detect the departure only by the missing heartbeats.
        std::thread::sleep(Duration::from_millis(shared.settings.control.heartbeat_ms));
        shared.log(Event::Stopped, &format!("drained={drained} bills_safe={is_billing_flushed}"));
        self.shut_down();
        drained && is_billing_flushed
    }

    fn shut_down(&mut self) {
        self.stop_sender = None;
        self.caller_listener.stop();
        let _ = self.bill_messages.send(BillMsg::Stop);
        let _ = self.shared.control.send(ControlMsg::Stop);
        for thread in self.threads.drain(..) {
            // A panic of the control thread was already printed when it occurred.
            drop(thread.join());
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn subscribe_timers(timers: &Timers, shared: &Arc<Shared>) {
    let control = shared.control.clone();
    timers.subscribe(TICK_INTERVAL, move || control.send(ControlMsg::Tick).is_ok());
    let weak_shared = Arc::downgrade(shared);
    timers.subscribe(TICKET_SWEEP_INTERVAL, move || match weak_shared.upgrade() {
        Some(shared) => {
            shared.tickets().remove_expired(shared.now());
            true
        }
        None => false,
    });
}

fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
}
