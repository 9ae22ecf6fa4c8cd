//! Runs one stand-in as a process:
//! `tidetrack-standin KIND --listen IP:PORT [--set NAME=VALUE]`.

use anyhow::{anyhow, bail, Context, Result};
use getopts::Options;

use tidetrack_standin::engine::{Engine, EngineOptions};
use tidetrack_standin::objects::Platform;
use tidetrack_standin::rater::Rater;
use tidetrack_standin::service::Service;

const KINDS: &str = "platform, engine, service, rater";

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on (default 127.0.0.1:0)", "IP:PORT");
    options.optmulti("", "set", "sets an option of the stand-in, in TOML", "NAME=VALUE");
    options.optflag("h", "help", "print this help");
    let usage = options.usage(&format!("tidetrack-standin KIND [options]\n\nkinds: {KINDS}"));
    let matches = options.parse(&args[1..]).map_err(|e| anyhow!("{e}\n{usage}"))?;
    if matches.opt_present("help") {
        println!("{usage}");
        return Ok(());
    }
    let listen = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".into());
    let option_text = matches.opt_strs("set").join("\n");
    let kind = matches.free.first().map(String::as_str).unwrap_or_default();
    let server = match kind {
        "platform" => Platform::default().serve(&listen)?,
        "engine" => {
            let options: EngineOptions = toml::from_str(&option_text).context("--set")?;
            Engine::new(options).serve(&listen)?
        }
        "service" => Service::default().serve(&listen)?,
        "rater" => toml::from_str::<Rater>(&option_text).context("--set")?.serve(&listen)?,
        _ => bail!("unknown stand-in kind {kind:?}; expected one of {KINDS}\n{usage}"),
    };
    println!("{kind} {}", server.address());
    server.wait();
    Ok(())
}
