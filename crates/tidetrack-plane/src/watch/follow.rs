//! Lists each kind and watches its changes, on the hosts that others hear from.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::Error;
use tidetrack_core::traffic::bootstrap::DISCOVERY_TIME;
use tidetrack_core::units::Millis;

use crate::dialect::FeedKind;
use crate::store::Cause;

use super::read::unless_needless;
use super::Watches;

/// How long the store holds a watch. A dead connection is noticed by its probes.
const WATCH_WAIT: Millis = Millis(20_000);

/// Pause after a change of the endpoints, in which others gather for one reply: endpoints start and
/// leave in groups, and an entry counts within two seconds.
const ENDPOINTS_SETTLE: Duration = Duration::from_millis(600);

/// First pause after a failed call; it doubles.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls of a host that others rely on.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The same for all other hosts: they hear from those that the store is back.
pub(super) const LONGEST_PAUSE_OF_MANY: Duration = Duration::from_secs(4);

impl Watches {
    /// Keeps one kind for as long as the process runs.
    pub(super) async fn keep(self: Rc<Self>, kind: FeedKind) {
        let mut returns = self.returns.subscribe();
        let mut pause = FIRST_PAUSE;
        loop {
            returns.mark_unchanged();
            let e = tokio::select! {
                e = self.follow(kind) => e,
                () = self.is_to_go_on(&mut returns), if kind != FeedKind::Catalog => continue,
            };
            if e.code == Code::ReplyNotNeeded {
                // The store answers; a list of it came too slowly beside another reply.
                tokio::time::sleep(jittered(FIRST_PAUSE)).await;
                continue;
            }
            if e.code == Code::HistoryGone {
                pause = FIRST_PAUSE;
                continue;
            }
            if self.lost(kind, &e) {
                pause = FIRST_PAUSE;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(self.longest_pause(kind));
        }
    }

    /// Waits until the store is back, on a host that watches it; the others hear from those.
    async fn is_to_go_on(&self, returns: &mut watch::Receiver<u64>) {
        // Neither sender ends before the process.
        let _ = returns.changed().await;
        let _ = self.duties.clone().wait_for(|duties| duties.is_watcher).await;
    }

    /// Gets the longest pause after failed calls: hosts that others rely on, or that know nothing yet,
    /// try more often.
    pub(super) fn longest_pause(&self, kind: FeedKind) -> Duration {
        let duties = *self.duties.borrow();
        if duties.is_prover || duties.is_watcher || self.position(kind) == 0 {
            LONGEST_PAUSE
        } else {
            LONGEST_PAUSE_OF_MANY
        }
    }

    /// Brings a kind to the store's state and follows its changes until a call fails.
    async fn follow(&self, kind: FeedKind) -> Error {
        let brought = match self.position(kind) {
            0 => {
                self.is_brought(kind).await;
                Ok(())
            }
            // The changes since would tell each version, and ten of them are more than a reply may have.
            _ if kind.is_single_object() => self.read_all(kind, None, Cause::Return).await,
            // A list would be hundreds of times as large, for this host and all that hear from it.
            after => {
                let read = self.read_store(kind, after, Millis(0), Cause::Return);
                read.await.or_else(unless_needless)
            }
        };
        if let Err(e) = brought {
            return e;
        }
        self.back(kind);
        let mut duties = self.duties.clone();
        tokio::time::sleep_until((self.started + self.first_watch_after()).into()).await;
        loop {
            if duties.wait_for(|duties| duties.is_watcher).await.is_err() {
                return Error::new(Code::Internal, "the control thread ends");
            }
            let before = self.position(kind);
            let read = self.read_store(kind, before, WATCH_WAIT, Cause::Watch);
            if let Err(e) = read.await.or_else(unless_needless) {
                return e;
            }
            if self.position(kind) > before {
                tokio::time::sleep(settle_time(kind)).await;
            }
        }
    }

    /// Waits until a kind is known at all: a host that starts is given it, or reads it when its time has come.
    async fn is_brought(&self, kind: FeedKind) {
        let mut brought = self.brought.subscribe();
        // The sender lives as long as this does.
        let _ = brought.wait_for(|()| self.position(kind) > 0).await;
    }

    /// Gets the time after the start in which a host that may have others leaves the watches to them.
    fn first_watch_after(&self) -> Duration {
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
        FeedKind::Endpoints => ENDPOINTS_SETTLE,
        FeedKind::Catalog | FeedKind::Rollouts => Duration::ZERO,
    }
}

/// Draws a pause around `pause`, so that hosts do not come back in step.
pub(super) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}
