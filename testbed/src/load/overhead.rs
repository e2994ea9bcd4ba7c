//! What a daemon adds to a request on loopback.

use std::net;

use tokio::time::Instant;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::{
    endpoint::{self, message},
    http,
};

use crate::{experiment::figures, load};

/// The answer's length; short, so that the engine's own time varies little.
const TOKENS: u32 = 2;
const PROMPT_TOKENS: u32 = 16;

/// Says how to measure the overhead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overhead {
    /// The engine that is called directly; the daemon's pool should hold it alone.
    pub engine: net::SocketAddr,
    /// The account and the class to send under.
    pub account: id::AccountName,
    /// The request class.
    pub class: String,
    /// How many rounds; each makes one call of each kind.
    pub rounds: u32,
}

/// Holds times to the first token, of the same request in three ways, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverheadFigures {
    /// At the engine.
    pub direct: figures::Percentiles,
    /// Through the daemon, idempotent.
    pub idempotent: figures::Percentiles,
    /// Through the daemon, not idempotent: the intent is always written first.
    pub recorded: figures::Percentiles,
    /// How many calls failed.
    pub failed: u64,
}

/// Measures one call after another, the three kinds in turn, so that all see the same machine.
///
/// # Errors
///
/// Fails if the account has no key.
pub async fn measure_overhead(
    plan: &load::Plan,
    overhead: &Overhead,
) -> Result<OverheadFigures, error::Error> {
    let client = http::Client::default();
    let engine = endpoint::EngineClient::new(overhead.engine, endpoint::Limits::default());
    let key = plan.keys.of(&overhead.account)?;
    let mut times = [figures::histogram(), figures::histogram(), figures::histogram()];
    let mut failed = 0;
    for round in 0..overhead.rounds {
        let daemon = plan.daemon(0, round);
        let spec = |idempotent| spec(plan, overhead, idempotent);
        let first = [
            direct(&engine, &overhead.account).await,
            through(&client, daemon, key, &spec(true)).await,
            through(&client, daemon, key, &spec(false)).await,
        ];
        for (histogram, time) in times.iter_mut().zip(first) {
            match time {
                Some(micros) => histogram.saturating_record(micros),
                None => failed += 1,
            }
        }
    }
    client.close().await;
    let [direct, idempotent, recorded] = times.map(|time| figures::Percentiles::of(&time));
    Ok(OverheadFigures { direct, idempotent, recorded, failed })
}

async fn direct(engine: &endpoint::EngineClient, account: &id::AccountName) -> Option<u64> {
    let start = Instant::now();
    let generate = message::Generate {
        id: id::RequestId::chosen(uuid::Uuid::now_v7()),
        account: account.clone(),
        prompt_tokens: PROMPT_TOKENS,
        prefix: Vec::new(),
        max_tokens: TOKENS,
        input: String::new(),
    };
    let mut stream = engine.start(&generate).await.ok()?;
    let mut first = None;
    while let Some(chunk) = stream.next().await.ok()? {
        if !chunk.tokens.is_empty() {
            first.get_or_insert_with(|| start.elapsed().as_micros() as u64);
        }
    }
    first
}

async fn through(
    client: &http::Client,
    daemon: net::SocketAddr,
    key: &str,
    spec: &request::RequestSpec,
) -> Option<u64> {
    let id = spec.id?;
    let mut log = load::RequestLog::new(Instant::now());
    let mut check = load::AnswerCheck::new(id, u64::from(TOKENS));
    let attempt = load::Attempt { client, daemon, key, spec };
    let ending = attempt.make(&mut check, &mut log).await;
    let first = log.first?.duration_since(log.due).as_micros() as u64;
    (ending == load::Ending::Whole).then_some(first)
}

fn spec(plan: &load::Plan, overhead: &Overhead, idempotent: bool) -> request::RequestSpec {
    request::RequestSpec {
        id: Some(id::RequestId::chosen(uuid::Uuid::now_v7())),
        pool: plan.pool.clone(),
        target: request::Target::Model(plan.model.clone()),
        class: overhead.class.clone(),
        input: String::new(),
        prompt_tokens: Some(PROMPT_TOKENS),
        prefix: Vec::new(),
        max_tokens: TOKENS,
        idempotent,
        deadline_ms: None,
        attempt: 1,
        offset: 0,
    }
}

/// Returns the figures and what they add to a direct call, as a table for a person to read.
pub fn overhead_table(measured: &OverheadFigures) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(["way", "first p50 ms", "first p99 ms", "added p50 ms", "added p99 ms"]);
    let ways = [
        ("direct", measured.direct),
        ("idempotent", measured.idempotent),
        ("not idempotent", measured.recorded),
    ];
    for (name, times) in ways {
        table.add_row([
            name.to_owned(),
            format!("{:.2}", times.p50),
            format!("{:.2}", times.p99),
            format!("{:.2}", times.p50 - measured.direct.p50),
            format!("{:.2}", times.p99 - measured.direct.p99),
        ]);
    }
    table
}
