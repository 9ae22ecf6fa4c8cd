//! `tidetrack-load`: generates a seeded load on a running fleet.
//!
//! Exits with 1 if a guarantee was violated and with 2 on any other error.

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
    options.optmulti("", "host", "address of a router; can be repeated", "IP:PORT");
    options.optopt("", "key", "API key of the workspace", "KEY");
    options.optopt("", "route", "route of the chat requests (default assistant)", "NAME");
    options.optopt("", "once", "service call that must run only once per ticket", "SERVICE/PATH");
    options.optopt("", "callers", "number of concurrent callers (default 20)", "N");
    options.optopt("", "seconds", "duration of the load in seconds (default 10)", "N");
    options.optopt("", "seed", "seed of the random requests (default 1)", "N");
    options.optopt("", "report", "write the report to a file as JSON", "FILE");
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
        bail!("missing --host\n{usage}");
    }
    let load = LoadOptions {
        hosts,
        key: matches.opt_str("key").ok_or_else(|| anyhow!("missing --key\n{usage}"))?,
        route: matches.opt_str("route").unwrap_or_else(|| "assistant".into()),
        non_repeatable_call: matches.opt_str("once"),
        callers: matches.opt_get_default("callers", 20)?,
        duration: Duration::from_secs(matches.opt_get_default("seconds", 10)?),
        seed: matches.opt_get_default("seed", 1)?,
    };
    let report =
        run(&load, &|seconds, answered| eprintln!("{seconds} s: {answered} requests answered"));
    print!("{}", report.render());
    if let Some(file) = matches.opt_str("report") {
        std::fs::write(&file, serde_json::to_string_pretty(&report)?).with_context(|| file)?;
    }
    Ok(report.broken.is_empty())
}
