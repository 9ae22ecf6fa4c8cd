//! Demonstrates tidetrack in a single process: starts stand-ins and two routers, sends requests to
//! two models, rolls out a new version, calls a service that must run only once, and checks the bill.
//! Exits with 0 only if every check passes.

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

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("\nAll checks passed.");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("\nQuickstart failed: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// The stand-ins, which run until this value is dropped.
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
    settings.platform_address = standins.platform.address();
    settings.rating_address = Some(standins.rating_service_address.clone());
    settings.limits.threads = 32;
    settings.times.stop_grace_ms = 50;
    Router::start(settings, logging::discarding_logger())
}

/// Calls `poll` every 20 ms until it returns a value. Returns an error after [`WAIT_TIMEOUT`].
fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = poll() {
            return Ok(value);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    bail!("timed out after {WAIT_TIMEOUT:?} waiting for: {condition}")
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
    Ok(found.with_context(|| format!("the response has no {name} header"))?.to_string())
}

/// Sends a chat request and checks that it succeeds and that the response belongs to it. Returns the
/// version and the session token.
fn send_and_check(request: minreq::Request, text: &str) -> Result<(String, String)> {
    let response = request.send()?;
    let body = response.as_str()?.to_string();
    ensure!(response.status_code == 200, "unexpected status {}: {body}", response.status_code);
    ensure!(
        body.contains(&text[..text.len().min(20)]),
        "response belongs to another request: {body}"
    );
    Ok((header(&response, headers::VERSION)?, header(&response, headers::SESSION)?))
}

fn run() -> Result<()> {
    println!(
        "1. Started stand-ins: object API, three engines, a lending service, a rating service."
    );
    let standins = start_standins()?;
    let platform = PlatformClient::new(&standins.platform.address());

    let lines = apply::diff(&platform, &standins.declared, false)?;
    let applied = apply::apply(&platform, &lines, &mut |_, _| {});
    if let Some(e) = applied.first_failure() {
        bail!(e);
    }
    println!(
        "2. Applied the declarations: the object API accepted {} objects.",
        applied.done.len()
    );

    let routers = [start_router(&standins, 1)?, start_router(&standins, 2)?];
    let to_listed_host = |(i, r): (usize, &Router)| ListedHost {
        name: format!("router-{}", i + 1),
        role: "router".into(),
        address: r.peer_address().into(),
        state: ListedState::Live,
    };
    standins.objects.set_hosts(routers.iter().enumerate().map(to_listed_host).collect());
    for router in &routers {
        wait_for("a ready router that has discovered the other one", || {
            let status = tidetrack_router::admin::status(router.shared()).ok()?;
            (status.applied_revision > 0 && status.members.len() == 2).then_some(())
        })?;
    }
    println!("3. Two routers are ready, in two failure domains, and have discovered each other.");

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
        "unexpected versions: tag {tag_response:?}, long question {long_response:?}"
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

/// Rolls out `scholar@2` while requests are sent. Returns the number of requests that were answered.
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
        "the roll-out ended in phase {:?} instead of Done: {final_rollouts:?}",
        state.phase
    );
    println!("5. scholar@2 was rolled out in two stages under traffic: {by_version:?}.");
    let canary_on_both = wait_for("the canary version on both routers", || {
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
    println!("   New sessions use scholar@2; the session started before stays on {version}.");
    ensure!(
        standins.objects.counts().conflicts < 50,
        "too many write conflicts during the roll-out"
    );
    Ok(requests + 1)
}

/// Sends the same checkout call three times through both routers with one ticket, and checks that the
/// service runs it once.
fn check_ticket(standins: &StandIns, routers: &[Router; 2]) -> Result<()> {
    let ticket_response: Value =
        serde_json::from_str(post(&routers[0], "/v1/tickets", &json!({})).send()?.as_str()?)?;
    let ticket = ticket_response["ticket"]
        .as_str()
        .context("the response to /v1/tickets contains no ticket")?
        .to_string();
    let checkout = json!({"book": "a tale of rivers"});
    for router in [&routers[1], &routers[0], &routers[1]] {
        let request = post(router, "/v1/services/lending/checkout", &checkout);
        let response = request.with_header(headers::TICKET, &ticket).send()?;
        ensure!(response.status_code == 200, "the checkout failed: {}", response.as_str()?);
    }
    let run_counts = standins.lending.run_counts();
    ensure!(
        run_counts.values().sum::<u64>() == 1,
        "the checkout must run exactly once, but the run counts are {run_counts:?}"
    );
    println!("6. Three checkout calls with one ticket through two routers ran the service once.");
    Ok(())
}

/// Stops the routers gracefully and checks that the bill covers every answered request.
fn check_bill(
    platform: PlatformClient,
    routers: [Router; 2],
    answered_requests: u64,
) -> Result<()> {
    for router in routers {
        ensure!(router.stop(), "a router did not finish its work before it stopped");
    }
    let totals = bill::totals(&platform)?;
    println!("7. Both routers stopped gracefully. The bill:\n\n{}", bill::render(&totals));
    ensure!(
        totals.requests == answered_requests,
        "{} requests were billed, but {answered_requests} were answered",
        totals.requests
    );
    println!("   {answered_requests} requests were answered and {} billed.", totals.requests);
    Ok(())
}
