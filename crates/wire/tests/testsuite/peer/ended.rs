//! Tests of calls over a connection that ends.

use std::time;

use trefoildyke_wire::peer;

use crate::peer::harness;

const KEY: &str = "0123456789abcdef";

/// Guards against a call that waits forever because its connection ends while the call is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn calls_end_with_their_connection() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let mut stuck = 0;
    for _ in 0..3_000 {
        let (client, driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
        let callers = (0..16).map(|_| {
            let client = client.clone();
            tokio::spawn(async move {
                while client.ping(peer::within(time::Duration::from_secs(1))).await.is_ok() {}
            })
        });
        let callers: Vec<_> = callers.collect();
        tokio::time::sleep(time::Duration::from_micros(500)).await;
        driver.abort();
        for caller in callers {
            let ended = tokio::time::timeout(time::Duration::from_secs(3), caller).await;
            stuck += u32::from(ended.is_err());
        }
    }
    assert_eq!(stuck, 0, "calls that outlasted their connection and their timeout");
}
