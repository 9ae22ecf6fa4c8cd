//! Admission control in an overload of a plain service, on fleets of several sizes.

mod support;

use support::overload_simulation::{rate, simulate, Outcome, Scenario, RANKS};

/// Largest difference, in favour of a less urgent rank, between the rates at which ranks are served.
const MAX_INVERSION: f64 = 0.05;

const FLEETS: [usize; 3] = [4, 67, 295];

fn print(scenario: &Scenario, outcome: &Outcome) {
    let ranks: Vec<String> =
        (0..RANKS).map(|rank| format!("{:.3}", outcome.served(rank))).collect();
    println!(
        "hosts={} load_control={} served={} hot={:.3} others={:.3} rejected={} before={} after={} \
         returns={} peak={} refused_attempts={}/{}",
        scenario.hosts,
        scenario.has_load_control,
        ranks.join(","),
        rate(outcome.hot),
        rate(outcome.others),
        outcome.rejected_at.len(),
        outcome.rejected_between(0, scenario.surge_from),
        outcome.rejected_between(scenario.surge_until + 1_500, u64::MAX),
        outcome.returned_at.len(),
        outcome.largest_return_peak(scenario.surge_until, u64::MAX),
        outcome.refused_attempts,
        outcome.attempts,
    );
}

#[test]
fn trial() {
    for hosts in FLEETS {
        for has_load_control in [false, true] {
            for (surge, hot_factor) in [(2.0, 1.0), (0.6, 20.0), (1.7, 10.0)] {
                let scenario =
                    Scenario { has_load_control, surge, hot_factor, ..Scenario::new(hosts) };
                let outcome = simulate(&scenario);
                print!("surge={surge} hot={hot_factor} ");
                print(&scenario, &outcome);
            }
        }
    }
}
