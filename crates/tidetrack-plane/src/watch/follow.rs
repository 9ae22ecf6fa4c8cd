//! Lists each kind and watches its changes, on the hosts that report changes to others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::Error;
use tidetrack_core::traffic::bootstrap::DISCOVERY_TIME;
use tidetrack_core::units::Millis;

use crate::dialect::FeedKind;
use crate::store::CallReason;

use super::read::ignore_unneeded;
use super::StoreSync;

/// Time for which the store holds back the reply to a watch, in milliseconds. A dead connection is
/// detected earlier, by keepalive probes.
const WATCH_WAIT: Millis = Millis(20_000);

/// Pause after a change of the endpoints, so that several changes are collected in one reply.
/// Endpoints start and stop in groups, and a new entry has to take effect within two seconds.
const ENDPOINTS_SETTLE_TIME: Duration = Duration::from_millis(600);

/// Time below which a watch that returns without changes counts as short. The store normally holds back
/// such a reply for `WATCH_WAIT`.
const SHORT_WATCH_TIME: Duration = Duration::from_secs(1);

/// Pause after the first failed call, and after the first short watch without changes. It doubles with each further failure.
pub(super) const INITIAL_PAUSE: Duration = Duration::from_millis(60);

/// Maximum pause after failed calls on a host that other hosts depend on, or that has no state yet.
const MAX_PRIORITY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum pause after failed calls on all other hosts, which learn from those that the store is
/// reachable again.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(4);

impl StoreSync {
    /// Follows one kind for as long as the process runs.
    pub(super) async fn follow_forever(self: Rc<Self>, kind: FeedKind) {
        let mut store_recoveries = self.store_recoveries.subscribe();
        let mut pause = INITIAL_PAUSE;
        loop {
            store_recoveries.mark_unchanged();
            let before = self.position(kind);
            let e = tokio::select! {
                e = self.follow(kind) => e,
                () = self.wait_for_recovery(&mut store_recoveries), if kind != FeedKind::Catalog => continue,
            };
            if e.code == Code::ReplyNotNeeded {
                // The store responds, but its list arrived too slowly because of another reply.
                tokio::time::sleep(jittered(INITIAL_PAUSE)).await;
                continue;
            }
            // A list brings what the history lacks, unless the store refuses it for the same reason.
            let is_history_gone = e.code == Code::HistoryGone;
            let has_advanced = is_history_gone && self.position(kind) > before;
            if has_advanced || (!is_history_gone && self.record_failure(kind, &e)) {
                pause = INITIAL_PAUSE;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(self.max_pause(kind));
        }
    }

    /// Waits until the store is reachable again and this host is a watcher. Other hosts receive the
    /// changes from the watchers.
    async fn wait_for_recovery(&self, store_recoveries: &mut watch::Receiver<u64>) {
        // Neither sender is dropped before the process ends.
        let _ = store_recoveries.changed().await;
        let _ = self.roles.clone().wait_for(|roles| roles.is_watcher).await;
    }

    /// Returns the maximum pause after failed calls. Hosts that others depend on, or that have no
    /// state of the kind yet, retry more often.
    pub(super) fn max_pause(&self, kind: FeedKind) -> Duration {
        let roles = *self.roles.borrow();
        if roles.is_prover || roles.is_watcher || self.position(kind) == 0 {
            MAX_PRIORITY_PAUSE
        } else {
            MAX_PAUSE
        }
    }

    /// Brings a kind to the state of the store and follows its changes until a call fails. Returns
    /// the error.
    async fn follow(&self, kind: FeedKind) -> Error {
        let sync_result = match self.position(kind) {
            0 => {
                self.wait_until_synced(kind).await;
                Ok(())
            }
            // The changes since the last known one would include every version of the object, and
            // ten of them exceed the size limit of a reply.
            _ if kind.is_single_object() => self.read_list(kind, None, CallReason::Recovery).await,
            // A list would be hundreds of times as large, for this host and for all that receive it
            // from this one.
            after => {
                let read = self.read_changes_or_list(kind, after, Millis(0), CallReason::Recovery);
                read.await.or_else(ignore_unneeded)
            }
        };
        if let Err(e) = sync_result {
            return e;
        }
        self.record_recovery(kind);
        let mut roles = self.roles.clone();
        tokio::time::sleep_until((self.started_at + self.initial_watch_delay()).into()).await;
        let mut pause = INITIAL_PAUSE;
        loop {
            if roles.wait_for(|roles| roles.is_watcher).await.is_err() {
                return Error::new(Code::Internal, "the control thread has ended");
            }
            let before = self.position(kind);
            let newest_before = self.newest_change(kind);
            let started_at = Instant::now();
            let read = self.read_changes_or_list(kind, before, WATCH_WAIT, CallReason::Watch);
            if let Err(e) = read.await.or_else(ignore_unneeded) {
                return e;
            }
            if self.position(kind) > before {
                tokio::time::sleep(settle_time(kind)).await;
            }
            let is_short = started_at.elapsed() < SHORT_WATCH_TIME;
            if is_short && self.newest_change(kind) == newest_before {
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(self.max_pause(kind));
            } else {
                pause = INITIAL_PAUSE;
            }
        }
    }

    /// Waits until any state of the kind is known. A starting host receives it from another one, or
    /// reads it from the store after a delay.
    async fn wait_until_synced(&self, kind: FeedKind) {
        let mut sync_events = self.sync_events.subscribe();
        // The sender belongs to `self`, so it outlives this call.
        let _ = sync_events.wait_for(|()| self.position(kind) > 0).await;
    }

    /// Returns the time after the start during which a host that may have peers leaves watching to
    /// them.
    fn initial_watch_delay(&self) -> Duration {
        if self.shared.settings.seeds.is_empty() {
            Duration::ZERO
        } else {
            // By then, only a few of several starting hosts still consider themselves watchers.
            Duration::from_millis(DISCOVERY_TIME.0)
        }
    }
}

/// Returns the time for which changes are collected before the next watch starts.
fn settle_time(kind: FeedKind) -> Duration {
    match kind {
        FeedKind::Endpoints => ENDPOINTS_SETTLE_TIME,
        FeedKind::Catalog | FeedKind::Rollouts | FeedKind::Evacuations => Duration::ZERO,
    }
}

/// Returns a random duration between 0.5 and 1.5 times `pause`, so that hosts do not retry
/// simultaneously.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}
