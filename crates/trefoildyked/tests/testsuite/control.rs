//! Control of the testbed processes.

use std::time;

use trefoildyke_wire::http;

use crate::harness;

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Sets the mode of a testbed process.
pub(crate) async fn set_mode(process: &harness::Process, mode: &impl serde::Serialize) {
    let uri = format!("http://{}/admin/mode", process.address(""));
    let request = http::json_request(hyper::Method::POST, &uri, mode).unwrap();
    http::Client::default().call(request, CALL_TIMEOUT).await.unwrap();
}

/// Returns whether the key-value service holds any record of a request.
pub(crate) async fn has_records(kv: &harness::Process) -> bool {
    let list = serde_json::json!({"prefix": "intents/slots/", "after": "", "limit": 10});
    let uri = format!("http://{}/v1/list", kv.address(""));
    let request = http::json_request(hyper::Method::POST, &uri, &list).unwrap();
    let Ok(reply) = http::Client::default().call(request, CALL_TIMEOUT).await else { return false };
    let reply: serde_json::Value = http::parse(&reply).unwrap();
    !reply["entries"].as_array().unwrap().is_empty()
}
