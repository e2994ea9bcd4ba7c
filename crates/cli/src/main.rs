//! The operators' command line.

use std::process;

fn main() -> process::ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    trefoildyke_cli::run(&arguments).into()
}
