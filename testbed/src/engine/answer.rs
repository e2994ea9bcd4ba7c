//! Sends one stream over one connection.

use std::{sync, time};

use tokio::sync::watch;
use trefoildyke_types::{id, request};
use trefoildyke_wire::http;

use crate::engine;

const BEAT: time::Duration = time::Duration::from_millis(400);
/// How many chunks may wait for a slow receiver.
const CAPACITY: usize = 16;

/// Sends a stream from one offset on.
pub(super) struct Answer {
    shared: sync::Arc<engine::shared::Shared>,
    id: id::RequestId,
    offset: u64,
    progress: watch::Receiver<engine::core::Progress>,
    modes: watch::Receiver<(u64, engine::Mode)>,
    /// How often the mode had been set when the connection opened.
    opened: u64,
    /// How many chunks have come crossed.
    crossed: u64,
}

impl Answer {
    pub(super) fn new(
        shared: sync::Arc<engine::shared::Shared>,
        id: id::RequestId,
        offset: u64,
        progress: watch::Receiver<engine::core::Progress>,
    ) -> Self {
        let mut modes = shared.modes();
        let opened = modes.borrow_and_update().0;
        Self { shared, id, offset, progress, modes, opened, crossed: 0 }
    }

    /// Starts to send and returns the answer's head.
    pub(super) fn respond(
        self,
        tasks: &tokio_util::task::TaskTracker,
    ) -> hyper::Response<http::Body> {
        let (sender, response) = http::EventSender::new(CAPACITY);
        tasks.spawn(self.run(sender));
        response
    }

    async fn run(mut self, sender: http::EventSender) {
        let gone = sender.clone();
        tokio::select! {
            () = gone.closed() => {}
            // How it ended is the receiver's business.
            _ = self.send_all(&sender) => {}
        }
    }

    async fn send_all(&mut self, sender: &http::EventSender) -> Result<(), http::Aborted> {
        loop {
            if self.is_silent() {
                return std::future::pending().await;
            }
            let progress = *self.progress.borrow_and_update();
            if progress.tokens > self.offset || progress.finish.is_some() {
                sender.data(&self.chunk(progress)).await?;
            }
            if progress.finish.is_some() {
                return Ok(());
            }
            tokio::select! {
                Ok(()) = self.progress.changed() => {}
                Ok(()) = self.modes.changed() => {}
                () = tokio::time::sleep(BEAT) => sender.comment("beat").await?,
            }
        }
    }

    fn is_silent(&mut self) -> bool {
        let (count, mode) = *self.modes.borrow_and_update();
        mode.mode == engine::ModeKind::Silent && count > self.opened
    }

    fn chunk(&mut self, progress: engine::core::Progress) -> request::Chunk {
        let offset = self.offset;
        let id = self.named();
        let tokens = (offset..progress.tokens).map(|number| engine::token(&id, number)).collect();
        self.offset = progress.tokens.max(offset);
        request::Chunk { id, offset, tokens, finish: progress.finish }
    }

    /// Returns the identifier that the next chunk names.
    fn named(&mut self) -> id::RequestId {
        let mode = self.modes.borrow().1;
        if mode.mode != engine::ModeKind::Cross || self.crossed as f64 >= mode.factor {
            return self.id;
        }
        self.crossed += 1;
        let other = self.shared.with(|core, _| core.other(&self.id));
        other.unwrap_or_else(|| id::RequestId::chosen(uuid::Uuid::now_v7()))
    }
}
