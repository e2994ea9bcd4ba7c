//! Running the demo.

use std::{collections, net};

use futures::future;
use tokio::time;
use trefoildyke_cli::timeline;
use trefoildyke_types::{event, id, request};
use trefoildyke_wire::http;

use crate::{
    demo::{Outcome, Report, requests, system},
    load, service,
};

/// Runs the demo and returns what happened.
///
/// # Errors
///
/// Fails if a part does not start, or the configuration is not in force in time.
pub async fn run() -> anyhow::Result<Report> {
    let system = system::System::start().await?;
    let version = system.declare().await?;
    let callers = system.callers();
    let client = http::Client::new(http::ClientLimits::default());
    let specs = requests::all();
    let sent = specs.iter().enumerate().map(|(number, spec)| {
        let daemon = number % callers.len();
        send(&client, daemon, callers[daemon], spec)
    });
    let mut outcomes = future::join_all(sent).await;
    outcomes.push(send_without_id(&client, callers[0]).await);
    let events = events(&system).await?;
    let most_starts = most_starts(&system);
    system.stop().await?;
    Ok(Report { version, outcomes, events, most_starts })
}

async fn send(
    client: &http::Client,
    daemon: usize,
    address: net::SocketAddr,
    spec: &request::RequestSpec,
) -> Outcome {
    let (ending, log, tokens) = attempt(client, address, spec).await;
    let first = log.first.map(|first| first.duration_since(log.due).as_millis());
    let ending_text = match &ending {
        load::Ending::Whole => "whole, its own".to_owned(),
        other => format!("{other:?}"),
    };
    Outcome {
        class: spec.class.clone(),
        daemon,
        first_ms: first,
        tokens,
        ending: ending_text,
        expected: ending == load::Ending::Whole,
    }
}

async fn send_without_id(client: &http::Client, address: net::SocketAddr) -> Outcome {
    let spec = requests::without_id();
    let (ending, _, _) = attempt(client, address, &spec).await;
    let refused = |ending: &load::Ending| match ending {
        load::Ending::Refused(refusal) => Some(refusal.to_string()),
        _ => None,
    };
    Outcome {
        class: spec.class,
        daemon: 0,
        first_ms: None,
        tokens: 0,
        expected: refused(&ending).is_some(),
        ending: refused(&ending).unwrap_or_else(|| format!("{ending:?}")),
    }
}

async fn attempt(
    client: &http::Client,
    daemon: net::SocketAddr,
    spec: &request::RequestSpec,
) -> (load::Ending, load::RequestLog, u64) {
    let id = spec.id.unwrap_or_else(|| id::RequestId::chosen(uuid::Uuid::now_v7()));
    let mut check = match &spec.target {
        request::Target::Model(_) => load::AnswerCheck::new(id, u64::from(spec.max_tokens)),
        request::Target::Service(operation) => {
            load::AnswerCheck::of_service(id, service::output(operation, spec.input.len()))
        }
    };
    let mut log = load::RequestLog::new(time::Instant::now());
    let attempt = load::Attempt { client, daemon, key: system::KEY, spec };
    let ending = attempt.make(&mut check, &mut log).await;
    (ending, log, check.offset())
}

async fn events(system: &system::System) -> anyhow::Result<Vec<event::Event>> {
    let client = system.client()?;
    let mut all = Vec::new();
    for address in system.operators() {
        all.extend(client.all_events(address, 0).await?);
    }
    Ok(timeline::merge(all))
}

/// Returns how often the request was started that was started most often.
fn most_starts(system: &system::System) -> u32 {
    let engines = system.engines.iter().map(|engine| engine.ledger().starts);
    let mut starts = collections::BTreeMap::<String, u32>::new();
    for (key, count) in engines.chain([system.service.ledger().starts]).flatten() {
        *starts.entry(key).or_default() += count;
    }
    starts.values().copied().max().unwrap_or_default()
}
