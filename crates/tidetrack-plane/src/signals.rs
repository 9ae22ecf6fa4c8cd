//! Delivers the signals of the process as messages.
//!
//! The handlers are installed before anything else is done: a stop signal that arrives during the
//! start also requests a graceful stop, and without a handler it would end the process as if it had
//! failed.

use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::sync::mpsc;

/// Maximum number of queued signals.
const QUEUE_CAPACITY: usize = 8;

/// Action requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The received signals, in order.
pub struct Signals(mpsc::Receiver<SignalRequest>);

impl Signals {
    /// Installs the handlers for the stop and reload signals. Fails if the operating system refuses
    /// them.
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

    /// Waits for the next signal. Returns `None` if the signal thread has ended.
    pub(crate) async fn next(&mut self) -> Option<SignalRequest> {
        self.0.recv().await
    }
}
