//! Handing over of the known streams to daemons that become their keepers.
//!
//! The keepers of a stream change when a daemon starts, leaves or is lost. Whoever knows the stream tells the
//! new keepers, so that its version stays known while daemons end one after the other.

use std::{collections, net, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{BegunStream, BegunStreams, Mesh, STREAM_KEEPERS, StreamId};

/// How often a daemon is told, because a datagram may be lost.
const MAX_ROUNDS: u8 = 2;

/// The time between two rounds.
const ROUND_DELAY: time::Duration = time::Duration::from_millis(500);

/// The daemons that have yet to be told of the streams that they keep.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    pending: collections::BTreeMap<net::SocketAddr, Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Timestamp,
    /// The number of rounds left; 1 or more.
    rounds: u8,
}

impl Handover {
    /// Records that a daemon has started or has become a member, so that it lacks what it is to keep.
    pub fn note_joined(&mut self, now: Timestamp, begun: &BegunStreams, joined: net::SocketAddr) {
        if !begun.is_empty() {
            self.pending.insert(joined, Pending { due: now, rounds: MAX_ROUNDS });
        }
    }

    /// Records that daemons are no longer members of `mesh`: those that follow them in the order of the keepers
    /// take their place.
    pub fn note_departed(
        &mut self,
        now: Timestamp,
        begun: &BegunStreams,
        mesh: &Mesh,
        departed: &[net::SocketAddr],
    ) {
        for stream in begun.running(now) {
            if departed.iter().any(|address| mesh.outranks_keepers(stream, *address)) {
                for keeper in mesh.stream_keepers(stream, STREAM_KEEPERS) {
                    self.pending.insert(keeper, Pending { due: now, rounds: MAX_ROUNDS });
                }
            }
        }
    }

    /// Records that this daemon is about to leave `mesh`: the last of the keepers without it takes its place.
    pub fn note_stop(&mut self, now: Timestamp, begun: &BegunStreams, mesh: &Mesh) {
        for stream in begun.running(now) {
            let last = mesh.stream_keepers(stream, STREAM_KEEPERS).pop();
            let last = last.filter(|_| mesh.outranks_keepers(stream, mesh.own()));
            if let Some(keeper) = last {
                self.pending.insert(keeper, Pending { due: now, rounds: 1 });
            }
        }
    }

    /// Returns the next daemon to be told and the streams that it keeps; `None` if none is due.
    pub fn next(
        &mut self,
        now: Timestamp,
        begun: &BegunStreams,
        mesh: &Mesh,
    ) -> Option<(net::SocketAddr, Vec<BegunStream>)> {
        loop {
            let due = self.pending.iter().find(|(_, pending)| pending.due <= now);
            let (keeper, pending) = due.map(|(keeper, pending)| (*keeper, *pending))?;
            self.pending.remove(&keeper);
            let is_kept = |stream: &StreamId| mesh.keeps_stream(*stream, keeper, STREAM_KEEPERS);
            let kept = begun.running(now).filter(is_kept);
            let kept: Vec<_> = kept.filter_map(|stream| begun.report(now, stream)).collect();
            if kept.is_empty() {
                continue;
            }
            if pending.rounds > 1 {
                let (due, rounds) = (now + ROUND_DELAY, pending.rounds - 1);
                self.pending.insert(keeper, Pending { due, rounds });
            }
            return Some((keeper, kept));
        }
    }
}
