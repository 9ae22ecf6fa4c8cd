//! Keeps a young proof that the configuration is the newest.

use std::rc::Rc;
use std::time::Duration;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::stagger::stagger_delay;
use tidetrack_core::units::Millis;

use crate::dialect::FeedKind;
use crate::store::Cause;

use super::follow::{jittered, FIRST_PAUSE, LONGEST_PAUSE_OF_MANY};
use super::read::unless_needless;
use super::Watches;

/// Age of its proof at which a host that proves the configuration for others reads it. With the time
/// until others ask for it, a proof stays within half of the usual bound of 5 s on revocation.
const PROVE_EVERY: Millis = Millis(1_500);

/// Age of the proof at which a host that relies on others' proofs reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_500);

/// Pause between looks at the proof's age.
const PROOF_LOOK: Duration = Duration::from_millis(200);

impl Watches {
    /// Reads the configuration at short intervals if others rely on it, and otherwise when no proof has
    /// come from elsewhere for a while.
    pub(super) async fn keep_proof(self: Rc<Self>) {
        let mut pause = FIRST_PAUSE;
        let mut draw = rand::random();
        loop {
            tokio::time::sleep(PROOF_LOOK).await;
            let duties = *self.duties.borrow();
            let wanted = match duties.is_prover {
                true => PROVE_EVERY,
                false => PROOF_WANTED + stagger_delay(draw, duties.host_count),
            };
            let after = self.position(FeedKind::Catalog);
            let age = self.shared.fresh.age(self.shared.now());
            let Some(age) = age.filter(|_| after > 0) else { continue };
            // After a loss, a young proof of another host says that the store answers again. Whether it answers this
            // one matters only where others rely on it.
            let mut is_back = self.is_lost(FeedKind::Catalog) && age < PROVE_EVERY;
            if is_back && !duties.is_prover && !duties.is_watcher {
                self.back(FeedKind::Catalog);
                is_back = false;
            }
            // A configuration that is coming in is not the newest until it has come, and neither is ours.
            let is_coming = self.large[FeedKind::Catalog as usize].is_busy();
            if (age < wanted && !is_back) || is_coming {
                continue;
            }
            draw = rand::random();
            let read = self.read_store(FeedKind::Catalog, after, Millis(0), Cause::Proof);
            match read.await.or_else(unless_needless) {
                Ok(()) => {
                    pause = FIRST_PAUSE;
                    self.shared.tell(Input::StoreRevisionSeen(self.position(FeedKind::Catalog)));
                }
                Err(e) => {
                    self.lost(FeedKind::Catalog, &e);
                    let longest = self.longest_pause(FeedKind::Catalog);
                    // Those that others rely on find out when the store is back, and tell.
                    pause = if longest == LONGEST_PAUSE_OF_MANY { longest } else { pause };
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    /// Takes note of a read of the configuration.
    pub(super) fn catalog_read(&self, began: Millis) {
        // Not taken note of here: what was read may wait to be put in force, and a proof that holds
        // before that would be one of the configuration before.
        self.shared.tell(Input::ConfigConfirmed(began));
        self.back(FeedKind::Catalog);
    }
}
