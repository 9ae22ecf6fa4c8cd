//! Whether connects that come to nothing speak against their endpoints or against this host's own way.
//!
//! An endpoint without power gives no sign of life when it is connected to. No endpoint does while this
//! host's own line is full, and one that is well doesn't where the first packet was lost. To leave the
//! endpoints for that moves their work, and the shared parts of prompts that they keep, to others. What
//! came meanwhile tells the cases apart.

use std::sync::Arc;

use crate::ids::{EndpointId, FailureDomain};
use crate::placement::EndpointState;
use crate::units::Millis;

/// Time within which connects that come to nothing have one cause: a full line stays full for some
/// hundred milliseconds at least, and each connect is waited for 400 ms.
const TOGETHER: Millis = Millis(1_000);

/// Longest time in which a connection comes up, or an answer, on a way that is well. Within a region it
/// takes a few milliseconds; on a full line each packet waits longer than this.
pub const PROMPT: Millis = Millis(100);

/// A connect that gave no sign of life.
#[derive(Clone, Debug)]
pub struct Connect {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its health.
    pub live: Arc<EndpointState>,
    /// When the connect began.
    pub began: Millis,
    /// When it was given up.
    pub ended: Millis,
}

/// One of the connects of late.
#[derive(Debug)]
struct Silent {
    connect: Connect,
    /// How often the endpoint had failed in a row when it was left for this; `None` if it was not.
    left_after: Option<u32>,
}

/// What a silent connect speaks against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// The endpoint: it is left at once.
    Endpoint,
    /// The way, or nothing: it counts as one failure.
    Way,
}

impl Blame {
    /// Gets the word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Blame::Endpoint => "endpoint",
            Blame::Way => "way",
        }
    }
}

/// Connects of late that gave no sign of life.
#[derive(Debug)]
pub struct Reach {
    /// Where this host stands.
    own: FailureDomain,
    silent: Vec<Silent>,
}

impl Reach {
    /// Starts without any, for a host of a failure domain.
    pub fn new(own: FailureDomain) -> Reach {
        Reach { own, silent: Vec::new() }
    }

    /// Takes in a connect that gave no sign of life, and lets it count against the endpoint.
    ///
    /// `prompt_at` is when the last one began of those connects and answers that came promptly.
    pub fn gave_no_sign(&mut self, connect: Connect, prompt_at: Option<Millis>) -> Blame {
        let now = connect.ended;
        self.silent.retain(|s| now < s.connect.ended + TOGETHER);
        // What the endpoint sends on other connections comes here: it is not without power.
        if connect.live.was_active_since(connect.began) {
            connect.live.record_silence(now);
            return Blame::Way;
        }
        if self.is_own_way(&connect, prompt_at) {
            for silent in &mut self.silent {
                silent.forgive();
            }
            connect.live.record_silence(now);
            self.silent.push(Silent { connect, left_after: None });
            return Blame::Way;
        }
        let left_after = Some(connect.live.consecutive_failures());
        connect.live.record_unreachable(now);
        self.silent.push(Silent { connect, left_after });
        Blame::Endpoint
    }

    /// Tells whether several endpoints give no sign of life while nothing comes promptly. Those of one
    /// other failure domain may be cut off with it.
    fn is_own_way(&self, newest: &Connect, prompt_at: Option<Millis>) -> bool {
        let before = || self.silent.iter().map(|s| &s.connect);
        let is_shared = before().any(|c| c.endpoint != newest.endpoint);
        let began = before().map(|c| c.began).min();
        let is_elsewhere = newest.failure_domain != self.own
            && before().all(|c| c.failure_domain == newest.failure_domain);
        is_shared && prompt_at < began && !is_elsewhere
    }
}

impl Silent {
    /// Takes back that the endpoint was left for this; it counts as one failure.
    fn forgive(&mut self) {
        if let Some(failures) = self.left_after.take() {
            self.connect.live.undo_unreachable(failures);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Millis = Millis(10_000);
    const WAITED: Millis = Millis(400);

    const OWN: &str = "north";
    const OTHER: &str = "south";

    struct Fixture {
        reach: Reach,
        /// Where the endpoints stand.
        domain: &'static str,
        endpoints: Vec<(EndpointId, Arc<EndpointState>)>,
    }

    fn fixture() -> Fixture {
        let endpoint = |n| (format!("e-{n}").parse().expect("a name"), Arc::default());
        let reach = Reach::new(OWN.parse().expect("a name"));
        Fixture { reach, domain: OWN, endpoints: (0..4).map(endpoint).collect() }
    }

    impl Fixture {
        /// Lets a connect to an endpoint come to nothing.
        fn gives_no_sign(&mut self, now: Millis, n: usize, prompt_at: Option<Millis>) -> Blame {
            let (endpoint, live) = self.endpoints[n].clone();
            let failure_domain = self.domain.parse().expect("a name");
            let began = Millis(now.0 - WAITED.0);
            let connect = Connect { endpoint, failure_domain, live, began, ended: now };
            self.reach.gave_no_sign(connect, prompt_at)
        }

        fn left(&self, now: Millis) -> Vec<usize> {
            let is_left = |n: &usize| self.endpoints[*n].1.is_ejected(now);
            (0..self.endpoints.len()).filter(is_left).collect()
        }
    }

    #[test]
    fn a_single_endpoint_that_gives_no_sign_is_left_at_once() {
        let mut f = fixture();

        let blame = f.gives_no_sign(NOW, 0, None);

        assert_eq!((blame, f.left(NOW)), (Blame::Endpoint, vec![0]));
    }

    #[test]
    fn it_is_left_however_often_it_alone_gives_none() {
        let mut f = fixture();
        f.gives_no_sign(NOW, 0, None);

        let blame = f.gives_no_sign(NOW + Millis(500), 0, None);

        assert_eq!((blame, f.left(NOW + Millis(500))), (Blame::Endpoint, vec![0]));
    }

    #[test]
    fn several_at_once_speak_against_the_own_way() {
        let mut f = fixture();
        f.gives_no_sign(NOW, 0, None);

        let blame = f.gives_no_sign(NOW + WAITED, 1, Some(NOW - Millis(1_000)));

        assert_eq!((blame, f.left(NOW + WAITED)), (Blame::Way, vec![]));
        assert_eq!(f.endpoints[0].1.take_outcomes().failed, 0, "other hosts hear of it");
    }

    #[test]
    fn several_at_once_are_left_where_something_came_promptly_meanwhile() {
        let mut f = fixture();
        f.gives_no_sign(NOW, 0, None);

        let blame = f.gives_no_sign(NOW + WAITED, 1, Some(NOW));

        assert_eq!((blame, f.left(NOW + WAITED)), (Blame::Endpoint, vec![0, 1]));
    }

    #[test]
    fn several_of_one_other_domain_are_left() {
        let mut f = fixture();
        f.domain = OTHER;
        f.gives_no_sign(NOW, 0, None);

        let blame = f.gives_no_sign(NOW + WAITED, 1, None);

        assert_eq!((blame, f.left(NOW + WAITED)), (Blame::Endpoint, vec![0, 1]));
    }

    #[test]
    fn several_of_different_domains_speak_against_the_own_way() {
        let mut f = fixture();
        f.domain = OTHER;
        f.gives_no_sign(NOW, 0, None);
        f.domain = "west";

        let blame = f.gives_no_sign(NOW + WAITED, 1, None);

        assert_eq!((blame, f.left(NOW + WAITED)), (Blame::Way, vec![]));
    }

    #[test]
    fn several_far_apart_are_left() {
        let mut f = fixture();
        f.gives_no_sign(NOW, 0, None);
        let later = NOW + TOGETHER;

        let blame = f.gives_no_sign(later, 1, None);

        assert_eq!((blame, f.left(later)), (Blame::Endpoint, vec![1]));
    }

    #[test]
    fn one_that_never_gives_a_sign_is_left_in_the_end() {
        let mut f = fixture();

        for round in 0..3 {
            let now = NOW + Millis(round * 500);
            f.gives_no_sign(now, 0, None);
            f.gives_no_sign(now, 1, None);
        }

        assert_eq!(f.left(NOW + Millis(1_000)), vec![0, 1]);
    }

    #[test]
    fn an_endpoint_that_is_heard_meanwhile_is_not_left() {
        let mut f = fixture();
        f.endpoints[0].1.record_activity(NOW);

        let blame = f.gives_no_sign(NOW + Millis(100), 0, None);

        assert_eq!((blame, f.left(NOW + Millis(100))), (Blame::Way, vec![]));
    }
}
