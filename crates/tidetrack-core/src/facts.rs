//! Facts that bar versions and endpoints from new work.
//!
//! A fact is never revoked. Hosts send facts to each other directly, even while the object API is down,
//! and merging takes the maximum. Admitting a version or an endpoint again requires an accepted write to
//! the object API that raises its generation above that of the fact.

use serde::{Deserialize, Serialize};

use crate::change_log::ChangeLog;
use crate::ids::{EndpointId, VersionRef};

/// The version or endpoint that a fact bars, and the cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A version withdrawn by an operator.
    Withdrawn(VersionRef),
    /// A version that the evidence showed to be worse than the stable one.
    Quarantined(VersionRef),
    /// An endpoint that is shutting down. Its generation is the revision of the object that declares it.
    Leaving(EndpointId),
}

/// A fact: the subject is barred up to and including a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The barred version or endpoint.
    pub subject: Subject,
    /// Highest barred generation.
    pub generation: u64,
}

/// All facts that are known to a host.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Highest barred generation of each subject.
    generations: ChangeLog<Subject, u64>,
}

impl Facts {
    /// Merges a fact and reports whether it bars a higher generation than was known.
    pub fn merge(&mut self, fact: Fact) -> bool {
        let generations = self.generations.lookup(&fact.subject).copied().unwrap_or(0);
        let is_new = fact.generation > generations;
        if is_new {
            self.generations.put(fact.subject, fact.generation);
        }
        is_new
    }

    /// Reports whether a generation of a version is withdrawn or quarantined.
    pub fn is_version_barred(&self, version: &VersionRef, generation: u64) -> bool {
        let is_barred =
            |subject| self.generations.lookup(&subject).is_some_and(|g| *g >= generation);
        is_barred(Subject::Withdrawn(version.clone()))
            || is_barred(Subject::Quarantined(version.clone()))
    }

    /// Reports whether an endpoint that was declared at revision `declared_at` is shutting down.
    pub fn is_leaving(&self, endpoint: &EndpointId, declared_at: u64) -> bool {
        let generations = self.generations.lookup(&Subject::Leaving(endpoint.clone()));
        generations.is_some_and(|g| *g >= declared_at)
    }

    /// Returns the sequence number of the last change; 0 if there was none.
    pub fn seq(&self) -> u64 {
        self.generations.seq()
    }

    /// Iterates over all facts.
    pub fn iter(&self) -> impl Iterator<Item = Fact> + '_ {
        self.generations.iter().map(|(s, g)| Fact { subject: s.clone(), generation: *g })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_higher_generation_is_not_barred() {
        let version: VersionRef = "m@1".parse().expect("the version name parses");
        let mut facts = Facts::default();
        let fact = Fact { subject: Subject::Withdrawn(version.clone()), generation: 2 };
        assert!(facts.merge(fact.clone()));
        assert!(!facts.merge(Fact { generation: 1, ..fact }));
        assert!(facts.is_version_barred(&version, 2));
        assert!(!facts.is_version_barred(&version, 3));
    }
}
