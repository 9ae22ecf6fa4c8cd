//! A store that is restored from an older copy: the order of positions, and what stays in force of
//! endpoints and roll-outs.

use tidetrack_core::ids::EndpointId;
use tidetrack_core::traffic::canary::{
    Canary, Phase, RolloutOrder, RolloutProgress, RolloutState, DEFAULT_EXPOSURE_BOUND,
};
use tidetrack_core::traffic::endpoints::{EndpointRecord, EndpointTable};
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(100_000);

/// Time after which running endpoints have written their entries again.
const REWRITE_TIME: Millis = Millis(2_300);

fn position(era: u64, revision: u64) -> u64 {
    StorePosition { era, revision }.packed()
}

fn record(id: &str, is_leaving: bool, started: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.parse().expect("the endpoint id parses"),
        service: "desk".parse().expect("the service id parses"),
        address: "127.0.0.1:8000".parse().expect("the address parses"),
        failure_domain: "hall".parse().expect("the failure domain parses"),
        version: "v1".parse().expect("the version parses"),
        slots: 8,
        started: Some(Millis(started)),
        is_leaving,
        cold_for: Millis(0),
    }
}

fn ids(table: &EndpointTable) -> Vec<(String, bool)> {
    table.records().map(|r| (r.id.to_string(), r.is_leaving)).collect()
}

#[test]
fn positions_are_ordered_by_era_and_without_an_era_are_revisions() {
    assert_eq!(position(0, 4_711), 4_711);
    assert!(position(1, 4_711) < position(2, 12));
    assert!(position(2, 12) < position(2, 13));
    let parsed = StorePosition::from_packed(position(3, 99));
    assert_eq!((parsed.era, parsed.revision, parsed.to_string()), (3, 99, "3:99".to_string()));
}

/// Guards against sending to endpoints that the copy lists as ready, and dropping those that it lacks.
#[test]
fn the_list_of_a_restored_store_undoes_nothing_that_endpoints_wrote() {
    let mut table = EndpointTable::default();
    let [leaving, ended, young] = ["leaving", "ended", "young"];
    table.replace(
        Millis(1_000),
        vec![record(leaving, true, 1), record(ended, false, 1), record(young, false, 1)],
    );
    table.remove(Millis(50_000), &ended.parse::<EndpointId>().expect("the endpoint id parses"));

    table.mark_restored(NOW);
    table.replace(NOW, vec![record(leaving, false, 1), record(ended, false, 1)]);
    let after_list = ids(&table);
    table.sweep(NOW + REWRITE_TIME);

    let expected = [(leaving.to_string(), true), (young.to_string(), false)];
    assert_eq!(after_list, expected);
    assert_eq!(ids(&table), expected[..1]);
}

#[test]
fn an_endpoint_that_started_anew_is_used_although_its_last_run_had_left() {
    let mut table = EndpointTable::default();
    table.replace(Millis(1_000), vec![record("a", true, 1), record("b", false, 1)]);
    table.remove(Millis(2_000), &"b".parse::<EndpointId>().expect("the endpoint id parses"));

    table.mark_restored(NOW);
    table.replace(NOW, vec![record("a", false, 2), record("b", false, 2)]);

    assert_eq!(ids(&table), [("a".to_string(), false), ("b".to_string(), false)]);
}

fn order(revision: u64, state: Option<RolloutState>) -> RolloutOrder {
    let version = || "v2".parse().expect("the version parses");
    RolloutOrder {
        service: "desk".parse().expect("the service id parses"),
        version: version(),
        duration: Millis(60_000),
        revision,
        progress: state.map(|state| RolloutProgress {
            state,
            version: version(),
            elapsed: Millis(5_000),
            sample: Some(0.1),
        }),
    }
}

/// Guards against taking up a roll-out again whose verdict was written after the copy was made.
#[test]
fn a_verdict_that_the_restored_store_lacks_stays_in_force_and_is_written_again() {
    for (state, phase) in
        [(RolloutState::RolledBack, Phase::Barred), (RolloutState::Completed, Phase::Done)]
    {
        let decided = order(position(1, 90), Some(state));
        let mut canary = Canary::new(NOW, decided, DEFAULT_EXPOSURE_BOUND);

        canary.update(NOW, order(position(2, 40), Some(RolloutState::InProgress)));
        let write = canary.take_due_write(NOW, Millis(0), Millis(500), 7);

        assert_eq!(canary.phase(), phase);
        let write = write.expect("the verdict is written again");
        assert_eq!((write.progress.state, write.revision), (state, position(2, 40)));
    }
}
