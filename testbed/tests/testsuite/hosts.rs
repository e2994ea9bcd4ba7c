//! The host list's client against its stand-in.

use std::time;

use testbed::{hosts, switch};
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

const LONG: time::Duration = time::Duration::from_secs(20);

fn host(state: message::HostState) -> message::Host {
    message::Host {
        host: "entry-1".into(),
        zone: "salem".into(),
        state,
        role: message::HostRole::Entry,
        peer: Some(([127, 0, 0, 1], 7).into()),
    }
}

#[tokio::test]
async fn the_list_lags_behind_the_truth() {
    let lag = time::Duration::from_millis(300);
    let live = vec![host(message::HostState::Live)];
    let settings = hosts::Settings { lag, hosts: live.clone(), ..hosts::Settings::default() };
    let running = hosts::serve(settings).await.unwrap();
    let client = platform::HostsClient::new(running.address(), LONG);
    let leaving = vec![host(message::HostState::Leaving)];
    let changed = time::Instant::now();
    running.set_hosts(leaving.clone());
    loop {
        let list = client.list().await.unwrap();
        if list.hosts == leaving {
            break;
        }
        assert_eq!(list.hosts, live);
        assert!(changed.elapsed() < LONG, "the change was never shown");
    }
    assert!(changed.elapsed() >= lag, "the change was shown too early");
    client.close().await;
    running.stop().await;
}

#[tokio::test]
async fn an_outage_is_unavailable() {
    let running = hosts::serve(hosts::Settings::default()).await.unwrap();
    let client = platform::HostsClient::new(running.address(), time::Duration::from_millis(200));
    for kind in [switch::ModeKind::Down, switch::ModeKind::Silent] {
        running.set_mode(switch::Mode::new(kind));
        let error = client.list().await.unwrap_err();
        assert_eq!(error.kind, error::ErrorKind::Unavailable);
        assert!(client.health().failing.is_some());
    }
    running.set_mode(switch::Mode::new(switch::ModeKind::Ok));
    let patient = platform::HostsClient::new(running.address(), LONG);
    assert_eq!(patient.list().await.unwrap().hosts, []);
}
