//! Taking what a request costs from its account's quota.

use std::{net, sync::atomic, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::{record, replies, state};

/// How long a keeper's reply may take; then the other keeper is asked. A datagram may be lost, and a small host may
/// be busy for some tens of milliseconds.
const REPLY: time::Duration = time::Duration::from_millis(80);

/// What was taken for a request, and where.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Payment {
    account: id::AccountName,
    cost: f64,
    /// The daemon whose bucket it was taken from; `None` for this one.
    keeper: Option<net::SocketAddr>,
}

/// Says why nothing was taken for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeError {
    /// The quota is used up.
    UsedUp {
        /// In how many seconds the bucket will hold enough.
        wait: f64,
    },
    /// No keeper of the bucket replies, and the others may have this daemon's own part.
    Unlisted,
}

/// Questions to keepers that wait for their replies.
#[derive(Debug, Default)]
pub(crate) struct Charges {
    replies: replies::Replies<gateway::Charge, gateway::ChargeReply>,
    numbers: atomic::AtomicU64,
}

/// Takes `cost` from the account's bucket, wherever it is kept; a daemon that reaches none of its keepers takes it from
/// its own part of the quota, if it is sure to be a member.
pub(crate) async fn charge(
    shared: &state::Shared,
    account: &gateway::Account,
    cost: f64,
) -> Result<Payment, ChargeError> {
    let own = shared.settings.listen.peers;
    let keepers = shared.core().mesh.keepers(&account.name);
    let is_listed = shared.core().mesh.is_listed(shared.now());
    for keeper in keepers {
        if keeper == own && !is_listed {
            continue;
        }
        if keeper == own {
            let part = shared.core().mesh.quota_part(shared.now(), &account.name);
            return take_here(shared, account, cost, part);
        }
        if !shared.core().mesh.may_answer(shared.now(), keeper) {
            continue;
        }
        match ask(shared, keeper, account, cost).await {
            Some(gateway::ChargeReply::Granted) => {
                return Ok(Payment { account: account.name.clone(), cost, keeper: Some(keeper) });
            }
            Some(gateway::ChargeReply::Refused { wait_ms }) => {
                return Err(ChargeError::UsedUp { wait: f64::from(wait_ms) / 1_000.0 });
            }
            Some(gateway::ChargeReply::Unknown) => {}
            None => shared.doubt(keeper, "does not reply to a charge"),
        }
    }
    if !is_listed {
        return Err(ChargeError::Unlisted);
    }
    shared.metrics.charged_alone();
    let part = shared.core().mesh.equal_part();
    take_here(shared, account, cost, part)
}

fn take_here(
    shared: &state::Shared,
    account: &gateway::Account,
    cost: f64,
    part: gateway::QuotaPart,
) -> Result<Payment, ChargeError> {
    let taken = shared.core().quota.take(shared.now(), account, cost, part);
    taken.map_err(|wait| ChargeError::UsedUp { wait })?;
    shared.set_changed();
    Ok(Payment { account: account.name.clone(), cost, keeper: None })
}

async fn ask(
    shared: &state::Shared,
    keeper: net::SocketAddr,
    account: &gateway::Account,
    cost: f64,
) -> Option<gateway::ChargeReply> {
    let number = shared.charges.numbers.fetch_add(1, atomic::Ordering::Relaxed);
    let charge = gateway::Charge { number, account: account.name.clone(), cost };
    let reply = shared.charges.replies.expect(shared.now(), number, charge.clone());
    shared.tell(&gateway::Message::Charge(charge), &[keeper]);
    tokio::time::timeout(REPLY, reply).await.ok()?.ok()
}

/// Takes in a keeper's reply; what it has given to a request that does not wait any more goes back to it.
pub(crate) fn replied(
    shared: &state::Shared,
    from: net::SocketAddr,
    number: u64,
    reply: gateway::ChargeReply,
) {
    let unclaimed = shared.charges.replies.replied(number, reply);
    if let Some((charge, gateway::ChargeReply::Granted)) = unclaimed {
        let message = gateway::Message::Refund { account: charge.account, cost: charge.cost };
        shared.tell(&message, &[from]);
    }
}

impl Payment {
    /// Gives back what was taken: the request was sent nowhere.
    pub(crate) fn refund(self, shared: &state::Shared) {
        let Self { account, cost, keeper } = self;
        match keeper {
            Some(keeper) => {
                shared.tell(&gateway::Message::Refund { account, cost }, &[keeper]);
            }
            None => {
                shared.core().quota.give_back(shared.now(), &account, cost);
                shared.set_changed();
            }
        }
    }
}

/// Takes in that another daemon gives back what it took here.
pub(crate) fn refunded(shared: &state::Shared, account: &id::AccountName, cost: f64) {
    if !cost.is_finite() || cost < 0.0 {
        shared.journal.write(&record::Event::MessageIgnored { reason: "a refund below nought" });
        return;
    }
    shared.core().quota.give_back(shared.now(), account, cost);
    shared.set_changed();
}
