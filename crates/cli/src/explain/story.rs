//! Choosing the lines that explain a request.

use crate::explain::Entry;

/// How long before its first line the beliefs of a request's hosts are shown, in milliseconds.
const BEFORE_MS: u64 = 5_000;

/// Returns the lines of the request `id` in order, and among them what the hosts that handled it
/// came to believe shortly before and meanwhile. Lines of other endpoints are left out.
///
/// Hosts' clocks may differ a little, and so may the order of lines of two hosts.
pub fn story(id: &str, entries: &[Entry]) -> Vec<Entry> {
    let own: Vec<_> = entries.iter().filter(|entry| entry.id.as_deref() == Some(id)).collect();
    let times = || own.iter().map(|entry| entry.at_ms);
    let (Some(first), Some(last)) = (times().min(), times().max()) else { return vec![] };
    let span = first.saturating_sub(BEFORE_MS)..=last;
    let explains = |entry: &&Entry| {
        let is_near = own.iter().any(|own| own.host == entry.host);
        let names =
            |endpoint: &String| own.iter().any(|own| own.endpoint.as_ref() == Some(endpoint));
        entry.is_belief()
            && is_near
            && span.contains(&entry.at_ms)
            && entry.endpoint.as_ref().is_none_or(names)
    };
    let mut chosen: Vec<_> = entries.iter().filter(explains).chain(own.iter().copied()).collect();
    chosen.sort_by_key(|entry| entry.at_ms);
    chosen.into_iter().cloned().collect()
}
