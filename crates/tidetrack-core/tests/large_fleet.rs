//! Hosts of a large fleet together, on virtual time: what they tell each other has to suffice, for
//! calls to the store must not grow with them.

mod support;

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::traffic::control::{Action, Beliefs, Input};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::PeerMessage;
use tidetrack_core::units::Millis;

use support::{host, with_rollout};

/// Time between the reads of a host that proves the configuration.
const PROVE_EVERY: u64 = 1_500;

/// Time on the way of a message.
const ON_THE_WAY: u64 = 2;

/// Share of the messages that are lost.
const LOST: f64 = 0.03;

/// Step of the virtual clock.
const STEP: usize = 50;

struct FleetHost {
    beliefs: Beliefs,
    fresh: Freshness,
    /// When it proves the configuration next, if it does.
    proves_at: u64,
}

struct Fleet {
    hosts: Vec<FleetHost>,
    seed: StdRng,
    now: u64,
    /// Messages sent in the last step.
    on_the_way: Vec<(SocketAddr, PeerMessage)>,
    sent: usize,
}

impl Fleet {
    /// Starts hosts that each have read the store.
    fn start(hosts: u32, seed: u64) -> Fleet {
        let start = |n| {
            let fresh = Freshness::default();
            fresh.proved(Millis(0));
            FleetHost {
                beliefs: with_rollout(n, &fresh),
                fresh,
                proves_at: u64::from(n) * 17 % PROVE_EVERY,
            }
        };
        Fleet {
            hosts: (1..=hosts).map(start).collect(),
            seed: StdRng::seed_from_u64(seed),
            now: 0,
            on_the_way: Vec::new(),
            sent: 0,
        }
    }

    /// Lets time pass to `until`; `look` is shown each host at each step.
    fn run(&mut self, until: u64, mut look: impl FnMut(u64, &FleetHost)) {
        while self.now < until {
            self.now += STEP as u64;
            self.deliver();
            for i in 0..self.hosts.len() {
                self.prove(i);
                self.take(i, Input::Tick);
                look(self.now, &self.hosts[i]);
            }
        }
    }

    /// Lets a host read the configuration, if it proves it and the time has come.
    fn prove(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.beliefs.is_prover() && self.now >= host.proves_at {
            host.fresh.proved(Millis(self.now));
            host.proves_at = self.now + PROVE_EVERY;
        }
    }

    fn deliver(&mut self) {
        // A message is answered at once, so there is one more way within a step.
        for _ in 0..2 {
            for (address, message) in std::mem::take(&mut self.on_the_way) {
                let to = (0..self.hosts.len()).find(|i| host(*i as u32 + 1).1 == address);
                if let Some(to) = to.filter(|_| self.seed.random::<f64>() >= LOST) {
                    self.take(to, Input::Heard(message));
                }
            }
        }
    }

    fn take(&mut self, i: usize, input: Input) {
        let host = &mut self.hosts[i];
        for action in host.beliefs.take(Millis(self.now + ON_THE_WAY), input, &host.fresh) {
            match action {
                Action::Send(messages) => {
                    self.sent += messages.len();
                    self.on_the_way.extend(messages);
                }
                Action::Proved(began) => host.fresh.proved(began),
                _ => {}
            }
        }
    }
}

/// Age of the proof at which a host reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_500);

#[test]
fn proofs_of_a_few_hosts_keep_a_large_fleet_from_reading_the_configuration() {
    let mut fleet = Fleet::start(83, 1);
    fleet.run(3_000, |_, _| {});
    let mut too_old = 0;
    let mut looks = 0;

    fleet.run(13_000, |now, host| {
        looks += 1;
        let age = host.fresh.age(Millis(now)).expect("a proof");
        too_old += usize::from(age >= PROOF_WANTED);
    });

    let provers = fleet.hosts.iter().filter(|h| h.beliefs.is_prover()).count();
    assert_eq!(provers, 3);
    // A message and its repetition may both be lost.
    assert!(too_old * 500 < looks, "{too_old} of {looks}");
}

#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    let sent_by_one = |hosts: u32| {
        let mut fleet = Fleet::start(hosts, 2);
        fleet.run(3_000, |_, _| {});
        fleet.sent = 0;
        fleet.run(8_000, |_, _| {});
        fleet.sent as f64 / f64::from(hosts) / 5.0
    };

    let (some, many) = (sent_by_one(20), sent_by_one(120));

    println!("messages a host and second: {some:.1} of 20 hosts, {many:.1} of 120");
    assert!(many < some * 1.1, "{some} {many}");
}
#[test]
fn a_fleet_that_starts_is_known_to_all_of_its_hosts_within_seconds() {
    let mut fleet = Fleet::start(83, 3);

    fleet.run(3_500, |_, _| {});

    let heard: Vec<usize> = fleet.hosts.iter().map(|h| h.beliefs.peers().len()).collect();
    assert!(heard.iter().all(|n| *n >= 80), "{heard:?}");
}
