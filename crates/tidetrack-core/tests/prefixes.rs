//! Tests of the prefix index: which endpoints have read the shared prefix of a prompt, and which
//! reads hosts report to each other.

use tidetrack_core::ids::{EndpointId, EndpointKey, ModelId};
use tidetrack_core::traffic::prefix_index::{PrefixIndex, PrefixKey};
use tidetrack_core::units::Millis;

const ROUND_INTERVAL: Millis = Millis(500);

fn endpoint(name: &str) -> EndpointKey {
    EndpointKey::from(&name.parse::<EndpointId>().expect("the endpoint id parses"))
}

fn prefix_key(prefix: &str, model: &str) -> PrefixKey {
    let model: ModelId = model.parse().expect("the model name parses");
    PrefixKey::new(prefix, Some(&model))
}

#[test]
fn a_prefix_is_recorded_per_model_and_expires() {
    let index = PrefixIndex::default();

    index.record_use(Millis(0), prefix_key("manual", "large"), endpoint("e1"));

    let holders = |at, model| index.endpoints_with(Millis(at), prefix_key("manual", model));
    assert_eq!(holders(10_000, "large"), [endpoint("e1")]);
    assert!(holders(10_000, "small").is_empty());
    assert!(holders(60_000, "large").is_empty());
}

#[test]
fn a_prefix_use_is_reported_for_one_round_and_repeated_after_a_delay() {
    let index = PrefixIndex::default();
    let record_use_at =
        |at| index.record_use(Millis(at), prefix_key("manual", "large"), endpoint("e1"));

    record_use_at(0);
    let first = index.reports(Millis(100), ROUND_INTERVAL);
    record_use_at(700);
    let repeated = index.reports(Millis(800), ROUND_INTERVAL);
    record_use_at(6_000);
    let later = index.reports(Millis(6_100), ROUND_INTERVAL);

    assert_eq!(first.len(), 1);
    assert!(repeated.is_empty());
    assert_eq!(later, first);
}

#[test]
fn received_reports_are_stored_and_not_forwarded() {
    let (reporting_host, receiving_host) = (PrefixIndex::default(), PrefixIndex::default());
    reporting_host.record_use(Millis(0), prefix_key("manual", "large"), endpoint("e1"));

    receiving_host.record_reports(Millis(50), &reporting_host.reports(Millis(0), ROUND_INTERVAL));

    assert_eq!(
        receiving_host.endpoints_with(Millis(60), prefix_key("manual", "large")),
        [endpoint("e1")]
    );
    assert!(receiving_host.reports(Millis(60), ROUND_INTERVAL).is_empty());
    receiving_host.record_use(Millis(70), prefix_key("manual", "large"), endpoint("e1"));
    assert!(
        receiving_host.reports(Millis(80), ROUND_INTERVAL).is_empty(),
        "a use that another host has reported must not be reported again"
    );
}

#[test]
fn reports_and_stored_prefixes_are_bounded() {
    let index = PrefixIndex::default();

    for i in 0..20_000u64 {
        index.record_use(Millis(i / 100), prefix_key(&i.to_string(), "large"), endpoint("e1"));
    }
    for i in 0..100u64 {
        index.record_use(Millis(200 + i), prefix_key("0", "large"), endpoint(&format!("e{i}")));
    }

    assert!(index.reports(Millis(300), ROUND_INTERVAL).len() <= 16);
    let holders = index.endpoints_with(Millis(300), prefix_key("0", "large"));
    assert_eq!(holders.len(), 8);
    assert!(holders.contains(&endpoint("e99")), "the newest use must be stored");
}
