//! The log of a gateway, in memory.

use std::{io, sync};

/// What a gateway has logged. Clones share it.
#[derive(Clone, Default)]
pub(super) struct Log {
    bytes: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl Log {
    /// Returns the events that were logged so far.
    pub(super) fn events(&self) -> Vec<serde_json::Value> {
        let bytes = self.bytes.lock().unwrap();
        let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_slice(line).unwrap()).collect()
    }
}

impl io::Write for Log {
    /// Keeps the bytes, and prints them for the output of a failed test.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::stdout().write_all(bytes)?;
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}
