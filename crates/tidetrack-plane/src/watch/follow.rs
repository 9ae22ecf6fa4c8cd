//! Lists each kind and watches its changes, on the hosts that others hear from.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::Error;
use tidetrack_core::traffic::bootstrap::DISCOVERY_TIME;
use tidetrack_core::units::Millis;

use crate::dialect::FeedKind;
use crate::store::CallReason;

use super::read::ignore_unneeded;
use super::StoreSync;

/// How long the store holds a watch. A dead connection is noticed by its probes.
const WATCH_WAIT: Millis = Millis(20_000);

/// Pause after a change of the endpoints, in which others gather for one reply: endpoints start and
/// leave in groups, and an entry counts within two seconds.
const ENDPOINTS_SETTLE_TIME: Duration = Duration::from_millis(600);

/// First pause after a failed call; it doubles.
pub(super) const INITIAL_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls of a host that others rely on.
const MAX_PRIORITY_PAUSE: Duration = Duration::from_millis(500);

/// The same for all other hosts: they hear from those that the store is back.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(4);

impl StoreSync {
    /// Keeps one kind for as long as the process runs.
    pub(super) async fn follow_forever(self: Rc<Self>, kind: FeedKind) {
        let mut store_recoveries = self.store_recoveries.subscribe();
        let mut pause = INITIAL_PAUSE;
        loop {
            store_recoveries.mark_unchanged();
            let e = tokio::select! {
                e = self.follow(kind) => e,
                () = self.wait_for_recovery(&mut store_recoveries), if kind != FeedKind::Catalog => continue,
            };
            if e.code == Code::ReplyNotNeeded {
                // The store answers; a list of it came too slowly beside another reply.
                tokio::time::sleep(jittered(INITIAL_PAUSE)).await;
                continue;
            }
            if e.code == Code::HistoryGone {
                pause = INITIAL_PAUSE;
                continue;
            }
            if self.record_failure(kind, &e) {
                pause = INITIAL_PAUSE;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(self.max_pause(kind));
        }
    }

    /// Waits until the store is back, on a host that watches it; the others hear from those.
    async fn wait_for_recovery(&self, store_recoveries: &mut watch::Receiver<u64>) {
        // Neither sender ends before the process.
        let _ = store_recoveries.changed().await;
        let _ = self.roles.clone().wait_for(|roles| roles.is_watcher).await;
    }

    /// Gets the longest pause after failed calls: hosts that others rely on, or that know nothing yet,
    /// try more often.
    pub(super) fn max_pause(&self, kind: FeedKind) -> Duration {
        let roles = *self.roles.borrow();
        if roles.is_prover || roles.is_watcher || self.position(kind) == 0 {
            MAX_PRIORITY_PAUSE
        } else {
            MAX_PAUSE
        }
    }

    /// Brings a kind to the store's state and follows its changes until a call fails.
    async fn follow(&self, kind: FeedKind) -> Error {
        let sync_events = match self.position(kind) {
            0 => {
                self.wait_until_synced(kind).await;
                Ok(())
            }
            // The changes since would tell each version, and ten of them are more than a reply may have.
            _ if kind.is_single_object() => self.read_list(kind, None, CallReason::Recovery).await,
            // A list would be hundreds of times as large, for this host and all that hear from it.
            after => {
                let read = self.read_changes_or_list(kind, after, Millis(0), CallReason::Recovery);
                read.await.or_else(ignore_unneeded)
            }
        };
        if let Err(e) = sync_events {
            return e;
        }
        self.record_recovery(kind);
        let mut roles = self.roles.clone();
        tokio::time::sleep_until((self.started_at + self.initial_watch_delay()).into()).await;
        loop {
            if roles.wait_for(|roles| roles.is_watcher).await.is_err() {
                return Error::new(Code::Internal, "the control thread ends");
            }
            let before = self.position(kind);
            let read = self.read_changes_or_list(kind, before, WATCH_WAIT, CallReason::Watch);
            if let Err(e) = read.await.or_else(ignore_unneeded) {
                return e;
            }
            if self.position(kind) > before {
                tokio::time::sleep(settle_time(kind)).await;
            }
        }
    }

    /// Waits until a kind is known at all: a host that starts is given it, or reads it when its time has come.
    async fn wait_until_synced(&self, kind: FeedKind) {
        let mut sync_events = self.sync_events.subscribe();
        // The sender lives as long as this does.
        let _ = sync_events.wait_for(|()| self.position(kind) > 0).await;
    }

    /// Gets the time after the start in which a host that may have others leaves the watches to them.
    fn initial_watch_delay(&self) -> Duration {
        if self.shared.settings.seeds.is_empty() {
            Duration::ZERO
        } else {
            // By then few think that they are to watch.
            Duration::from_millis(DISCOVERY_TIME.0)
        }
    }
}

/// Gets how long changes gather before the next watch begins.
fn settle_time(kind: FeedKind) -> Duration {
    match kind {
        FeedKind::Endpoints => ENDPOINTS_SETTLE_TIME,
        FeedKind::Catalog | FeedKind::Rollouts => Duration::ZERO,
    }
}

/// Draws a pause around `pause`, so that hosts do not come back in step.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}
