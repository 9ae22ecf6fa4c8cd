//! `tidetrack-router --settings FILE` runs a router process.

use std::process::ExitCode;

use anyhow::{anyhow, Context, Result};
use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use tidetrack_router::{logging, Router, Settings};

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("tidetrack-router: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool> {
    let args: Vec<String> = std::env::args().collect();
    let mut options = Options::new();
    options.optopt("", "settings", "path of the settings file in TOML", "FILE");
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("tidetrack-router --settings FILE");
    let matches = options.parse(&args[1..]).map_err(|e| anyhow!("{e}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(true);
    }
    let file = matches
        .opt_str("settings")
        .ok_or_else(|| anyhow!("the flag --settings is missing\n{usage}"))?;
    let text = std::fs::read_to_string(&file).with_context(|| file.clone())?;
    let settings = Settings::from_toml(&file, &text)?;
    if matches.opt_present("check") {
        println!("{file}: valid");
        return Ok(true);
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let logger = logging::logger(&settings.log_level, settings.host.as_str());
    let router = Router::start(settings, logger)?;
    println!("callers {} hosts {}", router.caller_address(), router.peer_address());
    signals.forever().next();
    Ok(router.stop())
}
