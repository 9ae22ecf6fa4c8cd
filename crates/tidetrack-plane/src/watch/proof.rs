//! Keeps a young proof that the configuration is the newest.

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

/// Age of its proof at which a host that proves the configuration for others reads it. With the time
/// until others ask for it, a proof stays within half of the usual bound of 5 s on revocation.
const PROOF_INTERVAL: Millis = Millis(1_500);

/// Age of the proof at which a host that relies on others' proofs reads the configuration itself.
const LOCAL_PROOF_AGE: Millis = Millis(2_500);

/// Pause between looks at the proof's age.
const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl StoreSync {
    /// Reads the configuration at short intervals if others rely on it, and otherwise when no proof has
    /// come from elsewhere for a while.
    pub(super) async fn maintain_proof(self: Rc<Self>) {
        let mut pause = INITIAL_PAUSE;
        let mut hash_fraction = rand::random();
        loop {
            tokio::time::sleep(PROOF_POLL_INTERVAL).await;
            let roles = *self.roles.borrow();
            let max_age = match roles.is_prover {
                true => PROOF_INTERVAL,
                false => LOCAL_PROOF_AGE + stagger_delay(hash_fraction, roles.host_count),
            };
            let after = self.position(FeedKind::Catalog);
            let age = self.shared.freshness.age(self.shared.now());
            let Some(age) = age.filter(|_| after > 0) else { continue };
            // After a loss, a young proof of another host says that the store answers again. Whether it answers this
            // one matters only where others rely on it.
            let mut has_recovered = self.is_unreachable(FeedKind::Catalog) && age < PROOF_INTERVAL;
            if has_recovered && !roles.is_prover && !roles.is_watcher {
                self.record_recovery(FeedKind::Catalog);
                has_recovered = false;
            }
            // A configuration that is coming in is not the newest until it has come, and neither is ours.
            let is_receiving = self.large_replies[FeedKind::Catalog as usize].is_taken();
            if (age < max_age && !has_recovered) || is_receiving {
                continue;
            }
            hash_fraction = rand::random();
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
                    // Those that others rely on find out when the store is back, and tell.
                    pause = if longest == MAX_PAUSE { longest } else { pause };
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    /// Takes note of a read of the configuration.
    pub(super) fn record_catalog_read(&self, started_at: Millis) {
        // Not taken note of here: what was read may wait to be put in force, and a proof that holds
        // before that would be one of the configuration before.
        self.shared.send_input(Input::ConfigConfirmed(started_at));
        self.record_recovery(FeedKind::Catalog);
    }
}
