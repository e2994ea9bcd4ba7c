//! Gossip between daemons: sends this daemon's state to the others and handles their messages.

use std::{sync, time};

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

use crate::{charging, query, state};

/// How often hubs send each other a digest when nothing has changed, so that each knows which hubs are
/// reachable.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The shortest interval between two digests with quota usage. When the second keeper of an account's bucket
/// takes over, it may lack the usage of this interval, which is within the permitted excess.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How often hubs send each other a full digest, for those that missed a digest or have just started.
const FULL_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// How often the daemons that place requests, and those that would take over from them, get a full load
/// report, because a report may have been lost.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The shortest interval between two decisions on the parts of prompts that are quarantined.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The size of the receive buffer for datagrams, in bytes.
const MAX_DATAGRAM: usize = 16 << 10;

/// Sends and receives gossip until `shutdown` is cancelled.
///
/// # Errors
///
/// Never fails at present: errors of single datagrams are ignored.
pub(crate) async fn run(
    shared: sync::Arc<state::Shared>,
    socket: sync::Arc<net::UdpSocket>,
    shutdown: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut tick = tokio::time::interval(shared.settings.gossip_interval);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut schedule = SendSchedule::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                handle_message(&shared, from, &buffer[..length]);
            }
            _ = tick.tick() => {
                shared.update(|core| core.tick(shared.now()));
                shared.stop_bad_rollouts();
                shared.record_probes();
                shared.hand_over_streams();
                schedule.send_due(&shared);
            }
        }
    }
    shared.announce(state::DigestKind { last: true, full: true, ..Default::default() });
    Ok(())
}

/// Decides when digests and reports are due.
struct SendSchedule {
    last_digest: tokio::time::Instant,
    last_full: tokio::time::Instant,
    last_report: tokio::time::Instant,
    last_decision: tokio::time::Instant,
}

impl SendSchedule {
    fn new() -> Self {
        let now = tokio::time::Instant::now();
        Self { last_digest: now, last_full: now, last_report: now, last_decision: now }
    }

    fn send_due(&mut self, shared: &state::Shared) {
        self.decide(shared);
        self.send_digest(shared);
        if self.last_report.elapsed() >= REPORT_INTERVAL {
            self.last_report = tokio::time::Instant::now();
            shared.update(|core| core.report_all(shared.now()));
            shared.resend_crashes();
        }
    }

    fn decide(&mut self, shared: &state::Shared) {
        let elapsed = self.last_decision.elapsed();
        let is_due = elapsed >= DECISION_INTERVAL && shared.has_part_reports();
        if is_due || elapsed >= REPORT_INTERVAL {
            self.last_decision = tokio::time::Instant::now();
            shared.decide_parts();
        }
    }

    fn send_digest(&mut self, shared: &state::Shared) {
        let elapsed = self.last_digest.elapsed();
        if elapsed < MIN_INTERVAL || (elapsed < IDLE_INTERVAL && !shared.take_changed()) {
            return;
        }
        self.last_digest = tokio::time::Instant::now();
        let hubs = shared.core().mesh.hub_peers(shared.now());
        if hubs.is_empty() {
            return;
        }
        let full = self.last_full.elapsed() >= FULL_INTERVAL;
        if full {
            self.last_full = self.last_digest;
        }
        let kind = state::DigestKind { full, ..Default::default() };
        let digest = shared.core().own_digest(shared.now(), kind);
        shared.send(&gateway::Message::Digest(digest), &hubs);
    }
}

fn handle_message(shared: &state::Shared, from: std::net::SocketAddr, bytes: &[u8]) {
    match rmp_serde::from_slice(bytes) {
        Ok(gateway::Message::Digest(digest)) => {
            shared.update(|core| core.handle_digest(shared.now(), from, &digest));
            // The announcement of a start or a stop goes to all daemons; they must not all reply.
            if !digest.starting && !digest.leaving && shared.core().mesh.is_member(from) {
                shared.sync_crashes(from, digest.quarantine);
                shared.sync_rollouts(from, digest.rollouts);
            }
        }
        Ok(message) if !shared.core().mesh.is_member(from) => {
            shared.core().mesh.record_reply(from);
            log::debug!("a message from {from}, which is no member, is ignored: {message:?}");
        }
        Ok(gateway::Message::Load(report)) => {
            shared.update(|core| core.handle_load(shared.now(), from, &report));
            shared.log_rate_limit_changes(&report.service);
        }
        Ok(gateway::Message::Ask(ask)) => {
            shared.update(|core| core.service(&ask.service).handle_ask(shared.now(), from, &ask));
        }
        Ok(gateway::Message::Placed(placed)) => shared.update(|core| {
            let service = placed.service.clone();
            core.mesh.record_reply(from);
            core.service(&service).handle_placed(shared.now(), from, placed);
        }),
        Ok(gateway::Message::Charge(charge)) => {
            let number = charge.number;
            let reply = shared.core().handle_charge(shared.now(), &charge);
            shared.set_changed();
            shared.send(&gateway::Message::Charged { number, reply }, &[from]);
        }
        Ok(gateway::Message::Charged { number, reply }) => {
            shared.core().mesh.record_reply(from);
            charging::handle_reply(shared, from, number, reply);
        }
        Ok(gateway::Message::Refund { account, cost }) => {
            charging::handle_refund(shared, &account, cost);
        }
        Ok(gateway::Message::Withdraw { service, number }) => {
            shared.update(|core| core.service(&service).withdraw(shared.now(), from, number));
        }
        Ok(gateway::Message::Crashes { crashes, asks }) => {
            shared.handle_crashes(from, &crashes, asks);
        }
        Ok(gateway::Message::Parts { crashes, survivals, quarantined, asks }) => {
            shared.handle_parts(from, &crashes, &survivals, quarantined.as_deref(), asks);
        }
        Ok(gateway::Message::Hubs { hub_mark }) => {
            shared.core().mesh.note_hub_hash(from, hub_mark);
        }
        Ok(gateway::Message::Began { streams }) => shared.handle_began(&streams),
        Ok(gateway::Message::AskOrigin { number, service, stream }) => {
            shared.handle_ask_origin(from, number, &service, stream);
        }
        Ok(gateway::Message::Origin { number, origin }) => {
            shared.core().mesh.record_reply(from);
            shared.handle_origin(number, origin);
        }
        Ok(gateway::Message::Rollouts { rollouts, asks }) => {
            shared.handle_rollouts(from, &rollouts, asks);
        }
        Ok(gateway::Message::Query { stamp, roster, hub_mark, quarantine, rollouts }) => {
            shared.sync_crashes(from, quarantine);
            shared.sync_rollouts(from, rollouts);
            shared.core().mesh.note_client(shared.now(), from, hub_mark);
            let reply = shared.core().store_reply(shared.now(), stamp, roster);
            if let Some(reply) = reply {
                shared.send(&reply, &[from]);
            }
        }
        Ok(gateway::Message::Reply { stamp, view, answered, watches, changes }) => {
            let mut core = shared.core();
            core.mesh.record_reply(from);
            core.mesh.note_member_answer(shared.now(), from, answered);
            drop(core);
            let reply = query::Reply { view, is_answered: answered, watches, changes };
            // A reply to a query that has timed out is discarded, because its age is unknown.
            let _ = shared.queries.replies.complete(stamp, reply);
        }
        Err(error) => log::debug!("{} bytes from {from} are no message: {error}", bytes.len()),
    }
}
