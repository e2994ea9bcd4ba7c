//! The time for which API keys are accepted.

use std::time::Duration;

use trefoildyke_decide::gateway::Freshness;
use trefoildyke_types::time::Timestamp;

#[test]
fn keys_are_rejected_before_the_first_confirmation() {
    assert!(!Freshness::new(Duration::from_secs(4)).is_confirmed(Timestamp::ZERO));
}

#[test]
fn keys_are_accepted_up_to_the_maximum_age_and_an_old_confirmation_does_not_shorten_it() {
    let mut freshness = Freshness::new(Duration::from_millis(3_900));
    freshness.confirm(Timestamp::from_millis(1_000));
    freshness.confirm(Timestamp::from_millis(500));
    assert!(freshness.is_confirmed(Timestamp::from_millis(4_899)));
    assert!(!freshness.is_confirmed(Timestamp::from_millis(4_900)));
}
