//! Processes of a test.

use std::{
    fs,
    io::{self, BufRead as _},
    path, process, time,
};

/// A process that prints its addresses; it is killed when dropped.
pub(crate) struct Process {
    child: process::Child,
    /// The first line of the standard output.
    pub(crate) first_line: String,
    /// The file that holds the standard error.
    pub(crate) log: path::PathBuf,
}

impl Process {
    /// Starts a daemon.
    pub(crate) fn daemon(arguments: &[&str], log: path::PathBuf) -> Self {
        Self::start(path::Path::new(env!("CARGO_BIN_EXE_trefoildyked")), arguments, log)
    }

    /// Starts a testbed process.
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
        let mut first_line = String::new();
        io::BufReader::new(child.stdout.take().unwrap()).read_line(&mut first_line).unwrap();
        let process = Self { child, first_line, log };
        assert!(process.first_line.starts_with("listening "), "{}", process.stderr());
        process
    }

    /// Returns what the process has written to standard error.
    pub(crate) fn stderr(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns an address from the first line; `name` is empty if the line has one address without a name.
    pub(crate) fn address(&self, name: &str) -> std::net::SocketAddr {
        let words = self.first_line.split_whitespace().skip(1);
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

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status, or `None` while the process runs.
    pub(crate) fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process has exited.
    pub(crate) async fn wait(&mut self) -> process::ExitStatus {
        let end = time::Instant::now() + super::WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(time::Instant::now() < end, "the process did not exit: {}", self.stderr());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
