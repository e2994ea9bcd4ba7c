//! Tables of a comparison for a person to read.

use crate::experiment::{compare, figures, policy};

/// Returns goodput, waste, fairness, inversions and messages of each policy, over the seeds.
pub fn policy_table(comparison: &compare::Comparison) -> comfy_table::Table {
    let mut table = new_table();
    let mut header = vec!["load".to_owned(), "policy".to_owned()];
    header.extend(comparison.tiers.iter().map(|tier| format!("{tier} goodput")));
    let rest = [
        "wasted prefill",
        "inversions w/a",
        "least fair share",
        "idle while waiting",
        "cut",
        "msg/request",
        "B/request",
    ];
    header.extend(rest.map(str::to_owned));
    table.set_header(header);
    for load in comparison.loads() {
        table.add_row(bound_row(comparison, load));
        for policy in comparison.policies() {
            table.add_row(policy_row(comparison, load, policy));
        }
    }
    table
}

fn bound_row(comparison: &compare::Comparison, load: f64) -> Vec<String> {
    let mut row = vec![format!("{load}"), "(bound)".to_owned()];
    let ranks = 0..comparison.tiers.len();
    row.extend(ranks.map(|rank| format!("{:.3}", comparison.bound(load, rank))));
    row
}

fn policy_row(comparison: &compare::Comparison, load: f64, policy: policy::Variant) -> Vec<String> {
    let mut row = vec![format!("{load}"), policy.to_string()];
    for rank in 0..comparison.tiers.len() {
        let goodput = comparison.spread(load, policy, |run| run.tiers[rank].goodput);
        row.push(format!("{goodput:.3}"));
    }
    let spread = |figure: fn(&figures::RunFigures) -> f64| comparison.spread(load, policy, figure);
    row.push(format!("{:.3}", spread(|run| run.prefill.share)));
    let waiting = spread(|run| run.inversions.waiting as f64).mean;
    let admitted = spread(|run| run.inversions.admitted as f64).mean;
    row.push(format!("{waiting:.0}/{admitted:.0}"));
    row.push(format!("{:.2}", spread(least_ratio).mean));
    row.push(format!("{:.2}", spread(|run| run.idle).mean));
    row.push(format!("{:.1}", spread(|run| run.tiers.iter().map(|t| t.cut as f64).sum()).mean));
    row.push(format!("{:.1}", spread(|run| run.control.messages as f64 / arrived(run)).mean));
    row.push(format!("{:.0}", spread(|run| run.control.bytes as f64 / arrived(run)).mean));
    row
}

/// Returns the times to the first token and between tokens of each policy and tier.
pub fn latency_table(comparison: &compare::Comparison) -> comfy_table::Table {
    let mut table = new_table();
    table.set_header([
        "load",
        "policy",
        "tier",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "gap p50 ms",
        "gap p95 ms",
        "gap p99 ms",
        "shed",
        "expired",
        "late",
    ]);
    for load in comparison.loads() {
        for policy in comparison.policies() {
            for rank in 0..comparison.tiers.len() {
                table.add_row(latency_row(comparison, load, policy, rank));
            }
        }
    }
    table
}

fn latency_row(
    comparison: &compare::Comparison,
    load: f64,
    policy: policy::Variant,
    rank: usize,
) -> Vec<String> {
    let spread = |figure: fn(&figures::TierFigures) -> f64| {
        comparison.spread(load, policy, |run| figure(&run.tiers[rank]))
    };
    vec![
        format!("{load}"),
        policy.to_string(),
        comparison.tiers[rank].clone(),
        format!("{:.0}", spread(|tier| tier.first_ms.p50)),
        format!("{:.0}", spread(|tier| tier.first_ms.p95)),
        format!("{:.0}", spread(|tier| tier.first_ms.p99)),
        format!("{:.1}", spread(|tier| tier.gap_ms.p50).mean),
        format!("{:.1}", spread(|tier| tier.gap_ms.p95).mean),
        format!("{:.1}", spread(|tier| tier.gap_ms.p99).mean),
        format!("{:.0}", spread(|tier| tier.shed as f64).mean),
        format!("{:.0}", spread(|tier| tier.expired as f64).mean),
        format!("{:.0}", spread(|tier| tier.late as f64).mean),
    ]
}

fn least_ratio(run: &figures::RunFigures) -> f64 {
    run.tiers.iter().map(|tier| tier.least_ratio()).fold(f64::INFINITY, f64::min)
}

fn arrived(run: &figures::RunFigures) -> f64 {
    run.tiers.iter().map(|tier| tier.arrived as f64).sum::<f64>().max(1.0)
}

fn new_table() -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table
}
