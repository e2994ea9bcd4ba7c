//! Tells the end of an endpoint's side from a connection that is about to be reset.

use std::{io, pin, task, time};

/// The size from which on a request is long, in bytes. A shorter one fits into the buffers that an endpoint reads
/// at once.
pub(crate) const LONG_REQUEST: usize = 64 << 10;

/// How long the connection is watched after the end of the endpoint's side. An endpoint that closes a connection
/// without having read all of a request resets it, but may end its side before that.
const WATCH_TIME: time::Duration = time::Duration::from_millis(250);

/// The period at which the connection is checked meanwhile.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// Delays the end of an endpoint's side until the connection was watched for a reset.
#[derive(Debug, Default)]
pub(super) struct ResetWatch {
    ends_at: Option<tokio::time::Instant>,
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl ResetWatch {
    /// Completes once the time is over; `take_error` returns the pending error of the connection.
    ///
    /// # Errors
    ///
    /// Fails as soon as the connection has an error.
    pub(super) fn poll(
        &mut self,
        context: &mut task::Context<'_>,
        take_error: impl Fn() -> io::Result<Option<io::Error>>,
    ) -> task::Poll<io::Result<()>> {
        let ends_at = *self.ends_at.get_or_insert_with(|| tokio::time::Instant::now() + WATCH_TIME);
        loop {
            if let Some(error) = take_error()? {
                return task::Poll::Ready(Err(error));
            }
            if tokio::time::Instant::now() >= ends_at {
                return task::Poll::Ready(Ok(()));
            }
            let timer =
                self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(CHECK_PERIOD)));
            task::ready!(timer.as_mut().poll(context));
            self.timer = None;
        }
    }
}

/// Waits until the connection to an endpoint, whose side has ended, was watched for a reset.
///
/// # Errors
///
/// Fails as soon as the connection has an error.
pub(crate) async fn watch_for_reset(
    take_error: impl Fn() -> io::Result<Option<io::Error>>,
) -> io::Result<()> {
    let mut watch = ResetWatch::default();
    std::future::poll_fn(|context| watch.poll(context, &take_error)).await
}
