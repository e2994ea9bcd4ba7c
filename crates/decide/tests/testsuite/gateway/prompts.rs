//! The prefix caches of endpoints.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{Outcome, PoolParams, PoolRequest, PromptPart, prompt_parts};

use super::support::{at, granted, pool, pool_with, request};

fn part(key: u64, tokens: u32) -> PromptPart {
    PromptPart { key, tokens }
}

fn request_with_parts(ms: u64, parts: &[PromptPart]) -> PoolRequest {
    let prompt = parts.iter().map(|part| part.tokens).sum();
    PoolRequest { prompt, parts: parts.to_vec(), ..request(ms, 0) }
}

#[test]
fn only_equal_prefixes_have_equal_keys() {
    let first = prompt_parts("m", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    assert_eq!(first.iter().map(|part| part.tokens).collect::<Vec<_>>(), [800, 410, 250]);
    let second = prompt_parts("m", "5c1e07a2:800, 91bd3f06:410, 00000001:10");
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2].key, second[2].key);
    // The same part after another one, and the same part of another model, have other keys.
    assert_ne!(prompt_parts("m", "91bd3f06:410")[0].key, first[1].key);
    assert_ne!(prompt_parts("n", "5c1e07a2:800")[0].key, first[0].key);
}

#[test]
fn malformed_prompt_parts_are_ignored() {
    for text in ["", ",", "a", "a:", "a:x", "a:-1", "a:99999999999", ":::", "\u{fffd}"] {
        assert!(prompt_parts("m", text).is_empty(), "{text}");
    }
    assert_eq!(prompt_parts("m", "a:10,b,c:10").len(), 1);
    let long = vec!["a:10"; 10_000].join(",");
    assert_eq!(prompt_parts("m", &long).len(), 8);
}

#[test]
fn a_prompt_goes_to_the_endpoint_that_has_cached_its_prefix() {
    let mut pool = pool(&["one", "two"]);
    let first = granted(pool.submit(at(0), request_with_parts(0, &[part(1, 4_000), part(2, 300)])));
    assert_eq!(first.prompt, 4_300);
    pool.record_first_event(at(200), &first, first.prompt);
    pool.end_request(at(300), &first, 0, Outcome::Served);
    let other = granted(pool.submit(at(301), request_with_parts(301, &[part(9, 4_000)])));
    assert_eq!(other.prompt, 4_000);
    pool.record_first_event(at(500), &other, other.prompt);
    pool.end_request(at(600), &other, 0, Outcome::Served);
    for (prefix, endpoint) in [(1, &first.endpoint), (9, &other.endpoint)] {
        let again = request_with_parts(700, &[part(prefix, 4_000), part(prefix + 20, 100)]);
        let again = granted(pool.submit(at(700), again));
        assert_eq!(&again.endpoint, endpoint);
        assert_eq!(again.prompt, 100);
        pool.end_request(at(800), &again, again.prompt, Outcome::Served);
    }
}

#[test]
fn an_endpoint_that_starts_again_has_an_empty_cache() {
    let mut pool = pool(&["one"]);
    let parts = [part(1, 4_000)];
    let first = granted(pool.submit(at(0), request_with_parts(0, &parts)));
    pool.end_request(at(100), &first, first.prompt, Outcome::Lost);
    let again = granted(pool.submit(at(2_000), request_with_parts(2_000, &parts)));
    assert_eq!(again.prompt, 0);
    pool.end_request(at(2_100), &again, again.prompt, Outcome::Lost);
    pool.remove(&"one".into());
    super::support::list(&mut pool, 2_200, "one");
    let restarted = granted(pool.submit(at(2_300), request_with_parts(2_300, &parts)));
    assert_eq!(restarted.prompt, 4_000);
}

/// Four documents of 2,600 tokens are each used by many requests, at four endpoints that each cache one
/// document.
#[test]
fn each_shared_document_is_read_about_once() {
    let names = ["a", "b", "c", "d"];
    let params = PoolParams { cache_tokens: 3_500, ..PoolParams::default() };
    let mut pool = pool_with(params, &names);
    let mut read = 0;
    for number in 0..200_u64 {
        let ms = number * 150;
        let document = (number * 7 + number / 3) % 4;
        let parts = [part(document, 2_600), part(1_000 + number, 60)];
        let grant = granted(pool.submit(at(ms), request_with_parts(ms, &parts)));
        read += grant.prompt;
        // An engine reads some 38 tokens per millisecond.
        pool.record_first_event(at(ms + 60 + u64::from(grant.prompt) / 38), &grant, grant.prompt);
        pool.end_request(at(ms + 140), &grant, 0, Outcome::Served);
    }
    // The parts that are not shared have 12,000 tokens in total. If placement ignored the caches, some
    // 400,000 tokens would be read.
    assert!(read < 60_000, "{read} tokens were read");
}

proptest! {
    /// The tokens that count as cached never exceed those placed there, nor the capacity of the cache.
    #[test]
    fn cached_tokens_never_exceed_placed_tokens(
        requests in proptest::collection::vec(
            proptest::collection::vec((0_u64..12, 1_u32..3_000), 0..4), 1..80),
    ) {
        let params = PoolParams { cache_tokens: 5_000, ..PoolParams::default() };
        let mut pool = pool_with(params, &["one"]);
        let mut placed_keys = std::collections::HashSet::new();
        for (number, keys) in requests.iter().enumerate() {
            let ms = number as u64 * 1_000;
            // As in the keys from headers, a key identifies the part, its number of tokens and all parts
            // before it.
            let mut parts = Vec::new();
            let mut before = 0_u64;
            for (key, tokens) in keys {
                before = before.wrapping_mul(31).wrapping_add(*key * 100_000 + u64::from(*tokens) + 1);
                parts.push(part(before, *tokens));
            }
            let grant = granted(pool.submit(at(ms), request_with_parts(ms, &parts)));
            let cached: u32 = parts.iter().map(|part| part.tokens).sum::<u32>() - grant.prompt;
            let known = parts.iter().take_while(|part| placed_keys.contains(&part.key));
            let max_cached: u32 = known.map(|part| part.tokens).sum();
            prop_assert!(cached <= max_cached.min(5_000), "{cached} of {max_cached}");
            placed_keys.extend(parts.iter().map(|part| part.key));
            pool.record_first_event(at(ms + 10), &grant, grant.prompt);
            pool.end_request(at(ms + 20), &grant, 0, Outcome::Served);
        }
    }
}
