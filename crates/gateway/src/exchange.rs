//! Telling the other daemons what this one has sent, and hearing them.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

use crate::{query, record, state};

/// How often the others are told though nothing has changed, so that they know that it is heard.
const REST: time::Duration = time::Duration::from_millis(250);

/// How often the daemons of other availability zones are told, in a system that is not small.
const FAR: time::Duration = time::Duration::from_millis(200);

/// How often everything is told, for those who have missed a digest or have just started.
const FULL: time::Duration = time::Duration::from_millis(500);

/// The same for those who are far: most of what daemons send between availability zones is this.
const FAR_FULL: time::Duration = time::Duration::from_millis(2_000);

/// How often the daemons that place requests are told everything, as a report may have been lost.
const REPORTS: time::Duration = time::Duration::from_millis(250);

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
    let kind = state::DigestKind { audience: gateway::Audience::All, full: true, last: true };
    let digest = shared.core().own_digest(shared.now(), kind);
    let others = shared.core().mesh.others();
    shared.tell(&gateway::Message::Digest(digest), &others);
    Ok(())
}

/// Decides who is told when.
struct Teller {
    near: Group,
    far: Group,
    reported: tokio::time::Instant,
}

/// Follows when some of the others were told what.
struct Group {
    audience: gateway::Audience,
    /// How often they are told at most.
    pause: time::Duration,
    /// How often they are told everything.
    full: time::Duration,
    told: tokio::time::Instant,
    told_all: tokio::time::Instant,
    /// Whether they have not been told the latest.
    owed: bool,
}

impl Teller {
    fn new() -> Self {
        Self {
            near: Group::new(gateway::Audience::Near, time::Duration::ZERO, FULL),
            far: Group::new(gateway::Audience::Far, FAR, FAR_FULL),
            reported: tokio::time::Instant::now(),
        }
    }

    fn tell(&mut self, shared: &state::Shared) {
        if shared.take_changed() {
            self.near.owed = true;
            self.far.owed = true;
        }
        self.near.tell(shared, gateway::Mesh::near);
        self.far.tell(shared, gateway::Mesh::far);
        if self.reported.elapsed() >= REPORTS {
            self.reported = tokio::time::Instant::now();
            shared.decide(|core| core.report_all(shared.now()));
        }
    }
}

impl Group {
    fn new(audience: gateway::Audience, pause: time::Duration, full: time::Duration) -> Self {
        let now = tokio::time::Instant::now();
        Self { audience, pause, full, told: now, told_all: now, owed: true }
    }

    fn tell(
        &mut self,
        shared: &state::Shared,
        who: fn(&gateway::Mesh) -> Vec<std::net::SocketAddr>,
    ) {
        if self.told.elapsed() < if self.owed { self.pause } else { REST } {
            return;
        }
        let others = who(&shared.core().mesh);
        if others.is_empty() {
            return;
        }
        let now = tokio::time::Instant::now();
        let full = now.duration_since(self.told_all) >= self.full;
        let kind = state::DigestKind { audience: self.audience, full, last: false };
        let digest = shared.core().own_digest(shared.now(), kind);
        shared.tell(&gateway::Message::Digest(digest), &others);
        self.told = now;
        self.owed = false;
        if full {
            self.told_all = now;
        }
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
            shared.decide(|core| core.service(&service).withdraw(shared.now(), from, number));
        }
        Ok(gateway::Message::Query { stamp, roster }) => {
            let reply = shared.core().reply(shared.now(), stamp, roster);
            if let Some(reply) = reply {
                shared.tell(&reply, &[from]);
            }
        }
        Ok(gateway::Message::Reply { stamp, view, changes }) => {
            shared.queries.replied(stamp, query::Reply { view, changes });
        }
        Err(error) => log::debug!("{} bytes from {from} are no message: {error}", bytes.len()),
    }
}
