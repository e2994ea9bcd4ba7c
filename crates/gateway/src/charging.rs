//! Charges the cost of a request to its account's quota.

use std::{net, sync::atomic, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::{pending_replies, record, state};

/// How long to wait for a keeper's reply before asking the next keeper. A datagram may be lost, and a small
/// host may be busy for some tens of milliseconds.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A charge for a request, and the daemon that granted it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QuotaReservation {
    account: id::AccountName,
    cost: f64,
    /// The daemon whose bucket was charged; `None` for this daemon.
    keeper: Option<net::SocketAddr>,
}

/// The reason why a request was not charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeError {
    /// The quota is used up.
    QuotaExceeded {
        /// In how many seconds the bucket will hold enough tokens.
        wait: f64,
    },
    /// No keeper of the bucket replied, and the membership entry of this daemon may have lapsed, so that
    /// the other members may be using its share of the quota.
    Unlisted,
}

/// Charges sent to keepers that have not replied yet.
#[derive(Debug, Default)]
pub(crate) struct PendingCharges {
    replies: pending_replies::PendingReplies<gateway::Charge, gateway::ChargeReply>,
    next_number: atomic::AtomicU64,
}

/// Charges `cost` to the account's token bucket.
///
/// Tries the daemons that keep the bucket in order. If none of them replies, charges this daemon's own
/// share of the quota, provided that it is certainly a member.
pub(crate) async fn charge(
    shared: &state::Shared,
    account: &gateway::Account,
    cost: f64,
) -> Result<QuotaReservation, ChargeError> {
    let own = shared.settings.listen.peers;
    let keepers = shared.core().mesh.keepers(&account.name);
    let is_listed = shared.core().mesh.is_listed(shared.now());
    for keeper in keepers {
        if keeper == own && !is_listed {
            continue;
        }
        if keeper == own {
            let part = shared.core().mesh.quota_part(shared.now(), &account.name);
            return charge_local(shared, account, cost, part);
        }
        if !shared.core().mesh.may_answer(shared.now(), keeper) {
            continue;
        }
        match charge_remote(shared, keeper, account, cost).await {
            Some(gateway::ChargeReply::Granted) => {
                return Ok(QuotaReservation {
                    account: account.name.clone(),
                    cost,
                    keeper: Some(keeper),
                });
            }
            Some(gateway::ChargeReply::Refused { wait_ms }) => {
                return Err(ChargeError::QuotaExceeded { wait: f64::from(wait_ms) / 1_000.0 });
            }
            Some(gateway::ChargeReply::Unknown) => {}
            None => shared.suspect_peer(keeper, "does not reply to a charge"),
        }
    }
    if !is_listed {
        return Err(ChargeError::Unlisted);
    }
    shared.metrics.charged_alone();
    let part = shared.core().mesh.equal_part();
    charge_local(shared, account, cost, part)
}

fn charge_local(
    shared: &state::Shared,
    account: &gateway::Account,
    cost: f64,
    part: gateway::QuotaPart,
) -> Result<QuotaReservation, ChargeError> {
    let taken = shared.core().quota.take(shared.now(), account, cost, part);
    taken.map_err(|wait| ChargeError::QuotaExceeded { wait })?;
    shared.set_changed();
    Ok(QuotaReservation { account: account.name.clone(), cost, keeper: None })
}

async fn charge_remote(
    shared: &state::Shared,
    keeper: net::SocketAddr,
    account: &gateway::Account,
    cost: f64,
) -> Option<gateway::ChargeReply> {
    let number = shared.charges.next_number.fetch_add(1, atomic::Ordering::Relaxed);
    let charge = gateway::Charge { number, account: account.name.clone(), cost };
    let reply = shared.charges.replies.register(shared.now(), number, charge.clone());
    shared.send(&gateway::Message::Charge(charge), &[keeper]);
    tokio::time::timeout(REPLY_TIMEOUT, reply).await.ok()?.ok()
}

/// Handles a keeper's reply. Refunds a granted charge if the request has stopped waiting for it.
pub(crate) fn handle_reply(
    shared: &state::Shared,
    from: net::SocketAddr,
    number: u64,
    reply: gateway::ChargeReply,
) {
    let unclaimed = shared.charges.replies.complete(number, reply);
    if let Some((charge, gateway::ChargeReply::Granted)) = unclaimed {
        let message = gateway::Message::Refund { account: charge.account, cost: charge.cost };
        shared.send(&message, &[from]);
    }
}

impl QuotaReservation {
    /// Refunds the charge of a request that was not sent to any endpoint.
    pub(crate) fn refund(self, shared: &state::Shared) {
        let Self { account, cost, keeper } = self;
        match keeper {
            Some(keeper) => {
                shared.send(&gateway::Message::Refund { account, cost }, &[keeper]);
            }
            None => {
                shared.core().quota.give_back(shared.now(), &account, cost);
                shared.set_changed();
            }
        }
    }
}

/// Handles a refund from another daemon of a charge to a bucket of this one.
pub(crate) fn handle_refund(shared: &state::Shared, account: &id::AccountName, cost: f64) {
    if !cost.is_finite() || cost < 0.0 {
        shared.journal.write(&record::Event::MessageIgnored { reason: "a refund below nought" });
        return;
    }
    shared.core().quota.give_back(shared.now(), account, cost);
    shared.set_changed();
}
