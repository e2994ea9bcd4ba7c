//! Writes log lines without blocking the caller.

use std::sync::atomic;
use std::{sync, thread};

use trefoildyke_types::id;

use crate::record::Event;

/// How many lines may wait to be written; a line has a few hundred bytes.
const CAPACITY: usize = 4_096;

/// Counts the lines that were dropped because the queue was full.
#[derive(Clone, Debug, Default)]
pub struct DropCounter(sync::Arc<atomic::AtomicU64>);

impl DropCounter {
    /// Returns the number of dropped lines.
    pub fn count(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// Writes events as JSON lines, to standard output by default, on its own thread.
///
/// A line that does not fit into the queue is dropped and counted, so that a slow reader never delays a
/// request.
#[derive(Clone, Debug)]
pub struct Journal {
    host: id::HostName,
    lines: sync::mpsc::SyncSender<Vec<u8>>,
    dropped: DropCounter,
}

#[derive(serde::Serialize)]
struct EventLine<'a> {
    at_ms: u64,
    host: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

#[derive(serde::Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    host: &'a str,
    event: &'static str,
    level: &'a str,
    target: &'a str,
    message: String,
}

impl Journal {
    /// Starts the writer thread for the log of `host` on standard output; the thread ends with the last clone
    /// of the journal.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(host: id::HostName) -> std::io::Result<(Self, thread::JoinHandle<()>)> {
        Self::start_with(host, std::io::stdout())
    }

    /// Does the same with `out` in place of standard output.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start_with(
        host: id::HostName,
        out: impl std::io::Write + Send + 'static,
    ) -> std::io::Result<(Self, thread::JoinHandle<()>)> {
        let (lines, queue) = sync::mpsc::sync_channel(CAPACITY);
        let writer = thread::Builder::new().name("journal".to_owned());
        let writer = writer.spawn(move || write_lines(&queue, out))?;
        Ok((Self { host, lines, dropped: DropCounter::default() }, writer))
    }

    /// Returns the counter of dropped lines.
    pub const fn dropped(&self) -> &DropCounter {
        &self.dropped
    }

    /// Writes one event.
    pub fn write(&self, event: &Event) {
        self.send(&EventLine { at_ms: unix_ms(), host: self.host.as_str(), event });
    }

    fn send(&self, line: &impl serde::Serialize) {
        let written = serde_json::to_vec(line).ok().and_then(|mut line| {
            line.push(b'\n');
            self.lines.try_send(line).ok()
        });
        if written.is_none() {
            self.dropped.0.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Routes the records of the `log` crate through this journal.
    ///
    /// # Errors
    ///
    /// Fails if a logger is installed already.
    pub fn take_logs(&self, level: log::LevelFilter) -> anyhow::Result<()> {
        let appender = log4rs::config::Appender::builder().build("journal", Box::new(self.clone()));
        let root = log4rs::config::Root::builder().appender("journal").build(level);
        log4rs::init_config(log4rs::Config::builder().appender(appender).build(root)?)?;
        Ok(())
    }
}

impl log4rs::append::Append for Journal {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        self.send(&LogLine {
            at_ms: unix_ms(),
            host: self.host.as_str(),
            event: "log",
            level: record.level().as_str(),
            target: record.target(),
            message: record.args().to_string(),
        });
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes queued lines, many at a time.
fn write_lines(queue: &sync::mpsc::Receiver<Vec<u8>>, mut out: impl std::io::Write) {
    while let Ok(mut lines) = queue.recv() {
        while lines.len() < 32 << 10
            && let Ok(line) = queue.try_recv()
        {
            lines.extend_from_slice(&line);
        }
        // The daemon must survive the loss of the reader of its log.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
