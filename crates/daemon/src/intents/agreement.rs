//! The agreement of all daemons on one layout.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Returns the layout stored in the key-value service; the first daemon stores the layout of its settings.
///
/// Retries until the service answers with a valid layout.
pub(super) async fn agree(kv: &platform::KvClient, configured: intents::Layout) -> intents::Layout {
    loop {
        match try_agree(kv, configured).await {
            Ok(layout) => {
                if layout != configured {
                    log::warn!(
                        "the stored layout of records is {layout:?}, not {configured:?}; adapt the settings"
                    );
                }
                return layout;
            }
            Err(error) => log::debug!("no agreed layout of records; trying again: {error}"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn try_agree(
    kv: &platform::KvClient,
    configured: intents::Layout,
) -> Result<intents::Layout, error::Error> {
    if let Some(entry) = kv.get(intents::Layout::KEY).await?.entry {
        return parse(&entry);
    }
    let value = serde_json::to_string(&configured)
        .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))?;
    let key = intents::Layout::KEY.to_owned();
    let put = message::Put { key, value, expect: Some(0), lease: None };
    match kv.put(&put).await {
        Ok(_) => Ok(configured),
        Err(platform::WriteError::Conflict(Some(current))) => parse(&current),
        // After a lost answer, the next attempt reads the stored layout.
        Err(error) => Err(error.error()),
    }
}

fn parse(entry: &message::Entry) -> Result<intents::Layout, error::Error> {
    let invalid = |message: String| {
        error::Error::new(error::ErrorKind::Protocol, message)
            .about(&entry.key)
            .remedy("stop all daemons, wait until the retention has ended, and delete the key")
    };
    let layout: intents::Layout =
        serde_json::from_str(&entry.value).map_err(|error| invalid(error.to_string()))?;
    if layout.buckets == 0 || layout.slice_ms == 0 {
        return Err(invalid("the layout has no buckets or no time slices".to_owned()));
    }
    Ok(layout)
}
