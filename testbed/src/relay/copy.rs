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

/// Counts what has passed through a relay.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    pub(crate) bytes: atomic::AtomicU64,
    pub(crate) pieces: atomic::AtomicU64,
}

impl Passed {
    fn count(&self, length: usize) {
        self.bytes.fetch_add(length as u64, atomic::Ordering::Relaxed);
        self.pieces.fetch_add(1, atomic::Ordering::Relaxed);
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
            Ok(length) => {
                time::sleep(now.delay).await;
                to.write_all(&piece[..length]).await?;
                passed.count(length);
            }
            Err(error) => return Err(error),
        }
    }
}
