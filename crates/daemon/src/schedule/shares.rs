//! Client accounts' shares as the scheduler was told them.

use std::collections;

use trefoildyke_decide::{config, schedule};
use trefoildyke_types::{id, resource};

/// Remembers what the scheduler was told, so that it is told changes only.
#[derive(Default)]
pub(super) struct Shares {
    told: collections::HashMap<id::AccountName, schedule::AccountShare>,
}

impl Shares {
    /// Returns what has changed.
    pub(super) fn take_in(&mut self, snapshot: &config::Snapshot) -> Vec<schedule::AccountShare> {
        let accounts = snapshot.of_kind(resource::Kind::ClientAccount);
        let shares = accounts.filter_map(|resource| share(resource));
        let mut changed = Vec::new();
        for share in shares {
            if self.told.get(&share.account) != Some(&share) {
                self.told.insert(share.account.clone(), share.clone());
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
