//! Threads that call the object API: one reads the configuration, one reads the list of hosts and
//! one writes roll-out states.
//!
//! The list of hosts has its own thread because it grows with the fleet and must not delay a change
//! of the configuration.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError};
use rand::RngExt;

use tidetrack_core::codes::Code;
use tidetrack_core::config::{ObjectKey, ObjectKind, RolloutState};
use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::ids::RolloutId;
use tidetrack_wire::platform::config_object_name;

use crate::control::ControlMsg;
use crate::shared::{ReadPlan, Shared};

/// Time in milliseconds that a watch waits for a change.
const WATCH_TIMEOUT_MS: u64 = 1_000;

/// Interval between checks whether a read is due.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum and maximum backoff in milliseconds. Each pause after a failed read is random between
/// the minimum and an upper bound that doubles with every failure. A failed write is followed by
/// the minimum.
const BACKOFF_RANGE_MS: (u64, u64) = (100, 2_000);

/// A roll-out state to be written to the object API.
pub struct StateWrite {
    /// Roll-out whose state is written.
    pub rollout: RolloutId,
    /// Object version that the write requires; the write fails if the object has another version.
    pub expected_version: u64,
    /// State to write.
    pub state: RolloutState,
}

/// Reads the list of hosts until `stop` is closed.
///
/// The interval is measured from the end of a read, so that a slow read is not repeated
/// immediately.
pub fn hosts_loop(shared: Arc<Shared>, stop: Receiver<()>) {
    let interval = Duration::from_millis(shared.settings.times.hosts_read_interval_ms);
    let mut read_at: Option<Instant> = None;
    let mut is_unreachable = false;
    loop {
        let read_plan = shared.admission.read_plan();
        let is_due = read_at.is_none_or(|at| at.elapsed() >= interval);
        if is_due && (read_plan.is_watcher || read_plan.is_alone || read_at.is_none()) {
            match shared.platform.hosts() {
                Ok(hosts) => {
                    is_unreachable = false;
                    // The control thread ends only with the process.
                    let _ = shared.control.send(ControlMsg::Hosts(hosts));
                }
                Err(err) if !is_unreachable => {
                    is_unreachable = true;
                    shared
                        .log(Event::PlatformLost, &format!("cannot read the list of hosts: {err}"));
                }
                Err(_) => {}
            }
            read_at = Some(Instant::now());
        }
        if stop.recv_timeout(IDLE_POLL_INTERVAL) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
    }
}

/// Reads the configuration until `stop` is closed.
pub fn config_loop(shared: Arc<Shared>, stop: Receiver<()>) {
    let mut failures = 0;
    let mut rng = rand::rng();
    let mut read_revision = 0;
    loop {
        let read_plan = shared.admission.read_plan();
        let wait = match read_config(&shared, read_plan, &mut read_revision) {
            Ok(true) => {
                if failures > 0 {
                    shared.log(Event::PlatformBack, "");
                }
                failures = 0;
                // A watch waits at the object API. After a read without a wait, the control thread
                // needs time to apply the result.
                if read_plan.is_long_poll() {
                    Duration::ZERO
                } else {
                    IDLE_POLL_INTERVAL
                }
            }
            Ok(false) => IDLE_POLL_INTERVAL,
            Err(err) => {
                if failures == 0 {
                    shared.log(Event::PlatformLost, &err.to_string());
                }
                failures += 1;
                let max_backoff_ms =
                    (BACKOFF_RANGE_MS.0 << failures.min(8)).min(BACKOFF_RANGE_MS.1);
                Duration::from_millis(rng.random_range(BACKOFF_RANGE_MS.0..=max_backoff_ms))
            }
        };
        if stop.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
    }
}

/// Reads the configuration if a read is due and reports whether it did.
///
/// `read_revision` is the revision up to which changes were sent to the control thread. The control
/// thread applies them later, in order; requesting changes from its revision alone would read the
/// same changes again.
fn read_config(shared: &Shared, read_plan: ReadPlan, read_revision: &mut u64) -> Result<bool> {
    let requested_at = shared.now();
    let after_revision = read_plan.complete_to.max(*read_revision);
    if after_revision == 0 {
        return read_list(shared, read_revision);
    }
    if !read_plan.is_watcher && !read_plan.needs_poll {
        return Ok(false);
    }
    let wait = if read_plan.is_long_poll() { WATCH_TIMEOUT_MS } else { 0 };
    match shared.platform.watch_config(after_revision, wait) {
        Ok(delta) => {
            *read_revision = after_revision.max(delta.to);
            // A watch reports the newest revision at the time of its response. The time of the
            // request is earlier, so the confirmation is never dated too late.
            let _ = shared.control.send(ControlMsg::Changes { requested_at, delta });
            Ok(true)
        }
        Err(err) if err.code == Code::ObjectGone => read_list(shared, read_revision),
        Err(err) => Err(err),
    }
}

fn read_list(shared: &Shared, read_revision: &mut u64) -> Result<bool> {
    let requested_at = shared.now();
    let (revision, entries) = shared.platform.list_config()?;
    *read_revision = revision.max(*read_revision);
    let _ = shared.control.send(ControlMsg::List { requested_at, revision, entries });
    Ok(true)
}

/// Writes roll-out states until all senders are dropped, and reports each result to the control
/// thread.
pub fn state_write_loop(shared: Arc<Shared>, state_writes: Receiver<StateWrite>) {
    for state_write in state_writes {
        let name =
            config_object_name(&ObjectKey::new(ObjectKind::RolloutState, &state_write.rollout));
        let body =
            serde_json::to_string(&state_write.state).expect("a roll-out state serializes to JSON");
        let write_result =
            shared.platform.write_confirmed(&name, state_write.expected_version, &body);
        let version = write_result.map_or(0, |w| w.version);
        let message = ControlMsg::StateWritten {
            rollout: state_write.rollout,
            version,
            state: state_write.state,
        };
        let _ = shared.control.send(message);
        if version == 0 {
            std::thread::sleep(Duration::from_millis(BACKOFF_RANGE_MS.0));
        }
    }
}
