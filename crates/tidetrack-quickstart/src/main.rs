//! The main job in one process: stand-ins, two routers, two models, a roll-out, a lent book and a
//! bill that adds up. Exits with 0 only if all of it held.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, ensure, Context, Result};
use serde_json::{json, Value};

use tidetrack_core::config::RolloutPhase;
use tidetrack_core::declare::{read_folder, DeclaredObjects};
use tidetrack_ctl::{apply, bill, rollout};
use tidetrack_router::{logging, Router, Settings};
use tidetrack_standin::engine::{Engine, EngineOptions};
use tidetrack_standin::http::Running;
use tidetrack_standin::objects::Platform;
use tidetrack_standin::rater::Rater;
use tidetrack_standin::service::Service;
use tidetrack_wire::headers;
use tidetrack_wire::platform::{ListedHost, ListedState, PlatformClient};

const ENDPOINTS: &str = include_str!("../../../examples/library/endpoints.toml");
const MODELS: &str = include_str!("../../../examples/library/models.toml");
const WORKSPACES: &str = include_str!("../../../examples/library/workspaces.toml");
const ROUTER: &str = include_str!("../../../examples/routers/router-1.toml");

/// How long any one thing may take to come about.
const PATIENCE: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("\nAll of it held.");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("\nIt did not hold: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// The stand-ins, kept running for as long as this lives.
struct World {
    platform: Running,
    objects: Platform,
    lending: Service,
    _engines: Vec<Running>,
    _others: Vec<Running>,
    rater: String,
    declared: DeclaredObjects,
}

fn engine(version: &str, quality: f64) -> Result<Running> {
    let options = EngineOptions { version: version.into(), quality, ..EngineOptions::default() };
    Engine::new(options).serve("127.0.0.1:0")
}

fn start_world() -> Result<World> {
    let objects = Platform::default();
    let platform = objects.serve("127.0.0.1:0")?;
    let engines =
        vec![engine("tagger@1", 0.7)?, engine("scholar@1", 0.85)?, engine("scholar@2", 0.9)?];
    let lending = Service::default();
    let lending_runs = lending.serve("127.0.0.1:0")?;
    let rater = Rater::default().serve("127.0.0.1:0")?;
    let mut endpoints = ENDPOINTS.to_string();
    let addresses = engines.iter().map(Running::address).chain([lending_runs.address()]);
    for (port, address) in (8101..).zip(addresses) {
        endpoints = endpoints.replace(&format!("127.0.0.1:{port}"), &address);
    }
    let files = [
        ("endpoints.toml", endpoints.as_str()),
        ("models.toml", MODELS),
        ("workspaces.toml", WORKSPACES),
    ];
    let files: Vec<(String, String)> =
        files.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    let declared = read_folder(&files).map_err(|f| anyhow!("{f:?}"))?;
    let rater_address = rater.address();
    Ok(World {
        platform,
        objects,
        lending,
        _engines: engines,
        _others: vec![lending_runs, rater],
        rater: rater_address,
        declared,
    })
}

fn start_router(world: &World, n: usize) -> Result<Router> {
    let mut settings = Settings::from_toml("router-1.toml", ROUTER)?;
    settings.host = format!("router-{n}").parse()?;
    settings.failure_domain = format!("hall-{n}").parse()?;
    settings.caller_address = "127.0.0.1:0".into();
    settings.peer_address = "127.0.0.1:0".into();
    settings.platform_address = world.platform.address();
    settings.rating_address = Some(world.rater.clone());
    settings.limits.threads = 32;
    settings.times.stop_grace_ms = 50;
    Router::start(settings, logging::discarding_logger())
}

/// Waits until `done` gives a value.
fn wait_for<T>(what: &str, mut done: impl FnMut() -> Option<T>) -> Result<T> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if let Some(value) = done() {
            return Ok(value);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    bail!("{what} did not come about in {PATIENCE:?}")
}

fn post(router: &Router, path: &str, body: &Value) -> minreq::Request {
    minreq::post(format!("http://{}{path}", router.caller_address()))
        .with_header("Authorization", "Bearer north-key")
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(30)
}

fn ask(text: &str, stream: bool) -> Value {
    json!({"model": "assistant", "stream": stream, "max_tokens": 8,
        "messages": [{"role": "user", "content": text}]})
}

fn header(response: &minreq::Response, name: &str) -> Result<String> {
    let found = headers::find(&response.headers, name);
    Ok(found.with_context(|| format!("no {name} header"))?.to_string())
}

/// Asks and checks the answer; gets the version and the session's token.
fn answered(request: minreq::Request, text: &str) -> Result<(String, String)> {
    let response = request.send()?;
    let body = response.as_str()?.to_string();
    ensure!(response.status_code == 200, "{} {body}", response.status_code);
    ensure!(body.contains(&text[..text.len().min(20)]), "another's answer: {body}");
    Ok((header(&response, headers::VERSION)?, header(&response, headers::SESSION)?))
}

fn run() -> Result<()> {
    println!("1. Stand-ins: object API, three engines, a lending service, a rating service.");
    let world = start_world()?;
    let platform = PlatformClient::new(&world.platform.address());

    let lines = apply::diff(&platform, &world.declared, false)?;
    let applied = apply::apply(&platform, &lines, &mut |_, _| {});
    if let Some(e) = applied.first_failure() {
        bail!(e);
    }
    println!("2. Declared: {} objects accepted by the object API.", applied.done.len());

    let routers = [start_router(&world, 1)?, start_router(&world, 2)?];
    let listed = |(i, r): (usize, &Router)| ListedHost {
        name: format!("router-{}", i + 1),
        role: "router".into(),
        address: r.peer_address().into(),
        state: ListedState::Live,
    };
    world.objects.set_hosts(routers.iter().enumerate().map(listed).collect());
    for router in &routers {
        wait_for("a ready router that knows the other", || {
            let status = tidetrack_router::admin::status(router.shared()).ok()?;
            (status.applied_revision > 0 && status.members.len() == 2).then_some(())
        })?;
    }
    println!("3. Two routers are ready, in two failure domains, and know each other.");

    let long = "Please explain the third chapter of the borrowed book. ".repeat(8);
    let tag = answered(
        post(&routers[0], "/v1/chat/completions", &ask("tag: a tale of rivers", false)),
        "tag: a tale",
    )?;
    let strong = answered(post(&routers[1], "/v1/chat/completions", &ask(&long, true)), &long)?;
    ensure!(tag.0 == "tagger@1" && strong.0 == "scholar@1", "{tag:?} {strong:?}");
    println!("4. The policy sent a short tag to {} and a long question to {}.", tag.0, strong.0);

    let counted = roll_out(&world, &platform, &routers, &long, &strong.1)?;
    lend(&world, &routers)?;
    add_up(platform, routers, counted + 2)
}

/// Rolls `scholar@2` out under traffic; gets how many requests were answered.
fn roll_out(
    world: &World,
    platform: &PlatformClient,
    routers: &[Router; 2],
    long: &str,
    session: &str,
) -> Result<u64> {
    let id = "scholar-2".parse()?;
    rollout::apply_verb(platform, &id, rollout::Verb::Start)?;
    let mut by_version: BTreeMap<String, u64> = BTreeMap::new();
    let mut requests = 0u64;
    let state = wait_for("the end of the roll-out", || {
        for router in routers {
            let (version, _) =
                answered(post(router, "/v1/chat/completions", &ask(long, false)), long).ok()?;
            *by_version.entry(version).or_default() += 1;
            requests += 1;
        }
        let status = tidetrack_router::admin::status(routers[0].shared()).ok()?;
        let state = status.rollouts.first()?.state.clone()?;
        matches!(state.phase, RolloutPhase::Done | RolloutPhase::Aborted).then_some(state)
    })?;
    let seen = tidetrack_router::admin::status(routers[0].shared())?.rollouts;
    ensure!(state.phase == RolloutPhase::Done, "the roll-out ended {:?}: {seen:?}", state.phase);
    println!("5. scholar@2 was rolled out in two stages under traffic: {by_version:?}.");
    let new = wait_for("the new version on both routers", || {
        let all = routers.iter().map(|r| {
            requests += 1;
            answered(post(r, "/v1/chat/completions", &ask(long, false)), long).ok()
        });
        all.collect::<Option<Vec<_>>>()?.iter().all(|(v, _)| v == "scholar@2").then_some(())
    });
    new?;
    let kept = post(&routers[0], "/v1/chat/completions", &ask(long, false));
    let (version, _) = answered(kept.with_header(headers::SESSION, session), long)?;
    ensure!(version == "scholar@1", "the session moved to {version}");
    println!("   New work goes to scholar@2; the session begun before stays on {version}.");
    ensure!(world.objects.counts().conflicts < 50, "writers fought over the roll-out");
    Ok(requests + 1)
}

/// Lends one book through one router and repeats the call through the other.
fn lend(world: &World, routers: &[Router; 2]) -> Result<()> {
    let made: Value =
        serde_json::from_str(post(&routers[0], "/v1/tickets", &json!({})).send()?.as_str()?)?;
    let ticket = made["ticket"].as_str().context("a ticket")?.to_string();
    let checkout = json!({"book": "a tale of rivers"});
    for router in [&routers[1], &routers[0], &routers[1]] {
        let request = post(router, "/v1/services/lending/checkout", &checkout);
        let response = request.with_header(headers::TICKET, &ticket).send()?;
        ensure!(response.status_code == 200, "{}", response.as_str()?);
    }
    let ran = world.lending.ran();
    ensure!(ran.values().sum::<u64>() == 1, "the checkout ran {ran:?} times");
    println!("6. One book was lent: three calls with one ticket over two routers, one run.");
    Ok(())
}

/// Stops the routers as planned and adds the ledger up.
fn add_up(platform: PlatformClient, routers: [Router; 2], answered: u64) -> Result<()> {
    for router in routers {
        ensure!(router.stop(), "a planned stop left something behind");
    }
    let totals = bill::totals(&platform)?;
    println!("7. Both routers stopped as planned. The bill:\n\n{}", bill::render(&totals));
    ensure!(totals.requests == answered, "{} billed, {answered} answered", totals.requests);
    println!("   {answered} requests were answered and {} billed.", totals.requests);
    Ok(())
}
