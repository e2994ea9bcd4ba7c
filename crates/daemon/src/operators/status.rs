//! How far resources have come.

use trefoildyke_decide::orders;
use trefoildyke_types::{error, resource};

/// Says how far the live daemons have come, as the members' reports add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The highest root version that every live daemon has reported; 0 if unknown.
    pub in_force: u64,
    /// The root version up to which every planned stop has ended on every live daemon.
    ///
    /// At most `in_force`.
    pub settled: u64,
    /// How many live daemons there are, this one included.
    pub live: u32,
}

/// Says what is known of an order's end.
pub(crate) enum OrderEnd {
    /// It was not asked for, or the order has not ended.
    None,
    /// The order has ended.
    Ended(orders::Outcome),
    /// It cannot be read.
    Unread(error::Error),
}

/// Returns an order with its status.
pub(crate) fn of_order(
    resource: &resource::Resource,
    progress: &Progress,
    end: OrderEnd,
) -> resource::Resource {
    let mut status = status(resource, progress);
    match end {
        OrderEnd::None => {}
        OrderEnd::Ended(orders::Outcome::Done) => status.phase = resource::Phase::Done,
        OrderEnd::Ended(orders::Outcome::Failed(why)) => {
            status.phase = resource::Phase::Failed;
            status.message = why;
        }
        OrderEnd::Unread(error) => {
            status.message = format!("whether the order has ended cannot be read: {error}");
        }
    }
    resource::Resource { status: Some(status), ..resource.clone() }
}

/// Returns the resource with its status.
///
/// Whether an order has ended is not part of it; see [`of_order`].
pub(crate) fn with_status(
    resource: &resource::Resource,
    progress: &Progress,
) -> resource::Resource {
    let status = status(resource, progress);
    resource::Resource { status: Some(status), ..resource.clone() }
}

fn status(resource: &resource::Resource, progress: &Progress) -> resource::Status {
    let version = resource.resource_version;
    let everywhere = progress.in_force >= version;
    let reported = if everywhere { progress.live } else { 0 };
    let phase = match &resource.spec {
        _ if !everywhere => resource::Phase::Accepted,
        resource::Spec::PlannedStop(_) if progress.settled >= version => resource::Phase::Stopped,
        resource::Spec::PlannedStop(_) => resource::Phase::Stopping,
        _ => resource::Phase::InForce,
    };
    let message = if everywhere {
        String::new()
    } else {
        format!("version {version} waits for daemons; {} is in force everywhere", progress.in_force)
    };
    resource::Status { phase, reported, live: progress.live, message }
}
