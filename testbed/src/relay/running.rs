//! Starts, switches and stops a relay.

use std::{io, net, sync, sync::atomic, time};

use tokio::{net as tokio_net, sync::watch, task};
use tokio_util::sync::CancellationToken;

use crate::relay::{Direction, Flow, copy};

/// Holds a relay that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Running {
    address: net::SocketAddr,
    flow: watch::Sender<Flow>,
    /// The number of the next connection.
    next: sync::Arc<atomic::AtomicU64>,
    passed: sync::Arc<copy::Passed>,
    stop: CancellationToken,
    accepting: task::JoinHandle<()>,
}

/// Starts a relay to `target` on a free port of the loopback address.
///
/// Must be called within a tokio runtime.
///
/// # Errors
///
/// Whatever keeps it from listening.
pub async fn serve(target: net::SocketAddr) -> io::Result<Running> {
    let relay = serve_later().await?;
    relay.set_target(target);
    Ok(relay)
}

/// Starts a relay whose target is not known yet, as [`serve`] does.
///
/// # Errors
///
/// Whatever keeps it from listening.
pub async fn serve_later() -> io::Result<Running> {
    let listener = tokio_net::TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let (flow, watching) = watch::channel(Flow::default());
    let next = sync::Arc::new(atomic::AtomicU64::new(0));
    let passed = sync::Arc::new(copy::Passed::default());
    let stop = CancellationToken::new();
    let acceptor = Acceptor {
        listener,
        flow: watching,
        next: sync::Arc::clone(&next),
        passed: sync::Arc::clone(&passed),
        stop: stop.clone(),
    };
    let accepting = tokio::spawn(acceptor.run());
    Ok(Running { address, flow, next, passed, stop, accepting })
}

impl Running {
    /// Returns the address that the relay listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.flow.send_modify(|flow| flow.target = Some(target));
    }

    /// Silences for good every connection that is open now, both ways; new ones work.
    pub fn silence_open(&self) {
        self.silence_open_one_way(Direction::Up);
        self.silence_open_one_way(Direction::Down);
    }

    /// Silences for good every connection that is open now, in one direction; new ones work.
    pub fn silence_open_one_way(&self, direction: Direction) {
        self.set_silent_below(direction, self.connections());
    }

    /// Silences every connection in one direction, new ones too, until [`Running::restore`].
    pub fn silence_all(&self, direction: Direction) {
        self.set_silent_below(direction, u64::MAX);
    }

    /// Closes every connection that is open now; new ones work.
    pub fn cut_open(&self) {
        let below = self.connections();
        self.flow.send_modify(|flow| flow.cut_below = below);
    }

    /// Closes every connection, and new ones at once, until [`Running::restore`].
    pub fn refuse_all(&self) {
        self.cut_open();
        self.flow.send_modify(|flow| flow.refuse = true);
    }

    /// Delays what passes.
    pub fn delay(&self, delay: time::Duration) {
        self.flow.send_modify(|flow| flow.delay = delay);
    }

    /// Holds up what passes, as lost packets do: on each connection, data is passed on once per `interval`.
    pub fn hold(&self, interval: time::Duration) {
        self.flow.send_modify(|flow| flow.hold = Some(interval));
    }

    /// Limits the bytes that pass per second in each direction, over all connections, as a slow link does.
    pub fn limit_rate(&self, bytes_per_s: u64) {
        self.flow.send_modify(|flow| flow.rate = Some(bytes_per_s));
    }

    /// Lets everything pass again at the limited rate, except on connections that are closed or have lost
    /// data.
    pub fn restore(&self) {
        self.flow.send_modify(|flow| {
            *flow = Flow {
                cut_below: flow.cut_below,
                target: flow.target,
                rate: flow.rate,
                ..Flow::default()
            };
        });
    }

    /// Returns how many connections there have been.
    pub fn connections(&self) -> u64 {
        self.next.load(atomic::Ordering::SeqCst)
    }

    /// Returns how many bytes have passed, both ways.
    pub fn bytes(&self) -> u64 {
        self.passed.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns how many pieces of data have passed, both ways.
    pub fn pieces(&self) -> u64 {
        self.passed.pieces.load(atomic::Ordering::Relaxed)
    }

    /// Stops at once and joins every task.
    pub async fn stop(self) {
        self.stop.cancel();
        // A panic of the accept loop has been reported by the panic hook.
        let _ = self.accepting.await;
    }

    fn set_silent_below(&self, direction: Direction, below: u64) {
        self.flow.send_modify(|flow| match direction {
            Direction::Up => flow.up_silent_below = below,
            Direction::Down => flow.down_silent_below = below,
        });
    }
}

struct Acceptor {
    listener: tokio_net::TcpListener,
    flow: watch::Receiver<Flow>,
    next: sync::Arc<atomic::AtomicU64>,
    passed: sync::Arc<copy::Passed>,
    stop: CancellationToken,
}

impl Acceptor {
    async fn run(self) {
        let mut connections = task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => break,
                Some(_) = connections.join_next() => continue,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((near, _)) = accepted else { continue };
            let flow = *self.flow.borrow();
            if let Some(target) = flow.target.filter(|_| !flow.refuse) {
                let number = self.next.fetch_add(1, atomic::Ordering::SeqCst);
                connections.spawn(copy::run(
                    near,
                    target,
                    number,
                    self.flow.clone(),
                    sync::Arc::clone(&self.passed),
                ));
            }
        }
        connections.shutdown().await;
    }
}
