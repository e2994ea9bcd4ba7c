//! The scheduler of one pool shard.

use std::{collections, time};

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule;

/// Decides order and place of one pool shard's requests.
#[derive(Clone, Debug)]
pub struct Shard {
    params: schedule::Params,
    scheduler: id::Incarnation,
    /// Waiting requests in the order in which they are served.
    waiting: collections::BTreeMap<(u8, u64), Waiting>,
    /// Where each waiting request stands in `waiting`.
    places: collections::HashMap<id::RequestKey, (u8, u64)>,
    permitted: collections::HashMap<id::RequestKey, Permitted>,
    endpoints: collections::BTreeMap<id::EndpointName, Endpoint>,
    shares: collections::HashMap<id::AccountName, schedule::AccountShare>,
    next: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ask: request::Ask,
    deadline: Timestamp,
}

#[derive(Clone, Debug)]
struct Permitted {
    permit: request::Permit,
    /// When the permit lapses; `None` once the dispatch was reported.
    expiry: Option<Timestamp>,
    prefill: u64,
    decode: u64,
}

#[derive(Clone, Debug)]
struct Endpoint {
    slots: u32,
    leaving: bool,
    running: u32,
    prefill: u64,
    decode: u64,
}

impl Shard {
    /// Creates the scheduler of a shard with no endpoints and nothing waiting.
    ///
    /// `scheduler` is the incarnation of the daemon that runs it.
    pub fn new(params: schedule::Params, scheduler: id::Incarnation) -> Self {
        Self {
            params,
            scheduler,
            waiting: collections::BTreeMap::new(),
            places: collections::HashMap::new(),
            permitted: collections::HashMap::new(),
            endpoints: collections::BTreeMap::new(),
            shares: collections::HashMap::new(),
            next: 0,
        }
    }

    /// Takes in one event at time `now` and returns what is to be done, in order.
    ///
    /// `now` never goes back; an earlier time is taken as it is and only delays decisions.
    pub fn step(&mut self, now: Timestamp, input: schedule::Input) -> Vec<schedule::Output> {
        let mut outputs = Vec::new();
        self.take_in(now, input, &mut outputs);
        self.expire(now, &mut outputs);
        self.grant(now, &mut outputs);
        outputs.extend(self.wake_time().map(schedule::Output::WakeAt));
        outputs
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn take_in(
        &mut self,
        now: Timestamp,
        input: schedule::Input,
        outputs: &mut Vec<schedule::Output>,
    ) {
        match input {
            schedule::Input::Ask(ask) => self.ask(now, ask, outputs),
            schedule::Input::Report(report) => self.report(&report),
            schedule::Input::Adopt(adopted) => self.adopt(&adopted),
            schedule::Input::EndpointUp(info) => self.endpoint_up(&info),
            schedule::Input::EndpointLeaving(name) => {
                if let Some(endpoint) = self.endpoints.get_mut(&name) {
                    endpoint.leaving = true;
                }
            }
            schedule::Input::EndpointGone(name) => {
                self.endpoints.remove(&name);
                self.permitted.retain(|_, permitted| permitted.permit.endpoint != name);
            }
            schedule::Input::Account(share) => {
                self.shares.insert(share.account.clone(), share);
            }
            schedule::Input::Load { .. }
            | schedule::Input::Cache { .. }
            | schedule::Input::Tick => {}
        }
    }

    fn ask(&mut self, now: Timestamp, ask: request::Ask, outputs: &mut Vec<schedule::Output>) {
        if let Some(permitted) = self.permitted.get(&ask.key) {
            outputs.push(schedule::Output::Grant(permitted.permit.clone()));
            return;
        }
        if self.places.contains_key(&ask.key) {
            return;
        }
        let place = (ask.rank, self.next);
        self.next += 1;
        self.places.insert(ask.key.clone(), place);
        let deadline = now + time::Duration::from_millis(ask.left_ms);
        self.waiting.insert(place, Waiting { ask, deadline });
    }

    fn report(&mut self, report: &schedule::Report) {
        match report {
            schedule::Report::Started { key } => {
                if let Some(permitted) = self.permitted.get_mut(key) {
                    permitted.expiry = None;
                }
            }
            schedule::Report::FirstToken { key } => self.first_token(key),
            schedule::Report::Progress { .. } => {}
            schedule::Report::Finished { key, .. } | schedule::Report::HandBack { key } => {
                self.release(key);
            }
            schedule::Report::Cancel { key } => {
                self.release(key);
                if let Some(place) = self.places.remove(key) {
                    self.waiting.remove(&place);
                }
            }
        }
    }

    fn first_token(&mut self, key: &id::RequestKey) {
        let Some(permitted) = self.permitted.get_mut(key) else { return };
        let prefill = std::mem::take(&mut permitted.prefill);
        if let Some(endpoint) = self.endpoints.get_mut(&permitted.permit.endpoint) {
            endpoint.prefill -= prefill;
        }
    }

    fn release(&mut self, key: &id::RequestKey) {
        let Some(permitted) = self.permitted.remove(key) else { return };
        if let Some(endpoint) = self.endpoints.get_mut(&permitted.permit.endpoint) {
            endpoint.running -= 1;
            endpoint.prefill -= permitted.prefill;
            endpoint.decode -= permitted.decode;
        }
    }

    fn adopt(&mut self, adopted: &schedule::Adopted) {
        if self.permitted.contains_key(&adopted.ask.key) {
            return;
        }
        if let Some(place) = self.places.remove(&adopted.ask.key) {
            self.waiting.remove(&place);
        }
        let prefill = if adopted.tokens == 0 { adopted.ask.prompt_tokens } else { 0 };
        self.permit(&adopted.ask, &adopted.endpoint, None, u64::from(prefill));
    }

    fn endpoint_up(&mut self, info: &schedule::EndpointInfo) {
        let endpoint = self.endpoints.entry(info.endpoint.clone()).or_insert(Endpoint {
            slots: 1,
            leaving: false,
            running: 0,
            prefill: 0,
            decode: 0,
        });
        endpoint.slots = info.slots.max(1);
        endpoint.leaving = false;
    }

    fn expire(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        let lapsed: Vec<_> = self
            .permitted
            .iter()
            .filter(|(_, permitted)| permitted.expiry.is_some_and(|expiry| expiry <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.release(&key);
        }
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.deadline <= now)
            .map(|(place, _)| *place)
            .collect();
        for place in late {
            let Some(waiting) = self.waiting.remove(&place) else { continue };
            self.places.remove(&waiting.ask.key);
            let refusal = request::Refusal::new(
                request::RefusalKind::NotRun,
                "shed",
                "the deadline passed before an endpoint was free; come back later",
            );
            outputs.push(schedule::Output::Shed {
                key: waiting.ask.key,
                refusal: refusal.retry_after(1_000),
            });
        }
    }

    fn grant(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        while let Some(name) = self.best_endpoint() {
            let Some((_, waiting)) = self.waiting.pop_first() else { return };
            self.places.remove(&waiting.ask.key);
            let prefill = u64::from(waiting.ask.prompt_tokens);
            let expiry = now + self.params.permit_ttl;
            if let Some(permit) = self.permit(&waiting.ask, &name, Some(expiry), prefill) {
                outputs.push(schedule::Output::Grant(permit));
            }
        }
    }

    /// Returns the endpoint with a free slot that would finish its work first.
    fn best_endpoint(&self) -> Option<id::EndpointName> {
        let step = self.params.step_time.as_secs_f64();
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.leaving && endpoint.running < endpoint.slots)
            .map(|(name, endpoint)| {
                let prefill = endpoint.prefill as f64 / self.params.prefill_rate;
                (name, prefill + endpoint.decode as f64 * step / f64::from(endpoint.slots))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(name, _)| name.clone())
    }

    fn permit(
        &mut self,
        ask: &request::Ask,
        name: &id::EndpointName,
        expiry: Option<Timestamp>,
        prefill: u64,
    ) -> Option<request::Permit> {
        let endpoint = self.endpoints.get_mut(name)?;
        let decode = u64::from(ask.max_tokens);
        endpoint.running += 1;
        endpoint.prefill += prefill;
        endpoint.decode += decode;
        let permit = request::Permit {
            key: ask.key.clone(),
            endpoint: name.clone(),
            ttl_ms: self.params.permit_ttl.as_millis() as u64,
            scheduler: self.scheduler,
            cached_tokens: 0,
        };
        let permitted = Permitted { permit: permit.clone(), expiry, prefill, decode };
        self.permitted.insert(ask.key.clone(), permitted);
        Some(permit)
    }

    fn wake_time(&self) -> Option<Timestamp> {
        let permits = self.permitted.values().filter_map(|permitted| permitted.expiry);
        let deadlines = self.waiting.values().map(|waiting| waiting.deadline);
        permits.chain(deadlines).min()
    }
}
