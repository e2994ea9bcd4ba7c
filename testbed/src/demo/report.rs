//! What the demo shows.

use std::fmt;

use trefoildyke_types::{event, id};

/// Holds what became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request's class.
    pub class: String,
    /// The daemon's number.
    pub daemon: usize,
    /// The time to the first token, in milliseconds; `None` if none came.
    pub first_ms: Option<u128>,
    /// The number of tokens.
    pub tokens: u64,
    /// How it ended, for a person to read.
    pub ending: String,
    /// Whether it ended as it should.
    pub expected: bool,
}

/// Holds all that the demo shows.
#[derive(Clone, Debug)]
pub struct Report {
    /// The configuration's version, in force on every daemon.
    pub version: u64,
    /// What became of each request.
    pub outcomes: Vec<Outcome>,
    /// The events of all daemons in causal order.
    pub events: Vec<event::Event>,
    /// How often endpoints were sent a request, at most: must be 1.
    pub most_starts: u32,
}

impl Report {
    /// Returns whether everything ended as it should.
    pub fn holds(&self) -> bool {
        self.most_starts == 1 && self.outcomes.iter().all(|outcome| outcome.expected)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "configuration version {} is in force on every daemon\n", self.version)?;
        writeln!(f, "{:<14} {:>6} {:>9} {:>7}  outcome", "class", "daemon", "first ms", "tokens")?;
        for outcome in &self.outcomes {
            let first = outcome.first_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
            let Outcome { class, daemon, tokens, ending, .. } = outcome;
            writeln!(f, "{class:<14} {daemon:>6} {first:>9} {tokens:>7}  {ending}")?;
        }
        writeln!(f, "\ntime line over all daemons, in causal order\n")?;
        let start = self.events.iter().map(|event| event.time_us).min().unwrap_or_default();
        for event in &self.events {
            writeln!(f, "{}", line(event, start))?;
        }
        writeln!(f, "\nno request was sent to endpoints more than {} time", self.most_starts)
    }
}

fn line(event: &event::Event, start_us: u64) -> String {
    let ms = event.time_us.saturating_sub(start_us) as f64 / 1_000.0;
    let key = event.key.as_ref().map_or_else(String::new, |key| short(&key.id));
    let event::Event { host, kind, detail, .. } = event;
    format!("{ms:>9.1} ms  {host:<8} {key:<12} {kind:<12} {detail}").trim_end().to_owned()
}

/// Returns the last group of the identifier's UUID, which is random.
fn short(id: &id::RequestId) -> String {
    let text = id.uuid().to_string();
    text.rsplit('-').next().unwrap_or_default().to_owned()
}
