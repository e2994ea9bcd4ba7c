//! The subcommands, one file each.

mod demo;
mod engine;
mod experiment;
mod goals;
mod hosts;
mod kv;
mod load;
mod measure;
mod plot;
mod recovery;
mod rollouts;
mod service;
mod stop;

/// Runs stand-ins for the outside systems, and experiments.
#[derive(Debug, gumdrop::Options)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, gumdrop::Options)]
enum Command {
    #[options(help = "run the whole system in one process and show what happens")]
    Demo(demo::Options),
    #[options(help = "compare policies in virtual time")]
    Experiment(experiment::Options),
    #[options(help = "measure and judge the goals of the decisions")]
    Goals(goals::Options),
    #[options(help = "put load on daemons over HTTP")]
    Load(load::Options),
    #[options(help = "plot goodput by tier against load")]
    Plot(plot::Options),
    #[options(help = "play moves of a service to another version in virtual time")]
    Rollouts(rollouts::Options),
    #[options(help = "measure how soon a pool recovers from short disturbances, in virtual time")]
    Recovery(recovery::Options),
    #[options(help = "run a key-value service")]
    Kv(kv::Options),
    #[options(help = "run a host list")]
    Hosts(hosts::Options),
    #[options(help = "run a model engine")]
    Engine(engine::Options),
    #[options(help = "measure what control costs")]
    Measure(measure::Options),
    #[options(help = "run a plain service")]
    Service(service::Options),
}

/// Runs the subcommand that the options name.
pub(crate) async fn run(options: Options) -> anyhow::Result<()> {
    match options.command {
        Some(Command::Demo(options)) => demo::run(options).await,
        Some(Command::Experiment(options)) => experiment::run(&options),
        Some(Command::Goals(options)) => goals::run(options),
        Some(Command::Load(options)) => load::run(options).await,
        Some(Command::Plot(options)) => plot::run(&options),
        Some(Command::Recovery(options)) => recovery::run(&options),
        Some(Command::Rollouts(options)) => rollouts::run(&options),
        Some(Command::Kv(options)) => kv::run(options).await,
        Some(Command::Hosts(options)) => hosts::run(options).await,
        Some(Command::Engine(options)) => engine::run(options).await,
        Some(Command::Measure(options)) => measure::run(&options),
        Some(Command::Service(options)) => service::run(options).await,
        None => anyhow::bail!("no subcommand given; see --help"),
    }
}
