//! `tidetrack-load`: a seeded load on a running fleet; exits with 1 if a promise was broken.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use getopts::Options;

use tidetrack_load::load::{run, LoadOptions};
use tidetrack_load::report::{compare, Report};

const USAGE: &str = "tidetrack-load --host IP:PORT [--host …] --key KEY [options]
       tidetrack-load compare BEFORE.json AFTER.json";

fn main() -> ExitCode {
    match run_command() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("tidetrack-load: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn read_report(file: &str) -> Result<Report> {
    let text = std::fs::read_to_string(file).with_context(|| file.to_string())?;
    serde_json::from_str(&text).with_context(|| file.to_string())
}

fn run_command() -> Result<bool> {
    let args: Vec<String> = std::env::args().collect();
    let mut options = Options::new();
    options.optmulti("", "host", "a router", "IP:PORT");
    options.optopt("", "key", "the workspace's key", "KEY");
    options.optopt("", "route", "the route (default assistant)", "NAME");
    options.optopt("", "once", "a call that must not be repeated", "SERVICE/PATH");
    options.optopt("", "callers", "callers at a time (default 20)", "N");
    options.optopt("", "seconds", "length (default 10)", "N");
    options.optopt("", "seed", "seed of what is asked (default 1)", "N");
    options.optopt("", "report", "write the report as JSON", "FILE");
    options.optflag("h", "help", "print this help");
    let usage = options.usage(USAGE);
    let matches = options.parse(&args[1..]).map_err(|e| anyhow!("{e}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(true);
    }
    if let [command, before, after] = &matches.free[..] {
        if command == "compare" {
            print!("{}", compare(&read_report(before)?, &read_report(after)?));
            return Ok(true);
        }
    }
    let hosts = matches.opt_strs("host");
    if hosts.is_empty() {
        bail!("no --host\n{usage}");
    }
    let load = LoadOptions {
        hosts,
        key: matches.opt_str("key").ok_or_else(|| anyhow!("no --key\n{usage}"))?,
        route: matches.opt_str("route").unwrap_or_else(|| "assistant".into()),
        non_repeatable_call: matches.opt_str("once"),
        callers: matches.opt_get_default("callers", 20)?,
        duration: Duration::from_secs(matches.opt_get_default("seconds", 10)?),
        seed: matches.opt_get_default("seed", 1)?,
    };
    let report = run(&load, &|seconds, answered| eprintln!("{seconds} s: {answered} answered"));
    print!("{}", report.render());
    if let Some(file) = matches.opt_str("report") {
        std::fs::write(&file, serde_json::to_string_pretty(&report)?).with_context(|| file)?;
    }
    Ok(report.broken.is_empty())
}
