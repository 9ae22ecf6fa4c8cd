//! Decides whether connection attempts that time out are caused by the endpoint or by the network
//! path.
//!
//! An endpoint that has lost power does not respond to a connection attempt. Neither does any
//! endpoint while this host's own link is saturated, nor a healthy endpoint if the first packet was
//! lost. Ejecting endpoints in these cases would move their work, and the shared prompt prefixes
//! that they cache, to other endpoints. What arrived on other connections in the meantime
//! distinguishes the cases.

use std::sync::Arc;

use crate::ids::{EndpointId, FailureDomain};
use crate::placement::EndpointState;
use crate::units::Millis;

/// Time within which connection attempts that time out are assumed to have one cause. A saturated
/// link stays saturated for at least some hundred milliseconds, and each attempt waits 400 ms.
const CORRELATION_WINDOW: Millis = Millis(1_000);

/// Maximum time in which a connection is established, or a response arrives, on a healthy path.
/// Within a region this takes a few milliseconds; on a saturated link each packet waits longer than
/// this.
pub const MAX_PROMPT_LATENCY: Millis = Millis(100);

/// A connection attempt that timed out without any response.
#[derive(Clone, Debug)]
pub struct FailedConnect {
    /// The endpoint that was connected to.
    pub endpoint: EndpointId,
    /// The endpoint's failure domain.
    pub failure_domain: FailureDomain,
    /// The endpoint's health, which the failure is recorded in.
    pub live: Arc<EndpointState>,
    /// When the attempt began.
    pub began: Millis,
    /// When the attempt timed out.
    pub ended: Millis,
}

/// A recent connection attempt that timed out.
#[derive(Debug)]
struct RecentFailure {
    connect: FailedConnect,
    /// The endpoint's number of consecutive failures before this one ejected it; `None` if the
    /// endpoint was not ejected.
    failures_before_ejection: Option<u32>,
}

/// What a connection timeout is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The endpoint, which is ejected at once.
    Endpoint,
    /// The network path, or a cause that cannot be determined. The timeout counts as one failure of
    /// the endpoint.
    NetworkPath,
}

impl FailureCause {
    /// Returns the label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureCause::Endpoint => "endpoint",
            FailureCause::NetworkPath => "way",
        }
    }
}

/// Recent connection attempts that timed out.
#[derive(Debug)]
pub struct ReachabilityTracker {
    /// The failure domain of this host.
    local_domain: FailureDomain,
    recent_failures: Vec<RecentFailure>,
}

impl ReachabilityTracker {
    /// Creates a tracker without failures for a host in the given failure domain.
    pub fn new(local_domain: FailureDomain) -> ReachabilityTracker {
        ReachabilityTracker { local_domain, recent_failures: Vec::new() }
    }

    /// Records a connection attempt that timed out, counts it against the endpoint, and returns its
    /// cause.
    ///
    /// `last_prompt_at` is the start of the latest exchange that completed within
    /// `MAX_PROMPT_LATENCY`, whether the establishment of a connection or a response.
    pub fn record_failed_connect(
        &mut self,
        connect: FailedConnect,
        last_prompt_at: Option<Millis>,
    ) -> FailureCause {
        let now = connect.ended;
        self.recent_failures.retain(|s| now < s.connect.ended + CORRELATION_WINDOW);
        // The endpoint has sent data on other connections since the attempt began, so it is
        // running.
        if connect.live.was_active_since(connect.began) {
            connect.live.record_silence(now);
            return FailureCause::NetworkPath;
        }
        if self.is_local_path_failure(&connect, last_prompt_at) {
            for failure in &mut self.recent_failures {
                failure.undo_ejection();
            }
            connect.live.record_silence(now);
            self.recent_failures.push(RecentFailure { connect, failures_before_ejection: None });
            return FailureCause::NetworkPath;
        }
        let failures_before_ejection = Some(connect.live.consecutive_failures());
        connect.live.record_withheld_failure(now, true);
        self.recent_failures.push(RecentFailure { connect, failures_before_ejection });
        FailureCause::Endpoint
    }

    /// Reports whether connection attempts to several endpoints time out while nothing else
    /// completes promptly. If all these endpoints are in one remote failure domain, that domain may
    /// be disconnected instead.
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
    /// Reverts the ejection of the endpoint. The timeout still counts as one failure.
    fn undo_ejection(&mut self) {
        if let Some(failures) = self.failures_before_ejection.take() {
            self.connect.live.undo_unreachable(failures);
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
        /// The failure domain of the endpoints.
        domain: &'static str,
        endpoints: Vec<(EndpointId, Arc<EndpointState>)>,
    }

    fn fixture() -> Fixture {
        let endpoint =
            |n| (format!("e-{n}").parse().expect("the endpoint id parses"), Arc::default());
        let tracker =
            ReachabilityTracker::new(LOCAL_DOMAIN.parse().expect("the failure domain parses"));
        Fixture { tracker, domain: LOCAL_DOMAIN, endpoints: (0..4).map(endpoint).collect() }
    }

    impl Fixture {
        /// Records a connection attempt to an endpoint that timed out at `now`.
        fn time_out_connect(
            &mut self,
            now: Millis,
            n: usize,
            last_prompt_at: Option<Millis>,
        ) -> FailureCause {
            let (endpoint, live) = self.endpoints[n].clone();
            let failure_domain = self.domain.parse().expect("the failure domain parses");
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

        let cause = f.time_out_connect(NOW, 0, None);

        assert_eq!((cause, f.ejected(NOW)), (FailureCause::Endpoint, vec![0]));
    }

    #[test]
    fn a_single_endpoint_stays_ejected_after_repeated_failures() {
        let mut f = fixture();
        f.time_out_connect(NOW, 0, None);

        let cause = f.time_out_connect(NOW + Millis(500), 0, None);

        assert_eq!((cause, f.ejected(NOW + Millis(500))), (FailureCause::Endpoint, vec![0]));
    }

    #[test]
    fn concurrent_failures_of_several_local_endpoints_are_a_path_failure() {
        let mut f = fixture();
        f.time_out_connect(NOW, 0, None);

        let cause = f.time_out_connect(NOW + CONNECT_TIMEOUT, 1, Some(NOW - Millis(1_000)));

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::NetworkPath, vec![]));
        assert_eq!(
            f.endpoints[0].1.take_outcomes().failed,
            0,
            "the reverted failure is still reported to other hosts"
        );
    }

    #[test]
    fn several_endpoints_are_ejected_if_another_connection_was_prompt_meanwhile() {
        let mut f = fixture();
        f.time_out_connect(NOW, 0, None);

        let cause = f.time_out_connect(NOW + CONNECT_TIMEOUT, 1, Some(NOW));

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::Endpoint, vec![0, 1]));
    }

    #[test]
    fn several_endpoints_of_one_remote_domain_are_ejected() {
        let mut f = fixture();
        f.domain = REMOTE_DOMAIN;
        f.time_out_connect(NOW, 0, None);

        let cause = f.time_out_connect(NOW + CONNECT_TIMEOUT, 1, None);

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::Endpoint, vec![0, 1]));
    }

    #[test]
    fn concurrent_failures_in_several_domains_are_a_path_failure() {
        let mut f = fixture();
        f.domain = REMOTE_DOMAIN;
        f.time_out_connect(NOW, 0, None);
        f.domain = "west";

        let cause = f.time_out_connect(NOW + CONNECT_TIMEOUT, 1, None);

        assert_eq!((cause, f.ejected(NOW + CONNECT_TIMEOUT)), (FailureCause::NetworkPath, vec![]));
    }

    #[test]
    fn failures_outside_the_correlation_window_are_independent() {
        let mut f = fixture();
        f.time_out_connect(NOW, 0, None);
        let later = NOW + CORRELATION_WINDOW;

        let cause = f.time_out_connect(later, 1, None);

        assert_eq!((cause, f.ejected(later)), (FailureCause::Endpoint, vec![1]));
    }

    #[test]
    fn endpoints_that_stay_unresponsive_are_ejected_eventually() {
        let mut f = fixture();

        for round in 0..3 {
            let now = NOW + Millis(round * 500);
            f.time_out_connect(now, 0, None);
            f.time_out_connect(now, 1, None);
        }

        assert_eq!(f.ejected(NOW + Millis(1_000)), vec![0, 1]);
    }

    #[test]
    fn an_endpoint_that_sent_data_meanwhile_is_not_ejected() {
        let mut f = fixture();
        f.endpoints[0].1.record_activity(NOW);

        let cause = f.time_out_connect(NOW + Millis(100), 0, None);

        assert_eq!((cause, f.ejected(NOW + Millis(100))), (FailureCause::NetworkPath, vec![]));
    }
}
