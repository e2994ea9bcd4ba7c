//! The stand-ins and the cases of the review.
//!
//! `rig worker ...` is a worker; `rig CASE RECORD` plays a case, run in the root of the repository.

mod cases;
mod client;
mod deployment;
mod http;
mod json;
mod store;
mod worker;

fn main() {
    let options: Vec<String> = std::env::args().skip(1).collect();
    match options.first().map(String::as_str) {
        Some("worker") => worker::run(&options[1..]),
        Some(case) if options.len() == 2 => cases::play(case, std::path::Path::new(&options[1])),
        _ => std::process::exit(2),
    }
}
