//! Binds the request to the version that began its stream.

use std::time;

use trefoildyke_types::id;

use crate::ingress::{Driver, Reply};

/// The `Retry-After` if the stream cannot go on here: another host may know its version, or the caller
/// starts it anew.
const RETRY: time::Duration = time::Duration::from_millis(100);

impl Driver {
    /// Finds the version that began the stream, if the caller resumes one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the version cannot be told, or none of its endpoints takes requests.
    pub(super) async fn find_version(&mut self) -> Result<(), Reply> {
        let Some(stream) = self.call.stream.filter(|stream| stream.is_resumed) else {
            return Ok(());
        };
        let service = self.call.service.clone();
        let version = self.shared.find_origin(&self.call.id, &service, stream.id).await;
        let version = version.ok_or(Reply::not_run("version_unknown", RETRY))?;
        if !self.shared.core().service(&service).pool.runs_version(&version) {
            return Err(Reply::not_run("version_gone", RETRY));
        }
        self.version = Some(version);
        Ok(())
    }

    /// Binds a stream that begins to the version of its endpoint, and tells its keepers.
    pub(crate) fn bind_version(&mut self, version: &id::VersionName) {
        let Some(stream) = self.call.stream else { return };
        let ttl = self.call.deadline.since(self.shared.now());
        self.shared.record_begun(stream.id, version, ttl);
        self.version = Some(version.clone());
    }
}
