//! Measures memory, serialized size and CPU time of individual components at several sizes.

use std::sync::Arc;
use std::time::Instant;

use anyhow::Result;

use tidetrack_core::bill_replicator::HoldCall;
use tidetrack_core::config::{Endpoint, Model, Object, ObjectKey, ObjectKind, Pool, Version};
use tidetrack_core::evidence::{EvidenceKey, VersionCounts};
use tidetrack_core::facts::Facts;
use tidetrack_core::ids::Incarnation;
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem, Segment};
use tidetrack_core::membership::{Member, MemberState, Members};
use tidetrack_core::message_auth::{Key, KeyRing};
use tidetrack_core::node::Item;
use tidetrack_core::placement::{rendezvous, PlacementRequest};
use tidetrack_core::session::Session;
use tidetrack_core::store::{Delta, Entry, Store};
use tidetrack_core::tickets::{TicketOptions, TicketRegistry};
use tidetrack_core::units::{Micros, Millis, Tokens};
use tidetrack_core::view::ViewBuilder;

use crate::record::{SeriesByName, SeriesCollector};

const COMMAND: &str = "tidetrack-bench state";

/// Number of model versions that the replicas are distributed over.
const VERSIONS: usize = 28;

/// Numbers of replicas: about a present deployment, two sizes in between, and the target.
const REPLICAS: [usize; 4] = [20, 400, 1_400, 4_200];

/// Numbers of hosts: a present deployment, two sizes in between, and the target.
const HOSTS: [usize; 4] = [7, 60, 180, 540];

/// Number of copies built per memory measurement; the memory of one copy is their mean.
const MEMORY_COPIES: usize = 8;

/// Number of endpoint selections per timing.
const PICK_COUNT: u64 = 200_000;

fn resident_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4096.0)
}

/// Builds a configuration with the given number of replicas, distributed over `VERSIONS` pools.
pub fn build_store(replicas: usize) -> Store {
    let mut entries = Vec::new();
    let mut put = |key: ObjectKey, object: Object| {
        let version = entries.len() as u64 + 1;
        entries.push(Entry { key, version, body: Some(object.to_json().into()) });
    };
    let versions = VERSIONS.min(replicas);
    for v in 0..versions {
        let endpoints = (v..replicas).step_by(versions).map(|i| {
            let address = format!("10.{}.{}.{}:8000", i / 65_536, i / 256 % 256, i % 256);
            let failure_domain =
                format!("d{}", i % 4).parse().expect("the failure domain name parses");
            (
                format!("replica-{i}").parse().expect("the endpoint name parses"),
                Endpoint { address, failure_domain },
            )
        });
        let pool = Pool { endpoints: endpoints.collect(), slots: 16, fenced: true };
        put(ObjectKey::new(ObjectKind::Pool, format!("pool-{v}")), Object::Pool(pool));
        let name = format!("model-{v}@1");
        let version = Version {
            pool: format!("pool-{v}").parse().expect("the pool name parses"),
            generation: 1,
            price_in: Micros(1),
            price_out: Micros(1),
            context_tokens: 32_768,
        };
        put(ObjectKey::new(ObjectKind::Version, &name), Object::Version(version));
        let model = Model {
            serving: name.parse().expect("the version name parses"),
            description: String::new(),
        };
        put(ObjectKey::new(ObjectKind::Model, format!("model-{v}")), Object::Model(model));
    }
    let to = entries.len() as u64;
    let mut store = Store::default();
    store.merge(Delta { from: 0, to, entries });
    store
}

fn incarnation(n: usize) -> Incarnation {
    Incarnation {
        host: format!("host-{n}").parse().expect("the host name parses"),
        nonce: rendezvous("life", &n.to_string()),
    }
}

fn key_ring() -> KeyRing {
    KeyRing { current: Key { id: "k1".into(), secret: "0123456789abcdef".into() }, previous: None }
}

fn bill(n: u64) -> Bill {
    let version = "model-12@3".parse().expect("the version name parses");
    let line_item = LineItem(version, Tokens(1_200), Tokens(420), Micros(5_300));
    Bill(
        n,
        "school-north".parse().expect("the workspace name parses"),
        vec![line_item],
        BillOutcome::Complete,
    )
}

/// Runs `operation` `count` times and returns its mean duration in microseconds.
fn mean_time_us(count: u64, mut operation: impl FnMut(u64)) -> f64 {
    let started_at = Instant::now();
    (0..count).for_each(&mut operation);
    started_at.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Measures all components.
pub fn run() -> Result<SeriesByName> {
    let mut collector = SeriesCollector::default();
    measure_configuration(&mut collector)?;
    measure_members(&mut collector)?;
    measure_messages(&mut collector)?;
    measure_tokens(&mut collector);
    Ok(collector.into_series())
}

fn measure_configuration(collector: &mut SeriesCollector) -> Result<()> {
    for replicas in REPLICAS {
        let n = replicas as f64;
        let before = resident_bytes()?;
        let stores: Vec<Store> = (0..MEMORY_COPIES).map(|_| build_store(replicas)).collect();
        let mut built_views = Vec::new();
        let mut build_us = 0.0;
        for store in &stores {
            let mut builder = ViewBuilder::default();
            let started_at = Instant::now();
            let (view, _) = builder.build(&incarnation(0), store, &Facts::default());
            build_us += started_at.elapsed().as_secs_f64() * 1e6;
            built_views.push((builder, Arc::new(view)));
        }
        let memory = (resident_bytes()? - before) / MEMORY_COPIES as f64;
        let mut add_point = |name: &str, unit: &str, value: f64| {
            collector.add_point(name, (unit, "replicas", COMMAND), n, value);
        };
        add_point("config-memory", "bytes", memory.max(0.0));
        add_point("view-build", "us", build_us / MEMORY_COPIES as f64);
        let view = &built_views[0].1;
        let pools: Vec<_> = view.pools.values().collect();
        let pick_us = mean_time_us(PICK_COUNT, |i| {
            let request = PlacementRequest {
                ring_position: i.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                salt: i,
                required_tokens: Tokens(100),
                tried: &[],
                priority: 0,
                ..PlacementRequest::default()
            };
            let pool = pools[i as usize % pools.len()];
            let endpoint =
                pool.pick(Millis(1_000), &request).expect("the pool has an available endpoint");
            std::hint::black_box(endpoint);
        });
        add_point("pick", "us", pick_us);
    }
    Ok(())
}

fn member(n: usize) -> Member {
    Member {
        incarnation: incarnation(n),
        state_version: 1,
        state: MemberState::Alive,
        peer_address: format!("10.0.{}.{}:9000", n / 256, n % 256),
        caller_address: format!("10.0.{}.{}:8000", n / 256, n % 256),
        failure_domain: format!("d{}", n % 4).parse().expect("the failure domain name parses"),
    }
}

fn measure_members(collector: &mut SeriesCollector) -> Result<()> {
    for hosts in HOSTS {
        let before = resident_bytes()?;
        let copies = MEMORY_COPIES * 4;
        let lists: Vec<Members> = (0..copies)
            .map(|_| {
                let mut list = Members::new(member(0));
                (1..hosts).for_each(|i| {
                    list.merge(Millis(0), member(i));
                });
                list
            })
            .collect();
        let memory = (resident_bytes()? - before).max(0.0) / copies as f64;
        let links_us = mean_time_us(200, |_| {
            std::hint::black_box(lists[0].links());
        });
        let n = hosts as f64;
        collector.add_point("members-memory", ("bytes", "hosts", COMMAND), n, memory);
        collector.add_point("links-chosen", ("us", "hosts", COMMAND), n, links_us);
    }
    Ok(())
}

fn json_len<T: serde::Serialize>(value: &T) -> Result<f64> {
    Ok(serde_json::to_string(value)?.len() as f64)
}

/// Measures the JSON size of messages and stored objects for several numbers of entries.
fn measure_messages(collector: &mut SeriesCollector) -> Result<()> {
    for count in [1u64, 10, 100, 1_000] {
        let bills: Vec<Bill> = (1..=count).map(|i| bill(1_000_000 + i)).collect();
        let call = HoldCall {
            origin: incarnation(1),
            bills: bills.clone(),
            written: (1..=count).map(|i| 900_000 + i).collect(),
            next_segment: 7,
        };
        let segment = Segment { origin: incarnation(1), number: 7, bills };
        let n = count as f64;
        collector.add_point("hold-bytes", ("bytes", "bills", COMMAND), n, json_len(&call)?);
        collector.add_point("segment-bytes", ("bytes", "bills", COMMAND), n, json_len(&segment)?);
    }
    for entry_count in [1usize, 16, 64] {
        let items: Vec<Item> = (0..entry_count)
            .map(|i| {
                let version = "model-12@3".parse().expect("the version name parses");
                let key = EvidenceKey { version, generation: 1, observer: incarnation(i) };
                let counts = VersionCounts {
                    started: 1234,
                    answered: 1200,
                    errors: 3,
                    rated: 1100,
                    score_sum: 900_000,
                    score_sum_squares: 700_000_000,
                };
                Item::Evidence(key, counts)
            })
            .collect();
        let n = entry_count as f64;
        collector.add_point("evidence-bytes", ("bytes", "cells", COMMAND), n, json_len(&items)?);
    }
    for hosts in HOSTS {
        let member_items: Vec<Item> = (0..hosts).map(|i| Item::Member(member(i))).collect();
        collector.add_point(
            "members-bytes",
            ("bytes", "hosts", COMMAND),
            hosts as f64,
            json_len(&member_items)?,
        );
    }
    Ok(())
}

fn measure_tokens(collector: &mut SeriesCollector) {
    let key_ring = key_ring();
    let workspace = "school-north".parse().expect("the workspace name parses");
    let session = Session {
        workspace,
        route: "assistant".parse().expect("the route name parses"),
        version: "model-12@3".parse().expect("the version name parses"),
        generation: 1,
        nonce: 77,
    };
    let token = session.to_token(&key_ring);
    for count in [1_000u64, 10_000, 50_000] {
        let n = count as f64;
        let read_us = mean_time_us(count, |_| {
            std::hint::black_box(
                Session::from_token(&token, &session.workspace, &key_ring).is_ok(),
            );
        });
        let options = TicketOptions { max_tickets: count as usize, ..TicketOptions::default() };
        let mut registry = TicketRegistry::new(incarnation(1), options);
        let issue_us = mean_time_us(count, |_| {
            let ticket =
                registry.issue(Millis(1), &session.workspace).expect("a ticket can be issued");
            std::hint::black_box(ticket.to_token(&key_ring));
        });
        collector.add_point("session-read", ("us", "sessions", COMMAND), n, read_us);
        collector.add_point("ticket-made", ("us", "tickets", COMMAND), n, issue_us);
    }
}
