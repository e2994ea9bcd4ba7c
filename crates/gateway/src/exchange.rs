//! Telling the other daemons what this one has sent, and hearing them.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;

use crate::{record, state};

/// How often the others are told though nothing has changed, so that they know that it is heard.
const REST: time::Duration = time::Duration::from_millis(250);

/// The largest datagram that is read, in bytes.
const LARGEST: usize = 16 << 10;

/// Exchanges digests until `ending` is cancelled.
///
/// # Errors
///
/// Fails if the socket cannot be read or written at all.
pub(crate) async fn run(
    shared: sync::Arc<state::Shared>,
    socket: net::UdpSocket,
    ending: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut buffer = vec![0; LARGEST];
    let mut tick = tokio::time::interval(shared.settings.exchange);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut told = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = ending.cancelled() => break,
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                if let Ok(digest) = rmp_serde::from_slice(&buffer[..length]) {
                    shared.core().digest(shared.now(), from, &digest);
                } else {
                    log::debug!("{length} bytes from {from} are no digest");
                }
            }
            _ = tick.tick() => {
                note_silent(&shared);
                if shared.take_changed() || told.elapsed() >= REST {
                    told = tokio::time::Instant::now();
                    tell(&shared, &socket, false).await;
                }
            }
        }
    }
    tell(&shared, &socket, true).await;
    Ok(())
}

fn note_silent(shared: &state::Shared) {
    let news = shared.core().tick(shared.now());
    if news.silent > 0 {
        shared.journal.write(&record::Event::PeerSilent { count: news.silent });
    }
}

async fn tell(shared: &state::Shared, socket: &net::UdpSocket, leaving: bool) {
    let (digest, others) = {
        let mut core = shared.core();
        (core.own_digest(leaving), core.mesh.others())
    };
    if others.is_empty() {
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(&digest) else { return };
    for other in others {
        // A datagram that is lost is made up for by the next.
        let _ = socket.send_to(&bytes, other).await;
    }
}
