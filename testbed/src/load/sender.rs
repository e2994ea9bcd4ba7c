//! One request of a caller, with its retries.

use std::time;

use tokio::time::Instant;
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::http;

use crate::{experiment::arrivals, load};

/// How long a caller waits before it tries again, if no refusal says how long.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Sends one request and sees to its retries.
#[derive(Debug)]
pub(super) struct Sender<'a> {
    pub(super) plan: &'a load::Plan,
    pub(super) client: &'a http::Client,
    pub(super) arrival: &'a arrivals::Arrival,
    /// The request's class, as the daemons know it.
    pub(super) class: &'a str,
}

impl Sender<'_> {
    /// Sends the request until it is answered, refused for good, or its caller stops waiting.
    pub(super) async fn send(&self, due: Instant) -> Result<load::RequestLog, error::Error> {
        let key = self.plan.keys.of(&self.arrival.key.account)?;
        let mut log = load::RequestLog::new(due);
        let deadline = due + self.arrival.patience;
        let tries = self.try_all(key, deadline, &mut log);
        let ending = tokio::time::timeout_at(deadline, tries).await;
        log.ended = Some((Instant::now(), ending.unwrap_or(load::Ending::Late)));
        Ok(log)
    }

    async fn try_all(
        &self,
        key: &str,
        deadline: Instant,
        log: &mut load::RequestLog,
    ) -> load::Ending {
        let (mut spec, mut check) = self.begin();
        loop {
            spec.deadline_ms = Some(left_ms(deadline));
            spec.offset = check.offset();
            let daemon = self.plan.daemon(self.arrival.host, log.attempts);
            let attempt = load::Attempt { client: self.client, daemon, key, spec: &spec };
            log.attempts += 1;
            let ending = attempt.make(&mut check, log).await;
            log.refusals += u32::from(matches!(ending, load::Ending::Refused(_)));
            let Some(pause) = self.pause(&ending, log.attempts) else { return ending };
            tokio::time::sleep(pause).await;
            if matches!(ending, load::Ending::Refused(_)) {
                // Nothing of a refused identifier can ever run.
                (spec, check) = self.begin();
            } else {
                spec.attempt += 1;
            }
        }
    }

    /// Returns how long the caller waits before the next attempt, or `None` if it makes none.
    fn pause(&self, ending: &load::Ending, attempts: u32) -> Option<time::Duration> {
        let retries = self.plan.retries;
        if attempts > retries.most {
            return None;
        }
        match ending {
            load::Ending::Lost(_) => Some(PAUSE),
            load::Ending::Refused(refusal) if refusal.kind == request::RefusalKind::NotRun => {
                let wait = refusal.retry_after_ms.filter(|_| retries.obey);
                Some(wait.map_or(PAUSE, time::Duration::from_millis))
            }
            _ => None,
        }
    }

    /// Returns the request under a new identifier, and the check of its answer.
    fn begin(&self) -> (request::RequestSpec, load::AnswerCheck) {
        let id = id::RequestId::chosen(uuid::Uuid::now_v7());
        let spec = self.spec(id);
        let expected = u64::from(spec.max_tokens);
        (spec, load::AnswerCheck::new(id, expected))
    }

    fn spec(&self, id: id::RequestId) -> request::RequestSpec {
        request::RequestSpec {
            id: Some(id),
            pool: self.plan.pool.clone(),
            target: request::Target::Model(self.plan.model.clone()),
            class: self.class.to_owned(),
            input: String::new(),
            prompt_tokens: Some(self.arrival.prompt_tokens),
            prefix: self.arrival.prefix.to_vec(),
            max_tokens: self.arrival.output_tokens,
            idempotent: self.plan.idempotent,
            deadline_ms: None,
            attempt: 1,
            offset: 0,
        }
    }
}

fn left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    (left.as_millis() as u64).max(1)
}
