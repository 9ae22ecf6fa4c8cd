//! Binding of addresses that may not be available yet.
//!
//! After a restart, the sockets of the former process may still exist, another process may have got the
//! port for an outgoing connection, or the network of a machine that has just started may not be set up.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;

use tidetrack_core::events::Event;

use crate::journal::Journal;

/// Interval between attempts to bind an address that is not available.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Calls `bind` until its address is available. Fails if it cannot be bound for another reason.
pub async fn bind_when_available<T, F>(
    journal: &Journal,
    address: SocketAddr,
    bind: impl Fn() -> F,
) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let mut is_logged = false;
    loop {
        match bind().await {
            Err(e) if is_unavailable(&e) => {
                if !std::mem::replace(&mut is_logged, true) {
                    let why = format!("{e:#}");
                    journal.log(Event::AddressUnavailable, &[("address", &address), ("why", &why)]);
                }
            }
            result => return result,
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn is_unavailable(e: &anyhow::Error) -> bool {
    let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable))
}
