//! The commands, one module each.

mod apply;
mod delete;
mod explain;
mod get;
mod key;
mod reference;
mod report;
mod status;
mod stop;
mod timeline;
mod watch;

use std::io;

use crate::{context::Context, failure::Failure, options};

/// Executes a command and writes its output.
pub(crate) async fn execute(
    mut options: options::Options,
    out: &mut dyn io::Write,
) -> Result<(), Failure> {
    let Some(command) = options.command.take() else {
        return Ok(());
    };
    match command {
        options::Command::Key(key) => key::execute(&key, options.output, out),
        options::Command::Explain(explain) => explain::execute(&explain, options.output, out),
        options::Command::Report(report) => report::execute(&report, options.output, out),
        options::Command::Apply(apply) if apply.check => apply::check(&apply),
        command => execute_remote(command, &mut Context::new(&options, out)?).await,
    }
}

/// Executes a command that calls daemons.
async fn execute_remote(
    command: options::Command,
    context: &mut Context<'_>,
) -> Result<(), Failure> {
    match command {
        options::Command::Apply(apply) => apply::execute(&apply, context).await,
        options::Command::Get(get) => get::execute(&get, context).await,
        options::Command::Watch(watch) => watch::execute(&watch, context).await,
        options::Command::Delete(delete) => delete::execute(&delete, context).await,
        options::Command::Status(_) => status::execute(context).await,
        options::Command::Timeline(timeline) => timeline::execute(&timeline, context).await,
        options::Command::Stop(stop) => stop::execute(&stop, context).await,
        options::Command::Key(key) => key::execute(&key, context.format, context.out),
        options::Command::Explain(explain) => {
            explain::execute(&explain, context.format, context.out)
        }
        options::Command::Report(report) => report::execute(&report, context.format, context.out),
    }
}
