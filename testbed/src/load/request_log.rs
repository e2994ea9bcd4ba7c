//! What happened to one request, seen by its caller.

use tokio::time;

use crate::load;

/// Records what a caller saw of one request.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// When the request was due.
    pub due: time::Instant,
    /// When the first token came.
    pub first: Option<time::Instant>,
    /// When the latest token came.
    pub latest: Option<time::Instant>,
    /// The times between chunks, in microseconds for each token.
    pub gaps: Vec<u64>,
    /// How many attempts were made.
    pub attempts: u32,
    /// How many attempts were refused.
    pub refusals: u32,
    /// How the request ended, and when.
    pub ended: Option<(time::Instant, load::Ending)>,
}

impl RequestLog {
    /// Creates the record of a request that is due at `due`.
    pub fn new(due: time::Instant) -> Self {
        Self {
            due,
            first: None,
            latest: None,
            gaps: Vec::new(),
            attempts: 0,
            refusals: 0,
            ended: None,
        }
    }

    /// Takes in that `count` tokens came now.
    pub fn tokens(&mut self, count: usize) {
        let now = time::Instant::now();
        self.first.get_or_insert(now);
        if let Some(before) = self.latest.replace(now) {
            let gap = now.duration_since(before).as_micros() as u64 / count.max(1) as u64;
            self.gaps.extend(std::iter::repeat_n(gap, count));
        }
    }
}
