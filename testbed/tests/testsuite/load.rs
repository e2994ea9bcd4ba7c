//! The load tool against scripted daemons.

use std::{net, sync, time};

use hyper::StatusCode;
use testbed::{
    engine,
    experiment::{arrivals, scenario},
    load,
};
use tokio::net::TcpListener;
use trefoildyke_types::{id, request};
use trefoildyke_wire::http;

/// Says how a scripted daemon answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    Whole,
    /// Tokens of another request.
    Foreign,
    /// One token less than asked for, called whole.
    Short,
    /// `not_run`, to come back after so many milliseconds.
    Refuse(u64),
    /// Half of the answer, then the stream ends; what was sent before is sure to arrive.
    BreakOff,
}

/// Holds a scripted daemon and what it was sent.
struct Daemon {
    server: http::Server,
    specs: sync::Arc<sync::Mutex<Vec<request::RequestSpec>>>,
}

impl Daemon {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let specs = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let seen = sync::Arc::clone(&specs);
        let handler = move |call: http::Call| {
            let seen = sync::Arc::clone(&seen);
            async move {
                let body = call.request.into_body();
                let wait = time::Duration::from_secs(10);
                let spec: request::RequestSpec =
                    http::read_json(body, 1 << 20, wait).await.map_err(|_| http::Aborted)?;
                seen.lock().unwrap().push(spec.clone());
                Ok(answer(script, spec))
            }
        };
        let server = http::Server::start(listener, http::ServerLimits::default(), handler).unwrap();
        Self { server, specs }
    }

    fn specs(&self) -> Vec<request::RequestSpec> {
        self.specs.lock().unwrap().clone()
    }
}

fn answer(script: Script, spec: request::RequestSpec) -> hyper::Response<http::Body> {
    if let Script::Refuse(millis) = script {
        let refusal = request::Refusal::new(request::RefusalKind::NotRun, "shed", "come back");
        return http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal.retry_after(millis));
    }
    let (sender, response) = http::EventSender::new(16);
    tokio::spawn(write(sender, script, spec));
    response
}

async fn write(
    sender: http::EventSender,
    script: Script,
    spec: request::RequestSpec,
) -> Result<(), http::Aborted> {
    let id = spec.id.unwrap();
    let most = u64::from(spec.max_tokens);
    let end = match script {
        Script::Short => most - 1,
        Script::BreakOff => most / 2,
        _ => most,
    };
    let owner = if script == Script::Foreign { other_id() } else { id };
    sender.event("accepted", &serde_json::json!({ "id": id })).await?;
    let tokens = (spec.offset..end).map(|number| engine::token(&owner, number)).collect();
    let finish = (script != Script::BreakOff).then_some(request::Finish::Whole);
    sender.data(&request::Chunk { id, offset: spec.offset, tokens, finish }).await?;
    Ok(())
}

fn other_id() -> id::RequestId {
    "0192d3a4-0000-7000-8000-abcdefabcdef".parse().unwrap()
}

fn small() -> (scenario::Scenario, Vec<arrivals::Arrival>) {
    let scenario = scenario::Scenario::from_yaml(include_str!("small.yaml")).unwrap();
    let scenario = scenario::Scenario { duration_ms: 300, ..scenario };
    let arrivals = arrivals::generate(&scenario, 60.0, 1);
    assert!(arrivals.len() > 5);
    (scenario, arrivals)
}

async fn run(
    daemons: &[&Daemon],
    retries: load::Retries,
) -> (load::LoadFigures, Vec<load::RequestLog>) {
    let (mut scenario, _) = small();
    // A busy machine must not make answers late.
    scenario.tiers.iter_mut().for_each(|tier| tier.deadline_ms = 60_000);
    let arrivals = arrivals::generate(&scenario, 60.0, 1);
    let plan = load::Plan {
        daemons: daemons.iter().map(|daemon| daemon.server.address()).collect(),
        keys: load::AccountKeys::parse(&["key".to_owned()]),
        pool: "assistant".into(),
        model: "assistant".into(),
        idempotent: true,
        retries,
    };
    let logs = load::drive(&plan, &scenario, &arrivals).await.unwrap();
    (load::LoadFigures::of(&scenario, 60.0, &arrivals, &logs), logs)
}

fn completed(figures: &load::LoadFigures) -> u64 {
    figures.tiers.iter().map(|tier| tier.completed).sum()
}

fn arrived(figures: &load::LoadFigures) -> u64 {
    figures.tiers.iter().map(|tier| tier.arrived).sum()
}

#[tokio::test]
async fn whole_answers_are_goodput() {
    let (first, second) = (Daemon::start(Script::Whole).await, Daemon::start(Script::Whole).await);
    let (figures, logs) = run(&[&first, &second], load::Retries::default()).await;
    assert_eq!(completed(&figures), arrived(&figures));
    assert_eq!(figures.attempts, arrived(&figures));
    assert!(figures.broken.is_empty());
    assert!(logs.iter().all(|log| log.first.is_some()));
    assert!(!first.specs().is_empty() && !second.specs().is_empty());
    let table = load::load_table(&figures).to_string();
    assert!(table.contains("correction") && table.contains("1.000"), "{table}");
}

#[tokio::test]
async fn foreign_and_short_answers_are_found() {
    for (script, word) in [(Script::Foreign, "wrong text"), (Script::Short, "called whole")] {
        let daemon = Daemon::start(script).await;
        let (figures, _) = run(&[&daemon], load::Retries { most: 3, obey: false }).await;
        assert_eq!(completed(&figures), 0);
        assert_eq!(figures.broken.len() as u64, arrived(&figures));
        assert!(figures.broken.iter().all(|fault| fault.contains(word)), "{:?}", figures.broken);
    }
}

#[tokio::test]
async fn a_refused_request_is_tried_at_the_next_daemon_when_it_says_so() {
    let wait = time::Duration::from_millis(400);
    let refusing = Daemon::start(Script::Refuse(wait.as_millis() as u64)).await;
    let whole = Daemon::start(Script::Whole).await;
    let (figures, _) = run(&[&refusing, &whole], load::Retries::default()).await;
    let shed: u64 = figures.tiers.iter().map(|tier| tier.shed).sum();
    assert_eq!(shed, refusing.specs().len() as u64);
    assert!(shed > 0 && completed(&figures) == arrived(&figures) - shed);

    let (figures, logs) = run(&[&refusing, &whole], load::Retries { most: 1, obey: true }).await;
    assert_eq!(completed(&figures), arrived(&figures));
    let retried: Vec<_> = logs.iter().filter(|log| log.attempts == 2).collect();
    assert!(!retried.is_empty());
    assert!(retried.iter().all(|log| log.first.unwrap() - log.due >= wait));
    assert_eq!(figures.refusals, retried.len() as u64);
    // Nothing of a refused identifier can run, so each new try is a first attempt of a new one.
    let refused: Vec<_> = refusing.specs().iter().map(|spec| spec.id).collect();
    assert!(whole.specs().iter().all(|spec| spec.attempt == 1 && !refused.contains(&spec.id)));
}

#[tokio::test]
async fn a_broken_off_answer_goes_on_at_the_next_daemon() {
    let (breaking, whole) =
        (Daemon::start(Script::BreakOff).await, Daemon::start(Script::Whole).await);
    let (figures, _) = run(&[&breaking, &whole], load::Retries { most: 1, obey: false }).await;
    assert_eq!(completed(&figures), arrived(&figures));
    let resumed: Vec<_> = whole.specs().into_iter().filter(|spec| spec.attempt == 2).collect();
    assert!(!resumed.is_empty());
    assert!(resumed.iter().all(|spec| spec.offset == u64::from(spec.max_tokens) / 2));
    let known = breaking.specs();
    assert!(resumed.iter().all(|spec| known.iter().any(|first| first.id == spec.id)));
}

#[tokio::test]
async fn an_account_without_a_key_is_named() {
    let (scenario, arrivals) = small();
    let daemons = load::parse_addresses("127.0.0.1:1, 127.0.0.1:2").unwrap();
    let plan = load::Plan {
        daemons,
        keys: load::AccountKeys::parse(&["aysen=key".to_owned()]),
        pool: "assistant".into(),
        model: "assistant".into(),
        idempotent: true,
        retries: load::Retries::default(),
    };
    let error = load::drive(&plan, &scenario, &arrivals).await.unwrap_err().to_string();
    assert!(error.contains("chiloe") && error.contains("--key"), "{error}");
    assert!(load::parse_addresses("nowhere").unwrap_err().to_string().contains("IP:PORT"));
}
