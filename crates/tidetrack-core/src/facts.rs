//! Facts that only narrow what may run.
//!
//! A fact once known is never unknown: hosts tell each other directly, with the object API down,
//! and merging is a maximum. What widens (a version admitted again, an endpoint back) needs an
//! accepted write that raises the generation past the fact.

use serde::{Deserialize, Serialize};

use crate::change_log::ChangeLog;
use crate::ids::{EndpointId, VersionRef};

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
    known: ChangeLog<Subject, u64>,
}

impl Facts {
    /// Merges a fact; tells whether it was news.
    pub fn merge(&mut self, fact: Fact) -> bool {
        let known = self.known.lookup(&fact.subject).copied().unwrap_or(0);
        let news = fact.generation > known;
        if news {
            self.known.put(fact.subject, fact.generation);
        }
        news
    }

    /// Tells whether a version's generation is barred.
    pub fn bars_version(&self, version: &VersionRef, generation: u64) -> bool {
        let barred = |subject| self.known.lookup(&subject).is_some_and(|g| *g >= generation);
        barred(Subject::Withdrawn(version.clone())) || barred(Subject::Quarantined(version.clone()))
    }

    /// Tells whether an endpoint, as declared at a revision, is leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId, declared_at: u64) -> bool {
        let known = self.known.lookup(&Subject::Leaving(endpoint.clone()));
        known.is_some_and(|g| *g >= declared_at)
    }

    /// Gets the sequence number of the last news.
    pub fn seq(&self) -> u64 {
        self.known.seq()
    }

    /// Lists all facts.
    pub fn iter(&self) -> impl Iterator<Item = Fact> + '_ {
        self.known.iter().map(|(s, g)| Fact { subject: s.clone(), generation: *g })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_higher_generation_lifts_a_fact() {
        let version: VersionRef = "m@1".parse().expect("a version");
        let mut facts = Facts::default();
        let fact = Fact { subject: Subject::Withdrawn(version.clone()), generation: 2 };
        assert!(facts.merge(fact.clone()));
        assert!(!facts.merge(Fact { generation: 1, ..fact }));
        assert!(facts.bars_version(&version, 2));
        assert!(!facts.bars_version(&version, 3));
    }
}
