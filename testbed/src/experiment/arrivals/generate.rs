//! The arrivals of a scenario for one seed.

use std::{sync, time};

use rand::{Rng, SeedableRng, rngs};
use trefoildyke_types::{engine, id, time::Timestamp};

use super::draw;
use crate::experiment::{arrivals, scenario};

/// The upper bits of the UUIDs, so that they are valid UUIDs of version 7.
const UUID_BASE: u128 = 0x0192_d3a4_0000_7000_8000_0000_0000_0000;

/// Returns the arrivals of `scenario` at `rate` steady arrivals a second, in order of time.
///
/// The same seed gives the same arrivals.
pub fn generate(scenario: &scenario::Scenario, rate: f64, seed: u64) -> Vec<arrivals::Arrival> {
    let mut generator = Generator::new(scenario, seed);
    let mut all = generator.steady(rate);
    for burst in &scenario.bursts {
        generator.burst(burst, &mut all);
    }
    all.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in all.iter_mut().enumerate() {
        arrival.key.id = request_id(number);
    }
    all
}

fn request_id(number: usize) -> id::RequestId {
    id::RequestId::chosen(uuid::Uuid::from_u128(UUID_BASE | number as u128))
}

struct Generator<'a> {
    scenario: &'a scenario::Scenario,
    rng: rngs::StdRng,
    /// The prefixes of each class.
    prefixes: Vec<Vec<sync::Arc<[u64]>>>,
}

impl<'a> Generator<'a> {
    fn new(scenario: &'a scenario::Scenario, seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let classes = scenario.classes.iter().enumerate();
        let prefixes = classes.map(|(number, class)| draw_prefixes(number, class, &mut rng));
        let prefixes = prefixes.collect();
        Self { scenario, rng, prefixes }
    }

    fn steady(&mut self, rate: f64) -> Vec<arrivals::Arrival> {
        let end = Timestamp::from_millis(self.scenario.duration_ms);
        let mut at = Timestamp::ZERO;
        let mut all = Vec::new();
        if rate <= 0.0 {
            return all;
        }
        loop {
            at = at + draw::interval(&mut self.rng, rate);
            if at >= end {
                return all;
            }
            let shares = self.scenario.classes.iter().map(|class| class.share);
            let class = draw::weighted(&mut self.rng, shares);
            let account = self.account();
            all.push(self.arrival(at, class, account));
        }
    }

    fn burst(&mut self, burst: &scenario::Burst, all: &mut Vec<arrivals::Arrival>) {
        let at = Timestamp::from_millis(burst.at_ms);
        let class = self.scenario.classes.iter().position(|class| class.name == burst.class);
        let named = burst.account.as_ref();
        let named = named
            .and_then(|name| self.scenario.accounts.iter().position(|other| other.name == *name));
        for _ in 0..burst.requests {
            let account = named.unwrap_or_else(|| self.account());
            all.push(self.arrival(at, class.unwrap_or(0), account));
        }
    }

    fn account(&mut self) -> usize {
        let shares = self.scenario.accounts.iter().map(|account| account.share);
        draw::weighted(&mut self.rng, shares)
    }

    fn arrival(&mut self, at: Timestamp, class: usize, account: usize) -> arrivals::Arrival {
        let plan = &self.scenario.classes[class];
        let rank = self.scenario.rank(&plan.tier).unwrap_or(0);
        let prefix = self.prefix(class);
        let shared = prefix.len() as u32 * engine::BLOCK_TOKENS;
        let prompt_tokens = shared + plan.prompt.at(self.rng.random_range(0.0..1.0));
        let output_tokens = plan.output.at(self.rng.random_range(0.0..1.0));
        let slack = self.rng.random_range(1.0..=self.scenario.limit_slack);
        let tier = &self.scenario.tiers[usize::from(rank)];
        let patience_ms = plan.deadline_ms.unwrap_or(tier.deadline_ms);
        arrivals::Arrival {
            key: id::RequestKey {
                account: id::AccountName::new(&self.scenario.accounts[account].name),
                id: request_id(0),
            },
            at,
            host: self.rng.random_range(0..self.scenario.hosts),
            class,
            account,
            rank,
            prompt_tokens,
            output_tokens,
            max_tokens: (f64::from(output_tokens) * slack).ceil() as u32,
            prefix,
            patience: time::Duration::from_millis(patience_ms),
        }
    }

    fn prefix(&mut self, class: usize) -> sync::Arc<[u64]> {
        let Some(plan) = &self.scenario.classes[class].prefixes else {
            return sync::Arc::new([]);
        };
        let weights = (1..=plan.count).map(|number| f64::from(number).powf(-plan.skew));
        let number = draw::weighted(&mut self.rng, weights);
        self.prefixes[class][number].clone()
    }
}

fn draw_prefixes(
    number: usize,
    class: &scenario::ClassPlan,
    rng: &mut rngs::StdRng,
) -> Vec<sync::Arc<[u64]>> {
    let Some(plan) = &class.prefixes else {
        return Vec::new();
    };
    let draw = |prefix| {
        let tokens = plan.tokens.at(rng.random_range(0.0..1.0));
        draw::blocks(number, prefix as usize, tokens).into()
    };
    (0..plan.count).map(draw).collect()
}
