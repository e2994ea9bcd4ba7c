//! What was sent, answered and run.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().expect("the record").push((at, line.into()));
    }

    pub fn lines(&self) -> Vec<(f64, String)> {
        self.lines.lock().expect("the record").clone()
    }

    pub fn save(&self, path: &str) {
        let Ok(mut file) = std::fs::File::create(path) else { return };
        for (at, line) in self.lines() {
            let _ = writeln!(file, "{at:9.3} s  {line}");
        }
    }
}
