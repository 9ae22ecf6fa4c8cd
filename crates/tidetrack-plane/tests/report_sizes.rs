//! Encoded sizes of the reports that hosts exchange on requests that crash endpoints and on endpoint
//! limits.

use tidetrack_core::ids::{EndpointId, EndpointKey, WorkspaceId};
use tidetrack_core::traffic::endpoint_limits::EndpointLimits;
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::traffic::fingerprint::{Fingerprint, RequestIdentity};
use tidetrack_core::traffic::peers::PeerUpdate;
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::units::{Millis, Rate};

/// Maximum bytes in a message for either kind of report. The complete message must stay below 8 KiB.
const MAX_REPORT_BYTES: usize = 2_048;

const NOW: Millis = Millis(604_800_000);

fn fingerprint(n: usize) -> Fingerprint {
    let workspace: WorkspaceId = format!("w-{}", n % 12).parse().expect("the workspace ID parses");
    Fingerprint::of(&RequestIdentity {
        workspace: Some(&workspace),
        hostname: "shop.example",
        method: "POST",
        path: "/a/x",
        prompt_parts: &[],
        body: &[n.to_string().as_bytes()],
    })
}

fn bytes<T: serde::Serialize>(report: &T) -> usize {
    postcard::to_allocvec(report).expect("the report is serialized").len()
}

#[test]
fn reports_of_barred_requests_have_a_bounded_size() {
    let suspects = Suspects::default();
    for n in 0..1_024 {
        for crash in 0..8 {
            let endpoint: EndpointId =
                format!("e-{n}-{crash}").parse().expect("the endpoint ID parses");
            let at = NOW + Millis(crash * 1_000);
            let domain = "hall".parse().expect("the failure domain parses");
            suspects.record_crash(at, fingerprint(n), &endpoint, &domain, at);
        }
    }

    let report = suspects.reports_for_round(NOW + Millis(8_000));

    let size = bytes(&report);
    println!("{} of {} barred requests reported: {size} bytes", report.len(), suspects.len());
    assert_eq!(suspects.len(), 1_024);
    assert!(size <= MAX_REPORT_BYTES, "{size} bytes");
}

#[test]
fn reports_of_limits_have_a_bounded_size() {
    let mut limits = EndpointLimits::default();
    for n in 0..4_200 {
        let id: EndpointId = format!("e-{n}").parse().expect("the endpoint ID parses");
        limits.record_response(NOW, EndpointKey::from(&id), Some(Rate(1.6)));
    }

    let report = limits.reports_for_round(NOW + Millis(100));

    let size = bytes(&report);
    println!("{} of 4200 limits reported: {size} bytes", report.len());
    assert!(size <= MAX_REPORT_BYTES, "{size} bytes");
}

/// Guards against positions of a restored store that take much more room in each message.
#[test]
fn positions_with_an_era_have_a_bounded_size() {
    const MAX_ADDED_BYTES: usize = 64;
    let update_in_era = |era| {
        let mut update = PeerUpdate::default();
        for kind in FeedKind::ALL {
            let position = StorePosition { era, revision: 1_000_000 }.packed();
            update.newest_changes.raise(kind, position);
            update.complete_revisions.raise(kind, position);
        }
        bytes(&update)
    };

    let (without, with) = (update_in_era(0), update_in_era(3));

    println!("{without} bytes without an era, {with} with one");
    assert!(with - without <= MAX_ADDED_BYTES, "{without} and {with} bytes");
}
