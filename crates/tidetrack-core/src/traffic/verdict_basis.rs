//! What a verdict on a new version rests on.
//!
//! Hosts tell each other their counts in turn, so in a large fleet each knows another part of them for some seconds.
//! This answers the load of a roll-out on hundreds of hosts, where so many look, each at a part.

/// What a verdict rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictBasis {
    /// Endpoints of the new version.
    pub endpoints: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Those whose counts are in the samples.
    pub counted_hosts: usize,
}

impl VerdictBasis {
    /// Makes the basis of a verdict on all that was seen of a version with so many endpoints.
    pub fn complete(endpoints: usize) -> VerdictBasis {
        VerdictBasis { endpoints, hosts: 1, counted_hosts: 1 }
    }

    /// Gets by how much the logarithms of likelihood ratios have to be beyond what tells a version from chance. Of
    /// a large fleet each host knows another part of the counts for some seconds, and of so many parts one stands out
    /// by chance; where all know all, they have one look together.
    pub fn threshold_surcharge(self) -> f32 {
        let hosts = self.hosts.max(1) as f32;
        let missing_fraction = 1.0 - (self.counted_hosts as f32 / hosts).min(1.0);
        missing_fraction * hosts.ln()
    }
}
