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
use tidetrack_standin::http::RunningServer;
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
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

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
struct StandIns {
    platform: RunningServer,
    objects: Platform,
    lending: Service,
    _engines: Vec<RunningServer>,
    _other_servers: Vec<RunningServer>,
    rating_service_address: String,
    declared: DeclaredObjects,
}

fn engine(version: &str, quality: f64) -> Result<RunningServer> {
    let options = EngineOptions { version: version.into(), quality, ..EngineOptions::default() };
    Engine::new(options).serve("127.0.0.1:0")
}

fn start_standins() -> Result<StandIns> {
    let objects = Platform::default();
    let platform = objects.serve("127.0.0.1:0")?;
    let engines =
        vec![engine("tagger@1", 0.7)?, engine("scholar@1", 0.85)?, engine("scholar@2", 0.9)?];
    let lending = Service::default();
    let lending_server = lending.serve("127.0.0.1:0")?;
    let rater = Rater::default().serve("127.0.0.1:0")?;
    let mut endpoints = ENDPOINTS.to_string();
    let addresses = engines.iter().map(RunningServer::address).chain([lending_server.address()]);
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
    Ok(StandIns {
        platform,
        objects,
        lending,
        _engines: engines,
        _other_servers: vec![lending_server, rater],
        rating_service_address: rater_address,
        declared,
    })
}

fn start_router(standins: &StandIns, n: usize) -> Result<Router> {
    let mut settings = Settings::from_toml("router-1.toml", ROUTER)?;
    settings.host = format!("router-{n}").parse()?;
    settings.failure_domain = format!("hall-{n}").parse()?;
    settings.caller_address = "127.0.0.1:0".into();
    settings.peer_address = "127.0.0.1:0".into();
    settings.platform = standins.platform.address();
    settings.rating = Some(standins.rating_service_address.clone());
    settings.limits.threads = 32;
    settings.times.grace_ms = 50;
    Router::start(settings, logging::silent())
}

/// Waits until `done` gives a value.
fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = poll() {
            return Ok(value);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    bail!("{condition} did not come about in {WAIT_TIMEOUT:?}")
}

fn post(router: &Router, path: &str, body: &Value) -> minreq::Request {
    minreq::post(format!("http://{}{path}", router.caller_address()))
        .with_header("Authorization", "Bearer north-key")
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(30)
}

fn chat_body(text: &str, stream: bool) -> Value {
    json!({"model": "assistant", "stream": stream, "max_tokens": 8,
        "messages": [{"role": "user", "content": text}]})
}

fn header(response: &minreq::Response, name: &str) -> Result<String> {
    let found = headers::find(&response.headers, name);
    Ok(found.with_context(|| format!("no {name} header"))?.to_string())
}

/// Asks and checks the answer; gets the version and the session's token.
fn send_and_check(request: minreq::Request, text: &str) -> Result<(String, String)> {
    let response = request.send()?;
    let body = response.as_str()?.to_string();
    ensure!(response.status_code == 200, "{} {body}", response.status_code);
    ensure!(body.contains(&text[..text.len().min(20)]), "another's answer: {body}");
    Ok((header(&response, headers::VERSION)?, header(&response, headers::SESSION)?))
}

fn run() -> Result<()> {
    println!("1. Stand-ins: object API, three engines, a lending service, a rating service.");
    let standins = start_standins()?;
    let platform = PlatformClient::new(&standins.platform.address());

    let lines = apply::diff(&platform, &standins.declared, false)?;
    let applied = apply::apply(&platform, &lines, &mut |_, _| {});
    if let Some(e) = applied.first_failure() {
        bail!(e);
    }
    println!("2. Declared: {} objects accepted by the object API.", applied.done.len());

    let routers = [start_router(&standins, 1)?, start_router(&standins, 2)?];
    let to_listed_host = |(i, r): (usize, &Router)| ListedHost {
        name: format!("router-{}", i + 1),
        role: "router".into(),
        address: r.peer_address().into(),
        state: ListedState::Live,
    };
    standins.objects.set_hosts(routers.iter().enumerate().map(to_listed_host).collect());
    for router in &routers {
        wait_for("a ready router that knows the other", || {
            let status = tidetrack_router::admin::status(router.shared()).ok()?;
            (status.in_force > 0 && status.members.len() == 2).then_some(())
        })?;
    }
    println!("3. Two routers are ready, in two failure domains, and know each other.");

    let long_prompt = "Please explain the third chapter of the borrowed book. ".repeat(8);
    let tag_response = send_and_check(
        post(&routers[0], "/v1/chat/completions", &chat_body("tag: a tale of rivers", false)),
        "tag: a tale",
    )?;
    let long_response = send_and_check(
        post(&routers[1], "/v1/chat/completions", &chat_body(&long_prompt, true)),
        &long_prompt,
    )?;
    ensure!(
        tag_response.0 == "tagger@1" && long_response.0 == "scholar@1",
        "{tag_response:?} {long_response:?}"
    );
    println!(
        "4. The policy sent a short tag to {} and a long question to {}.",
        tag_response.0, long_response.0
    );

    let roll_out_responses =
        roll_out(&standins, &platform, &routers, &long_prompt, &long_response.1)?;
    check_ticket(&standins, &routers)?;
    check_bill(platform, routers, roll_out_responses + 2)
}

/// Rolls `scholar@2` out under traffic; gets how many requests were answered.
fn roll_out(
    standins: &StandIns,
    platform: &PlatformClient,
    routers: &[Router; 2],
    long_prompt: &str,
    session: &str,
) -> Result<u64> {
    let id = "scholar-2".parse()?;
    rollout::apply_verb(platform, &id, rollout::Verb::Start)?;
    let mut by_version: BTreeMap<String, u64> = BTreeMap::new();
    let mut requests = 0u64;
    let state = wait_for("the end of the roll-out", || {
        for router in routers {
            let (version, _) = send_and_check(
                post(router, "/v1/chat/completions", &chat_body(long_prompt, false)),
                long_prompt,
            )
            .ok()?;
            *by_version.entry(version).or_default() += 1;
            requests += 1;
        }
        let status = tidetrack_router::admin::status(routers[0].shared()).ok()?;
        let state = status.rollouts.first()?.state.clone()?;
        matches!(state.phase, RolloutPhase::Done | RolloutPhase::Aborted).then_some(state)
    })?;
    let final_rollouts = tidetrack_router::admin::status(routers[0].shared())?.rollouts;
    ensure!(
        state.phase == RolloutPhase::Done,
        "the roll-out ended {:?}: {final_rollouts:?}",
        state.phase
    );
    println!("5. scholar@2 was rolled out in two stages under traffic: {by_version:?}.");
    let canary_on_both = wait_for("the new version on both routers", || {
        let versions = routers.iter().map(|r| {
            requests += 1;
            send_and_check(
                post(r, "/v1/chat/completions", &chat_body(long_prompt, false)),
                long_prompt,
            )
            .ok()
        });
        versions.collect::<Option<Vec<_>>>()?.iter().all(|(v, _)| v == "scholar@2").then_some(())
    });
    canary_on_both?;
    let session_request = post(&routers[0], "/v1/chat/completions", &chat_body(long_prompt, false));
    let (version, _) =
        send_and_check(session_request.with_header(headers::SESSION, session), long_prompt)?;
    ensure!(version == "scholar@1", "the session moved to {version}");
    println!("   New work goes to scholar@2; the session begun before stays on {version}.");
    ensure!(standins.objects.counts().conflicts < 50, "writers fought over the roll-out");
    Ok(requests + 1)
}

/// Lends one book through one router and repeats the call through the other.
fn check_ticket(standins: &StandIns, routers: &[Router; 2]) -> Result<()> {
    let ticket_response: Value =
        serde_json::from_str(post(&routers[0], "/v1/tickets", &json!({})).send()?.as_str()?)?;
    let ticket = ticket_response["ticket"].as_str().context("a ticket")?.to_string();
    let checkout = json!({"book": "a tale of rivers"});
    for router in [&routers[1], &routers[0], &routers[1]] {
        let request = post(router, "/v1/services/lending/checkout", &checkout);
        let response = request.with_header(headers::TICKET, &ticket).send()?;
        ensure!(response.status_code == 200, "{}", response.as_str()?);
    }
    let run_counts = standins.lending.run_counts();
    ensure!(run_counts.values().sum::<u64>() == 1, "the checkout ran {run_counts:?} times");
    println!("6. One book was lent: three calls with one ticket over two routers, one run.");
    Ok(())
}

/// Stops the routers as planned and adds the ledger up.
fn check_bill(
    platform: PlatformClient,
    routers: [Router; 2],
    answered_requests: u64,
) -> Result<()> {
    for router in routers {
        ensure!(router.stop(), "a planned stop left something behind");
    }
    let totals = bill::totals(&platform)?;
    println!("7. Both routers stopped as planned. The bill:\n\n{}", bill::render(&totals));
    ensure!(
        totals.requests == answered_requests,
        "{} billed, {answered_requests} answered",
        totals.requests
    );
    println!("   {answered_requests} requests were answered and {} billed.", totals.requests);
    Ok(())
}
