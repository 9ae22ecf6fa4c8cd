//! Command line of the benchmarks: `tidetrack-bench COMMAND [options]`.

use anyhow::{anyhow, bail, Result};
use getopts::Options;

use tidetrack_bench::{capacity, control, decisions, path, record, spread, state};

const USAGE: &str = "tidetrack-bench COMMAND [options]

commands:
  path      latency and CPU time that the router adds compared with direct engine requests
  control   control-plane CPU, memory and traffic per host, with real processes and transport
  spread    control messages and configuration propagation in simulated fleets
  state     memory, serialized size and CPU time of individual components
  capacity  render the tables of docs/CAPACITY.md from the recorded series
  decisions placement, overload, cascades and roll-outs compared with baselines";

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let mut options = Options::new();
    options.optopt("", "hosts", "comma-separated numbers of hosts for control and spread", "N,N,N");
    options.optflag("", "record", "store the results below docs/");
    options.optflag("h", "help", "print this help");
    let usage = options.usage(USAGE);
    let matches = options.parse(&args[1..]).map_err(|e| anyhow!("{e}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(());
    }
    if matches.free.first().is_some_and(|c| c == "decisions") {
        return run_decisions(matches.opt_present("record"));
    }
    if matches.free.first().is_some_and(|c| c == "capacity") {
        let recorded = record::read_recorded()?;
        print!("{}", capacity::render(&recorded));
        return capacity::write_page(&recorded);
    }
    let sizes = |default: &str| -> Result<Vec<usize>> {
        let text = matches.opt_str("hosts").unwrap_or_else(|| default.to_string());
        text.split(',').map(|n| Ok(n.trim().parse()?)).collect()
    };
    let series = match matches.free.first().map(String::as_str) {
        Some("path") => path::run()?,
        Some("control") => control::run(&sizes("7,20,60")?)?,
        Some("spread") => spread::run(&sizes("7,60,180,540")?)?,
        Some("state") => state::run()?,
        _ => bail!("missing or unknown command\n{usage}"),
    };
    let text = record::render(&series);
    if matches.opt_present("record") {
        record::update_recorded(series)?;
    }
    print!("{text}");
    Ok(())
}

fn run_decisions(should_record: bool) -> Result<()> {
    let results = decisions::all_results();
    let page = decisions::render_page(&results);
    print!("{page}");
    if should_record {
        std::fs::write(record::docs_dir().join("BENCHMARKS.md"), page)?;
    }
    match results.iter().all(decisions::BenchmarkResult::is_within_bound) {
        true => Ok(()),
        false => bail!("at least one benchmark result is outside its bound"),
    }
}
