//! The operators' command line, as a library that the binary `trefoildyke` calls.

mod command;
mod context;
mod exit;
pub mod explain;
mod failure;
mod options;
mod output;
pub mod report;
pub mod timeline;

use std::io::Write as _;

use gumdrop::Options as _;
use tokio::runtime;

pub use exit::Exit;

use crate::{failure::Failure, options::Options};

/// Runs one command and returns its exit code; errors go to the standard error stream.
pub fn run(arguments: &[String]) -> Exit {
    match parse(arguments) {
        Ok(Parsed::Help(text)) => {
            print!("{text}");
            Exit::Done
        }
        Ok(Parsed::Command(options)) => execute(*options),
        Err(message) => {
            eprintln!("error: {message}; see `trefoildyke --help`");
            Exit::Usage
        }
    }
}

enum Parsed {
    Help(String),
    Command(Box<Options>),
}

fn parse(arguments: &[String]) -> Result<Parsed, String> {
    let options = Options::parse_args(arguments, gumdrop::ParsingStyle::AllOptions)
        .map_err(|error| error.to_string())?;
    if options.version {
        return Ok(Parsed::Help(format!("trefoildyke {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if options.help_requested() {
        return Ok(Parsed::Help(options.help_text()));
    }
    if options.command.is_none() {
        return Err("no command is named".to_owned());
    }
    Ok(Parsed::Command(Box::new(options)))
}

fn execute(options: Options) -> Exit {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start: {error}; raise the limit on open files");
            return Exit::Failed;
        }
    };
    let mut out = std::io::stdout().lock();
    let result = runtime.block_on(command::execute(options, &mut out));
    match result.and_then(|()| out.flush().map_err(Failure::from)) {
        Ok(()) => Exit::Done,
        // The reader closed the pipe because it needs no more output.
        Err(Failure::Output(error)) if error.kind() == std::io::ErrorKind::BrokenPipe => Exit::Done,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit()
        }
    }
}
