//! What a host does for the others of its fleet.

/// What a host does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRoles {
    /// It proves the configuration at short intervals.
    pub is_prover: bool,
    /// It watches the store.
    pub is_watcher: bool,
    /// The hosts it hears, and itself.
    pub host_count: usize,
}

impl Default for HostRoles {
    /// A host that hears no other does all for itself.
    fn default() -> HostRoles {
        HostRoles { is_prover: true, is_watcher: true, host_count: 1 }
    }
}
