//! Binds the request to the version that began its stream.

use std::time;

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::ingress::{Driver, FailedSend, OpenStream, Reply, driver::Received};

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
        let version = self.shared.find_origin(&self.call, stream.id).await;
        let version = version.ok_or(Reply::not_run("version_unknown", RETRY))?;
        if !self.shared.core().service(&service).pool.runs_version(&version) {
            return Err(Reply::not_run("version_gone", RETRY));
        }
        self.version = Some(version);
        Ok(())
    }

    /// Binds a stream that begins to the version of its endpoint, and tells its keepers.
    pub(crate) fn bind_version(&mut self, opened: &OpenStream) {
        let Some(stream) = self.call.stream else { return };
        // The endpoint of a stream that goes on has been checked.
        self.source = self.version.is_none().then(|| opened.source());
        self.record_version(stream.id, opened.slot.grant().version.clone());
    }

    fn record_version(&mut self, stream: gateway::StreamId, version: id::VersionName) {
        let ttl = self.call.deadline.since(self.shared.now());
        self.shared.record_begun(stream, &version, ttl, self.source.clone());
        self.version = Some(version);
    }

    /// Returns whether the version that began the stream is certain, so that another endpoint may go on with
    /// it; waits until that is known.
    pub(crate) async fn has_certain_version(&mut self) -> bool {
        let (Some(source), Some(version)) = (&self.source, &self.version) else { return true };
        let until = self.call.answer_due;
        let is_certain =
            self.has_recorded_version() || self.shared.runs_version(source, version, until).await;
        if is_certain {
            self.source = None;
        }
        is_certain
    }

    fn has_recorded_version(&self) -> bool {
        let now = self.shared.now();
        let core = self.shared.core();
        let recorded =
            self.call.stream.and_then(|stream| core.begun_streams.version(now, stream.id));
        recorded.is_some() && recorded == self.version.as_ref()
    }

    /// Corrects the version that was assumed if the endpoint has registered with another one. Must be called
    /// only while the start of the endpoint that brings the stream is certain to live.
    pub(crate) fn correct_version(&mut self) {
        let (Some(source), Some(stream)) = (&self.source, self.call.stream) else { return };
        if self.has_recorded_version() {
            self.source = None;
            return;
        }
        let listed = self.shared.core().listed_version(source);
        let Some(listed) = listed else { return };
        let is_assumed = listed.is_none() || listed == self.version;
        self.source = None;
        if !is_assumed && let Some(version) = listed {
            self.record_version(stream.id, version);
        }
    }

    /// Returns the answer of an endpoint that is to go on with a stream only if the endpoint is certain to run
    /// the version that began it.
    pub(crate) async fn check_version(
        &mut self,
        received: Result<Received, FailedSend>,
    ) -> Result<Received, FailedSend> {
        let (mut opened, version) = match (received, self.version.clone()) {
            (Ok(Received::Stream(opened)), Some(version)) => (opened, version),
            (received, _) => return received,
        };
        if self.shared.runs_version(&opened.source(), &version, self.call.answer_due).await {
            return Ok(Received::Stream(opened));
        }
        opened.slot.set_outcome(gateway::Outcome::Lost);
        let detail = "its version is not certain";
        Err(FailedSend::new(opened.slot.send(), gateway::Failure::Lost, detail))
    }
}
