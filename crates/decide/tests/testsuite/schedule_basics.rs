//! The scheduler's plain behaviour: order, place, repeated and late inputs.

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time};

fn key(number: u64) -> id::RequestKey {
    let text = format!("0192d3a4-0000-7000-8000-{number:012x}");
    id::RequestKey { account: "office".into(), id: text.parse().expect("a UUIDv7") }
}

fn ask(number: u64, rank: u8) -> request::Ask {
    request::Ask {
        key: key(number),
        coordinator: id::Incarnation::from_u64(1),
        rank,
        prompt_tokens: 100,
        max_tokens: 10,
        prefix: Vec::new(),
        left_ms: 10_000,
    }
}

fn shard(slots: u32) -> schedule::Shard {
    let mut shard = schedule::Shard::new(schedule::Params::default(), id::Incarnation::from_u64(9));
    let info = schedule::EndpointInfo { endpoint: "e1".into(), slots, cache_tokens: 0 };
    shard.step(time::Timestamp::ZERO, schedule::Input::EndpointUp(info));
    shard
}

fn granted(outputs: &[schedule::Output]) -> Vec<id::RequestKey> {
    let grants = outputs.iter().filter_map(|output| match output {
        schedule::Output::Grant(permit) => Some(permit.key.clone()),
        _ => None,
    });
    grants.collect()
}

#[test]
fn higher_tier_goes_first() {
    let mut shard = shard(1);
    let now = time::Timestamp::from_millis(1);
    assert_eq!(granted(&shard.step(now, schedule::Input::Ask(ask(1, 1)))), [key(1)]);
    assert_eq!(granted(&shard.step(now, schedule::Input::Ask(ask(2, 1)))), []);
    assert_eq!(granted(&shard.step(now, schedule::Input::Ask(ask(3, 0)))), []);
    let done =
        schedule::Report::Finished { key: key(1), tokens: 10, outcome: schedule::Outcome::Whole };
    assert_eq!(granted(&shard.step(now, schedule::Input::Report(done))), [key(3)]);
}

#[test]
fn asking_again_repeats_the_permit() {
    let mut shard = shard(2);
    let now = time::Timestamp::from_millis(1);
    let first = granted(&shard.step(now, schedule::Input::Ask(ask(1, 0))));
    let again = granted(&shard.step(now, schedule::Input::Ask(ask(1, 0))));
    assert_eq!(first, again);
    assert_eq!(granted(&shard.step(now, schedule::Input::Ask(ask(2, 0)))), [key(2)]);
    assert_eq!(granted(&shard.step(now, schedule::Input::Ask(ask(3, 0)))), []);
}
