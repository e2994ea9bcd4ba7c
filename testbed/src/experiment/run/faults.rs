//! When the faults of a scenario happen.

use trefoildyke_types::time::Timestamp;

use super::agenda;
use crate::experiment::scenario;

/// Adds the faults of `scenario` to the agenda.
pub(super) fn add(scenario: &scenario::Scenario, agenda: &mut agenda::Agenda) {
    for (at, straggler) in scenario.stragglers.iter().enumerate() {
        let start = straggler.at_ms;
        agenda.add(Timestamp::from_millis(start), agenda::Event::Straggle(at));
        if let Some(length) = straggler.for_ms {
            agenda.add(Timestamp::from_millis(start + length), agenda::Event::Recover(at));
        }
    }
    for taken in &scenario.taken_back {
        let endpoint = usize::from(taken.endpoint);
        if taken.notice_ms > 0 {
            let listed = Timestamp::from_millis(taken.at_ms.saturating_sub(taken.notice_ms));
            agenda.add(listed, agenda::Event::Leave(endpoint));
        }
        agenda.add(Timestamp::from_millis(taken.at_ms), agenda::Event::Lose(endpoint));
        let noticed = Timestamp::from_millis(taken.at_ms + taken.detect_ms);
        agenda.add(noticed, agenda::Event::Notice(endpoint));
    }
    for lost in &scenario.lost_schedulers {
        agenda.add(Timestamp::from_millis(lost.at_ms), agenda::Event::LoseScheduler);
        let replaced = Timestamp::from_millis(lost.at_ms + lost.detect_ms);
        agenda.add(replaced, agenda::Event::ReplaceScheduler);
    }
}
