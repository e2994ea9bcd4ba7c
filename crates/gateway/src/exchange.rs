//! Telling the other daemons what this one has sent, and hearing them.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

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
    socket: sync::Arc<net::UdpSocket>,
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
                take_in(&shared, from, &buffer[..length]);
            }
            _ = tick.tick() => {
                note_silent(&shared);
                if shared.take_changed() || told.elapsed() >= REST {
                    told = tokio::time::Instant::now();
                    tell(&shared, false);
                }
            }
        }
    }
    tell(&shared, true);
    Ok(())
}

fn note_silent(shared: &state::Shared) {
    let news = shared.core().tick(shared.now());
    if news.silent > 0 {
        shared.journal.write(&record::Event::PeerSilent { count: news.silent });
    }
}

fn take_in(shared: &state::Shared, from: std::net::SocketAddr, bytes: &[u8]) {
    match rmp_serde::from_slice(bytes) {
        Ok(gateway::Message::Digest(digest)) => {
            shared.core().digest(shared.now(), from, &digest);
        }
        Ok(gateway::Message::Offer { service, endpoint }) => {
            let now = shared.now();
            let mut core = shared.core();
            if core.mesh.is_member(from) {
                core.accept(now, &service, &endpoint);
            }
            drop(core);
            shared.set_changed();
        }
        Ok(gateway::Message::Ask { stamp }) => {
            let known = shared.core().known(shared.now(), from);
            if let Some(known) = known {
                shared.tell(&gateway::Message::Told { stamp, known }, &[from]);
            }
        }
        Ok(gateway::Message::Told { stamp, known }) => shared.questions.told(stamp, known),
        Err(error) => log::debug!("{} bytes from {from} are no message: {error}", bytes.len()),
    }
}

fn tell(shared: &state::Shared, leaving: bool) {
    let (digest, others) = {
        let mut core = shared.core();
        (core.own_digest(shared.now(), leaving), core.mesh.others())
    };
    shared.tell(&gateway::Message::Digest(digest), &others);
}
