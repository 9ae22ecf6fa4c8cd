//! One host's process: starts its threads, and stops as planned.

use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use arc_swap::ArcSwap;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::traffic::view::FleetView;

use crate::clock::Clock;
use crate::closes::Closes;
use crate::control;
use crate::dialect::Dialect;
use crate::exchange::serve;
use crate::job::Traffic;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::server::{
    accept_loop, listen, serve_readiness_and_metrics, Connections, ServerOptions, StopStage,
};
use crate::settings::HostSettings;
use crate::shared::Shared;
use crate::signals::{Asked, Signals};

/// Time after a stop signal in which requests are still taken: a balancer asks for readiness once a
/// second and acts on the second miss.
const TAKES_REQUESTS_FOR: Duration = Duration::from_millis(2_300);

/// Least time from a stop signal to the end of the process.
const LEAST_STOP: Duration = Duration::from_millis(3_000);

/// Time kept before the process would be ended by force.
const KEPT_BEFORE_FORCE: Duration = Duration::from_millis(350);

/// Pause between looks at whether a planned stop has come to its end.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Longest wait for the last lines of the log.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Files kept free for logs, the store and what the runtime needs.
const FILES_KEPT: usize = 264;

/// Stack of the threads, in bytes.
const STACK: usize = 512 << 10;

/// A host's process.
pub struct Host {
    shared: Arc<Shared>,
}

impl Host {
    /// Serves until a stop signal; `reload` reads the settings anew.
    pub fn run(
        settings: HostSettings,
        dialect: Dialect,
        signals: Signals,
        reload: impl Fn() -> Result<HostSettings>,
    ) -> Result<()> {
        let journal = Journal::start(settings.host.as_str())?;
        let (inputs, from_inputs) = flume::unbounded();
        let suspects = Arc::new(Suspects::new(settings.suspects));
        let shared = Arc::new(Shared {
            settings,
            dialect,
            clock: Clock::start(),
            view: ArcSwap::from_pointee(FleetView::default()),
            fresh: Freshness::default(),
            suspects,
            is_leaving: Default::default(),
            inputs,
            journal,
            metrics: Metrics::new()?,
        });
        let for_control = shared.clone();
        std::thread::Builder::new().name("control".into()).stack_size(STACK).spawn(move || {
            let journal = for_control.journal.clone();
            if let Err(e) = control::run(for_control, from_inputs) {
                journal.line(Event::ThreadPanicked, &[("why", &e)]);
            }
        })?;
        let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
        let host = Host { shared };
        LocalSet::new().block_on(&runtime, host.serve(signals, reload))
    }

    async fn serve(
        self,
        mut signals: Signals,
        reload: impl Fn() -> Result<HostSettings>,
    ) -> Result<()> {
        let settings = &self.shared.settings;
        let traffic = Rc::new(Traffic::new(self.shared.clone()));
        let (stage, stage_seen) = watch::channel(StopStage::Serving);
        let connections = Rc::new(Connections::default());
        let callers = listen(settings.caller_address)?;
        let readiness = listen(settings.readiness_address)?;
        let opts = server_options(&traffic);
        tokio::task::spawn_local(accept_loop(callers, opts, connections.clone(), stage_seen));
        tokio::task::spawn_local(serve_readiness_and_metrics(self.shared.clone(), readiness));
        if let Some(address) = settings.metrics_address {
            tokio::task::spawn_local(serve_readiness_and_metrics(
                self.shared.clone(),
                listen(address)?,
            ));
        }
        tokio::task::spawn_local(sweep(traffic.clone()));
        let address = settings.caller_address;
        self.shared.journal.line(Event::Started, &[("address", &address)]);
        while let Some(asked) = signals.next().await {
            match asked {
                Asked::Reload => self.note_reload(reload()),
                Asked::Stop => break,
            }
        }
        self.stop(&traffic, &connections, &stage).await;
        Ok(())
    }

    /// Logs what a reload changed. Addresses and bounds of a running process stay; the platform
    /// starts a host anew to change them.
    fn note_reload(&self, settings: Result<HostSettings>) {
        let outcome = match settings {
            Ok(new) if new == self.shared.settings => "unchanged".to_string(),
            Ok(_) => "changed; in force from the next start".to_string(),
            Err(e) => format!("not readable, the old ones stay: {e:#}"),
        };
        self.shared.journal.line(Event::SettingsReloaded, &[("outcome", &outcome)]);
    }

    /// Stops as planned: says so, lets balancers notice, then waits for what is in flight.
    async fn stop(
        &self,
        traffic: &Traffic,
        connections: &Connections,
        stage: &watch::Sender<StopStage>,
    ) {
        let began = Instant::now();
        let shared = &self.shared;
        shared.is_leaving.store(true, Ordering::Release);
        shared.journal.line(Event::Stopping, &[("in_flight", &traffic.in_flight.get())]);
        let most = Duration::from_millis(shared.settings.bounds.stop_within.0);
        let last = began + most.saturating_sub(KEPT_BEFORE_FORCE);
        loop {
            tokio::time::sleep(STOP_LOOK).await;
            let elapsed = began.elapsed();
            if elapsed >= TAKES_REQUESTS_FOR && *stage.borrow() == StopStage::Serving {
                traffic.is_refusing.set(true);
                stage.send_replace(StopStage::Closing);
            }
            let is_idle = traffic.in_flight.get() == 0 && connections.open() == 0;
            if (elapsed >= LEAST_STOP && is_idle) || Instant::now() >= last {
                break;
            }
        }
        let left = traffic.in_flight.get();
        shared.journal.line(Event::Stopped, &[("cut", &left)]);
        shared.journal.flush(LAST_LINES);
    }
}

/// Gets how the traffic plane serves callers.
fn server_options(traffic: &Rc<Traffic>) -> ServerOptions {
    // Half of the files are for endpoints: each request in flight has one of either kind.
    let most_files = traffic.shared.settings.most_files;
    let (for_limits, for_log) = (traffic.shared.clone(), traffic.shared.clone());
    let (for_closes, closes) = (traffic.shared.clone(), Closes::default());
    let traffic = traffic.clone();
    ServerOptions {
        max_connections: most_files.saturating_sub(FILES_KEPT).max(2) / 2,
        limits: Rc::new(move || {
            let view = for_limits.view.load();
            view.catalog.as_ref().map(|c| c.limits).unwrap_or_default()
        }),
        handler: Rc::new(move |req| Box::pin(serve(traffic.clone(), req))),
        on_accept_error: Rc::new(move |e| for_log.journal.line(Event::AcceptFailed, &[("why", e)])),
        on_closed: Rc::new(move |closed| closes.note(&for_closes, closed)),
    }
}

/// Closes kept connections that rested too long or whose endpoint is gone.
async fn sweep(traffic: Rc<Traffic>) {
    let is_listed = |name: &str| {
        let view = traffic.shared.view.load();
        view.services.values().any(|s| s.has_endpoint(name))
    };
    traffic.pool.run_expiry(is_listed).await;
}
