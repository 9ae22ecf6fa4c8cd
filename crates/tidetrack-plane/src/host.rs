//! The process of a host: starts the threads and performs graceful stops.

use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::body_budget::{max_connections_in_memory, receive_buffer_bytes};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::stop::{StopSchedule, StopStage};
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use crate::bind::bind_when_available;
use crate::clock::Clock;
use crate::closed_connections::CloseLog;
use crate::control;
use crate::dialect::Dialect;
use crate::exchange::serve;
use crate::forward::serve_connections;
use crate::job::Traffic;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::pages::serve_readiness_and_metrics;
use crate::paths::run_path_monitor;
use crate::server::{
    accept_loop, listen, listen_with_buffer, Connections, ServerOptions, LISTEN_BACKLOG,
};
use crate::settings::HostSettings;
use crate::shared::Shared;
use crate::signals::{SignalRequest, Signals};

/// Interval at which a stop checks whether all requests and connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time to wait until the last log lines are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// File descriptors reserved for logs, the store and the runtime.
const RESERVED_FILES: usize = 264;

/// Stack size of a thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// The process of a host.
pub struct Host {
    shared: Arc<Shared>,
}

impl Host {
    /// Serves callers until a stop signal. `reload` reads the settings again and is called on a
    /// reload signal. Waits for addresses that are in use or not assigned to the machine. Fails if the
    /// threads cannot be started or an address cannot be bound for another reason.
    pub fn run(
        settings: HostSettings,
        dialect: Dialect,
        signals: Signals,
        reload: impl Fn() -> Result<HostSettings>,
    ) -> Result<()> {
        let journal = Journal::start(settings.host.as_str())?;
        let (input_sender, input_receiver) = flume::unbounded();
        let (connection_sender, connection_receiver) = flume::unbounded();
        let suspects = Arc::new(Suspects::new(settings.suspects).with_trial_delay(rand::random()));
        let shared = Arc::new(Shared {
            settings,
            dialect,
            clock: Clock::start(),
            view: ArcSwap::from_pointee(FleetView::default()),
            forward_targets: ArcSwap::default(),
            forwarded_connections: connection_sender,
            freshness: Freshness::default(),
            suspects,
            fair_shares: Default::default(),
            is_leaving: Default::default(),
            input_sender,
            journal,
            metrics: Metrics::new()?,
        });
        let control_shared = shared.clone();
        std::thread::Builder::new().name("control".into()).stack_size(THREAD_STACK_BYTES).spawn(
            move || {
                let journal = control_shared.journal.clone();
                if let Err(e) = control::run(control_shared, input_receiver) {
                    journal.log(Event::ThreadPanicked, &[("why", &e)]);
                }
            },
        )?;
        let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
        let host = Host { shared };
        LocalSet::new().block_on(&runtime, host.serve(signals, reload, connection_receiver))
    }

    async fn serve(
        self,
        mut signals: Signals,
        reload: impl Fn() -> Result<HostSettings>,
        forwarded_connections: flume::Receiver<std::net::TcpStream>,
    ) -> Result<()> {
        let settings = &self.shared.settings;
        let traffic = Rc::new(Traffic::new(self.shared.clone()));
        let connections = Rc::new(Connections::default());
        let (failure_sender, failures) = flume::unbounded();
        tokio::task::spawn_local(run_path_monitor(traffic.clone()));
        tokio::task::spawn_local(serve_connections(
            traffic.clone(),
            forwarded_connections,
            traffic.stop_stage.subscribe(),
        ));
        let options = server_options(&traffic);
        let (shared, accepted) = (self.shared.clone(), connections.clone());
        let stage = traffic.stop_stage.subscribe();
        spawn_reporting(&failure_sender, async move {
            let listener = listen_for_callers(&shared, &options).await?;
            let address = shared.settings.caller_address;
            shared.journal.log(Event::Started, &[("address", &address)]);
            accept_loop(listener, options, accepted, stage).await;
            Ok(())
        });
        for address in std::iter::once(settings.readiness_address).chain(settings.metrics_address) {
            let shared = self.shared.clone();
            spawn_reporting(&failure_sender, async move {
                let bind = async || listen(address);
                let listener = bind_when_available(&shared.journal, address, bind).await?;
                serve_readiness_and_metrics(shared, listener).await;
                Ok(())
            });
        }
        tokio::task::spawn_local(remove_unused_connections(traffic.clone()));
        let host_traffic = traffic.clone();
        tokio::task::spawn_local(async move { host_traffic.host_pool.run_expiry(|_| true).await });
        loop {
            let signal_request = tokio::select! {
                signal_request = signals.next() => signal_request,
                Ok(e) = failures.recv_async() => return Err(e),
            };
            match signal_request {
                Some(SignalRequest::Reload) => self.log_reload(reload()),
                Some(SignalRequest::Stop) | None => break,
            }
        }
        self.stop(&traffic, &connections).await;
        Ok(())
    }

    /// Logs whether the settings have changed. The addresses and bounds of a running process stay
    /// as they are; the platform restarts a host to change them.
    fn log_reload(&self, settings: Result<HostSettings>) {
        let outcome = match settings {
            Ok(new) if new == self.shared.settings => "unchanged".to_string(),
            Ok(_) => "changed; the new settings apply from the next start".to_string(),
            Err(e) => {
                format!("the settings cannot be read, the previous ones stay in force: {e:#}")
            }
        };
        self.shared.journal.log(Event::SettingsReloaded, &[("outcome", &outcome)]);
    }

    /// Stops gracefully: reports the host as not ready, gives load balancers time to notice, waits
    /// for requests in flight, and interrupts those that are not complete in time.
    async fn stop(&self, traffic: &Traffic, connections: &Connections) {
        let started_at = Instant::now();
        let shared = &self.shared;
        shared.is_leaving.store(true, Ordering::Release);
        shared.send_input(Input::Leaving);
        shared.journal.log(Event::Stopping, &[("in_flight", &traffic.in_flight.get())]);
        let schedule = StopSchedule::new(shared.settings.bounds.stop_timeout);
        traffic.stop.set(Some((schedule, started_at)));
        let mut interrupted_count = 0;
        loop {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            let elapsed = Millis(started_at.elapsed().as_millis() as u64);
            let stage = schedule.stage(elapsed);
            let is_new =
                traffic.stop_stage.send_if_modified(|s| std::mem::replace(s, stage) != stage);
            if is_new && stage == StopStage::Interrupting {
                interrupted_count = traffic.in_flight.get();
            }
            let is_idle = traffic.in_flight.get() == 0 && connections.open() == 0;
            if schedule.is_over(elapsed, is_idle) {
                break;
            }
        }
        let cut_count = traffic.in_flight.get();
        let fields: [(&'static str, &dyn std::fmt::Display); 2] =
            [("interrupted", &interrupted_count), ("cut", &cut_count)];
        shared.journal.log(Event::Stopped, &fields);
        shared.journal.flush(LOG_FLUSH_TIMEOUT);
    }
}

/// Runs a task of the host and reports its failure.
fn spawn_reporting(
    failure_sender: &flume::Sender<anyhow::Error>,
    task: impl Future<Output = Result<()>> + 'static,
) {
    let failure_sender = failure_sender.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = task.await {
            // The receiver is gone only while the host stops.
            drop(failure_sender.send(e));
        }
    });
}

/// Opens the listening socket for callers once its address is available.
async fn listen_for_callers(shared: &Shared, opts: &ServerOptions) -> Result<TcpListener> {
    let address = shared.settings.caller_address;
    let bind = async || match opts.receive_buffer {
        Some(bytes) => listen_with_buffer(address, bytes),
        None => listen(address),
    };
    bind_when_available(&shared.journal, address, bind).await
}

/// Builds the options for serving callers.
fn server_options(traffic: &Rc<Traffic>) -> ServerOptions {
    // Half of the file descriptors are for connections to endpoints, since each request in flight
    // needs one descriptor for its caller and one for its endpoint.
    let settings = &traffic.shared.settings;
    let max_files = settings.max_files;
    let (limits_shared, log_shared) = (traffic.shared.clone(), traffic.shared.clone());
    let (close_shared, close_log) = (traffic.shared.clone(), CloseLog::default());
    let traffic = traffic.clone();
    let max_connections = (max_files.saturating_sub(RESERVED_FILES).max(2) / 2)
        .min(max_connections_in_memory(settings.memory));
    let receiving = max_connections + LISTEN_BACKLOG as usize;
    let body_memory = traffic.body_memory.clone();
    ServerOptions {
        max_connections,
        on_full: Rc::new(move || body_memory.evict_stalled()),
        receive_buffer: Some(receive_buffer_bytes(settings.memory, receiving)),
        limits: Rc::new(move || {
            let view = limits_shared.view.load();
            view.catalog.as_ref().map(|c| c.limits).unwrap_or_default()
        }),
        handler: Rc::new(move |req| Box::pin(serve(traffic.clone(), req))),
        on_accept_error: Rc::new(move |e| {
            log_shared.journal.log(Event::AcceptFailed, &[("why", e)])
        }),
        on_closed: Rc::new(move |closed| close_log.record(&close_shared, closed)),
    }
}

/// Closes pooled connections that have been idle for too long or whose endpoint is not registered
/// any more.
async fn remove_unused_connections(traffic: Rc<Traffic>) {
    let is_listed = |name: &str| {
        let view = traffic.shared.view.load();
        view.services.values().any(|s| s.has_endpoint(name))
    };
    traffic.pool.run_expiry(is_listed).await;
}
