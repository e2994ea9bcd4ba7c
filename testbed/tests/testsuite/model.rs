//! The pure engine model.

use std::time::Duration;

use proptest::prelude::*;
use testbed::model::{self, ModelEvent};
use trefoildyke_types::{engine, id, time::Timestamp};

fn key(number: u32) -> id::RequestKey {
    let text = format!("0192d3a4-0000-7000-8000-{number:012x}");
    id::RequestKey { account: "cascadia".into(), id: text.parse().unwrap() }
}

fn job(number: u32, prefix: &[u64], tail: u32, output_tokens: u32) -> model::Job {
    model::Job {
        key: key(number),
        prompt_tokens: prefix.len() as u32 * engine::BLOCK_TOKENS + tail,
        prefix: prefix.to_vec(),
        max_tokens: output_tokens,
        output_tokens,
    }
}

/// Runs until nothing more happens or `until`, and returns the events.
fn run(engine: &mut model::Engine, until: Timestamp) -> Vec<ModelEvent> {
    let mut events = Vec::new();
    while let Some(time) = engine.next_time().filter(|time| *time <= until) {
        events.extend(engine.advance(time));
    }
    events.extend(engine.advance(until));
    events
}

fn finished_at(events: &[ModelEvent], number: u32) -> Option<Timestamp> {
    events.iter().find_map(|event| match event {
        ModelEvent::Finished { key: found, at } if *found == key(number) => Some(*at),
        _ => None,
    })
}

const SECOND: Timestamp = Timestamp::from_millis(1_000);
const LONG: Timestamp = Timestamp::from_millis(100_000);

#[test]
fn a_step_takes_at_least_five_milliseconds_and_grows_with_its_work() {
    let params = model::Params { speed: 100.0, ..Default::default() };
    assert_eq!(params.step_time(1, 1), Duration::from_millis(5));
    let usual = model::Params::default();
    assert!(usual.step_time(512, 1) > usual.step_time(16, 1));
    assert!(usual.step_time(16, 16) > usual.step_time(16, 1));
    let old = model::Params { speed: model::GENERATION_SPEEDS[3], ..Default::default() };
    assert!(old.step_time(16, 1) > usual.step_time(16, 1).mul_f64(2.5));
}

#[test]
fn tokens_come_in_order_and_once() {
    let mut engine = model::Engine::new(model::Params::default());
    engine.submit(Timestamp::ZERO, job(1, &[], 2_000, 40));
    let mut expected = 0;
    for event in run(&mut engine, LONG) {
        if let ModelEvent::Tokens { offset, count, .. } = event {
            assert_eq!(offset, expected);
            expected += count;
        }
    }
    assert_eq!(expected, 40);
    assert_eq!(engine.next_time(), None);
}

#[test]
fn admission_is_first_come_first_served_up_to_the_slots() {
    let mut engine = model::Engine::new(model::Params { slots: 1, ..Default::default() });
    for number in 1..=3 {
        engine.submit(Timestamp::ZERO, job(number, &[], 10, 5));
    }
    let events = run(&mut engine, LONG);
    let times: Vec<_> = (1..=3).map(|number| finished_at(&events, number).unwrap()).collect();
    assert!(times[0] < times[1] && times[1] < times[2], "{times:?}");
}

#[test]
fn a_cached_prefix_is_not_processed_again() {
    let mut engine = model::Engine::new(model::Params::default());
    let prefix: Vec<u64> = (1..=100).collect();
    engine.submit(Timestamp::ZERO, job(1, &prefix, 20, 2));
    run(&mut engine, SECOND);
    engine.submit(SECOND, job(2, &prefix, 20, 2));
    run(&mut engine, LONG);
    let totals = engine.ledger().totals();
    assert_eq!(totals.cached, 1_600);
    assert_eq!(totals.prefilled, 1_620 + 20);
    assert_eq!(totals.wasted, 0);
}

#[test]
fn a_prefix_processed_on_two_engines_is_wasted_once() {
    let prefix: Vec<u64> = (1..=10).collect();
    let mut engines = [1, 2].map(|number| {
        let mut engine = model::Engine::new(model::Params::default());
        engine.submit(Timestamp::ZERO, job(number, &prefix, 5, 2));
        engine
    });
    engines.iter_mut().for_each(|engine| drop(run(engine, LONG)));
    let [first, second] = &engines;
    assert_eq!(first.ledger().totals().wasted, 0);
    let fleet = model::Ledger::fleet([first.ledger(), second.ledger()]);
    assert_eq!((fleet.prefilled, fleet.wasted), (330, 160));
}

#[test]
fn prefill_of_a_cancelled_stream_is_wasted() {
    let mut engine = model::Engine::new(model::Params::default());
    engine.submit(Timestamp::ZERO, job(1, &[1, 2], 8, 1_000));
    run(&mut engine, Timestamp::from_millis(500));
    assert_eq!(engine.ledger().totals().pending, 40);
    assert!(engine.cancel(Timestamp::from_millis(500), &key(1)));
    let events = run(&mut engine, LONG);
    assert!(events.iter().any(|event| matches!(event, ModelEvent::Cancelled { .. })));
    let totals = engine.ledger().totals();
    assert_eq!((totals.pending, totals.wasted, totals.completed), (0, 40, 0));
}

#[test]
fn the_cache_evicts_the_least_recently_used_chain_from_its_end() {
    let mut cache = model::PrefixCache::new(3);
    for block in [1, 2, 3] {
        assert_eq!(cache.store(block), Some(None));
    }
    cache.touch(&[1, 2, 3]);
    assert_eq!(cache.store(9), Some(Some(3)));
    assert_eq!(cache.matched(&[1, 2, 3]), 2);
}

#[test]
fn a_frozen_engine_does_nothing_until_it_thaws() {
    let mut engine = model::Engine::new(model::Params::default());
    engine.submit(Timestamp::ZERO, job(1, &[], 10, 5));
    engine.set_mode(Timestamp::ZERO, model::Mode::Freeze);
    assert!(run(&mut engine, SECOND).is_empty());
    engine.set_mode(SECOND, model::Mode::Ok);
    let events = run(&mut engine, LONG);
    assert!(finished_at(&events, 1).unwrap() > SECOND);
}

#[test]
fn a_straggler_takes_so_many_times_as_long() {
    let time = |mode| {
        let mut engine = model::Engine::new(model::Params::default());
        engine.set_mode(Timestamp::ZERO, mode);
        engine.submit(Timestamp::ZERO, job(1, &[], 10, 50));
        finished_at(&run(&mut engine, LONG), 1).unwrap().as_micros() as f64
    };
    let ratio = time(model::Mode::Straggle(8.0)) / time(model::Mode::Ok);
    assert!((7.9..8.1).contains(&ratio), "{ratio}");
}

#[test]
fn load_reports_show_the_past() {
    let mut engine = model::Engine::new(model::Params::default());
    engine.submit(Timestamp::ZERO, job(1, &[], 10, 1_000));
    run(&mut engine, Timestamp::from_millis(900));
    assert_eq!(engine.load(Timestamp::from_millis(900)).running, 0);
    run(&mut engine, Timestamp::from_millis(1_500));
    let report = engine.load(Timestamp::from_millis(1_500));
    assert_eq!((report.running, report.as_of_ms), (1, 500));
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let params = model::Params { event_loss: 10, ..Default::default() };
    let lag = params.event_lag;
    let mut engine = model::Engine::new(params);
    let prefix: Vec<u64> = (1..=1_000).collect();
    engine.submit(Timestamp::ZERO, job(1, &prefix, 4, 1));
    let mut seqs = Vec::new();
    for event in run(&mut engine, LONG) {
        if let ModelEvent::Cache { event, at } = event {
            assert!(at >= Timestamp::ZERO + lag);
            seqs.push(event.seq);
        }
    }
    assert!(seqs.is_sorted());
    assert!((800..980).contains(&seqs.len()), "{}", seqs.len());
}

#[test]
fn a_second_submission_counts_and_does_not_run_beside_the_first() {
    let mut engine = model::Engine::new(model::Params::default());
    assert!(engine.submit(Timestamp::ZERO, job(1, &[], 10, 5)));
    assert!(!engine.submit(Timestamp::ZERO, job(1, &[], 10, 5)));
    run(&mut engine, LONG);
    assert_eq!(engine.ledger().starts[&key(1)], 2);
    assert_eq!(engine.ledger().completed, 1);
}

proptest! {
    /// Whatever is submitted, cancelled or frozen, the token counts add up.
    #[test]
    fn tokens_add_up(steps in prop::collection::vec((0_u32..6, 0_u32..40, 1_u32..60), 1..60)) {
        let params = model::Params { slots: 3, cache_blocks: 8, ..Default::default() };
        let mut engine = model::Engine::new(params);
        let mut now = Timestamp::ZERO;
        for (index, (choice, blocks, size)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(size));
            run(&mut engine, now);
            let prefix: Vec<u64> = (0..u64::from(blocks)).collect();
            match choice {
                0 => drop(engine.cancel(now, &key(size))),
                1 => engine.set_mode(now, model::Mode::Straggle(2.0)),
                2 => engine.set_mode(now, model::Mode::Ok),
                _ => drop(engine.submit(now, job(index as u32, &prefix, size, size))),
            }
        }
        let started = engine.ledger().starts.len() as u64;
        run(&mut engine, LONG);
        let totals = engine.ledger().totals();
        prop_assert_eq!(totals.pending, 0);
        prop_assert!(totals.wasted <= totals.prefilled);
        prop_assert!(totals.completed <= started);
        prop_assert_eq!(engine.next_time(), None);
    }
}
