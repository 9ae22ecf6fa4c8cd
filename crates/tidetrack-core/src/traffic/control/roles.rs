//! Work that a host does for the other hosts of its fleet.

/// Roles of a host, and the fleet size that they were derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRoles {
    /// Confirms the configuration with the store at short intervals, for itself and for other
    /// hosts.
    pub is_prover: bool,
    /// Watches the store for other hosts.
    pub is_watcher: bool,
    /// Number of known hosts, including this one.
    pub host_count: usize,
}

impl Default for HostRoles {
    /// A host that knows no other host does everything itself.
    fn default() -> HostRoles {
        HostRoles { is_prover: true, is_watcher: true, host_count: 1 }
    }
}
