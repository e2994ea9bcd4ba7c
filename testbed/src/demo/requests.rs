//! The requests of the demo.

use trefoildyke_types::{id, request};

/// The classes, which the configuration maps to tiers of the same names.
const CLASSES: [&str; 3] = ["determination", "summary", "status"];
const ROUNDS: usize = 2;

/// Returns a few requests of each class for the engines and one call of the service.
pub(super) fn all() -> Vec<request::RequestSpec> {
    let mut specs: Vec<_> =
        (0..ROUNDS).flat_map(|_| CLASSES).enumerate().map(|(n, class)| draft(n, class)).collect();
    specs.push(letter(Some(new_id())));
    specs
}

/// Returns a request that must be refused: a letter that may not be issued twice, without an id.
pub(super) fn without_id() -> request::RequestSpec {
    letter(None)
}

fn draft(number: usize, class: &str) -> request::RequestSpec {
    // Lengths differ a hundredfold, as the users' do.
    let prompt_tokens = if class == "determination" { 6_000 } else { 60 + number as u32 };
    request::RequestSpec {
        id: Some(new_id()),
        pool: "assistant".into(),
        target: request::Target::Model("assistant".into()),
        class: class.to_owned(),
        input: String::new(),
        prompt_tokens: Some(prompt_tokens),
        prefix: Vec::new(),
        max_tokens: 24,
        idempotent: true,
        deadline_ms: None,
        attempt: 1,
        offset: 0,
    }
}

fn letter(id: Option<id::RequestId>) -> request::RequestSpec {
    request::RequestSpec {
        id,
        pool: "portal".into(),
        target: request::Target::Service("issue-letter".to_owned()),
        input: "certificate 17".to_owned(),
        prompt_tokens: None,
        max_tokens: 0,
        idempotent: false,
        ..draft(0, "determination")
    }
}

fn new_id() -> id::RequestId {
    id::RequestId::chosen(uuid::Uuid::now_v7())
}
