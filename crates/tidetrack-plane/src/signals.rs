//! The process's signals as messages.
//!
//! They are caught before anything else is done: a stop that comes while the process still starts is a planned one
//! too, and the signal itself would end it as if it had failed.

use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::sync::mpsc;

/// Signals that may wait to be looked at.
const QUEUE_CAPACITY: usize = 8;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// A planned stop.
    Stop,
    /// To read the settings anew.
    Reload,
}

/// The signals that have come, in order.
pub struct Signals(mpsc::Receiver<SignalRequest>);

impl Signals {
    /// Catches the process's signals from now on. Fails if the system lets none be caught.
    pub fn install() -> Result<Signals> {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let mut signals =
            signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP]).context("signals")?;
        let thread = std::thread::Builder::new().name("signals".into()).stack_size(64 << 10);
        thread.spawn(move || {
            for signal in signals.forever() {
                let request =
                    if signal == SIGHUP { SignalRequest::Reload } else { SignalRequest::Stop };
                if tx.blocking_send(request).is_err() {
                    return;
                }
            }
        })?;
        Ok(Signals(rx))
    }

    /// Waits for the next one.
    pub(crate) async fn next(&mut self) -> Option<SignalRequest> {
        self.0.recv().await
    }
}
