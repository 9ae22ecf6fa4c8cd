//! `tidetrackctl`: the command line for operators.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use anyhow::{anyhow, Context, Result};
use getopts::{Matches, Options};
use serde::Serialize;

use tidetrack_core::codes::{codes_table, Code};
use tidetrack_core::config::ObjectKey;
use tidetrack_core::errors::Error;
use tidetrack_core::events::events_table;
use tidetrack_core::facts::{Fact, Subject};
use tidetrack_core::ids::{FailureDomain, RolloutId, RouteId, VersionRef};
use tidetrack_ctl::{apply, bill, calls, dry_run, evacuation, explain, folder, rollout, status};
use tidetrack_wire::platform::{config_object_name, PlatformClient};

const USAGE: &str = "tidetrackctl COMMAND [options]

commands:
  check DIR                   read and check a folder of declarations; works without the platform
  diff DIR                    show what apply would change
  apply DIR                   make the object API match a folder of declarations
  get KIND/NAME               show an object as stored
  withdraw MODEL@VERSION      stop sending new work to a version
  rollout VERB NAME           start, pause, resume, advance or abort a roll-out
  evacuate start|end DOMAIN   send nothing further to the endpoints of a failure domain, or end that
  evacuate list               show the evacuated domains; with --host, the work left there
  status                      show the state and applied configuration of hosts
  calls                       sum up hosts' calls to the store, from their metrics
  bill                        sum up the ledger
  dry-run DIR ROUTE FILE      compare a policy with a script's choices for recorded requests
  explain ID [FILE...]        show a request's lines in hosts' logs (default: standard input)
  codes                       print the tables of result codes and log events

exit status: 0 success; 20 conflict with another writer; 1N error with code TT-Nxxx; 2 bad usage";

/// Exit status for a conflict with another writer.
const EXIT_CONFLICT: u8 = 20;

/// Exit status for a code `TT-Nxxx`, to which N is added.
const EXIT_CODE_BASE: u8 = 10;

/// Exit status for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "platform", "address of the object API", "IP:PORT");
    options.optmulti(
        "",
        "host",
        "address of a router, for status, evacuate list and withdraw --via; of its metrics, for calls",
        "IP:PORT",
    );
    options.optopt("", "key", "the operators' key (or TIDETRACK_OPERATOR_KEY)", "KEY");
    options.optopt("", "reason", "reason for a withdrawal or evacuation, for people", "TEXT");
    options.optflag("", "via", "send the withdrawal to --host; works while the object API is down");
    options.optopt("", "generation", "generation to withdraw with --via (default 1)", "N");
    options.optflag("", "prune", "delete objects of declared kinds that are not in the folder");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tidetrackctl: {e:#}");
            ExitCode::from(exit_status(&e))
        }
    }
}

fn exit_status(e: &anyhow::Error) -> u8 {
    match e.downcast_ref::<Error>().map(|e| e.code) {
        Some(Code::Conflict) => EXIT_CONFLICT,
        Some(Code::BadUsage) => EXIT_USAGE,
        Some(code) => EXIT_CODE_BASE + (code.number() / 1000) as u8,
        None => 1,
    }
}

fn usage_error(reason: &str) -> anyhow::Error {
    anyhow!(Error::new(Code::BadUsage, format!("{reason}\n{}", options().usage(USAGE))))
}

fn run(args: &[String]) -> Result<()> {
    let matches = options().parse(args).map_err(|e| usage_error(&e.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options().usage(USAGE));
        return Ok(());
    }
    let positional: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match positional[..] {
        ["check", dir] => check(&matches, dir),
        ["diff", dir] => diff(&matches, dir),
        ["apply", dir] => run_apply(&matches, dir),
        ["get", key] => get(&matches, key),
        ["withdraw", version] => withdraw(&matches, version),
        ["rollout", verb, name] => run_rollout(&matches, verb, name),
        ["evacuate", "start", domain] => start_evacuation(&matches, domain),
        ["evacuate", "end", domain] => end_evacuation(&matches, domain),
        ["evacuate", "list"] => list_evacuations(&matches),
        ["status"] => show_status(&matches),
        ["calls"] => show_calls(&matches),
        ["bill"] => show_bill(&matches),
        ["dry-run", dir, route, file] => run_dry_run(&matches, dir, route, file),
        ["explain", id, ref files @ ..] => explain_request(id, files),
        ["codes"] => print(&format!("{}\n{}", codes_table(), events_table())),
        [] => Err(usage_error("no command given")),
        _ => Err(usage_error(&format!("unknown command {:?}", positional.join(" ")))),
    }
}

fn explain_request(id: &str, files: &[&str]) -> Result<()> {
    let read = |file: &&str| std::fs::read_to_string(file).with_context(|| file.to_string());
    let logs: Vec<String> = match files {
        [] => vec![std::io::read_to_string(std::io::stdin())?],
        files => files.iter().map(read).collect::<Result<_>>()?,
    };
    print(&explain::explain(id, &logs)?)
}

/// Writes text to standard output. A broken pipe is no error, because a reader such as `head` may
/// stop early.
fn print(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(e) if e.kind() != std::io::ErrorKind::BrokenPipe => Err(e.into()),
        _ => Ok(()),
    }
}

fn print_json<T: Serialize>(value: &T) -> Result<()> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?))
}

fn platform_client(matches: &Matches) -> Result<PlatformClient> {
    let address =
        matches.opt_str("platform").ok_or_else(|| usage_error("--platform is required"))?;
    Ok(PlatformClient::new(&address))
}

fn operator_key(matches: &Matches) -> String {
    let from_env = || std::env::var("TIDETRACK_OPERATOR_KEY").unwrap_or_default();
    matches.opt_str("key").unwrap_or_else(from_env)
}

fn check(matches: &Matches, dir: &str) -> Result<()> {
    let declared = folder::read(Path::new(dir))?;
    match matches.opt_present("json") {
        true => print_json(&declared.keys().collect::<Vec<_>>()),
        false => print(&format!("{dir}: {} objects, no faults\n", declared.len())),
    }
}

fn diff(matches: &Matches, dir: &str) -> Result<()> {
    let declared = folder::read(Path::new(dir))?;
    let lines = apply::diff(&platform_client(matches)?, &declared, matches.opt_present("prune"))?;
    show_diff(matches, &lines)
}

fn show_diff(matches: &Matches, lines: &[apply::DiffLine]) -> Result<()> {
    if matches.opt_present("json") {
        return print_json(&lines);
    }
    let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
    print(&if lines.is_empty() { "nothing to change\n".to_string() } else { text })
}

fn run_apply(matches: &Matches, dir: &str) -> Result<()> {
    let declared = folder::read(Path::new(dir))?;
    let platform = platform_client(matches)?;
    let lines = apply::diff(&platform, &declared, matches.opt_present("prune"))?;
    let json = matches.opt_present("json");
    if lines.is_empty() && !json {
        return print("nothing to change\n");
    }
    let total = lines.len();
    let applied = apply::apply(&platform, &lines, &mut |i, line| {
        if !json {
            println!("{i}/{total} {line}");
        }
    });
    if json {
        print_json(&applied)?;
    }
    for (key, e) in &applied.failed {
        eprintln!("{key}: {e}");
    }
    match applied.first_failure() {
        Some(e) => Err(e.into()),
        None => Ok(()),
    }
}

fn get(matches: &Matches, key: &str) -> Result<()> {
    let key: ObjectKey = key.parse()?;
    let stored =
        platform_client(matches)?.fetch(&config_object_name(&key)).map_err(|e| match e.code {
            Code::ObjectGone => Error::new(Code::ObjectGone, format!("{key} does not exist")),
            _ => e,
        })?;
    let body: serde_json::Value = serde_json::from_str(&stored.body.unwrap_or_default())?;
    print_json(&serde_json::json!({"key": key, "version": stored.version, "body": body}))
}

fn withdraw(matches: &Matches, version: &str) -> Result<()> {
    let version: VersionRef = version.parse()?;
    if matches.opt_present("via") {
        let host = matches.opt_str("host").ok_or_else(|| usage_error("--via requires --host"))?;
        let generation = matches.opt_get_default("generation", 1u64);
        let generation = generation.map_err(|e| usage_error(&format!("--generation: {e}")))?;
        let fact = Fact { subject: Subject::Withdrawn(version.clone()), generation };
        status::send_fact(&host, &operator_key(matches), &fact)?;
        return print(&format!("{host} accepted the withdrawal of {version} and passes it on\n"));
    }
    let reason = matches.opt_str("reason").unwrap_or_default();
    let revision = rollout::withdraw(&platform_client(matches)?, &version, &reason)?;
    print(&format!("{version} is withdrawn at revision {revision}\n"))
}

fn run_rollout(matches: &Matches, verb: &str, name: &str) -> Result<()> {
    let id: RolloutId = name.parse()?;
    let state = rollout::apply_verb(&platform_client(matches)?, &id, verb.parse()?)?;
    match matches.opt_present("json") {
        true => print_json(&state),
        false => print(&format!("{id}: {:?}, stage {}\n", state.phase, state.stage)),
    }
}

fn start_evacuation(matches: &Matches, domain: &str) -> Result<()> {
    let domain: FailureDomain = domain.parse()?;
    let reason = matches.opt_str("reason").unwrap_or_default();
    let revision = evacuation::start(&platform_client(matches)?, &domain, &reason)?;
    print(&format!("{domain} is evacuated at revision {revision}\n"))
}

fn end_evacuation(matches: &Matches, domain: &str) -> Result<()> {
    let domain: FailureDomain = domain.parse()?;
    evacuation::end(&platform_client(matches)?, &domain)?;
    print(&format!("the evacuation of {domain} is ended\n"))
}

fn list_evacuations(matches: &Matches) -> Result<()> {
    let evacuated = evacuation::list(&platform_client(matches)?)?;
    let key = operator_key(matches);
    let hosts = matches.opt_strs("host").into_iter();
    let statuses: Vec<_> =
        hosts.map(|h| status::fetch_status(&h, &key)).collect::<std::result::Result<_, _>>()?;
    print(&evacuation::render(&evacuated, &statuses))
}

fn show_status(matches: &Matches) -> Result<()> {
    let hosts = matches.opt_strs("host");
    if hosts.is_empty() {
        return Err(usage_error("status requires --host, once for each router"));
    }
    let key = operator_key(matches);
    let statuses: Vec<_> =
        hosts.into_iter().map(|h| (h.clone(), status::fetch_status(&h, &key))).collect();
    if matches.opt_present("json") {
        let fetched: Vec<_> = statuses.iter().filter_map(|(_, s)| s.as_ref().ok()).collect();
        print_json(&fetched)?;
    } else {
        print(&status::render(&statuses))?;
    }
    match statuses.into_iter().find_map(|(_, s)| s.err()) {
        Some(e) => Err(e.into()),
        None => Ok(()),
    }
}

fn show_calls(matches: &Matches) -> Result<()> {
    let hosts = matches.opt_strs("host");
    if hosts.is_empty() {
        return Err(usage_error("calls requires --host, once for each host's metrics address"));
    }
    let (mut pages, mut failed) = (Vec::new(), None);
    for host in &hosts {
        match calls::fetch_metrics(host) {
            Ok(page) => pages.push(page),
            Err(e) => {
                eprintln!("{e}");
                failed = Some(e);
            }
        }
    }
    let counts = calls::sum_calls(pages.iter().map(String::as_str));
    match matches.opt_present("json") {
        true => print_json(&counts)?,
        false => print(&calls::render(&counts))?,
    }
    failed.map_or(Ok(()), |e| Err(e.into()))
}

fn show_bill(matches: &Matches) -> Result<()> {
    let totals = bill::totals(&platform_client(matches)?)?;
    match matches.opt_present("json") {
        true => print_json(&bill::to_json(&totals)),
        false => print(&bill::render(&totals)),
    }
}

fn run_dry_run(matches: &Matches, dir: &str, route: &str, file: &str) -> Result<()> {
    let declared = folder::read(Path::new(dir))?;
    let route: RouteId = route.parse()?;
    let lines = std::fs::read_to_string(file).with_context(|| file.to_string())?;
    let report = dry_run::run(&declared, &route, file, &lines)?;
    if matches.opt_present("json") {
        return print_json(&report);
    }
    let mut text = format!(
        "{} requests: {} with the script's choice, {} failed\n",
        report.requests, report.matched, report.failed
    );
    report.changed.iter().for_each(|(changed, n)| text.push_str(&format!("{n:>8} {changed}\n")));
    print(&text)
}
