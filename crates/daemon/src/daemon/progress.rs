//! How far the configuration and the planned stops have come.

use std::time;

use tokio::sync::watch;
use trefoildyke_decide::{members as decide, stops};
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;

use crate::{config, coordinate, daemon::drained, members, operators};

/// How often this daemon looks whether planned stops have ended here.
const LOOK: time::Duration = time::Duration::from_millis(200);

/// What this daemon's own progress follows from.
pub(super) struct Own {
    pub(super) host: id::HostName,
    pub(super) config: config::Handle,
    pub(super) coordinate: coordinate::Handle,
    pub(super) gate: kernel::Gate,
    pub(super) drained: drained::Drained,
}

impl Own {
    /// Tells the membership how far this daemon has come; runs for good.
    pub(super) async fn tell(self, versions: watch::Sender<decide::Versions>) {
        let mut snapshots = self.config.subscribe();
        loop {
            let now = self.versions(&snapshots.borrow_and_update());
            versions.send_if_modified(|told| std::mem::replace(told, now) != now);
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    fn versions(&self, snapshot: &trefoildyke_decide::config::Snapshot) -> decide::Versions {
        let is_busy = self.gate.in_progress() > 0;
        let daemon = stops::Daemon { host: &self.host, is_busy };
        let settled = stops::settled(snapshot, daemon, |name| {
            self.coordinate.is_busy(name) || self.drained.is_open(name)
        });
        decide::Versions { config: snapshot.version(), settled }
    }
}

/// Follows the members and keeps what operators are told up to date; runs for good.
///
/// What was reached stays reached when the set of members changes: a daemon that joins takes over
/// the configuration of a member that counted it before it takes work.
pub(super) async fn follow(members: members::Handle, progress: watch::Sender<operators::Progress>) {
    let mut in_force = members.in_force();
    let mut views = members.subscribe();
    let mut versions = decide::Versions::default();
    loop {
        versions = versions.highest(in_force.borrow_and_update().versions);
        let live = views.borrow_and_update().alive().count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let (in_force_everywhere, settled) = (versions.config, versions.settled);
        let now = operators::Progress { in_force: in_force_everywhere, settled, live };
        progress.send_if_modified(|told| std::mem::replace(told, now) != now);
        tokio::select! {
            changed = in_force.changed() => if changed.is_err() { return },
            changed = views.changed() => if changed.is_err() { return },
        }
    }
}
