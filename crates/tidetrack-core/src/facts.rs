//! Facts that only narrow what may run.
//!
//! A fact once known is never unknown: hosts tell each other directly, with the object API down,
//! and merging is a maximum. What widens (a version admitted again, an endpoint back) needs an
//! accepted write that raises the generation past the fact.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, VersionRef};
use crate::journal::Journal;

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A version withdrawn by an operator.
    Withdrawn(VersionRef),
    /// A version that the evidence found bad.
    Quarantined(VersionRef),
    /// An endpoint that is leaving. Its generation is the revision of the object that declares it.
    Leaving(EndpointId),
}

/// A narrowing fact: the subject is barred up to a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What is barred.
    pub subject: Subject,
    /// Generations up to this one are barred.
    pub generation: u64,
}

/// All facts that a host knows.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    generations: Journal<Subject, u64>,
}

impl Facts {
    /// Merges a fact; tells whether it was news.
    pub fn merge(&mut self, fact: Fact) -> bool {
        let generations = self.generations.lookup(&fact.subject).copied().unwrap_or(0);
        let is_new = fact.generation > generations;
        if is_new {
            self.generations.put(fact.subject, fact.generation);
        }
        is_new
    }

    /// Tells whether a version's generation is barred.
    pub fn is_version_barred(&self, version: &VersionRef, generation: u64) -> bool {
        let is_barred =
            |subject| self.generations.lookup(&subject).is_some_and(|g| *g >= generation);
        is_barred(Subject::Withdrawn(version.clone()))
            || is_barred(Subject::Quarantined(version.clone()))
    }

    /// Tells whether an endpoint, as declared at a revision, is leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId, declared_at: u64) -> bool {
        let generations = self.generations.lookup(&Subject::Leaving(endpoint.clone()));
        generations.is_some_and(|g| *g >= declared_at)
    }

    /// Gets the sequence number of the last news.
    pub fn seq(&self) -> u64 {
        self.generations.seq()
    }

    /// Lists all facts.
    pub fn iter(&self) -> impl Iterator<Item = Fact> + '_ {
        self.generations.iter().map(|(s, g)| Fact { subject: s.clone(), generation: *g })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_higher_generation_is_not_barred() {
        let version: VersionRef = "m@1".parse().expect("a version");
        let mut facts = Facts::default();
        let fact = Fact { subject: Subject::Withdrawn(version.clone()), generation: 2 };
        assert!(facts.merge(fact.clone()));
        assert!(!facts.merge(Fact { generation: 1, ..fact }));
        assert!(facts.is_version_barred(&version, 2));
        assert!(!facts.is_version_barred(&version, 3));
    }
}
