//! Stand-ins and scenarios of the scripts of the second review. Uses the standard library only.
//!
//! `standin CASE DIR HOST_PROGRAM` plays a case: it starts hosts and replicas as separate processes, is
//! the platform's store and the clients itself, and writes `record.txt` in DIR. It exits with 1 if the
//! rule was broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment it plays the same without the disruption. `standin replica ...` and `standin engine ...` are
//! single replicas.

#![allow(dead_code)]

mod engine_replica;
mod http;
mod plain_replica;
mod rig;
mod store;
mod stream_client;

mod case_repeated_refusal;
mod case_spoiled_streams;
mod case_unframed_streams;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let code = match args.as_slice() {
        ["replica", rest @ ..] => plain_replica::run(rest),
        ["repeated-refusal", dir, host] => {
            case_repeated_refusal::play(Path::new(dir), Path::new(host))
        }
        ["engine", rest @ ..] => engine_replica::run(rest),
        ["skipped-events", dir, host] => {
            case_spoiled_streams::play(Path::new(dir), Path::new(host))
        }
        ["unframed-streams", dir, host] => {
            case_unframed_streams::play(Path::new(dir), Path::new(host))
        }
        _ => {
            eprintln!("usage: standin CASE DIR HOST_PROGRAM");
            2
        }
    };
    exit(code)
}
