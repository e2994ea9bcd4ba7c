//! Admission: the rules by which a daemon accepts or refuses a request.

use trefoildyke_types::{id, request};

use crate::coordinate::{
    Admission, Arrival, Conditions, OutagePolicy, Reason, Recording, ServiceState,
};

/// Creates the identifier of a request that arrived without one.
///
/// With [`Recording::Unrecorded`] the identifier is marked as unrecorded, and no other daemon ever
/// dispatches the request.
pub fn issue(uuid: uuid::Uuid, own: id::Incarnation, recording: Recording) -> id::RequestId {
    match recording {
        Recording::Required => id::RequestId::issued(uuid, own),
        Recording::Unrecorded => id::RequestId::unrecorded(uuid, own),
    }
}

/// Decides how a daemon accepts a request.
///
/// # Errors
///
/// Returns the refusal if the daemon does not accept the request. The refusal is `not_run` only for a
/// first attempt; a request that may be a retry is refused with `outcome_unknown`.
pub fn admit(arrival: &Arrival, now: &Conditions) -> Result<Admission, request::Refusal> {
    let Some(id) = arrival.id else {
        return admit_without_id(arrival, now);
    };
    if let Some(local) = now.local {
        return match local.fingerprint == arrival.fingerprint {
            true => Ok(Admission::Attach),
            false => Err(Reason::IdReused.invalid()),
        };
    }
    check_age(id, now)?;
    match id.issuer() {
        Some(issuer) => admit_issued(id, issuer, now),
        None => admit_caller_id(id, arrival, now),
    }
}

fn admit_without_id(arrival: &Arrival, now: &Conditions) -> Result<Admission, request::Refusal> {
    if !arrival.idempotent {
        return Err(Reason::IdRequired.invalid());
    }
    check_accepting(now).map_err(Reason::not_run)?;
    match now.service {
        ServiceState::Up => Ok(Admission::Issue(Recording::Required)),
        ServiceState::Down { .. } => Ok(Admission::Issue(Recording::Unrecorded)),
    }
}

/// Refuses an identifier whose creation time is in the future or older than the records' retention.
fn check_age(id: id::RequestId, now: &Conditions) -> Result<(), request::Refusal> {
    let created = id.created_ms();
    if created > now.unix_ms.saturating_add(now.skew_ms) {
        return Err(Reason::IdFromFuture.invalid());
    }
    if now.unix_ms.saturating_sub(created) > now.retention_ms {
        return Err(Reason::IdTooOld.unknown());
    }
    Ok(())
}

fn check_accepting(now: &Conditions) -> Result<(), Reason> {
    if now.isolated {
        return Err(Reason::Isolated);
    }
    if now.stopping {
        return Err(Reason::Stopping);
    }
    Ok(())
}

/// Decides on an identifier that a daemon issued, which is always a retry: the issuer has already
/// started the first attempt.
fn admit_issued(
    id: id::RequestId,
    issuer: id::Incarnation,
    now: &Conditions,
) -> Result<Admission, request::Refusal> {
    check_accepting(now).map_err(Reason::unknown)?;
    let own = issuer == now.own;
    match now.service {
        ServiceState::Up if !id.is_unrecorded() => Ok(Admission::LookUp),
        _ if own => Err(Reason::NoProof.unknown()),
        _ => Ok(Admission::Follow(issuer)),
    }
}

fn admit_caller_id(
    id: id::RequestId,
    arrival: &Arrival,
    now: &Conditions,
) -> Result<Admission, request::Refusal> {
    let retry = arrival.is_retry();
    let refuse = if retry { Reason::unknown } else { Reason::not_run };
    check_accepting(now).map_err(refuse)?;
    let ServiceState::Down { since_ms } = now.service else {
        return Ok(if retry { Admission::LookUp } else { Admission::Start(Recording::Required) });
    };
    if retry || id.created_ms() < since_ms {
        return Err(Reason::NoProof.unknown());
    }
    match now.policy {
        OutagePolicy::FirstAttempts if arrival.idempotent => {
            Ok(Admission::Start(Recording::Unrecorded))
        }
        _ => Err(Reason::RecordUnavailable.not_run()),
    }
}
