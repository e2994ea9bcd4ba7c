//! Tests of several daemons that commit the same requests to one slot, in random orders and with faults.

use proptest::{prelude::*, test_runner};
use trefoildyke_decide::intents;

use crate::intents::{fixture, simulation};

const DAEMONS: usize = 3;
const REQUESTS: u64 = 6;

fn steps() -> impl Strategy<Value = Vec<(usize, simulation::Transition)>> {
    let transition = prop_oneof![
        // Most steps succeed, because otherwise nothing would ever be written.
        12 => Just(simulation::Transition::Answered),
        8 => prop::sample::select(simulation::TRANSITIONS.to_vec()),
    ];
    prop::collection::vec((0..DAEMONS, transition), 0..60)
}

fn run(
    variant: simulation::Variant,
    steps: &[(usize, simulation::Transition)],
) -> Result<(), String> {
    let mut simulation = simulation::Simulation::new(variant, DAEMONS, REQUESTS);
    for (daemon, transition) in steps {
        simulation.step(*daemon, *transition);
    }
    simulation.check()
}

fn explore(variant: simulation::Variant, cases: u32) -> Result<(), String> {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(), |steps| run(variant, &steps).map_err(TestCaseError::fail));
    result.map_err(|error| error.to_string())
}

#[test]
fn every_record_is_created_once_and_every_outcome_is_correct() {
    explore(simulation::Variant::AllGuards, 20_000).unwrap();
}

#[test]
fn without_comparing_revisions_a_record_is_lost() {
    explore(simulation::Variant::NoCompare, 20_000).unwrap_err();
}

#[test]
fn without_sealing_a_record_is_stored_twice() {
    explore(simulation::Variant::NoSeal, 20_000).unwrap_err();
}

#[test]
fn without_a_nonce_two_daemons_claim_the_same_record() {
    explore(simulation::Variant::NoNonce, 20_000).unwrap_err();
}

#[test]
fn treating_a_lost_answer_as_a_refusal_gives_a_wrong_outcome() {
    explore(simulation::Variant::LossIsRefusal, 20_000).unwrap_err();
}

#[test]
fn without_faults_all_daemons_finish_and_parts_roll_over() {
    let mut simulation = simulation::Simulation::new(simulation::Variant::AllGuards, DAEMONS, 20);
    simulation.finish_commits();
    let (_, rows, parts) = simulation.extent();
    assert_eq!(rows, 20);
    assert!(parts > 4, "{parts} parts");
    simulation.check().unwrap();
}

#[test]
fn concurrent_writes_of_two_daemons_are_merged() {
    let mut first = commit(1);
    let mut second = commit(2);
    for commit in [&mut first, &mut second] {
        assert_eq!(commit.next(fixture::NOW_MS), intents::Step::Read { first: 0 });
        commit.observe(intents::StepResult::Found(vec![]));
    }
    let intents::Step::Write { part, expected_revision: 0, index: 0 } = first.next(fixture::NOW_MS)
    else {
        panic!("the first does not create the part");
    };
    first.observe(intents::StepResult::Written { revision: 5 });
    second.next(fixture::NOW_MS);
    let stored = intents::Stored { index: 0, revision: 5, part };
    second.observe(intents::StepResult::Conflict(Some(stored)));
    let intents::Step::Write { part, expected_revision: 5, .. } = second.next(fixture::NOW_MS)
    else {
        panic!("the second does not write again");
    };
    assert_eq!(part.rows.len(), 3, "the second write keeps the rows of the first");
    second.observe(intents::StepResult::Written { revision: 6 });
    let (_, outcomes) = second.finish(fixture::NOW_MS);
    let first_record = fixture::row(0, 1).record;
    assert_eq!(outcomes, [intents::Outcome::Exists(first_record), intents::Outcome::Created]);
}

/// Returns the commit of two requests: one that both daemons record, and one that only `daemon` records.
fn commit(daemon: u64) -> intents::Commit {
    let rows = vec![fixture::row(0, daemon), fixture::row(daemon, daemon)];
    intents::Commit::new(intents::SlotCache::default(), fixture::RETENTION, 10_000, rows)
}
