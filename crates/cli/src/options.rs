//! Options of the command line.

use std::net;

use gumdrop::Options as _;

use crate::{exit, output};

/// Options that come before the command.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "show this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "show the version")]
    pub(crate) version: bool,
    #[options(
        meta = "IP:PORT",
        help = "a daemon's operator address; give several to have them tried in turn"
    )]
    pub(crate) daemon: Vec<net::SocketAddr>,
    #[options(meta = "FILE", help = "a file that holds the operator token")]
    pub(crate) token_file: Option<String>,
    #[options(meta = "FORMAT", help = "table, json or yaml", default = "table")]
    pub(crate) output: output::Format,
    #[options(
        no_short,
        meta = "SECONDS",
        help = "how long a call may take, without what is waited for",
        default = "15"
    )]
    pub(crate) timeout: u64,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The commands.
#[derive(Debug, gumdrop::Options)]
pub(crate) enum Command {
    #[options(help = "create or replace the resources of files, all or none")]
    Apply(Apply),
    #[options(help = "show resources with their status")]
    Get(Get),
    #[options(help = "show changes as they come")]
    Watch(Watch),
    #[options(help = "delete resources, all or none")]
    Delete(Delete),
    #[options(help = "show the version and the state of each daemon")]
    Status(Status),
    #[options(help = "show the events of all daemons in causal order")]
    Timeline(Timeline),
    #[options(help = "stop an endpoint, host or pool gracefully and wait until it has stopped")]
    Stop(Stop),
    #[options(help = "make a key, or print the hash of one")]
    Key(Key),
    #[options(help = "show from gateways' log files how a request came to its end")]
    Explain(Explain),
    #[options(help = "show from gateways' log files where goodput is lost")]
    Report(Report),
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Apply {
    #[options(help = "show this help")]
    help: bool,
    #[options(short = "f", meta = "FILE", help = "a YAML or JSON file; - reads standard input")]
    pub(crate) file: Vec<String>,
    #[options(no_short, help = "wait until every live daemon has the change in force")]
    pub(crate) wait: bool,
    #[options(no_short, help = "only read and check the files' form; ask no daemon")]
    pub(crate) check: bool,
    #[options(no_short, meta = "SECONDS", help = "how long to wait", default = "60")]
    pub(crate) wait_for: u64,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Get {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "KIND or KIND/NAME, several if need be; none shows all")]
    pub(crate) resources: Vec<String>,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Watch {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, meta = "VERSION", help = "show what came after it", default = "0")]
    pub(crate) after: u64,
    #[options(
        no_short,
        meta = "SECONDS",
        help = "end after this time; 0 for never",
        default = "0"
    )]
    pub(crate) end_after: u64,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Delete {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "KIND/NAME, several if need be")]
    pub(crate) resources: Vec<String>,
    #[options(no_short, help = "wait until every live daemon has the change in force")]
    pub(crate) wait: bool,
    #[options(no_short, meta = "SECONDS", help = "how long to wait", default = "60")]
    pub(crate) wait_for: u64,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Status {
    #[options(help = "show this help")]
    help: bool,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Timeline {
    #[options(help = "show this help")]
    help: bool,
    #[options(meta = "ID", help = "only events of this request")]
    pub(crate) request: Option<String>,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Stop {
    #[options(help = "show this help")]
    help: bool,
    #[options(meta = "NAME", help = "the endpoint to stop")]
    pub(crate) endpoint: Option<String>,
    #[options(no_short, meta = "NAME", help = "the host to stop")]
    pub(crate) host: Option<String>,
    #[options(meta = "NAME", help = "the pool to stop")]
    pub(crate) pool: Option<String>,
    #[options(meta = "NAME", help = "the PlannedStop's name; made from the target if missing")]
    pub(crate) name: Option<String>,
    #[options(no_short, help = "do not wait")]
    pub(crate) no_wait: bool,
    #[options(no_short, meta = "SECONDS", help = "how long to wait", default = "600")]
    pub(crate) wait_for: u64,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Key {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, help = "read the key from standard input instead of making one")]
    pub(crate) stdin: bool,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Explain {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "the request's id, then the log files of all hosts")]
    pub(crate) arguments: Vec<String>,
}

#[derive(Debug, gumdrop::Options)]
pub(crate) struct Report {
    #[options(help = "show this help")]
    help: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "where to write a picture of what became of requests by second"
    )]
    pub(crate) svg: Option<String>,
    #[options(free, help = "the log files of all hosts")]
    pub(crate) files: Vec<String>,
}

impl Options {
    /// Returns the help text of the named command, or of the program if no command is named.
    pub(crate) fn help_text(&self) -> String {
        match self.command_name() {
            Some(name) => {
                let usage = Command::command_usage(name).unwrap_or("");
                format!("Usage: trefoildyke [OPTIONS] {name} [COMMAND OPTIONS]\n\n{usage}\n")
            }
            None => format!(
                "Usage: trefoildyke [OPTIONS] COMMAND [COMMAND OPTIONS]\n\n{}\n\nCommands:\n{}\n\n\
                 Environment:\n  TREFOILDYKE_DAEMONS  daemons parted by commas, if no --daemon is given\n  \
                 TREFOILDYKE_TOKEN    the operator token, if no --token-file is given\n\n{}",
                Self::usage(),
                Command::usage(),
                exit::HELP,
            ),
        }
    }
}
