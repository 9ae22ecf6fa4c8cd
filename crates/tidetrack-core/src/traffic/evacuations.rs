//! Failure domains that operators have evacuated.
//!
//! Before operators work on a failure domain, they order that nothing further is sent to its
//! endpoints. Requests that run there end normally. A host that does not know the orders yet must
//! assume that any domain may be evacuated, so it sends nothing.
//!
//! The list of a store that was restored from a copy may lack orders, and ends of orders, that are
//! written again soon. What was known stays in force until then; after that what was listed does, as
//! operators may have written it before the list was read.
//!
//! When an order ends, the endpoints of the domain may have been restarted meanwhile, so traffic
//! returns to them as slowly as to endpoints that have just started.

use std::collections::BTreeSet;

use crate::ids::FailureDomain;
use crate::units::Millis;

/// How long the orders known before a restoration stay in force against the list of the restored store:
/// the time in which operators write again what the copy lacks.
const RESTORED_RETENTION: Millis = Millis(6_000);

/// The evacuated failure domains, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// `None` until the orders have been listed.
    domains: Option<BTreeSet<FailureDomain>>,
    /// The list of a restored store with the changes since, and when it takes effect.
    unconfirmed: Option<(Millis, BTreeSet<FailureDomain>)>,
}

/// A change of the evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated from now on.
    pub started: Vec<FailureDomain>,
    /// Domains that may be sent to again.
    pub ended: Vec<FailureDomain>,
}

impl EvacuationChange {
    /// Reports whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.ended.is_empty()
    }
}

impl Evacuations {
    /// Replaces the orders by a complete list.
    pub fn replace(&mut self, domains: BTreeSet<FailureDomain>) -> EvacuationChange {
        self.unconfirmed = None;
        let previous = self.domains.replace(domains.clone()).unwrap_or_default();
        EvacuationChange {
            started: domains.difference(&previous).cloned().collect(),
            ended: previous.difference(&domains).cloned().collect(),
        }
    }

    /// Records the list of a restored store, which takes effect later.
    pub fn replace_later(&mut self, now: Millis, domains: BTreeSet<FailureDomain>) {
        self.unconfirmed = Some((now + RESTORED_RETENTION, domains));
    }

    /// Applies the list of a restored store once operators have had the time to write their orders
    /// again.
    pub fn apply_confirmed(&mut self, now: Millis) -> EvacuationChange {
        match self.unconfirmed.take_if(|(at, _)| now >= *at) {
            Some((_, domains)) => self.replace(domains),
            None => EvacuationChange::default(),
        }
    }

    /// Records that a domain is evacuated.
    pub fn start(&mut self, domain: FailureDomain) -> EvacuationChange {
        if let Some((_, listed)) = &mut self.unconfirmed {
            listed.insert(domain.clone());
        }
        let is_new = self.domains.get_or_insert_default().insert(domain.clone());
        EvacuationChange { started: is_new.then_some(domain).into_iter().collect(), ended: vec![] }
    }

    /// Records that the evacuation of a domain has ended.
    pub fn end(&mut self, domain: FailureDomain) -> EvacuationChange {
        if let Some((_, listed)) = &mut self.unconfirmed {
            listed.remove(&domain);
        }
        let was_evacuated = self.domains.get_or_insert_default().remove(&domain);
        let ended = was_evacuated.then_some(domain).into_iter().collect();
        EvacuationChange { started: vec![], ended }
    }

    /// Reports whether the orders have been listed.
    pub fn is_known(&self) -> bool {
        self.domains.is_some()
    }

    /// Reports whether requests may be sent to endpoints in a domain.
    pub fn permits(&self, domain: &FailureDomain) -> bool {
        self.domains.as_ref().is_some_and(|domains| !domains.contains(domain))
    }

    /// Returns the evacuated domains.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains.iter().flatten()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn domain(name: &str) -> FailureDomain {
        name.parse().expect("the name parses")
    }

    fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
        names.iter().map(|name| domain(name)).collect()
    }

    #[test]
    fn nothing_may_be_sent_before_the_orders_are_known() {
        let unknown = Evacuations::default();
        let mut known = Evacuations::default();

        known.replace(domains(&[]));

        assert!(!unknown.permits(&domain("a")));
        assert!(known.permits(&domain("a")));
    }

    #[test]
    fn a_list_ends_the_evacuations_that_it_lacks() {
        let mut evacuations = Evacuations::default();
        evacuations.replace(domains(&["a", "b"]));

        let change = evacuations.replace(domains(&["b", "c"]));

        let expected = EvacuationChange { started: vec![domain("c")], ended: vec![domain("a")] };
        assert_eq!(change, expected);
        assert!(evacuations.permits(&domain("a")));
        assert!(!evacuations.permits(&domain("b")) && !evacuations.permits(&domain("c")));
    }

    #[test]
    fn repeated_orders_and_ends_change_nothing() {
        let mut evacuations = Evacuations::default();
        evacuations.replace(domains(&["a"]));

        let repeated = evacuations.start(domain("a"));
        let end_of_unknown = evacuations.end(domain("b"));

        assert!(repeated.is_empty() && end_of_unknown.is_empty());
        assert!(!evacuations.permits(&domain("a")));
    }
}
