//! Scenario files and the arrivals that they describe.

use std::fs;

use testbed::experiment::{arrivals, scenario::Scenario};

use trefoildyke_types::time::Timestamp;

fn cascadia() -> String {
    read("cascadia")
}

fn read(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    fs::read_to_string(format!("{root}/../examples/scenarios/{name}.yaml")).unwrap()
}

#[test]
fn every_example_is_a_valid_scenario() {
    let root = env!("CARGO_MANIFEST_DIR");
    let mut count = 0;
    for entry in fs::read_dir(format!("{root}/../examples/scenarios")).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let scenario = Scenario::from_yaml(&text).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        assert_eq!(Some(scenario.name.as_str()), path.file_stem().unwrap().to_str());
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn unknown_keys_and_unusable_values_are_refused() {
    let unknown = cascadia().replace("hosts: 8", "hosts: 8\nhostess: 1");
    assert!(Scenario::from_yaml(&unknown).unwrap_err().to_string().contains("hostess"));
    let nested = cascadia().replace("{name: status, ", "{name: status, weight: 1, ");
    assert!(Scenario::from_yaml(&nested).unwrap_err().to_string().contains("weight"));
    let tier = cascadia().replace("tier: status", "tier: nobody");
    let error = Scenario::from_yaml(&tier).unwrap_err();
    assert_eq!(error.to_string(), "classes.tier: the value is not usable; name one of `tiers`");
    let range = cascadia().replace("min: 3000, max: 12000", "min: 3000, max: 12");
    assert!(Scenario::from_yaml(&range).unwrap_err().to_string().contains("classes.prompt"));
}

#[test]
fn a_seed_decides_the_arrivals() {
    let scenario = Scenario::from_yaml(&cascadia()).unwrap();
    let first = arrivals::generate(&scenario, 20.0, 1);
    assert_eq!(first, arrivals::generate(&scenario, 20.0, 1));
    assert_ne!(first, arrivals::generate(&scenario, 20.0, 2));
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
}

#[test]
fn arrivals_follow_the_plan() {
    let scenario = Scenario::from_yaml(&read("agec")).unwrap();
    let all = arrivals::generate(&scenario, 100.0, 7);
    let expected = 100.0 * scenario.duration_ms as f64 / 1_000.0;
    assert!((all.len() as f64 - expected).abs() < expected * 0.05, "{} arrivals", all.len());
    assert!(all.iter().all(|a| a.at < Timestamp::from_millis(scenario.duration_ms)));
    assert!(all.iter().all(|a| a.prompt_tokens >= 16 * a.prefix.len() as u32));
    assert!(all.iter().all(|a| a.output_tokens <= a.max_tokens));
    let (shortest, longest) =
        (all.iter().map(|a| a.prompt_tokens).min(), all.iter().map(|a| a.prompt_tokens).max());
    assert!(longest.unwrap() >= 100 * shortest.unwrap());
    let corrections = all.iter().filter(|a| a.class == 0).count() as f64;
    assert!((corrections / all.len() as f64 - scenario.classes[0].share).abs() < 0.02);
}

#[test]
fn a_burst_leaves_the_steady_arrivals_as_they_are() {
    let scenario = Scenario::from_yaml(&read("long-prompt")).unwrap();
    let mut without = scenario.clone();
    without.bursts.clear();
    let steady: Vec<_> = arrivals::generate(&scenario, 50.0, 3)
        .into_iter()
        .filter(|arrival| arrival.class == 0)
        .map(|arrival| (arrival.at, arrival.prompt_tokens, arrival.output_tokens))
        .collect();
    let alone: Vec<_> = arrivals::generate(&without, 50.0, 3)
        .into_iter()
        .map(|arrival| (arrival.at, arrival.prompt_tokens, arrival.output_tokens))
        .collect();
    assert_eq!(steady, alone);
}
