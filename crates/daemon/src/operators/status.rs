//! The status of resources, derived from the progress of the daemons.

use trefoildyke_decide::orders;
use trefoildyke_types::{error, resource};

/// The progress of all live daemons, aggregated from the members' reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The highest root version that every live daemon has reported; 0 if unknown.
    pub in_force: u64,
    /// The root version up to which every planned stop has ended on every live daemon; at most `in_force`.
    pub settled: u64,
    /// The number of live daemons, including this one.
    pub live: u32,
}

/// Whether and how an order has ended, as far as it can be read.
pub(crate) enum OrderEnd {
    /// The order has not ended.
    Open,
    /// The order has ended with this outcome.
    Ended(orders::Outcome),
    /// The outcome cannot be read because of this error.
    Unreadable(error::Error),
}

/// Returns an order with its status, including its outcome.
pub(crate) fn order_with_status(
    resource: &resource::Resource,
    progress: &Progress,
    end: OrderEnd,
) -> resource::Resource {
    let mut status = status(resource, progress);
    match end {
        OrderEnd::Open => {}
        OrderEnd::Ended(orders::Outcome::Done) => status.phase = resource::Phase::Done,
        OrderEnd::Ended(orders::Outcome::Failed(reason)) => {
            status.phase = resource::Phase::Failed;
            status.message = reason;
        }
        OrderEnd::Unreadable(error) => {
            status.message = format!("whether the order has ended cannot be read: {error}");
        }
    }
    resource::Resource { status: Some(status), ..resource.clone() }
}

/// Returns a resource with its status.
///
/// The status of an order does not include its outcome; see [`order_with_status`].
pub(crate) fn with_status(
    resource: &resource::Resource,
    progress: &Progress,
) -> resource::Resource {
    let status = status(resource, progress);
    resource::Resource { status: Some(status), ..resource.clone() }
}

fn status(resource: &resource::Resource, progress: &Progress) -> resource::Status {
    let version = resource.resource_version;
    let is_everywhere = progress.in_force >= version;
    let reported = if is_everywhere { progress.live } else { 0 };
    let phase = match &resource.spec {
        _ if !is_everywhere => resource::Phase::Accepted,
        resource::Spec::PlannedStop(_) if progress.settled >= version => resource::Phase::Stopped,
        resource::Spec::PlannedStop(_) => resource::Phase::Stopping,
        _ => resource::Phase::InForce,
    };
    let message = if is_everywhere {
        String::new()
    } else {
        format!("version {version} waits for daemons; {} is in force everywhere", progress.in_force)
    };
    resource::Status { phase, reported, live: progress.live, message }
}
