//! What hosts remember and tell of the shared parts of prompts that endpoints have read.

use tidetrack_core::ids::{EndpointId, EndpointKey, ModelId};
use tidetrack_core::traffic::prefixes::{PartKey, Prefixes};
use tidetrack_core::units::Millis;

const TURN: Millis = Millis(500);

fn endpoint(name: &str) -> EndpointKey {
    EndpointKey::from(&name.parse::<EndpointId>().expect("a name"))
}

fn part(prefix: &str, model: &str) -> PartKey {
    let model: ModelId = model.parse().expect("a name");
    PartKey::new(prefix, Some(&model))
}

#[test]
fn an_endpoint_keeps_a_part_for_the_model_that_read_it_and_not_for_ever() {
    let prefixes = Prefixes::default();

    prefixes.used(Millis(0), part("manual", "large"), endpoint("e1"));

    let readers = |at, model| prefixes.readers(Millis(at), part("manual", model));
    assert_eq!(readers(10_000, "large"), [endpoint("e1")]);
    assert!(readers(10_000, "small").is_empty());
    assert!(readers(60_000, "large").is_empty());
}

#[test]
fn a_read_is_told_for_one_turn_and_again_only_after_a_while() {
    let prefixes = Prefixes::default();
    let use_at = |at| prefixes.used(Millis(at), part("manual", "large"), endpoint("e1"));

    use_at(0);
    let first = prefixes.told(Millis(100), TURN);
    use_at(700);
    let repeated = prefixes.told(Millis(800), TURN);
    use_at(6_000);
    let later = prefixes.told(Millis(6_100), TURN);

    assert_eq!(first.len(), 1);
    assert!(repeated.is_empty());
    assert_eq!(later, first);
}

#[test]
fn what_is_heard_is_known_and_not_told_on() {
    let (one, other) = (Prefixes::default(), Prefixes::default());
    one.used(Millis(0), part("manual", "large"), endpoint("e1"));

    other.hear(Millis(50), &one.told(Millis(0), TURN));

    assert_eq!(other.readers(Millis(60), part("manual", "large")), [endpoint("e1")]);
    assert!(other.told(Millis(60), TURN).is_empty());
    other.used(Millis(70), part("manual", "large"), endpoint("e1"));
    assert!(other.told(Millis(80), TURN).is_empty(), "a use that others know of is no news");
}

#[test]
fn what_is_told_and_remembered_is_bounded() {
    let prefixes = Prefixes::default();

    for i in 0..20_000u64 {
        prefixes.used(Millis(i / 100), part(&i.to_string(), "large"), endpoint("e1"));
    }
    for i in 0..100u64 {
        prefixes.used(Millis(200 + i), part("0", "large"), endpoint(&format!("e{i}")));
    }

    assert!(prefixes.told(Millis(300), TURN).len() <= 16);
    let readers = prefixes.readers(Millis(300), part("0", "large"));
    assert_eq!(readers.len(), 8);
    assert!(readers.contains(&endpoint("e99")), "the newest use is remembered");
}
