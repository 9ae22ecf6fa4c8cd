//! What hosts remember and tell of the shared parts of prompts that endpoints have read.

use tidetrack_core::ids::{EndpointId, EndpointKey, ModelId};
use tidetrack_core::traffic::prefix_index::{PrefixIndex, PrefixKey};
use tidetrack_core::units::Millis;

const TURN: Millis = Millis(500);

fn endpoint(name: &str) -> EndpointKey {
    EndpointKey::from(&name.parse::<EndpointId>().expect("a name"))
}

fn part(prefix: &str, model: &str) -> PrefixKey {
    let model: ModelId = model.parse().expect("a name");
    PrefixKey::new(prefix, Some(&model))
}

#[test]
fn an_endpoint_keeps_a_part_for_the_model_that_read_it_and_not_for_ever() {
    let prefixes = PrefixIndex::default();

    prefixes.record_use(Millis(0), part("manual", "large"), endpoint("e1"));

    let readers = |at, model| prefixes.endpoints_with(Millis(at), part("manual", model));
    assert_eq!(readers(10_000, "large"), [endpoint("e1")]);
    assert!(readers(10_000, "small").is_empty());
    assert!(readers(60_000, "large").is_empty());
}

#[test]
fn a_read_is_told_for_one_turn_and_again_only_after_a_while() {
    let prefixes = PrefixIndex::default();
    let use_at = |at| prefixes.record_use(Millis(at), part("manual", "large"), endpoint("e1"));

    use_at(0);
    let first = prefixes.reports(Millis(100), TURN);
    use_at(700);
    let repeated = prefixes.reports(Millis(800), TURN);
    use_at(6_000);
    let later = prefixes.reports(Millis(6_100), TURN);

    assert_eq!(first.len(), 1);
    assert!(repeated.is_empty());
    assert_eq!(later, first);
}

#[test]
fn what_is_heard_is_known_and_not_told_on() {
    let (one, other) = (PrefixIndex::default(), PrefixIndex::default());
    one.record_use(Millis(0), part("manual", "large"), endpoint("e1"));

    other.record_reports(Millis(50), &one.reports(Millis(0), TURN));

    assert_eq!(other.endpoints_with(Millis(60), part("manual", "large")), [endpoint("e1")]);
    assert!(other.reports(Millis(60), TURN).is_empty());
    other.record_use(Millis(70), part("manual", "large"), endpoint("e1"));
    assert!(other.reports(Millis(80), TURN).is_empty(), "a use that others know of is no news");
}

#[test]
fn what_is_told_and_remembered_is_bounded() {
    let prefixes = PrefixIndex::default();

    for i in 0..20_000u64 {
        prefixes.record_use(Millis(i / 100), part(&i.to_string(), "large"), endpoint("e1"));
    }
    for i in 0..100u64 {
        prefixes.record_use(Millis(200 + i), part("0", "large"), endpoint(&format!("e{i}")));
    }

    assert!(prefixes.reports(Millis(300), TURN).len() <= 16);
    let readers = prefixes.endpoints_with(Millis(300), part("0", "large"));
    assert_eq!(readers.len(), 8);
    assert!(readers.contains(&endpoint("e99")), "the newest use is remembered");
}
