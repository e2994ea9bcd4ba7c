//! The progress of the configuration and of the planned stops.

use std::time;

use tokio::sync::watch;
use trefoildyke_decide::{members as decide, stops};
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;

use crate::{config, coordinate, daemon::drain, members, operators};

/// How often to check whether planned stops have ended on this daemon.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The inputs from which this daemon's own progress is computed.
pub(super) struct LocalProgress {
    pub(super) host: id::HostName,
    pub(super) config: config::Handle,
    pub(super) coordinate: coordinate::Handle,
    pub(super) gate: kernel::Gate,
    pub(super) drain: drain::DrainPoller,
}

impl LocalProgress {
    /// Publishes the versions that this daemon has reached, for the membership.
    ///
    /// Runs until the configuration service ends.
    pub(super) async fn publish(self, versions: watch::Sender<decide::Versions>) {
        let mut snapshots = self.config.subscribe();
        loop {
            let current = self.versions(&snapshots.borrow_and_update());
            versions.send_if_modified(|published| std::mem::replace(published, current) != current);
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                changed = snapshots.changed() => if changed.is_err() { return },
            }
        }
    }

    fn versions(&self, snapshot: &trefoildyke_decide::config::Snapshot) -> decide::Versions {
        let is_busy = self.gate.in_progress() > 0;
        let daemon = stops::Daemon { host: &self.host, is_busy };
        let settled = stops::settled_version(snapshot, daemon, |name| {
            self.coordinate.is_busy(name) || self.drain.is_busy(name)
        });
        decide::Versions { config: snapshot.version(), settled }
    }
}

/// Publishes the progress of all members, for operators; runs until the membership service ends.
///
/// A version that was reached stays reached when the set of members changes, because a daemon that
/// joins takes over the configuration of a member that counted the version before it takes work.
pub(super) async fn publish_all(
    members: members::Handle,
    progress: watch::Sender<operators::Progress>,
) {
    let mut in_force = members.in_force();
    let mut views = members.subscribe();
    let mut versions = decide::Versions::default();
    loop {
        versions = versions.max(in_force.borrow_and_update().versions);
        let live = views.borrow_and_update().alive().count();
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let (in_force_everywhere, settled) = (versions.config, versions.settled);
        let current = operators::Progress { in_force: in_force_everywhere, settled, live };
        progress.send_if_modified(|published| std::mem::replace(published, current) != current);
        tokio::select! {
            changed = in_force.changed() => if changed.is_err() { return },
            changed = views.changed() => if changed.is_err() { return },
        }
    }
}
