//! Several daemons commit the same requests to one slot, in every order and with every fault.

use proptest::{prelude::*, test_runner};
use trefoildyke_decide::intents;

use crate::intents::{fixture, simulation};

const DAEMONS: usize = 3;
const REQUESTS: u64 = 6;

fn steps() -> impl Strategy<Value = Vec<(usize, simulation::Fate)>> {
    let fate = prop_oneof![
        // Most steps go well, or nothing would ever be written.
        12 => Just(simulation::Fate::Answered),
        8 => prop::sample::select(simulation::FATES.to_vec()),
    ];
    prop::collection::vec((0..DAEMONS, fate), 0..60)
}

fn run(variant: simulation::Variant, steps: &[(usize, simulation::Fate)]) -> Result<(), String> {
    let mut simulation = simulation::Simulation::new(variant, DAEMONS, REQUESTS);
    for (daemon, fate) in steps {
        simulation.step(*daemon, *fate);
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
fn every_record_is_created_once_and_every_outcome_is_true() {
    explore(simulation::Variant::Whole, 20_000).unwrap();
}

#[test]
fn without_comparing_revisions_a_record_is_lost() {
    explore(simulation::Variant::NoCompare, 20_000).unwrap_err();
}

#[test]
fn without_sealing_a_record_stands_twice() {
    explore(simulation::Variant::NoSeal, 20_000).unwrap_err();
}

#[test]
fn without_a_nonce_two_daemons_take_one_record_for_their_own() {
    explore(simulation::Variant::NoNonce, 20_000).unwrap_err();
}

#[test]
fn a_lost_answer_taken_for_a_refusal_is_untrue() {
    explore(simulation::Variant::LossIsRefusal, 20_000).unwrap_err();
}

#[test]
fn without_faults_all_daemons_finish_and_parts_roll_over() {
    let mut simulation = simulation::Simulation::new(simulation::Variant::Whole, DAEMONS, 20);
    simulation.settle();
    let (_, rows, parts) = simulation.extent();
    assert_eq!(rows, 20);
    assert!(parts > 4, "{parts} parts");
    simulation.check().unwrap();
}

#[test]
fn two_daemons_that_wrote_at_once_merge() {
    let mut first = commit(1);
    let mut second = commit(2);
    for commit in [&mut first, &mut second] {
        assert_eq!(commit.next(fixture::NOW_MS), intents::Step::Read { first: 0 });
        commit.observe(intents::Event::Found(vec![]));
    }
    let intents::Step::Write { part, expect: 0, index: 0 } = first.next(fixture::NOW_MS) else {
        panic!("the first does not create the part");
    };
    first.observe(intents::Event::Written { revision: 5 });
    second.next(fixture::NOW_MS);
    let stored = intents::Stored { index: 0, revision: 5, part };
    second.observe(intents::Event::Conflict(Some(stored)));
    let intents::Step::Write { part, expect: 5, .. } = second.next(fixture::NOW_MS) else {
        panic!("the second does not write again");
    };
    assert_eq!(part.rows.len(), 3, "the loser keeps the winner's rows");
    second.observe(intents::Event::Written { revision: 6 });
    let (_, outcomes) = second.finish(fixture::NOW_MS);
    let winner = fixture::row(0, 1).record;
    assert_eq!(outcomes, [intents::Outcome::Exists(winner), intents::Outcome::Created]);
}

/// Returns the commit of one request that both daemons record and one that only this one does.
fn commit(daemon: u64) -> intents::Commit {
    let rows = vec![fixture::row(0, daemon), fixture::row(daemon, daemon)];
    intents::Commit::new(intents::Ledger::default(), fixture::RETENTION, 10_000, rows)
}
