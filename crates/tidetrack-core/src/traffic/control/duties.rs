//! What a host does for the others of its fleet.

/// What a host does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// It proves the configuration at short intervals.
    pub proves: bool,
    /// It watches the store.
    pub watches: bool,
    /// The hosts it hears, and itself.
    pub hosts: usize,
}

impl Default for Duties {
    /// A host that hears no other does all for itself.
    fn default() -> Duties {
        Duties { proves: true, watches: true, hosts: 1 }
    }
}
