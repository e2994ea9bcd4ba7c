//! Checks of callers' requests against the configuration and size limits.

use std::time;

use trefoildyke_decide::config;
use trefoildyke_types::{id, request, resource};

use crate::callers::Submission;

/// The maximum number of tokens in a prompt, and of an answer.
const MAX_TOKENS: u32 = 4_000_000;
/// The maximum number of prefix blocks of a prompt.
const MAX_BLOCKS: usize = 65_536;
/// The longest deadline, in milliseconds (one day).
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// The maximum length of the name of a service's operation, in bytes.
const MAX_OPERATION_BYTES: usize = 128;
/// The approximate number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Checks a request and returns it with its tier and its defaults applied.
///
/// # Errors
///
/// Returns an `invalid` refusal that names the field at fault and the remedy.
pub fn submission(
    snapshot: &config::Snapshot,
    account: &id::AccountName,
    spec: request::RequestSpec,
) -> Result<Submission, request::Refusal> {
    check_target(snapshot, &spec)?;
    check_sizes(&spec)?;
    let tier = tier(snapshot, account, &spec.class)?;
    let deadline_ms = spec.deadline_ms.unwrap_or(tier.deadline_ms);
    Ok(Submission {
        account: account.clone(),
        rank: tier.rank,
        deadline: time::Duration::from_millis(deadline_ms),
        prompt_tokens: spec.prompt_tokens.unwrap_or_else(|| estimate_tokens(&spec.input)),
        spec,
    })
}

fn check_target(
    snapshot: &config::Snapshot,
    spec: &request::RequestSpec,
) -> Result<(), request::Refusal> {
    let Some(pool) = snapshot.pool(&spec.pool) else {
        let remedy = format!("pool: there is no pool `{}`; name one that exists", spec.pool);
        return Err(invalid("no_such_pool", remedy));
    };
    match (&pool.protocol, &spec.target) {
        (resource::PoolProtocol::Engine { model }, request::Target::Model(requested)) => {
            if requested == model {
                return Ok(());
            }
            let remedy =
                format!("target.model: the pool serves `{model}`; name it or another pool");
            Err(invalid("wrong_model", remedy))
        }
        (resource::PoolProtocol::Service {}, request::Target::Service(operation)) => {
            check_operation(operation)
        }
        (resource::PoolProtocol::Engine { .. }, request::Target::Service(_)) => {
            Err(invalid("wrong_target", "target: the pool serves a model; send `target.model`"))
        }
        (resource::PoolProtocol::Service {}, request::Target::Model(_)) => {
            Err(invalid("wrong_target", "target: the pool is a service; send `target.service`"))
        }
    }
}

fn check_operation(operation: &str) -> Result<(), request::Refusal> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if !operation.is_empty()
        && operation.len() <= MAX_OPERATION_BYTES
        && operation.bytes().all(is_allowed)
    {
        return Ok(());
    }
    Err(invalid(
        "bad_operation",
        "target.service: use 1 to 128 letters, digits, `-` and `_` for the operation",
    ))
}

fn check_sizes(spec: &request::RequestSpec) -> Result<(), request::Refusal> {
    if spec.prompt_tokens.is_some_and(|tokens| tokens > MAX_TOKENS) {
        return Err(invalid("too_long", format!("prompt_tokens: send {MAX_TOKENS} or fewer")));
    }
    if spec.max_tokens > MAX_TOKENS {
        return Err(invalid("too_long", format!("max_tokens: ask for {MAX_TOKENS} or fewer")));
    }
    if spec.prefix.len() > MAX_BLOCKS {
        return Err(invalid("too_long", format!("prefix: send {MAX_BLOCKS} blocks or fewer")));
    }
    if spec.deadline_ms.is_some_and(|ms| ms == 0 || ms > MAX_DEADLINE_MS) {
        let remedy = format!("deadline_ms: use 1 to {MAX_DEADLINE_MS} milliseconds");
        return Err(invalid("bad_deadline", remedy));
    }
    if spec.attempt == 0 {
        return Err(invalid("bad_attempt", "attempt: count attempts from 1"));
    }
    if matches!(spec.target, request::Target::Model(_)) && spec.max_tokens == 0 {
        return Err(invalid("no_tokens", "max_tokens: ask a model for at least 1 token"));
    }
    Ok(())
}

fn tier<'a>(
    snapshot: &'a config::Snapshot,
    account: &id::AccountName,
    class: &str,
) -> Result<&'a resource::TierSpec, request::Refusal> {
    let spec = snapshot.account(account);
    let name = spec.and_then(|spec| spec.classes.get(class));
    name.and_then(|name| snapshot.tier(name)).ok_or_else(|| {
        let remedy = format!("class: the account has no class `{class}`; use one it has");
        invalid("no_such_class", remedy)
    })
}

fn estimate_tokens(input: &str) -> u32 {
    u32::try_from(input.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).min(MAX_TOKENS)
}

fn invalid(reason: &str, remedy: impl Into<String>) -> request::Refusal {
    request::Refusal::new(request::RefusalKind::Invalid, reason, remedy)
}
