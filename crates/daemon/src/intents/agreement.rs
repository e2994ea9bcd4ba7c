//! Agrees with all daemons on one layout.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

const PAUSE: time::Duration = time::Duration::from_millis(300);

/// Returns the layout that stands in the key-value service; the first daemon writes its own.
///
/// Waits until the service answers.
pub(super) async fn agree(kv: &platform::KvClient, wanted: intents::Layout) -> intents::Layout {
    loop {
        match try_agree(kv, wanted).await {
            Ok(layout) => {
                if layout != wanted {
                    log::warn!(
                        "the layout of records is {layout:?}, not {wanted:?}; adapt the settings"
                    );
                }
                return layout;
            }
            Err(error) => log::debug!("no layout of records yet: {error}"),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn try_agree(
    kv: &platform::KvClient,
    wanted: intents::Layout,
) -> Result<intents::Layout, error::Error> {
    if let Some(entry) = kv.get(intents::Layout::KEY).await?.entry {
        return parse(&entry);
    }
    let value = serde_json::to_string(&wanted)
        .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))?;
    let key = intents::Layout::KEY.to_owned();
    let put = message::Put { key, value, expect: Some(0), lease: None };
    match kv.put(&put).await {
        Ok(_) => Ok(wanted),
        Err(platform::WriteError::Conflict(Some(current))) => parse(&current),
        // After a lost answer the next round reads what stands.
        Err(error) => Err(error.error()),
    }
}

fn parse(entry: &message::Entry) -> Result<intents::Layout, error::Error> {
    let wrong = |message: String| {
        error::Error::new(error::ErrorKind::Protocol, message)
            .about(&entry.key)
            .remedy("stop all daemons, wait out the retention and delete the key")
    };
    let layout: intents::Layout =
        serde_json::from_str(&entry.value).map_err(|error| wrong(error.to_string()))?;
    if layout.buckets == 0 || layout.slice_ms == 0 {
        return Err(wrong("it has no buckets or no time slices".to_owned()));
    }
    Ok(layout)
}
