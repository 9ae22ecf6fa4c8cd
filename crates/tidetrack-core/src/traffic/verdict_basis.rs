//! Evidence coverage of a verdict on a canary version.
//!
//! Hosts send each other their counts in staggered messages, so in a large fleet each host knows a
//! different part of the counts for some seconds. The thresholds of a verdict are raised
//! accordingly, because with hundreds of hosts that each evaluate a different part, some part looks
//! significant by chance.

/// Number of endpoints and hosts that a verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictBasis {
    /// Endpoints of the canary version.
    pub endpoints: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Hosts whose counts are included.
    pub counted_hosts: usize,
}

impl VerdictBasis {
    /// Creates the basis of a verdict on complete counts for a version with the given number of
    /// endpoints.
    pub fn complete(endpoints: usize) -> VerdictBasis {
        VerdictBasis { endpoints, hosts: 1, counted_hosts: 1 }
    }

    /// Returns the amount by which thresholds of log-likelihood ratios are raised. It corrects for
    /// the multiple evaluations of different parts of the counts, one of which is likely to look
    /// significant by chance. It is 0 if all counts are included, because all hosts then evaluate
    /// the same data.
    pub fn threshold_surcharge(self) -> f32 {
        let hosts = self.hosts.max(1) as f32;
        let missing_fraction = 1.0 - (self.counted_hosts as f32 / hosts).min(1.0);
        missing_fraction * hosts.ln()
    }
}
