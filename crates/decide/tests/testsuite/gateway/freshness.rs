//! How long keys are believed.

use std::time::Duration;

use trefoildyke_decide::gateway::Freshness;
use trefoildyke_types::time::Timestamp;

#[test]
fn nothing_is_believed_before_the_first_confirmation() {
    assert!(!Freshness::new(Duration::from_secs(4)).is_fresh(Timestamp::ZERO));
}

#[test]
fn belief_ends_at_the_horizon_and_an_old_confirmation_does_not_shorten_it() {
    let mut freshness = Freshness::new(Duration::from_millis(3_900));
    freshness.confirm(Timestamp::from_millis(1_000));
    freshness.confirm(Timestamp::from_millis(500));
    assert!(freshness.is_fresh(Timestamp::from_millis(4_899)));
    assert!(!freshness.is_fresh(Timestamp::from_millis(4_900)));
}
