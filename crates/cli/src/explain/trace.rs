//! Selects the log lines that explain a request.

use crate::explain::Entry;

/// How long before the first line of a request the state changes of its hosts are included, in milliseconds.
const LOOKBACK_MS: u64 = 5_000;

/// Returns the lines of the request `id`, sorted by time, together with the state changes that its hosts
/// logged shortly before the first line and up to the last one. Lines about other endpoints are left out.
///
/// The order of lines of two hosts is approximate, as the clocks of the hosts may differ.
pub fn trace(id: &str, entries: &[Entry]) -> Vec<Entry> {
    let own: Vec<_> = entries.iter().filter(|entry| entry.id.as_deref() == Some(id)).collect();
    let times = || own.iter().map(|entry| entry.at_ms);
    let (Some(first), Some(last)) = (times().min(), times().max()) else { return vec![] };
    let span = first.saturating_sub(LOOKBACK_MS)..=last;
    let is_relevant = |entry: &&Entry| {
        let is_same_host = own.iter().any(|own| own.host == entry.host);
        let is_own_endpoint =
            |endpoint: &String| own.iter().any(|own| own.endpoint.as_ref() == Some(endpoint));
        entry.is_state_change()
            && is_same_host
            && span.contains(&entry.at_ms)
            && entry.endpoint.as_ref().is_none_or(is_own_endpoint)
    };
    let mut selected: Vec<_> =
        entries.iter().filter(is_relevant).chain(own.iter().copied()).collect();
    selected.sort_by_key(|entry| entry.at_ms);
    selected.into_iter().cloned().collect()
}
