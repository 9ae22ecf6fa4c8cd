//! The threads that talk with the object API: one reads the configuration, one the list of hosts, one
//! writes roll-out states.
//!
//! The list of hosts grows with the fleet and can wait; a change of the configuration cannot.

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

use crate::control::Msg;
use crate::shared::{PlatformDuty, Shared};

/// A watch waits so long for a change.
const WATCH_MS: u64 = 1_000;

/// Pause between looks at whether something is to be read.
const IDLE: Duration = Duration::from_millis(100);

/// Pauses after failures, doubling from the first to the last.
const BACKOFF_MS: (u64, u64) = (100, 2_000);

/// A roll-out's state to write.
pub struct StateJob {
    /// The roll-out.
    pub rollout: RolloutId,
    /// The version that the write expects.
    pub expected: u64,
    /// The state.
    pub state: RolloutState,
}

/// Reads the list of hosts until `stop` is closed.
///
/// The time to the next read counts from the end of the last: a slow one is not begun again at once.
pub fn hosts_loop(shared: Arc<Shared>, stop: Receiver<()>) {
    let every = Duration::from_millis(shared.settings.times.hosts_ms);
    let mut read_at: Option<Instant> = None;
    let mut is_lost = false;
    loop {
        let duty = shared.gate.duty();
        let is_due = read_at.is_none_or(|at| at.elapsed() >= every);
        if is_due && (duty.watcher || duty.alone || read_at.is_none()) {
            match shared.platform.hosts() {
                Ok(hosts) => {
                    is_lost = false;
                    // The control thread is gone only when the process ends.
                    let _ = shared.control.send(Msg::Hosts(hosts));
                }
                Err(e) if !is_lost => {
                    is_lost = true;
                    shared.log(Event::PlatformLost, &format!("the list of hosts: {e}"));
                }
                Err(_) => {}
            }
            read_at = Some(Instant::now());
        }
        if stop.recv_timeout(IDLE) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
    }
}

/// Reads the configuration until `stop` is closed.
pub fn read_loop(shared: Arc<Shared>, stop: Receiver<()>) {
    let mut failures = 0;
    let mut rng = rand::rng();
    let mut read_to = 0;
    loop {
        let duty = shared.gate.duty();
        let wait = match read_once(&shared, duty, &mut read_to) {
            Ok(true) => {
                if failures > 0 {
                    shared.log(Event::PlatformBack, "");
                }
                failures = 0;
                // A watch waits at the object API; whoever reads once waits until that is taken in.
                if duty.is_watch() {
                    Duration::ZERO
                } else {
                    IDLE
                }
            }
            Ok(false) => IDLE,
            Err(e) => {
                if failures == 0 {
                    shared.log(Event::PlatformLost, &e.to_string());
                }
                failures += 1;
                let most = (BACKOFF_MS.0 << failures.min(8)).min(BACKOFF_MS.1);
                Duration::from_millis(rng.random_range(BACKOFF_MS.0..=most))
            }
        };
        if stop.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
    }
}

/// Reads what is due; tells whether anything was read.
///
/// `read_to` is the revision up to which everything was handed to the control thread. It takes that in
/// in order but later: to ask by its own revision alone would read the same changes again.
fn read_once(shared: &Shared, duty: PlatformDuty, read_to: &mut u64) -> Result<bool> {
    let asked_at = shared.now();
    let after = duty.complete_to.max(*read_to);
    if after == 0 {
        return list(shared, read_to);
    }
    if !duty.watcher && !duty.poll {
        return Ok(false);
    }
    let wait = if duty.is_watch() { WATCH_MS } else { 0 };
    match shared.platform.watch_config(after, wait) {
        Ok(delta) => {
            *read_to = after.max(delta.to);
            // A watch says what was newest when it answered; what it was asked at is the safe side.
            let _ = shared.control.send(Msg::Changes { asked_at, delta });
            Ok(true)
        }
        Err(e) if e.code == Code::ObjectGone => list(shared, read_to),
        Err(e) => Err(e),
    }
}

fn list(shared: &Shared, read_to: &mut u64) -> Result<bool> {
    let asked_at = shared.now();
    let (revision, entries) = shared.platform.list_config()?;
    *read_to = revision.max(*read_to);
    let _ = shared.control.send(Msg::List { asked_at, revision, entries });
    Ok(true)
}

/// Writes roll-out states until all senders are gone.
pub fn write_loop(shared: Arc<Shared>, jobs: Receiver<StateJob>) {
    for job in jobs {
        let name = config_object_name(&ObjectKey::new(ObjectKind::RolloutState, &job.rollout));
        let body = serde_json::to_string(&job.state).expect("a state has text keys");
        let written = shared.platform.write_confirmed(&name, job.expected, &body);
        let version = written.map_or(0, |w| w.version);
        let msg = Msg::StateWritten { rollout: job.rollout, version, state: job.state };
        let _ = shared.control.send(msg);
        if version == 0 {
            std::thread::sleep(Duration::from_millis(BACKOFF_MS.0));
        }
    }
}
