//! The process's signals as messages.
//!
//! They are caught before anything else is done: a stop that comes while the process still starts is a planned one
//! too, and the signal itself would end it as if it had failed.

use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::sync::mpsc;

/// Signals that may wait to be looked at.
const WAITING: usize = 8;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    /// A planned stop.
    Stop,
    /// To read the settings anew.
    Reload,
}

/// The signals that have come, in order.
pub struct Signals(mpsc::Receiver<Asked>);

impl Signals {
    /// Catches the process's signals from now on. Fails if the system lets none be caught.
    pub fn catch() -> Result<Signals> {
        let (tx, rx) = mpsc::channel(WAITING);
        let mut signals =
            signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP]).context("signals")?;
        let thread = std::thread::Builder::new().name("signals".into()).stack_size(64 << 10);
        thread.spawn(move || {
            for signal in signals.forever() {
                let asked = if signal == SIGHUP { Asked::Reload } else { Asked::Stop };
                if tx.blocking_send(asked).is_err() {
                    return;
                }
            }
        })?;
        Ok(Signals(rx))
    }

    /// Waits for the next one.
    pub(crate) async fn next(&mut self) -> Option<Asked> {
        self.0.recv().await
    }
}
