//! The recovery of a pool from short disturbances.

use testbed::recovery;

/// The longest recovery from a disturbance of up to 8 s that leaves the endpoints sound, in milliseconds.
const MAX_RECOVERY_MS: u64 = 3_000;

/// Guards against disturbances that leave endpoints unused after they have ended.
#[test]
fn a_pool_serves_as_before_within_three_seconds_of_any_disturbance() {
    for row in recovery::rows() {
        for (length, recovery) in recovery::LENGTHS_MS.into_iter().zip(&row.recovery_ms) {
            let has_recovered = recovery.is_some_and(|time| time <= MAX_RECOVERY_MS);
            assert!(has_recovered, "{} for {length} ms: {recovery:?}", row.name);
        }
    }
}

#[test]
fn the_plot_names_all_kinds_of_disturbance() {
    let rows: Vec<_> = recovery::Kind::ALL
        .map(|kind| recovery::Row { name: kind.name(), recovery_ms: vec![Some(700), None] })
        .into();
    let plot = recovery::svg(&rows).unwrap();
    for kind in recovery::Kind::ALL {
        assert!(plot.contains(kind.name()), "{plot}");
    }
}

#[test]
fn endpoints_that_stand_still_go_on_where_they_were() {
    let kind = recovery::Kind::Standstill;
    let disturbance = recovery::Disturbance { kind, start_ms: 1_000, end_ms: 1_800 };
    let completion = |time| disturbance.completion(time, 100);
    assert_eq!(
        [800, 900, 950, 1_000, 1_500, 1_800].map(completion),
        [900, 1_000, 1_850, 1_900, 1_900, 1_900]
    );
}
