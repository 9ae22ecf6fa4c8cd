//! `tidetrack-burn`: reports how fast the error budgets of the declared objectives are used up.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod burn;
mod chart;
mod scrape;

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail, Context, Result};
use getopts::Options;

use tidetrack_ctl::folder;

const USAGE: &str = "tidetrack-burn scrape --host IP:PORT [--host …] --out FILE [options]
       tidetrack-burn report FILE --declared DIR [--json] [--svg FILE]";

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let mut options = Options::new();
    options.optmulti("", "host", "address of a router's metrics", "IP:PORT");
    options.optopt("", "out", "file to which snapshots are appended as lines of JSON", "FILE");
    options.optopt("", "every", "seconds between snapshots (default 10)", "N");
    options.optopt("", "count", "snapshots to take (default 1)", "N");
    options.optopt("", "declared", "folder of declarations", "DIR");
    options.optopt("", "svg", "draw the burn rates as SVG into a file", "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    let usage = options.usage(USAGE);
    let matches = options.parse(&args[1..]).map_err(|e| anyhow!("{e}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(());
    }
    let positional: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match positional[..] {
        ["scrape"] => {
            let out =
                matches.opt_str("out").ok_or_else(|| anyhow!("--out is required\n{usage}"))?;
            let every = Duration::from_secs(matches.opt_get_default("every", 10)?);
            let count = matches.opt_get_default("count", 1u32)?;
            scrape_hosts(&matches.opt_strs("host"), Path::new(&out), every, count)
        }
        ["report", file] => {
            let dir = matches
                .opt_str("declared")
                .ok_or_else(|| anyhow!("--declared is required\n{usage}"))?;
            let declared = folder::read(Path::new(&dir))?;
            let text = std::fs::read_to_string(file).with_context(|| file.to_string())?;
            let report = burn::report(&scrape::read_snapshots(file, &text)?, &declared);
            if let Some(svg) = matches.opt_str("svg") {
                chart::draw(&report, Path::new(&svg))?;
            }
            match matches.opt_present("json") {
                true => println!("{}", serde_json::to_string_pretty(&report)?),
                false => print!("{}", burn::render(&report)),
            }
            Ok(())
        }
        _ => bail!("unknown command\n{usage}"),
    }
}

fn scrape_hosts(hosts: &[String], out: &Path, every: Duration, count: u32) -> Result<()> {
    let started_at = Instant::now();
    for i in 0..count {
        if i > 0 {
            std::thread::sleep(every);
        }
        let snapshot = scrape::take_snapshot(hosts, started_at.elapsed().as_secs())?;
        scrape::append_snapshot(out, &snapshot)?;
        eprintln!("{}/{count}: {} rows", i + 1, snapshot.rows.len());
    }
    Ok(())
}
