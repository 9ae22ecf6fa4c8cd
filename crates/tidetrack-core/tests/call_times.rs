//! Comparison of the response times of few plain calls of a canary version with those of the stable versions.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::traffic::samples::{time_step, CallTimes};

/// Log-likelihood ratio above which calls count as slow.
const THRESHOLD: f64 = 4.0;

/// Log-likelihood ratio that is also needed without the calls of any one group of endpoints.
const THRESHOLD_WITHOUT_WORST: f64 = 1.0;

/// Number of endpoint groups.
const GROUPS: u8 = 4;

/// Draws the time of a call with a median of 20 ms.
fn draw_ms(rng: &mut StdRng) -> f64 {
    let normal_deviate = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    20.0 * (0.4 * normal_deviate).exp()
}

/// Returns the times of 200 calls to a stable version and `calls` to a canary version, of which a share takes `factor`
/// times as long at the groups below `slow_groups`.
fn call_times(seed: u64, calls: usize, share: f64, factor: f64, slow_groups: u8) -> CallTimes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut times = CallTimes::default();
    (0..200).for_each(|_| times.add_stable(1, time_step(draw_ms(&mut rng))));
    for n in 0..calls {
        let group = (n % usize::from(GROUPS)) as u8;
        let is_slow = rng.random::<f64>() < share && group < slow_groups;
        let ms = draw_ms(&mut rng) * if is_slow { factor } else { 1.0 };
        times.add_canary(1, group, time_step(ms));
    }
    times
}

#[test]
fn few_calls_show_that_half_of_them_take_several_times_as_long() {
    for (factor, seed) in [3.0, 4.0, 8.0].into_iter().flat_map(|f| (0..20).map(move |s| (f, s))) {
        let times = call_times(seed, 100, 0.5, factor, GROUPS);

        let ratios = (times.log_ratio(), times.log_ratio_without_worst_group());
        assert!(ratios.0 >= THRESHOLD, "factor {factor}, seed {seed}: {ratios:?}");
        assert!(ratios.1 >= THRESHOLD_WITHOUT_WORST, "factor {factor}, seed {seed}: {ratios:?}");
    }
}

/// Guards against missing a slow version of a service with few requests.
#[test]
fn forty_calls_show_that_half_of_them_take_three_times_as_long() {
    for seed in 0..20 {
        let times = call_times(seed, 40, 0.5, 3.0, GROUPS);

        assert!(times.log_ratio() >= THRESHOLD, "seed {seed}: {}", times.log_ratio());
    }
}

/// Guards against barring good versions, also those that are a little slower or rarely slow.
#[test]
fn the_calls_of_good_versions_do_not_look_slow() {
    for (share, factor) in [(0.0, 1.0), (1.0, 1.4), (0.05, 8.0)] {
        for seed in 0..200 {
            let times = call_times(seed, 40, share, factor, GROUPS);

            let ratio = times.log_ratio();
            assert!(ratio < THRESHOLD, "share {share}, factor {factor}, seed {seed}: {ratio}");
        }
    }
}

/// Guards against barring a version for one endpoint that is slow for its own reasons.
#[test]
fn the_calls_of_one_slow_endpoint_do_not_count_against_its_version() {
    for seed in 0..200 {
        let times = call_times(seed, 40, 1.0, 8.0, 1);

        let ratio = times.log_ratio_without_worst_group();
        assert!(ratio < THRESHOLD_WITHOUT_WORST, "seed {seed}: {ratio}");
    }
}

/// Guards against counts that are lost between hosts.
#[test]
fn merged_counts_of_several_hosts_are_those_of_all_calls() {
    let whole = call_times(1, 100, 0.5, 4.0, GROUPS);
    let mut merged = call_times(1, 100, 0.5, 4.0, GROUPS);
    let mut doubled = merged.clone();

    merged.merge(&CallTimes::default());
    doubled.merge(&whole);

    assert_eq!(merged, whole);
    assert!(doubled.log_ratio() > whole.log_ratio());
}
