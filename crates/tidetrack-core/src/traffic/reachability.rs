//! Whether connects that come to nothing speak against their endpoints or against this host's own way.
//!
//! An endpoint without power gives no sign of life when it is connected to. No endpoint does while this
//! host's own line is full, and one that is well doesn't where the first packet was lost. To leave the
//! endpoints for that moves their work, and the shared parts of prompts that they keep, to others. What
//! came meanwhile tells the cases apart.

use std::sync::Arc;

use crate::ids::{EndpointId, FailureDomain};
use crate::placement::EndpointLive;
use crate::units::Millis;

/// Time within which connects that come to nothing have one cause: a full line stays full for some
/// hundred milliseconds at least, and each connect is waited for 400 ms.
const CORRELATION_WINDOW: Millis = Millis(1_000);

/// Longest time in which a connection comes up, or an answer, on a way that is well. Within a region it
/// takes a few milliseconds; on a full line each packet waits longer than this.
pub const MAX_PROMPT_LATENCY: Millis = Millis(100);

/// A connect that gave no sign of life.
#[derive(Clone, Debug)]
pub struct FailedConnect {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its health.
    pub live: Arc<EndpointLive>,
    /// When the connect began.
    pub began: Millis,
    /// When it was given up.
    pub ended: Millis,
}

/// One of the connects of late.
#[derive(Debug)]
struct RecentFailure {
    connect: FailedConnect,
    /// How often the endpoint had failed in a row when it was left for this; `None` if it was not.
    failures_before_ejection: Option<u32>,
}

/// What a silent connect speaks against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The endpoint: it is left at once.
    Endpoint,
    /// The way, or nothing: it counts as one failure.
    NetworkPath,
}

impl FailureCause {
    /// Gets the word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureCause::Endpoint => "endpoint",
            FailureCause::NetworkPath => "way",
        }
    }
}

/// Connects of late that gave no sign of life.
#[derive(Debug)]
pub struct ReachabilityTracker {
    /// Where this host stands.
    local_domain: FailureDomain,
    recent_failures: Vec<RecentFailure>,
}

impl ReachabilityTracker {
    /// Starts without any, for a host of a failure domain.
    pub fn new(local_domain: FailureDomain) -> ReachabilityTracker {
        ReachabilityTracker { local_domain, recent_failures: Vec::new() }
    }

    /// Takes in a connect that gave no sign of life, and lets it count against the endpoint.
    ///
    /// `last_prompt_at` is when the last one began of those connects and answers that came promptly.
    pub fn record_failed_connect(
        &mut self,
        connect: FailedConnect,
        last_prompt_at: Option<Millis>,
    ) -> FailureCause {
        let now = connect.ended;
        self.recent_failures.retain(|s| now < s.connect.ended + CORRELATION_WINDOW);
        // What the endpoint sends on other connections comes here: it is not without power.
        if connect.live.was_heard_since(connect.began) {
            connect.live.note_silent(now);
            return FailureCause::NetworkPath;
        }
        if self.is_local_path_failure(&connect, last_prompt_at) {
            for failure in &mut self.recent_failures {
                failure.undo_ejection();
            }
            connect.live.note_silent(now);
            self.recent_failures.push(RecentFailure { connect, failures_before_ejection: None });
            return FailureCause::NetworkPath;
        }
        let failures_before_ejection = Some(connect.live.failures());
        connect.live.note_unreachable(now);
        self.recent_failures.push(RecentFailure { connect, failures_before_ejection });
        FailureCause::Endpoint
    }

    /// Tells whether several endpoints give no sign of life while nothing comes promptly. Those of one
    /// other failure domain may be cut off with it.
    fn is_local_path_failure(
        &self,
        newest: &FailedConnect,
        last_prompt_at: Option<Millis>,
    ) -> bool {
        let earlier = || self.recent_failures.iter().map(|s| &s.connect);
        let is_other_endpoint_affected = earlier().any(|c| c.endpoint != newest.endpoint);
        let began = earlier().map(|c| c.began).min();
        let is_single_remote_domain = newest.failure_domain != self.local_domain
            && earlier().all(|c| c.failure_domain == newest.failure_domain);
        is_other_endpoint_affected && last_prompt_at < began && !is_single_remote_domain
    }
}

impl RecentFailure {
    /// Takes back that the endpoint was left for this; it counts as one failure.
    fn undo_ejection(&mut self) {
        if let Some(failures) = self.failures_before_ejection.take() {
            self.connect.live.forgive_unreachable(failures);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Millis = Millis(10_000);
    const CONNECT_TIMEOUT: Millis = Millis(400);

    const LOCAL_DOMAIN: &str = "north";
    const REMOTE_DOMAIN: &str = "south";

    struct Fixture {
        tracker: ReachabilityTracker,
        /// Where the endpoints stand.
        domain: &'static str,
        endpoints: Vec<(EndpointId, Arc<EndpointLive>)>,
    }

    fn fixture() -> Fixture {
        let endpoint = |n| (format!("e-{n}").parse().expect("a name"), Arc::default());
        let tracker = ReachabilityTracker::new(LOCAL_DOMAIN.parse().expect("a name"));
        Fixture { tracker, domain: LOCAL_DOMAIN, endpoints: (0..4).map(endpoint).collect() }
    }

    impl Fixture {
        /// Lets a connect to an endpoint come to nothing.
        fn fail_connect(
            &mut self,
            now: Millis,
            n: usize,
            last_prompt_at: Option<Millis>,
        ) -> FailureCause {
            let (endpoint, live) = self.endpoints[n].clone();
            let failure_domain = self.domain.parse().expect("a name");
            let began = Millis(now.0 - CONNECT_TIMEOUT.0);
            let connect = FailedConnect { endpoint, failure_domain, live, began, ended: now };
            self.tracker.record_failed_connect(connect, last_prompt_at)
        }

        fn ejected(&self, now: Millis) -> Vec<usize> {
            let is_ejected = |n: &usize| self.endpoints[*n].1.is_ejected(now);
            (0..self.endpoints.len()).filter(is_ejected).collect()
        }
    }

    #[test]
    fn a_single_unresponsive_endpoint_is_ejected_at_once() {
        let mut f = fixture();

        let cause = f.fail_connect(NOW, 0, None);

        assert_eq!((cause, f.ejected(NOW)), (FailureCause::Endpoint, vec![0]));
    }

    #[test]
    fn a_single_endpoint_stays_ejected_after_repeated_failures() {
        let mut f = fixture();
        f.fail_connect(NOW, 0, None);

        let cause = f.fail_connect(NOW + Millis(500), 0, None);

        assert_eq!((cause, f.ejected(NOW + Millis(500))), (FailureCause::Endpoint, vec![0]));
    }

    #[test]
    fn concurrent_failures_of_several_local_endpoints_are_a_path_failure() {
        let mut f = fixture();
        f.fail_connect(NOW, 0, None);

        let cause = f.fail_connect(NOW + CONNECT_TIMEOUT, 1, Some(NOW - Millis(1_000)));

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::NetworkPath, vec![]));
        assert_eq!(f.endpoints[0].1.take_outcomes().failed, 0, "other hosts hear of it");
    }

    #[test]
    fn several_endpoints_are_ejected_if_another_connection_was_prompt_meanwhile() {
        let mut f = fixture();
        f.fail_connect(NOW, 0, None);

        let cause = f.fail_connect(NOW + CONNECT_TIMEOUT, 1, Some(NOW));

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::Endpoint, vec![0, 1]));
    }

    #[test]
    fn several_endpoints_of_one_remote_domain_are_ejected() {
        let mut f = fixture();
        f.domain = REMOTE_DOMAIN;
        f.fail_connect(NOW, 0, None);

        let cause = f.fail_connect(NOW + CONNECT_TIMEOUT, 1, None);

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::Endpoint, vec![0, 1]));
    }

    #[test]
    fn concurrent_failures_in_several_domains_are_a_path_failure() {
        let mut f = fixture();
        f.domain = REMOTE_DOMAIN;
        f.fail_connect(NOW, 0, None);
        f.domain = "west";

        let cause = f.fail_connect(NOW + CONNECT_TIMEOUT, 1, None);

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::NetworkPath, vec![]));
    }

    #[test]
    fn failures_outside_the_correlation_window_are_independent() {
        let mut f = fixture();
        f.fail_connect(NOW, 0, None);
        let later = NOW + CORRELATION_WINDOW;

        let cause = f.fail_connect(later, 1, None);

        assert_eq!((cause, f.ejected(later)), (FailureCause::Endpoint, vec![1]));
    }

    #[test]
    fn endpoints_that_stay_unresponsive_are_ejected_eventually() {
        let mut f = fixture();

        for round in 0..3 {
            let now = NOW + Millis(round * 500);
            f.fail_connect(now, 0, None);
            f.fail_connect(now, 1, None);
        }

        assert_eq!(f.ejected(NOW + Millis(1_000)), vec![0, 1]);
    }

    #[test]
    fn an_endpoint_that_sent_data_meanwhile_is_not_ejected() {
        let mut f = fixture();
        f.endpoints[0].1.heard(NOW);

        let cause = f.fail_connect(NOW + Millis(100), 0, None);

        assert_eq!((cause, f.ejected(NOW + Millis(100))), (FailureCause::NetworkPath, vec![]));
    }
}
