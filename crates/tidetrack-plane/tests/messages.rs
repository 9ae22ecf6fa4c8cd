//! Encoded sizes of the messages between hosts.

use tidetrack_core::ids::{EndpointId, EndpointKey};
use tidetrack_core::placement::RelativeTimes;
use tidetrack_core::traffic::baseline::Baseline;
use tidetrack_core::traffic::endpoint_speeds::{
    CallTimesReport, IncarnationHash, LoadControlReport, SpeedReport, REPORTS_PER_MESSAGE,
};
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::traffic::fair_share::{FairShares, WorkspaceKey};
use tidetrack_core::traffic::judge::{AttemptOutcome, Judge, ObservedResponse, Tally};
use tidetrack_core::traffic::peers::{PeerMessage, PeerUpdate, ProofReport, TallyReport};
use tidetrack_core::traffic::prefix_index::{PrefixIndex, PrefixKey};
use tidetrack_core::traffic::samples::CallTimes;
use tidetrack_core::units::Millis;

/// Maximum number of bytes that each endpoint in use adds to a message.
const MAX_BYTES_PER_ENDPOINT: usize = 8;

/// Maximum encoded size, in bytes, of the reports on which endpoints used which prefixes.
const MAX_PREFIX_REPORT_BYTES: usize = 162;

/// Maximum encoded size, in bytes, of the usage by workspace. A host sends 32 messages per second, and all
/// control traffic beyond that of a deployment without load control is limited to 8 KB/s.
const MAX_USAGE_REPORT_BYTES: usize = 128;

/// Maximum size, in bytes, of a message that lists no endpoints in use.
const MAX_BASE_MESSAGE_BYTES: usize = 220;

/// Maximum encoded size, in bytes, of the tally of one roll-out, for any number of routes and endpoints.
const MAX_TALLY_BYTES: usize = 1_050;

fn message(endpoints: usize) -> PeerMessage {
    let key = |i| {
        EndpointKey::from(
            &format!("i-{i:010}").parse::<EndpointId>().expect("the endpoint ID parses"),
        )
    };
    let tally = TallyReport {
        service: "model-service".parse().expect("the service name parses"),
        version: "v2".parse().expect("the version name parses"),
        age_ms: 4_000,
        tally: Tally::default(),
        baseline: Vec::new(),
    };
    PeerMessage {
        from: "edge-some-hall-1".parse().expect("the host name parses"),
        incarnation: 0,
        address: "10.1.0.40:8229".parse().expect("the host address parses"),
        failure_domain: "some-hall".parse().expect("the failure domain parses"),
        is_well_connected: false,
        wants_reply: true,
        stamp_ms: 604_800_000,
        echo_ms: Some(604_800_000),
        known_addresses: vec!["10.1.0.41:8229".parse().expect("the host address parses"); 6],
        update: PeerUpdate {
            proof: Some(ProofReport { version: 1_000, age_ms: 900 }),
            loads: (0..endpoints).map(|i| (key(i), 2_000)).collect(),
            tallies: vec![tally],
            ..PeerUpdate::default()
        },
    }
}

fn encoded_size(endpoints: usize) -> usize {
    postcard::to_allocvec(&message(endpoints)).expect("the message is serialized").len()
}

#[test]
fn a_message_grows_by_a_few_bytes_for_each_endpoint_in_use() {
    let (empty, with_20, with_200) = (encoded_size(0), encoded_size(20), encoded_size(200));

    println!("bytes of a message with 0, 20, 200 endpoints in use: {empty}, {with_20}, {with_200}");
    assert!(empty <= MAX_BASE_MESSAGE_BYTES, "{empty}");
    assert!(with_200 - empty <= 200 * MAX_BYTES_PER_ENDPOINT, "{with_200}");
}

#[test]
fn usage_reports_have_a_bounded_size_and_none_without_load_control() {
    let (now, mut shares) = (Millis(1_000), FairShares::default());
    let without = postcard::to_allocvec(&shares.reports(now)).expect("the reports are serialized");
    for n in 0..2_000_u32 {
        let service = format!("some-service-{}", n % 3).parse().expect("the service name parses");
        let workspace: WorkspaceKey = format!("{n:08x}").parse().expect("the key parses");
        shares.record(now, &service, workspace, 1, 1e7);
    }

    let with = postcard::to_allocvec(&shares.reports(now)).expect("the reports are serialized");

    println!("bytes of usage reports: {}, without load control {}", with.len(), without.len());
    assert!(with.len() <= MAX_USAGE_REPORT_BYTES, "{}", with.len());
    assert!(without.len() <= 1, "{}", without.len());
}

#[test]
fn prefix_reports_have_a_bounded_size() {
    let prefixes = PrefixIndex::default();
    for i in 0..5_000u64 {
        let endpoint = format!("i-{i:010}").parse::<EndpointId>().expect("the endpoint ID parses");
        prefixes.record_use(
            Millis(i),
            PrefixKey::new(&i.to_string(), None),
            EndpointKey::from(&endpoint),
        );
    }

    let encoded = prefixes.reports(Millis(5_000), Millis(20_000));
    let bytes = postcard::to_allocvec(&encoded).expect("the message is serialized").len();

    println!("prefix reports in a message: {bytes} bytes");
    assert!(bytes <= MAX_PREFIX_REPORT_BYTES, "{bytes}");
}

#[test]
fn roll_out_tallies_have_a_bounded_size() {
    let mut judge = Judge::default();
    let baseline = Baseline::default();
    for i in 0..5_000 {
        let response = ObservedResponse {
            service: "model-service".parse().expect("the service name parses"),
            canary_version: None,
            endpoint: format!("i-{i:010}").parse().expect("the endpoint ID parses"),
            is_load_concentrated: false,
            route: format!("route-{i}").parse().expect("the route name parses"),
            model: None,
            outcome: AttemptOutcome::Complete,
            has_failed_before: false,
            is_stream: true,
            load: 0.0,
            head_ms: Some(50.0),
            gap_ms: Some(20.0),
        };
        judge.record_stable(Millis(i), &response, &baseline);
        judge.record_canary(Millis(i), &response, &baseline);
        judge.record_canary(
            Millis(i),
            &ObservedResponse { is_load_concentrated: true, ..response },
            &baseline,
        );
    }

    let encoded =
        postcard::to_allocvec(judge.tally(Millis(5_000))).expect("the message is serialized");

    println!("tally of a roll-out in a message: {} bytes", encoded.len());
    assert!(encoded.len() <= MAX_TALLY_BYTES, "{}", encoded.len());
}

#[test]
fn messages_round_trip_and_truncated_ones_are_rejected() {
    let message = message(20);
    let bytes = postcard::to_allocvec(&message).expect("the message is serialized");

    assert_eq!(
        postcard::from_bytes::<PeerMessage>(&bytes).expect("the message is deserialized"),
        message
    );
    for len in 0..bytes.len() {
        assert!(postcard::from_bytes::<PeerMessage>(&bytes[..len]).is_err(), "{len} bytes");
    }
}

/// Maximum encoded size, in bytes, of the measured speeds in a message. 32 messages per second then take
/// 4.1 KB/s, and load control may add 8 KB/s to a host's control traffic.
const MAX_SPEED_REPORT_BYTES: usize = 129;

fn message_with_speeds(endpoints: usize) -> PeerMessage {
    let report = |i| {
        let record = EndpointRecord {
            id: format!("i-{i:010}").parse().expect("the endpoint ID parses"),
            service: "model-service".parse().expect("the service name parses"),
            address: "10.1.0.40:8229".parse().expect("the address parses"),
            failure_domain: "some-hall".parse().expect("the failure domain parses"),
            version: "v1".parse().expect("the version name parses"),
            slots: 24,
            started: Some(Millis(604_800_000)),
            is_leaving: false,
            cold_for: Millis(0),
        };
        let times = RelativeTimes::new(Millis(0), 0.9, 50.0);
        SpeedReport::new(EndpointKey::from(&record.id), IncarnationHash::of(&record), times)
    };
    let mut message = message(20);
    let speeds = (0..endpoints).map(report).collect();
    message.update.load_control = LoadControlReport { speeds, ..LoadControlReport::default() };
    message
}

fn encode(message: &PeerMessage) -> Vec<u8> {
    postcard::to_allocvec(message).expect("the message is serialized")
}

#[test]
fn measured_speeds_take_a_bounded_number_of_bytes_and_none_where_nothing_was_measured() {
    let without = encode(&message(20));

    let none = encode(&message_with_speeds(0));
    let all = encode(&message_with_speeds(REPORTS_PER_MESSAGE));

    println!("bytes of the speeds in a message: {}", all.len() - without.len());
    assert_eq!(none, without);
    assert_eq!(
        all[..without.len()],
        without,
        "a host without load control reads the rest as before"
    );
    assert!(all.len() - without.len() <= MAX_SPEED_REPORT_BYTES, "{}", all.len() - without.len());
}

#[test]
fn messages_with_speeds_round_trip_and_unreadable_speeds_are_ignored() {
    let message = message_with_speeds(REPORTS_PER_MESSAGE);
    let bytes = encode(&message);

    let whole = postcard::from_bytes::<PeerMessage>(&bytes);
    let truncated = postcard::from_bytes::<PeerMessage>(&bytes[..bytes.len() - 3]);

    assert_eq!(whole.expect("the message is deserialized"), message);
    let rest = truncated.expect("the rest of the message is deserialized");
    assert_eq!(rest, message_with_speeds(0));
}

/// Guards against hosts that cannot read each other's messages because only one of them reports response times.
#[test]
fn response_times_of_versions_follow_what_other_hosts_read() {
    let mut times = CallTimes::default();
    times.add_stable(1, 4);
    times.add_canary(1, 200, 9);
    let mut with_times = message(20);
    with_times.update.load_control.call_times.push(CallTimesReport {
        service: "model-service".parse().expect("the service name parses"),
        version: "v2".parse().expect("the version name parses"),
        times,
    });
    let without = encode(&message(20));

    let encoded = encode(&with_times);

    let decode = |bytes: &[u8]| postcard::from_bytes::<PeerMessage>(bytes);
    assert_eq!(decode(&encoded).as_ref(), Ok(&with_times));
    assert_eq!(decode(&without).as_ref(), Ok(&message(20)));
    // Hosts that do not know the times read two empty lists before them.
    assert_eq!(encoded[..without.len()], without);
    assert_eq!(encoded[without.len()..without.len() + 2], [0, 0]);
}
