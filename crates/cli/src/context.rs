//! State shared by the commands: the client and the output.

use std::{env, fs, io, time};

use trefoildyke_types::{error, resource};
use trefoildyke_wire::operators;

use crate::{failure::Failure, options::Options, output};

const DAEMONS: &str = "TREFOILDYKE_DAEMONS";
const TOKEN: &str = "TREFOILDYKE_TOKEN";

/// The longest wait of one watch call, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// The delay before a failed watch call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// The client and the output of one command.
pub(crate) struct Context<'a> {
    pub(crate) client: operators::Client,
    pub(crate) daemons: Vec<std::net::SocketAddr>,
    pub(crate) format: output::Format,
    pub(crate) out: &'a mut dyn io::Write,
}

impl<'a> Context<'a> {
    /// Creates the context from the options and the environment.
    pub(crate) fn new(options: &Options, out: &'a mut dyn io::Write) -> Result<Self, Failure> {
        let daemons = daemons(options)?;
        let token = token(options)?;
        let deadline = time::Duration::from_secs(options.timeout.max(1));
        let client = operators::Client::new(daemons.clone(), &token, deadline)?;
        Ok(Self { client, daemons, format: options.output, out })
    }

    /// Writes a value in the chosen format.
    pub(crate) fn show<T: serde::Serialize>(
        &mut self,
        value: &T,
        table: impl FnOnce(&T) -> output::Table,
    ) -> Result<(), Failure> {
        output::show(self.format, value, table, self.out)
    }

    /// Returns all resources of a kind.
    pub(crate) async fn list_all(
        &self,
        kind: resource::Kind,
    ) -> Result<Vec<resource::Resource>, Failure> {
        let mut all: Vec<resource::Resource> = Vec::new();
        loop {
            let after = all.last().map_or("", |last| last.name.as_str()).to_owned();
            let page = self.client.list(kind, &after).await?;
            let ends = page.resources.is_empty() || !page.more;
            all.extend(page.resources);
            if ends {
                return Ok(all);
            }
        }
    }

    /// Waits until a version is in force on every live daemon, for at most `limit` seconds.
    pub(crate) async fn wait_in_force(&self, version: u64, limit: u64) -> Result<(), Failure> {
        let watch = operators::Watch { in_force: Some(version - 1), ..self.watch() };
        self.wait(watch, limit, |watched| watched.in_force >= version).await.map_err(|last| {
            Failure::TimedOut(format!(
                "version {version} was accepted, but not all live daemons reported it within \
                 {limit} s; {last}see `trefoildyke status`"
            ))
        })
    }

    /// Waits until the planned stops up to a version have ended on every live daemon, for at most
    /// `limit` seconds.
    pub(crate) async fn wait_settled(&self, version: u64, limit: u64) -> Result<(), Failure> {
        let watch = operators::Watch { settled: Some(version - 1), ..self.watch() };
        self.wait(watch, limit, |watched| watched.settled >= version).await.map_err(|last| {
            Failure::TimedOut(format!(
                "requests were still in progress after {limit} s; {last}the stop stays in effect: wait again \
                 with `trefoildyke stop` and the same target"
            ))
        })
    }

    /// Returns a watch that ignores configuration changes and ends only on progress.
    const fn watch(&self) -> operators::Watch {
        operators::Watch { after: u64::MAX, in_force: None, settled: None, wait_ms: WATCH_MS }
    }

    /// Watches until `reached` returns true; fails with the last error after `limit` seconds.
    async fn wait(
        &self,
        mut watch: operators::Watch,
        limit: u64,
        reached: impl Fn(&operators::message::Watched) -> bool,
    ) -> Result<(), String> {
        let end = time::Instant::now() + time::Duration::from_secs(limit);
        let mut last = String::new();
        loop {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return Err(last);
            }
            watch.wait_ms = WATCH_MS.min(u64::try_from(left.as_millis()).unwrap_or(WATCH_MS));
            match self.client.watch(&watch).await {
                Ok(watched) if reached(&watched) => return Ok(()),
                Ok(_) => last.clear(),
                Err(error) => {
                    last = format!("last error: {error}; ");
                    tokio::time::sleep(RETRY_DELAY.min(left)).await;
                }
            }
        }
    }
}

fn daemons(options: &Options) -> Result<Vec<std::net::SocketAddr>, Failure> {
    if !options.daemon.is_empty() {
        return Ok(options.daemon.clone());
    }
    let value = env::var(DAEMONS).unwrap_or_default();
    let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse().map_err(|_| Failure::Usage(format!("{DAEMONS}: `{part}` is not IP:PORT")))
    };
    let daemons: Vec<_> = parts.map(parse).collect::<Result<_, _>>()?;
    if daemons.is_empty() {
        return Err(Failure::Usage(format!("no daemon is named; give --daemon or set {DAEMONS}")));
    }
    Ok(daemons)
}

fn token(options: &Options) -> Result<String, Failure> {
    let Some(path) = &options.token_file else {
        return env::var(TOKEN).map_err(|_| {
            error::Error::new(error::ErrorKind::Unauthorized, "there is no operator token")
                .remedy(format!("give --token-file or set {TOKEN}"))
                .into()
        });
    };
    let text =
        fs::read_to_string(path).map_err(|cause| Failure::File { path: path.clone(), cause })?;
    Ok(text.trim().to_owned())
}
