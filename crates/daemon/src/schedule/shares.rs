//! The shares of client accounts that a scheduler knows.

use std::collections;

use trefoildyke_decide::{config, schedule};
use trefoildyke_types::{id, resource};

/// The shares that were sent to the scheduler; only changes are sent again.
#[derive(Default)]
pub(super) struct Shares {
    sent: collections::HashMap<id::AccountName, schedule::AccountShare>,
}

impl Shares {
    /// Returns the shares that differ from those sent before, and records them as sent.
    pub(super) fn update(&mut self, snapshot: &config::Snapshot) -> Vec<schedule::AccountShare> {
        let accounts = snapshot.of_kind(resource::Kind::ClientAccount);
        let shares = accounts.filter_map(|resource| share(resource));
        let mut changed = Vec::new();
        for share in shares {
            if self.sent.get(&share.account) != Some(&share) {
                self.sent.insert(share.account.clone(), share.clone());
                changed.push(share);
            }
        }
        changed
    }
}

fn share(resource: &resource::Resource) -> Option<schedule::AccountShare> {
    let resource::Spec::ClientAccount(spec) = &resource.spec else { return None };
    Some(schedule::AccountShare {
        account: resource.name.as_str().into(),
        weight: spec.weight,
        max_waiting: spec.max_waiting,
    })
}
