//! One process of a test.

use std::{
    fs,
    io::{self, BufRead as _},
    path, process, time,
};

/// Runs a process that prints where it listens; it is killed when dropped.
pub(crate) struct Process {
    child: process::Child,
    /// The first line of its standard output.
    pub(crate) line: String,
    /// Its standard error.
    pub(crate) log: path::PathBuf,
}

impl Process {
    /// Starts the daemon.
    pub(crate) fn daemon(arguments: &[&str], log: path::PathBuf) -> Self {
        Self::start(path::Path::new(env!("CARGO_BIN_EXE_trefoildyked")), arguments, log)
    }

    /// Starts a stand-in.
    pub(crate) fn testbed(arguments: &[&str], log: path::PathBuf) -> Self {
        let binary = path::Path::new(env!("CARGO_BIN_EXE_trefoildyked")).with_file_name("testbed");
        assert!(
            binary.exists(),
            "{} is missing: run `cargo test --workspace`, or `cargo build -p testbed` first",
            binary.display()
        );
        Self::start(&binary, arguments, log)
    }

    fn start(binary: &path::Path, arguments: &[&str], log: path::PathBuf) -> Self {
        let mut child = process::Command::new(binary)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        io::BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let process = Self { child, line, log };
        assert!(process.line.starts_with("listening "), "{}", process.told());
        process
    }

    /// Returns what the process has written to its standard error.
    pub(crate) fn told(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns an address of the first line; `name` is empty for the only one.
    pub(crate) fn address(&self, name: &str) -> std::net::SocketAddr {
        let words = self.line.split_whitespace().skip(1);
        let prefix = if name.is_empty() { String::new() } else { format!("{name}=") };
        let mut found = words.filter_map(|word| word.strip_prefix(&prefix));
        found.next().and_then(|text| text.parse().ok()).unwrap()
    }

    /// Sends a signal, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status =
            process::Command::new("kill").arg(format!("-{name}")).arg(pid).status().unwrap();
        assert!(status.success());
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how the process ended, or `None` while it runs.
    pub(crate) fn ended(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits for the end of the process.
    pub(crate) async fn wait(&mut self) -> process::ExitStatus {
        let end = time::Instant::now() + super::LONG;
        loop {
            if let Some(status) = self.ended() {
                return status;
            }
            assert!(time::Instant::now() < end, "the process did not end: {}", self.told());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
