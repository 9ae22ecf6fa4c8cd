//! Keeps the proof that the configuration is the newest one recent.

use std::rc::Rc;
use std::time::Duration;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::stagger::stagger_delay;
use tidetrack_core::units::Millis;

use crate::dialect::FeedKind;
use crate::store::CallReason;

use super::follow::{jittered, INITIAL_PAUSE, MAX_PAUSE};
use super::read::ignore_unneeded;
use super::StoreSync;

/// Age of its proof, in milliseconds, at which a prover reads the configuration again. Together
/// with the time until other hosts request it, a proof stays within half of the usual bound of 5 s
/// on revocation.
const PROOF_INTERVAL: Millis = Millis(1_500);

/// Age of the proof, in milliseconds, at which a host that depends on the provers reads the
/// configuration itself.
const LOCAL_PROOF_AGE: Millis = Millis(2_500);

/// Interval at which the age of the proof is checked.
const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl StoreSync {
    /// Reads the configuration at short intervals if this host is a prover, and otherwise if no
    /// proof has arrived from another host for a while.
    pub(super) async fn maintain_proof(self: Rc<Self>) {
        let mut pause = INITIAL_PAUSE;
        let mut random_fraction = rand::random();
        loop {
            tokio::time::sleep(PROOF_POLL_INTERVAL).await;
            let roles = *self.roles.borrow();
            let max_age = match roles.is_prover {
                true => PROOF_INTERVAL,
                false => LOCAL_PROOF_AGE + stagger_delay(random_fraction, roles.host_count),
            };
            let after = self.position(FeedKind::Catalog);
            let age = self.shared.freshness.age(self.shared.now());
            let Some(age) = age.filter(|_| after > 0) else { continue };
            // While the store counts as unreachable, a recent proof from another host shows that it
            // responds again. Whether it responds to this host only matters if others depend on
            // this host.
            let mut has_recovered = self.is_unreachable(FeedKind::Catalog) && age < PROOF_INTERVAL;
            if has_recovered && !roles.is_prover && !roles.is_watcher {
                self.record_recovery(FeedKind::Catalog);
                has_recovered = false;
            }
            // While a new configuration is being received, the known one is not the newest any
            // more, and the new one is not applied yet, so neither can be confirmed.
            let is_receiving = self.large_replies[FeedKind::Catalog as usize].is_busy();
            if (age < max_age && !has_recovered) || is_receiving {
                continue;
            }
            random_fraction = rand::random();
            let read =
                self.read_changes_or_list(FeedKind::Catalog, after, Millis(0), CallReason::Proof);
            match read.await.or_else(ignore_unneeded) {
                Ok(()) => {
                    pause = INITIAL_PAUSE;
                    self.shared
                        .send_input(Input::StoreRevisionSeen(self.position(FeedKind::Catalog)));
                }
                Err(e) => {
                    self.record_failure(FeedKind::Catalog, &e);
                    let longest = self.max_pause(FeedKind::Catalog);
                    // The hosts that others depend on detect that the store is reachable again and
                    // report it.
                    pause = if longest == MAX_PAUSE { longest } else { pause };
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    /// Reports a read of the configuration that started at the given time.
    pub(super) fn record_catalog_read(&self, started_at: Millis) {
        // The control thread records the proof, because the configuration may still be queued
        // there: a proof recorded here would apply to the previous configuration until then.
        self.shared.send_input(Input::ConfigConfirmed(started_at));
        self.record_recovery(FeedKind::Catalog);
    }
}
