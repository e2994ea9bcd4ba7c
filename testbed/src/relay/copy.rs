//! Copies the data of one connection.

use std::{io, net, sync, sync::atomic};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
    net::tcp,
    sync::watch,
    time,
};

use crate::relay::{Direction, Flow};

const PIECE: usize = 16 << 10;

/// Counts what has passed through a relay, and paces what passes at a limited rate.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    pub(crate) bytes: atomic::AtomicU64,
    pub(crate) pieces: atomic::AtomicU64,
    up_busy: sync::Mutex<Option<time::Instant>>,
    down_busy: sync::Mutex<Option<time::Instant>>,
}

impl Passed {
    fn count(&self, length: usize) {
        self.bytes.fetch_add(length as u64, atomic::Ordering::Relaxed);
        self.pieces.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Returns when the last byte of a piece has passed at `rate` bytes per second, behind all earlier pieces
    /// in the same direction.
    fn end_of_transfer(&self, direction: Direction, length: usize, rate: u64) -> time::Instant {
        let busy_until = match direction {
            Direction::Up => &self.up_busy,
            Direction::Down => &self.down_busy,
        };
        let mut busy_until = busy_until.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = time::Instant::now();
        let start = busy_until.map_or(now, |busy_until| busy_until.max(now));
        let end = start + time::Duration::from_secs_f64(length as f64 / rate as f64);
        *busy_until = Some(end);
        end
    }
}

/// Passes data between `near` and a new connection to `target` until either side closes.
///
/// The end of one direction ends the other: a half-closed connection is not passed on.
pub(crate) async fn run(
    near: tokio_net::TcpStream,
    target: net::SocketAddr,
    number: u64,
    flow: watch::Receiver<Flow>,
    passed: sync::Arc<Passed>,
) {
    let Ok(far) = tokio_net::TcpStream::connect(target).await else { return };
    // Without this the relay itself would hold small pieces back.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = flow.clone();
    tokio::select! {
        _ = pass(near_read, far_write, number, (Direction::Up, &passed), &flow) => {}
        _ = pass(far_read, near_write, number, (Direction::Down, &passed), &flow) => {}
        _ = cut.wait_for(|flow| number < flow.cut_below) => {}
    }
}

/// Passes data one way; a silent direction swallows it, its end included.
///
/// A direction that has swallowed data stays silent, since what came later would make no sense.
async fn pass(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    number: u64,
    (direction, passed): (Direction, &Passed),
    flow: &watch::Receiver<Flow>,
) -> io::Result<()> {
    let opened = time::Instant::now();
    let mut piece = vec![0; PIECE];
    let mut silent = false;
    loop {
        let end = from.read(&mut piece).await;
        let now = *flow.borrow();
        silent |= now.is_silent(number, direction);
        match end {
            Ok(0) | Err(_) if silent => return std::future::pending().await,
            Ok(0) => return Ok(()),
            Ok(_) if silent => {}
            Ok(mut length) => {
                if let Some(rate) = now.rate {
                    time::sleep_until(passed.end_of_transfer(direction, length, rate)).await;
                }
                time::sleep(now.delay).await;
                if let Some(hold) = now.hold {
                    time::sleep(until_next_multiple(opened.elapsed(), hold)).await;
                    // Passes on all data that has arrived meanwhile. The next read reports an error.
                    length += from.try_read(&mut piece[length..]).unwrap_or(0);
                }
                to.write_all(&piece[..length]).await?;
                passed.count(length);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Returns the time from `elapsed` to the next multiple of `interval`.
fn until_next_multiple(elapsed: time::Duration, interval: time::Duration) -> time::Duration {
    let past = elapsed.as_micros() % interval.as_micros().max(1);
    interval.saturating_sub(time::Duration::from_micros(past as u64))
}
