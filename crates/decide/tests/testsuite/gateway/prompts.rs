//! Prompts of which an endpoint has kept the beginning.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{Demand, Outcome, PoolParams, PromptPart, prompt_parts};

use super::support::{at, demand, granted, pool, pool_with};

fn part(key: u64, tokens: u32) -> PromptPart {
    PromptPart { key, tokens }
}

fn asks(ms: u64, parts: &[PromptPart]) -> Demand {
    let prompt = parts.iter().map(|part| part.tokens).sum();
    Demand { prompt, parts: parts.to_vec(), ..demand(ms, 0) }
}

#[test]
fn equal_beginnings_have_equal_keys_and_others_have_not() {
    let first = prompt_parts("m", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    assert_eq!(first.iter().map(|part| part.tokens).collect::<Vec<_>>(), [800, 410, 250]);
    let second = prompt_parts("m", "5c1e07a2:800, 91bd3f06:410, 00000001:10");
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2].key, second[2].key);
    // The same part after another one, and the same parts of another model, are read anew.
    assert_ne!(prompt_parts("m", "91bd3f06:410")[0].key, first[1].key);
    assert_ne!(prompt_parts("n", "5c1e07a2:800")[0].key, first[0].key);
}

#[test]
fn what_cannot_be_read_of_a_list_of_parts_is_left_out() {
    for text in ["", ",", "a", "a:", "a:x", "a:-1", "a:99999999999", ":::", "\u{fffd}"] {
        assert!(prompt_parts("m", text).is_empty(), "{text}");
    }
    assert_eq!(prompt_parts("m", "a:10,b,c:10").len(), 1);
    let long = vec!["a:10"; 10_000].join(",");
    assert_eq!(prompt_parts("m", &long).len(), 8);
}

#[test]
fn a_prompt_goes_where_its_beginning_is_kept_and_only_the_rest_is_read() {
    let mut pool = pool(&["one", "two"]);
    let first = granted(pool.arrive(at(0), asks(0, &[part(1, 4_000), part(2, 300)])));
    assert_eq!(first.prompt, 4_300);
    pool.first(at(200), &first, first.prompt);
    pool.end(at(300), &first, 0, Outcome::Served);
    let other = granted(pool.arrive(at(301), asks(301, &[part(9, 4_000)])));
    assert_eq!(other.prompt, 4_000);
    pool.first(at(500), &other, other.prompt);
    pool.end(at(600), &other, 0, Outcome::Served);
    for (beginning, endpoint) in [(1, &first.endpoint), (9, &other.endpoint)] {
        let again = asks(700, &[part(beginning, 4_000), part(beginning + 20, 100)]);
        let again = granted(pool.arrive(at(700), again));
        assert_eq!(&again.endpoint, endpoint);
        assert_eq!(again.prompt, 100);
        pool.end(at(800), &again, again.prompt, Outcome::Served);
    }
}

#[test]
fn an_endpoint_that_starts_again_has_kept_nothing() {
    let mut pool = pool(&["one"]);
    let parts = [part(1, 4_000)];
    let first = granted(pool.arrive(at(0), asks(0, &parts)));
    pool.end(at(100), &first, first.prompt, Outcome::Lost);
    let again = granted(pool.arrive(at(2_000), asks(2_000, &parts)));
    assert_eq!(again.prompt, 0);
    pool.end(at(2_100), &again, again.prompt, Outcome::Lost);
    pool.remove(&"one".into());
    super::support::list(&mut pool, 2_200, "one");
    let anew = granted(pool.arrive(at(2_300), asks(2_300, &parts)));
    assert_eq!(anew.prompt, 4_000);
}

/// Four documents of 2,600 tokens, each asked about again and again, at four endpoints that keep one of them each.
#[test]
fn requests_about_a_few_documents_read_each_of_them_about_once_at_an_endpoint() {
    let names = ["a", "b", "c", "d"];
    let params = PoolParams { kept_tokens: 3_500, ..PoolParams::default() };
    let mut pool = pool_with(params, &names);
    let mut read = 0;
    for number in 0..200_u64 {
        let ms = number * 150;
        let document = (number * 7 + number / 3) % 4;
        let parts = [part(document, 2_600), part(1_000 + number, 60)];
        let grant = granted(pool.arrive(at(ms), asks(ms, &parts)));
        read += grant.prompt;
        // An engine reads some 38 tokens in a millisecond.
        pool.first(at(ms + 60 + u64::from(grant.prompt) / 38), &grant, grant.prompt);
        pool.end(at(ms + 140), &grant, 0, Outcome::Served);
    }
    // The own parts take 12,000; without regard to what is kept some 400,000 are read.
    assert!(read < 60_000, "{read} tokens were read");
}

proptest! {
    /// Whatever is placed, no more counts as kept than was placed there, and than fits.
    #[test]
    fn never_more_is_kept_than_was_placed(
        requests in proptest::collection::vec(
            proptest::collection::vec((0_u64..12, 1_u32..3_000), 0..4), 1..80),
    ) {
        let params = PoolParams { kept_tokens: 5_000, ..PoolParams::default() };
        let mut pool = pool_with(params, &["one"]);
        let mut placed = std::collections::HashSet::new();
        for (number, keys) in requests.iter().enumerate() {
            let ms = number as u64 * 1_000;
            // As by the reader of headers: a key stands for the part, its tokens and all before it.
            let mut parts = Vec::new();
            let mut before = 0_u64;
            for (key, tokens) in keys {
                before = before.wrapping_mul(31).wrapping_add(*key * 100_000 + u64::from(*tokens) + 1);
                parts.push(part(before, *tokens));
            }
            let grant = granted(pool.arrive(at(ms), asks(ms, &parts)));
            let kept: u32 = parts.iter().map(|part| part.tokens).sum::<u32>() - grant.prompt;
            let known = parts.iter().take_while(|part| placed.contains(&part.key));
            let most: u32 = known.map(|part| part.tokens).sum();
            prop_assert!(kept <= most.min(5_000), "{kept} of {most}");
            placed.extend(parts.iter().map(|part| part.key));
            pool.first(at(ms + 10), &grant, grant.prompt);
            pool.end(at(ms + 20), &grant, 0, Outcome::Served);
        }
    }
}
