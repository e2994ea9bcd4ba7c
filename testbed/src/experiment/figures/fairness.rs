//! Fairness among client accounts of one tier.

use crate::experiment::{arrivals, run, scenario};

/// Holds what one client account got in one tier, in tokens of prompts and answers.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountFigures {
    /// The account.
    pub account: String,
    /// Tokens that it asked for.
    pub asked: u64,
    /// Tokens of its completed requests.
    pub completed: u64,
    /// Its fair share of all completed tokens of the tier.
    ///
    /// The share is max-min fair by weight: no account gets more than it asked for, and what one
    /// leaves is divided among the others.
    pub fair: f64,
    /// `completed` over `fair`; 1 for an account that asked for nothing.
    pub ratio: f64,
}

/// Returns what each account got in the tier with `rank`.
pub fn fairness(
    scenario: &scenario::Scenario,
    arrivals: &[arrivals::Arrival],
    records: &[run::Record],
    rank: u8,
) -> Vec<AccountFigures> {
    let count = scenario.accounts.len();
    let (mut asked, mut completed) = (vec![0_u64; count], vec![0_u64; count]);
    for (arrival, record) in arrivals.iter().zip(records) {
        if arrival.rank != rank {
            continue;
        }
        let tokens = u64::from(arrival.prompt_tokens) + u64::from(arrival.output_tokens);
        asked[arrival.account] += tokens;
        if record.outcome() == Some(run::Outcome::Completed) {
            completed[arrival.account] += tokens;
        }
    }
    let weights: Vec<_> = scenario.accounts.iter().map(|plan| f64::from(plan.weight)).collect();
    let fair = fair_shares(&asked, &weights, completed.iter().sum());
    let account = |at: usize| AccountFigures {
        account: scenario.accounts[at].name.clone(),
        asked: asked[at],
        completed: completed[at],
        fair: fair[at],
        ratio: if fair[at] > 0.0 { completed[at] as f64 / fair[at] } else { 1.0 },
    };
    (0..count).map(account).collect()
}

/// Divides `total` by weight, giving nobody more than it asked for.
fn fair_shares(asked: &[u64], weights: &[f64], total: u64) -> Vec<f64> {
    let mut order: Vec<_> = (0..asked.len()).collect();
    order.sort_by(|a, b| {
        let need = |at: &usize| asked[*at] as f64 / weights[*at];
        need(a).total_cmp(&need(b))
    });
    let mut left = total as f64;
    let mut weight: f64 = weights.iter().sum();
    let mut shares = vec![0.0; asked.len()];
    for at in order {
        shares[at] = (left * weights[at] / weight).min(asked[at] as f64);
        left -= shares[at];
        weight -= weights[at];
    }
    shares
}
