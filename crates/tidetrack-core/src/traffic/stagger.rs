//! Turns of hosts that would all ask the store the same at once.
//!
//! What one of them is told the others hear within a second. So the first asks at once, and in each step as many as
//! asked before, until all have: nobody depends on the first ones, which may be those that the store does not reach.
//! This answers the load on the store when those that read it for a whole fleet are lost.

use crate::units::Millis;

/// Time in which all hosts have had their turn.
const STAGGER_WINDOW: Millis = Millis(900);

/// Gets how long one of so many hosts leaves a question to the others, by a draw from 0 up to 1.
pub fn stagger_delay(hash_fraction: f64, hosts: usize) -> Millis {
    if hosts < 2 {
        return Millis(0);
    }
    let hosts = hosts as f64;
    let position = 1.0 + hash_fraction.max(1.0 / hosts).ln() / hosts.ln();
    Millis((STAGGER_WINDOW.0 as f64 * position) as u64)
}
