//! Entries whose address another endpoint has.
//!
//! After a restart an endpoint may be listed under a new id while entries of its former lifetimes stand. All of
//! them have one address, and its endpoint refuses the requests for any but its own id.

use crate::ids::EndpointId;
use crate::units::Millis;

use super::PoolEndpoint;

/// What the other entries at an address say about one whose requests another endpoint refused.
#[derive(Clone, Debug)]
pub struct SharedAddress<'a> {
    /// Whether another entry at the address has served requests, so that its endpoint is the one that runs.
    pub is_replaced: bool,
    /// Entries at the address that are of ended endpoints too and are not ejected yet; empty if it is not certain
    /// which endpoint runs.
    pub former: Vec<&'a PoolEndpoint>,
}

impl<'a> SharedAddress<'a> {
    /// Judges the entries of a service at the address of the refused one.
    pub fn judge(
        now: Millis,
        endpoints: impl IntoIterator<Item = &'a PoolEndpoint>,
        refused: &EndpointId,
        address: &str,
    ) -> SharedAddress<'a> {
        let is_other = |e: &&PoolEndpoint| e.address == address && e.id != *refused;
        let (serving, others): (Vec<&PoolEndpoint>, Vec<&PoolEndpoint>) =
            endpoints.into_iter().filter(is_other).partition(|e| e.state.has_served());
        let is_replaced = !serving.is_empty();
        let former = others.into_iter().filter(|e| is_replaced && !e.state.is_ejected(now));
        SharedAddress { is_replaced, former: former.collect() }
    }
}
