//! Telling the other daemons what this one has sent, and hearing them.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

use crate::{charging, query, state};

/// How often the hubs tell each other of themselves though nothing has changed, so that each knows who is heard.
const REST: time::Duration = time::Duration::from_millis(250);

/// How often they tell each other of what was used of quotas at most: what the second keeper of an account does not know
/// yet when it takes over is within the permitted excess.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// How often they tell each other everything, for those who have missed a digest or have just started.
const FULL: time::Duration = time::Duration::from_millis(1_000);

/// How often the daemons that place requests, and those that would take over, are told everything, as a report may have
/// been lost.
const REPORTS: time::Duration = time::Duration::from_millis(500);

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
                shared.decide(|core| core.tick(shared.now()));
                shared.follow_rollouts();
                teller.tell(&shared);
            }
        }
    }
    shared.announce(state::DigestKind { last: true, full: true, ..Default::default() });
    Ok(())
}

/// Decides when the others are told.
struct Teller {
    told: tokio::time::Instant,
    told_all: tokio::time::Instant,
    reported: tokio::time::Instant,
}

impl Teller {
    fn new() -> Self {
        let now = tokio::time::Instant::now();
        Self { told: now, told_all: now, reported: now }
    }

    fn tell(&mut self, shared: &state::Shared) {
        self.tell_hubs(shared);
        if self.reported.elapsed() >= REPORTS {
            self.reported = tokio::time::Instant::now();
            shared.decide(|core| core.report_all(shared.now()));
            shared.repeat_crashes();
        }
    }

    fn tell_hubs(&mut self, shared: &state::Shared) {
        let elapsed = self.told.elapsed();
        if elapsed < PAUSE || (elapsed < REST && !shared.take_changed()) {
            return;
        }
        self.told = tokio::time::Instant::now();
        let hubs = shared.core().mesh.hub_peers(shared.now());
        if hubs.is_empty() {
            return;
        }
        let full = self.told_all.elapsed() >= FULL;
        if full {
            self.told_all = self.told;
        }
        let kind = state::DigestKind { full, ..Default::default() };
        let digest = shared.core().own_digest(shared.now(), kind);
        shared.tell(&gateway::Message::Digest(digest), &hubs);
    }
}

fn take_in(shared: &state::Shared, from: std::net::SocketAddr, bytes: &[u8]) {
    match rmp_serde::from_slice(bytes) {
        Ok(gateway::Message::Digest(digest)) => {
            shared.decide(|core| core.digest(shared.now(), from, &digest));
            // Who starts or leaves says so to all; all of them must not answer.
            if !digest.starting && !digest.leaving && shared.core().mesh.is_member(from) {
                shared.compare_crashes(from, digest.quarantine);
                shared.compare_rollouts(from, digest.rollouts);
            }
        }
        Ok(message) if !shared.core().mesh.is_member(from) => {
            shared.core().mesh.hear(from);
            log::debug!("a message from {from}, which is no member, is ignored: {message:?}");
        }
        Ok(gateway::Message::Load(report)) => {
            shared.decide(|core| core.load(shared.now(), from, &report));
            shared.log_rate_limit_changes(&report.service);
        }
        Ok(gateway::Message::Ask(ask)) => {
            shared.decide(|core| core.service(&ask.service).ask_for(shared.now(), from, &ask));
        }
        Ok(gateway::Message::Placed(placed)) => shared.decide(|core| {
            let service = placed.service.clone();
            core.mesh.hear(from);
            core.service(&service).placed(shared.now(), from, placed);
        }),
        Ok(gateway::Message::Charge(charge)) => {
            let number = charge.number;
            let reply = shared.core().charge(shared.now(), &charge);
            shared.set_changed();
            shared.tell(&gateway::Message::Charged { number, reply }, &[from]);
        }
        Ok(gateway::Message::Charged { number, reply }) => {
            shared.core().mesh.hear(from);
            charging::replied(shared, from, number, reply);
        }
        Ok(gateway::Message::Refund { account, cost }) => {
            charging::refunded(shared, &account, cost);
        }
        Ok(gateway::Message::Withdraw { service, number }) => {
            shared.decide(|core| core.service(&service).withdraw(shared.now(), from, number));
        }
        Ok(gateway::Message::Crashes { crashes, asks }) => {
            shared.learn_crashes(from, &crashes, asks);
        }
        Ok(gateway::Message::Hubs { hub_mark }) => {
            shared.core().mesh.note_hub_mark(from, hub_mark);
        }
        Ok(gateway::Message::Rollouts { rollouts, asks }) => {
            shared.learn_rollouts(from, &rollouts, asks);
        }
        Ok(gateway::Message::Query { stamp, roster, hub_mark, quarantine, rollouts }) => {
            shared.compare_crashes(from, quarantine);
            shared.compare_rollouts(from, rollouts);
            shared.core().mesh.note_client(shared.now(), from, hub_mark);
            let reply = shared.core().reply(shared.now(), stamp, roster);
            if let Some(reply) = reply {
                shared.tell(&reply, &[from]);
            }
        }
        Ok(gateway::Message::Reply { stamp, view, answered, changes }) => {
            let mut core = shared.core();
            core.mesh.hear(from);
            core.mesh.note_member_answer(shared.now(), from, answered);
            drop(core);
            // A reply that came too late is of no use: its age is not known.
            let _ = shared.queries.replies.replied(stamp, query::Reply { view, changes });
        }
        Err(error) => log::debug!("{} bytes from {from} are no message: {error}", bytes.len()),
    }
}
