//! Transfer of the configuration between daemons.
//!
//! The daemons that read the store for others have each new version first. The others fetch what they lack
//! of it from these or from daemons that have fetched it already, so that a version passes the store's link
//! only a few times and its unchanged parts pass no link at all.

mod client;
mod patch_cache;
mod server;
mod slots;

use trefoildyke_wire::http;

pub(crate) use server::serve;

/// The state of the transfers of one daemon.
#[derive(Debug)]
pub(crate) struct Transfers {
    client: http::Client,
    patches: patch_cache::PatchCache,
    slots: slots::Slots,
}

impl Transfers {
    pub(crate) fn new() -> Self {
        Self {
            client: client::new_client(),
            patches: patch_cache::PatchCache::default(),
            slots: slots::Slots::default(),
        }
    }

    /// Waits until the connections to other daemons have ended.
    pub(crate) async fn close(&self) {
        self.client.clone().close().await;
    }
}

/// The path of the configuration; the query names the version that the client has, if any, and the client's
/// address for messages.
const PATH: &str = "/configuration";
