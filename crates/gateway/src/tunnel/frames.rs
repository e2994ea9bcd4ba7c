//! The framing of an endpoint's bytes on the way through another daemon.
//!
//! The system closes the connections of a daemon that ends in the ordinary way, so that their end alone does
//! not show that the endpoint has closed its connection. An empty frame does.

use std::io;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt as _, Stream, StreamExt as _, stream};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite};
use tokio_util::{codec, io as codec_io};

/// The most bytes in a frame.
const MAX_FRAME: usize = 16 << 10;

/// The error for a tunnel that ended before the connection of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the forwarding daemon ended before the endpoint's connection")]
pub(crate) struct Interrupted;

/// Copies the bytes of an endpoint into frames until its connection ends.
///
/// # Errors
///
/// Fails without an empty frame if a connection fails, or if `check_end`, which is awaited at the end of the
/// endpoint's side, does.
pub(super) async fn write_frames(
    mut endpoint: impl AsyncRead + Unpin,
    daemon: impl AsyncWrite + Unpin,
    check_end: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let mut frames = codec::FramedWrite::new(daemon, codec());
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(MAX_FRAME);
        let mut part = (&mut endpoint).take(MAX_FRAME as u64);
        part.read_buf(&mut buffer).await?;
        let part = buffer.split().freeze();
        if part.is_empty() {
            check_end.await?;
            return frames.send(part).await;
        }
        frames.send(part).await?;
    }
}

/// Returns the bytes in the frames of a daemon. Reading fails if they end without an empty frame.
pub(super) fn read_frames(
    daemon: impl AsyncRead + Send + 'static,
) -> impl AsyncRead + Send + Unpin {
    let frames = codec::FramedRead::new(Box::pin(daemon), codec());
    codec_io::StreamReader::new(Box::pin(parts(frames)))
}

fn parts(
    frames: impl Stream<Item = io::Result<BytesMut>> + Send + Unpin,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some(frames), |frames| async {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(part)) if part.is_empty() => None,
            Some(Ok(part)) => Some((Ok(part.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, Interrupted);
                Some((Err(error), None))
            }
        }
    })
}

fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}
