//! Property tests of declarations, session tokens, the store, bills and policy programs.

use proptest::prelude::*;

use tidetrack_core::config::{ObjectKey, ObjectKind};
use tidetrack_core::declare::read_folder;
use tidetrack_core::ids::RequestId;
use tidetrack_core::ledger::{sum_segments, Bill, BillOutcome, Segment};
use tidetrack_core::message_auth::{Key, KeyRing};
use tidetrack_core::policy::{Features, Program};
use tidetrack_core::session::Session;
use tidetrack_core::store::{Delta, Entry, Store};

fn key_ring() -> KeyRing {
    KeyRing { current: Key { id: "k".into(), secret: "0123456789abcdef".into() }, previous: None }
}

fn valid_name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._-]{1,64}"
}

/// Returns the entries of a store in the order of its iterator, which does not depend on the order
/// of insertion.
fn sorted_entries(store: &Store) -> Vec<Entry> {
    store.iter().cloned().collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_does_not_make_reading_declarations_panic(text in "\\PC{0,300}") {
        let _ = read_folder(&[("x.toml".to_string(), text)]);
    }

    #[test]
    fn faults_in_declarations_name_the_faulty_line(
        line in 0usize..4,
        extra_field in "[a-z]{3,9} = [0-9]{1,4}",
    ) {
        let mut lines = vec!["[pool.p]", "slots = 4", "fenced = true", "endpoints = {}"];
        lines.insert(line + 1, &extra_field);
        let is_known_field = ["slots", "fenced", "endpoints"].iter().any(|k| extra_field.starts_with(k));
        if !is_known_field {
            let faults = read_folder(&[("x.toml".to_string(), lines.join("\n"))]).expect_err("the declarations have faults");
            prop_assert_eq!(faults[0].line, line + 2);
        }
    }

    #[test]
    fn a_session_token_decodes_for_its_workspace_only(
        workspace in valid_name(), other in valid_name(), route in valid_name(), model in valid_name(), version in valid_name(),
        generation: u64, nonce: u64,
    ) {
        let session = Session {
            workspace: workspace.parse().expect("the workspace name parses"),
            route: route.parse().expect("the route name parses"),
            version: format!("{model}@{version}").parse().expect("the version name parses"),
            generation,
            nonce,
        };
        let token = session.to_token(&key_ring());
        let decoded = Session::from_token(&token, &session.workspace, &key_ring());
        prop_assert_eq!(decoded.expect("the session token is accepted"), session);
        if other != workspace {
            let other = other.parse().expect("the workspace name parses");
            prop_assert!(Session::from_token(&token, &other, &key_ring()).is_err());
        }
    }

    #[test]
    fn arbitrary_text_is_no_token_and_request_ids_round_trip(text in "\\PC{0,120}") {
        let workspace = "w".parse().expect("the workspace name parses");
        prop_assert!(Session::from_token(&text, &workspace, &key_ring()).is_err());
        if let Ok(id) = text.parse::<RequestId>() {
            prop_assert_eq!(id.to_string().parse::<RequestId>().expect("the request id parses"), id);
        }
    }

    #[test]
    fn a_store_does_not_depend_on_the_order_and_repetition_of_deltas(
        versions in proptest::collection::vec((0u8..6, any::<bool>()), 1..30),
        order in proptest::collection::vec(any::<proptest::sample::Index>(), 0..60),
    ) {
        let entries: Vec<Entry> = versions
            .iter()
            .enumerate()
            .map(|(i, (n, is_present))| Entry {
                key: ObjectKey::new(ObjectKind::Model, format!("m{n}")),
                version: i as u64 + 1,
                body: is_present.then(|| format!("{{\"n\":{i}}}").into()),
            })
            .collect();
        let to = entries.len() as u64;
        let mut in_order = Store::default();
        in_order.merge(Delta { from: 0, to, entries: entries.clone() });
        let mut out_of_order = Store::default();
        for index in &order {
            let entry = index.get(&entries).clone();
            let version = entry.version;
            out_of_order.merge(Delta { from: version - 1, to: version, entries: vec![entry] });
        }
        out_of_order.merge(Delta { from: 0, to, entries });
        prop_assert_eq!(sorted_entries(&out_of_order), sorted_entries(&in_order));
        prop_assert_eq!(out_of_order.complete_to(), in_order.complete_to());
    }

    #[test]
    fn totals_count_each_bill_once_however_segments_overlap(
        segments in proptest::collection::vec(proptest::collection::vec(0u64..40, 0..20), 0..8),
    ) {
        let bill = |n: u64| Bill(n, "w".parse().expect("the workspace name parses"), Vec::new(), BillOutcome::Complete);
        let distinct_numbers: std::collections::BTreeSet<u64> = segments.iter().flatten().copied().collect();
        let segments: Vec<Segment> = segments
            .into_iter()
            .enumerate()
            .map(|(number, numbers)| Segment {
                origin: "h~1".parse().expect("the incarnation parses"),
                number: number as u64,
                bills: numbers.into_iter().map(bill).collect(),
            })
            .collect();
        prop_assert_eq!(sum_segments(&segments).requests, distinct_numbers.len() as u64);
    }

    #[test]
    fn arbitrary_program_text_does_not_panic_or_run_forever(text in "[a-z0-9 (){}\\[\\];=+*<>!|&\"#:,.]{0,80}") {
        let policy = tidetrack_core::config::Policy {
            program: text,
            mode: tidetrack_core::config::Mode::Full,
            fallback: vec!["m".parse().expect("the model name parses")],
            max_steps: 500,
            deadline_ms: 1,
            cases: Vec::new(),
        };
        if let Ok(program) = Program::compile(&policy) {
            let _ = program.decide(&Features::default(), &[]);
        }
    }
}
