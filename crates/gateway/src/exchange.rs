//! Telling the other daemons what this one has sent, and hearing them.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

use crate::{record, state};

/// How often the others are told though nothing has changed, so that they know that it is heard.
const REST: time::Duration = time::Duration::from_millis(250);

/// How often the daemons of other availability zones are told, in a system that is not small.
const FAR: time::Duration = time::Duration::from_millis(200);

/// How often everything is told, for those who have missed a digest or have just started.
const FULL: time::Duration = time::Duration::from_millis(500);

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
    let mut teller = Teller::new();
    loop {
        tokio::select! {
            () = ending.cancelled() => break,
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                take_in(&shared, from, &buffer[..length]);
            }
            _ = tick.tick() => {
                note_silent(&shared);
                teller.tell(&shared);
            }
        }
    }
    let digest = shared.core().own_digest(shared.now(), state::DigestKind::Last);
    let others = shared.core().mesh.others();
    shared.tell(&gateway::Message::Digest(digest), &others);
    Ok(())
}

/// Decides who is told when.
struct Teller {
    /// When those who are near, those who are far, and all with everything were told last.
    near: tokio::time::Instant,
    far: tokio::time::Instant,
    full: tokio::time::Instant,
    /// Whether those who are far have not been told the latest.
    owed: bool,
}

impl Teller {
    fn new() -> Self {
        let now = tokio::time::Instant::now();
        Self { near: now, far: now, full: now, owed: true }
    }

    fn tell(&mut self, shared: &state::Shared) {
        let changed = shared.take_changed();
        self.owed |= changed;
        let to_near = changed || self.near.elapsed() >= REST;
        let to_far = self.far.elapsed() >= if self.owed { FAR } else { REST };
        if !to_near && !to_far {
            return;
        }
        // What changed since the last digest to all is in each full one.
        let is_full = to_far || self.full.elapsed() >= FULL;
        let kind = if is_full { state::DigestKind::Full } else { state::DigestKind::Usual };
        let (digest, mut others) = {
            let mut core = shared.core();
            let others = if to_near { core.mesh.near() } else { vec![] };
            (core.own_digest(shared.now(), kind), others)
        };
        let now = tokio::time::Instant::now();
        if to_near {
            self.near = now;
        }
        if is_full {
            self.full = now;
            shared.decide(|core| core.report_all(shared.now()));
        }
        if to_far {
            others.extend(shared.core().mesh.far());
            self.far = now;
            self.owed = false;
        }
        shared.tell(&gateway::Message::Digest(digest), &others);
    }
}

fn note_silent(shared: &state::Shared) {
    let news = shared.decide(|core| core.tick(shared.now()));
    if news.silent > 0 {
        shared.journal.write(&record::Event::PeerSilent { count: news.silent });
    }
}

fn take_in(shared: &state::Shared, from: std::net::SocketAddr, bytes: &[u8]) {
    match rmp_serde::from_slice(bytes) {
        Ok(gateway::Message::Digest(digest)) => {
            shared.decide(|core| core.digest(shared.now(), from, &digest));
        }
        Ok(message) if !shared.core().mesh.is_member(from) => {
            log::debug!("a message from {from}, which is no member, is ignored: {message:?}");
        }
        Ok(gateway::Message::Load(report)) => {
            shared.decide(|core| core.load(shared.now(), from, &report));
        }
        Ok(gateway::Message::Ask(ask)) => {
            shared.decide(|core| core.service(&ask.service).ask_for(shared.now(), from, &ask));
        }
        Ok(gateway::Message::Placed(placed)) => shared.decide(|core| {
            let service = placed.service.clone();
            core.service(&service).placed(shared.now(), from, placed);
            core.report(shared.now(), &service);
        }),
        Ok(gateway::Message::Withdraw { service, number }) => {
            shared.decide(|core| core.service(&service).withdraw(from, number));
        }
        Ok(gateway::Message::Query { stamp }) => {
            let view = shared.core().store_view(shared.now(), from);
            if let Some(view) = view {
                shared.tell(&gateway::Message::Reply { stamp, view }, &[from]);
            }
        }
        Ok(gateway::Message::Reply { stamp, view }) => shared.queries.replied(stamp, view),
        Err(error) => log::debug!("{} bytes from {from} are no message: {error}", bytes.len()),
    }
}
