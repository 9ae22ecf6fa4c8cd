//! Groups of endpoints that end for reasons of their own, beside prompt parts that crash endpoints:
//! how many sound requests are rejected, and how many crashing ones are sent on, in fleets of all sizes.

mod support;

use rand::RngExt;

use tidetrack_core::ids::{EndpointId, FailureDomain, PartId, WorkspaceId};
use tidetrack_core::traffic::fingerprint::{RequestFingerprints, RequestIdentity};
use tidetrack_core::units::Millis;

use support::fleet::{Fleet, CLOCK_STEP_MS};
use support::id;

/// Time after which connected hosts know what one of them has learned, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Number of crashes from which all hosts have to know the part a contact time later.
const DECIDING_CRASHES: usize = 5;

/// Number of requests with the part that may reach endpoints after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Number of attempts at a request.
const MAX_ATTEMPTS: u32 = 3;

/// When the simulated requests begin and end, in milliseconds.
const START_MS: u64 = 2_000;
const END_MS: u64 = 14_000;

/// How long an endpoint that ended is away, in milliseconds.
const DOWNTIME_MS: u64 = 3_000;

/// Time from the start of an attempt to the crash that its part causes, in milliseconds.
const TIME_TO_CRASH_MS: u64 = 100;

/// Crashing requests per second in the whole fleet.
const CRASHING_PER_S: f64 = 8.0;

/// Returns the number of sound requests that the rules for hosts allow to be rejected as invalid.
fn max_rejected(requests: usize) -> usize {
    5 + requests / 500
}

/// What happens in a simulation.
#[derive(Clone, Default)]
struct Scene {
    hosts: u32,
    seed: u64,
    /// When groups of endpoints end, in milliseconds, and the share of all endpoints in each.
    groups: Vec<(u64, f64)>,
    /// Time over which the ends of a group are spread, in milliseconds.
    spread_ms: u64,
    /// From when on requests have a part that crashes endpoints, in milliseconds; `None` if none has.
    crashing_from: Option<u64>,
    /// Whether requests with the part complete until then.
    is_crashing_part_used_before: bool,
}

/// An attempt at a request that runs at an endpoint.
struct Attempt {
    host: usize,
    endpoint: usize,
    fingerprints: RequestFingerprints,
    has_crashing_part: bool,
    /// Whether the attempt crashes its endpoint at its end.
    is_crashing: bool,
    number: u32,
    sent_at: u64,
    ends_at: u64,
}

/// A request that waits for its next attempt.
struct WaitingRequest {
    due_at: u64,
    host: usize,
    fingerprints: RequestFingerprints,
    has_crashing_part: bool,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    /// Sound requests that were rejected at their admission or before a further attempt.
    rejected: usize,
    /// Endpoints that ended for reasons of their own, and that a part crashed.
    ends: usize,
    crashes: usize,
    /// Attempts at crashing requests, and those later than the contact time after the deciding crash.
    crashing_sent: usize,
    late: usize,
}

struct Simulation {
    scene: Scene,
    fleet: Fleet,
    endpoints: Vec<EndpointId>,
    domains: Vec<FailureDomain>,
    down_until: Vec<u64>,
    /// Scheduled ends of endpoints, the latest first.
    ends: Vec<(u64, usize)>,
    running: Vec<Attempt>,
    waiting: Vec<WaitingRequest>,
    decided_at: Option<u64>,
    outcome: Outcome,
}

impl Simulation {
    fn new(scene: Scene) -> Simulation {
        let mut fleet = Fleet::start(scene.hosts, scene.seed);
        let count = (scene.hosts as usize * 7 / 6).max(18);
        let mut ends = Vec::new();
        for (at, share) in &scene.groups {
            for endpoint in 0..count {
                if fleet.rng.random_bool(*share) {
                    ends.push((at + fleet.rng.random_range(0..=scene.spread_ms), endpoint));
                }
            }
        }
        ends.sort_unstable_by_key(|(at, endpoint)| std::cmp::Reverse((*at, *endpoint)));
        Simulation {
            scene,
            fleet,
            endpoints: (0..count).map(|n| id(&format!("e{n}"))).collect(),
            domains: (0..count).map(|n| id(&format!("hall-{}", n % 3))).collect(),
            down_until: vec![0; count],
            ends,
            running: Vec::new(),
            waiting: Vec::new(),
            decided_at: None,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        self.fleet.run(START_MS, |_, _| {});
        while self.fleet.now < END_MS {
            self.send_new_requests();
            self.send_waiting_requests();
            self.fleet.run(self.fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
            self.end_attempts();
        }
        self.outcome
    }

    /// Sends eight requests per host and second to random hosts.
    fn send_new_requests(&mut self) {
        let per_step = |per_s: f64| per_s * CLOCK_STEP_MS as f64 / 1_000.0;
        let sound = per_step(8.0 * f64::from(self.scene.hosts));
        let crashing = match self.scene.crashing_from {
            Some(from) if self.fleet.now >= from || self.scene.is_crashing_part_used_before => {
                per_step(CRASHING_PER_S)
            }
            _ => 0.0,
        };
        for (has_crashing_part, rate) in [(false, sound), (true, crashing)] {
            let count = rate as usize + usize::from(self.fleet.rng.random_bool(rate.fract()));
            for _ in 0..count {
                self.outcome.requests += usize::from(!has_crashing_part);
                let request = WaitingRequest {
                    due_at: self.fleet.now,
                    host: self.fleet.rng.random_range(0..self.scene.hosts as usize),
                    fingerprints: self.new_request(has_crashing_part),
                    has_crashing_part,
                    attempts: 0,
                };
                self.send(request);
            }
        }
    }

    /// Returns the fingerprints of a request of one of 24 workspaces, a few of which send most. Its first
    /// part is one of five, its second one of 400.
    fn new_request(&mut self, has_crashing_part: bool) -> RequestFingerprints {
        let rng = &mut self.fleet.rng;
        let low = |a: u32, b: u32| a.min(b);
        let workspace = low(rng.random_range(0..24), rng.random_range(0..24));
        let first = low(rng.random_range(0..5), rng.random_range(0..5));
        let second = match has_crashing_part {
            true => "crashing".to_string(),
            false => format!("second{}", rng.random_range(0..400)),
        };
        let own = format!("own{}", rng.random::<u64>());
        let parts: Vec<PartId> =
            [format!("first{first}"), second, own].iter().map(|part| id(part)).collect();
        let workspace: WorkspaceId = id(&format!("w{workspace}"));
        RequestFingerprints::of(&RequestIdentity {
            workspace: Some(&workspace),
            hostname: "school.example",
            method: "POST",
            path: "/a/x",
            prompt_parts: &parts,
            body: &[b"{}"],
        })
    }

    fn send_waiting_requests(&mut self) {
        let now = self.fleet.now;
        let is_due = |request: &WaitingRequest| request.due_at <= now;
        let (due, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_due);
        self.waiting = waiting;
        for request in due {
            self.send(request);
        }
    }

    fn send(&mut self, request: WaitingRequest) {
        let now = self.fleet.now;
        let suspects = self.fleet.hosts[request.host].fleet_state.suspects();
        if suspects.check(Millis(now), &request.fingerprints).is_err() {
            self.outcome.rejected += usize::from(!request.has_crashing_part);
            return;
        }
        let delay = suspects.attempt_delay(Millis(now), &request.fingerprints);
        if request.attempts > 0 && delay > Millis(0) {
            self.waiting.push(WaitingRequest { due_at: now + delay.0, ..request });
            return;
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|n| self.down_until[*n] <= now).collect();
        if up.is_empty() {
            return;
        }
        let endpoint = up[self.fleet.rng.random_range(0..up.len())];
        let is_crashing =
            request.has_crashing_part && self.scene.crashing_from.is_some_and(|at| now >= at);
        if is_crashing {
            self.outcome.crashing_sent += 1;
            let is_late = self.decided_at.is_some_and(|at| now > at + CONTACT_MS);
            self.outcome.late += usize::from(is_late);
        }
        let time = match is_crashing {
            true => TIME_TO_CRASH_MS,
            // Between 0.15 s and some seconds; most are short.
            false => 150 + (-1_800.0 * (1.0 - self.fleet.rng.random::<f64>()).ln()) as u64,
        };
        let WaitingRequest { host, fingerprints, has_crashing_part, attempts, .. } = request;
        self.running.push(Attempt {
            host,
            endpoint,
            fingerprints,
            has_crashing_part,
            is_crashing,
            number: attempts + 1,
            sent_at: now,
            ends_at: now + time,
        });
    }

    /// Ends the endpoints that are due, and the attempts that completed until now, in the order of time.
    fn end_attempts(&mut self) {
        let now = self.fleet.now;
        loop {
            let crash = self.running.iter().filter(|a| a.is_crashing && a.ends_at <= now);
            let crash = crash.map(|a| (a.ends_at, a.endpoint)).min();
            let end = self.ends.last().copied().filter(|(at, _)| *at <= now);
            match (crash, end) {
                (Some((at, endpoint)), end) if end.is_none_or(|end| at < end.0) => {
                    self.outcome.crashes += 1;
                    if self.outcome.crashes == DECIDING_CRASHES {
                        self.decided_at = Some(at);
                    }
                    self.end_endpoint(at, endpoint);
                }
                (_, Some((at, endpoint))) => {
                    self.ends.pop();
                    if self.down_until[endpoint] <= at {
                        self.outcome.ends += 1;
                        self.end_endpoint(at, endpoint);
                    }
                }
                _ => break,
            }
        }
        let (completed, running) =
            std::mem::take(&mut self.running).into_iter().partition(|a| a.ends_at <= now);
        self.running = running;
        let completed: Vec<Attempt> = completed;
        for attempt in completed {
            let suspects = self.fleet.hosts[attempt.host].fleet_state.suspects();
            suspects.record_completion(Millis(attempt.ends_at), &attempt.fingerprints);
        }
    }

    fn end_endpoint(&mut self, at: u64, endpoint: usize) {
        self.down_until[endpoint] = at + DOWNTIME_MS;
        let is_lost = |a: &Attempt| a.endpoint == endpoint && a.ends_at >= at;
        let (lost, running) =
            std::mem::take(&mut self.running).into_iter().partition(|a| is_lost(a));
        self.running = running;
        let lost: Vec<Attempt> = lost;
        for attempt in lost {
            let suspects = self.fleet.hosts[attempt.host].fleet_state.suspects();
            suspects.record_crash(
                Millis(at),
                &attempt.fingerprints,
                &self.endpoints[endpoint],
                &self.domains[endpoint],
                Millis(attempt.sent_at),
            );
            if attempt.number < MAX_ATTEMPTS {
                self.waiting.push(WaitingRequest {
                    due_at: self.fleet.now,
                    host: attempt.host,
                    fingerprints: attempt.fingerprints,
                    has_crashing_part: attempt.has_crashing_part,
                    attempts: attempt.number,
                });
            }
        }
        // The endpoint comes back as another incarnation.
        self.endpoints[endpoint] = id(&format!("e{endpoint}-{at}"));
    }
}

/// Groups of endpoints that end within seconds, by the time between them.
fn groups(interval_ms: u64) -> Vec<(u64, f64)> {
    (0..4).map(|n| (6_000 + n * interval_ms, 0.25)).collect()
}

/// Sizes of fleets, in hosts, with the number of seeds for each.
const USUAL_SIZES: [(u32, u64); 2] = [(7, 6), (77, 2)];
const LARGE_SIZE: [(u32, u64); 1] = [(295, 1)];

/// Plays a scene for fleets of the given sizes, prints the outcomes, and checks both kinds of errors.
fn check_scene(name: &str, sizes: &[(u32, u64)], scene: Scene) {
    let mut failed = Vec::new();
    for (hosts, seeds) in sizes {
        for seed in 0..*seeds {
            let scene = Scene { hosts: *hosts, seed, ..scene.clone() };
            let has_ends = !scene.groups.is_empty();
            let has_crashes = scene.crashing_from.is_some();

            let outcome = Simulation::new(scene).run();

            println!("{name}, {hosts} hosts, seed {seed}: {outcome:?}");
            let is_played = has_ends == (outcome.ends > 0) && has_crashes == (outcome.crashes >= 3);
            let is_kept = outcome.rejected <= max_rejected(outcome.requests)
                && outcome.late <= MAX_LATE_REQUESTS;
            if !is_played || !is_kept {
                failed.push((hosts, seed));
            }
        }
    }
    assert!(failed.is_empty(), "{name}, hosts and seeds: {failed:?}");
}

/// Returns a scene in which groups of endpoints end, each over `spread_ms`.
fn ending_groups(interval_ms: u64, spread_ms: u64) -> Scene {
    Scene { groups: groups(interval_ms), spread_ms, ..Scene::default() }
}

/// Returns a scene in which requests have a part that crashes endpoints.
fn crashing_part(from_ms: u64) -> Scene {
    Scene { crashing_from: Some(from_ms), ..Scene::default() }
}

/// Guards against rejecting sound requests because endpoints that ran their parts ended in groups.
#[test]
fn sound_requests_are_not_rejected_after_groups_of_endpoints_ended() {
    check_scene("groups", &USUAL_SIZES, ending_groups(500, 0));
    check_scene("groups", &LARGE_SIZE, ending_groups(500, 0));
}

/// Guards against rejecting sound requests before any host can have told the others of a completion.
#[test]
fn sound_requests_are_not_rejected_after_groups_ended_in_quick_succession() {
    check_scene("quick groups", &USUAL_SIZES, ending_groups(200, 0));
    check_scene("quick groups", &LARGE_SIZE, ending_groups(200, 0));
}

/// Guards against telling common causes only by ends at the same moment.
#[test]
fn sound_requests_are_not_rejected_after_endpoints_ended_one_after_another() {
    for spread_ms in [50, 500, 2_000] {
        check_scene(
            &format!("ends over {spread_ms} ms"),
            &USUAL_SIZES,
            ending_groups(500, spread_ms),
        );
    }
    check_scene("ends over 500 ms", &LARGE_SIZE, ending_groups(500, 500));
}

#[test]
fn a_crashing_part_is_found_while_no_endpoint_ends_otherwise() {
    check_scene("crashing part", &USUAL_SIZES, crashing_part(5_000));
    check_scene("crashing part", &LARGE_SIZE, crashing_part(5_000));
}

/// Guards against a part that goes on crashing endpoints because it completed before.
#[test]
fn a_part_in_use_that_begins_to_crash_endpoints_is_found() {
    let scene = Scene { is_crashing_part_used_before: true, ..crashing_part(5_000) };
    check_scene("crashing part in use", &USUAL_SIZES, scene.clone());
    check_scene("crashing part in use", &LARGE_SIZE, scene);
}

/// Guards against a crashing part that is excused by endpoints which end for other reasons.
#[test]
fn a_crashing_part_is_found_while_groups_of_endpoints_end() {
    for spread_ms in [0, 500, 2_000] {
        let scene = Scene { crashing_from: Some(5_500), ..ending_groups(500, spread_ms) };
        check_scene(&format!("both, ends over {spread_ms} ms"), &USUAL_SIZES, scene);
    }
}

/// Guards against a crashing part that few of many hosts know of while other endpoints end.
#[test]
fn a_crashing_part_is_found_while_groups_end_in_a_fleet_of_hundreds() {
    let scene = Scene { crashing_from: Some(5_500), ..ending_groups(500, 0) };
    check_scene("both, ends over 0 ms", &LARGE_SIZE, scene);
}
