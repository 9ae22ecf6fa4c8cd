//! Stand-ins and scenarios of the review cases. Uses only the standard library.
//!
//! `review-kit replica ...` is one replica process; `review-kit case NAME DIR` runs a case: the platform's store
//! and the requesters are threads of that process, the replicas and the hosts are processes that it starts and ends.

mod cases;
mod host;
mod http;
mod platform;
mod record;
mod replica;
mod requester;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let code = match args.as_slice() {
        ["replica", options @ ..] => replica::run(options),
        ["case", name, dir] => cases::run(name, dir),
        _ => {
            eprintln!("usage: review-kit replica KEY=VALUE... | review-kit case NAME DIR");
            2
        }
    };
    std::process::exit(code);
}
