//! Moves messages between tarpc and the socket, with heartbeats both ways.

use std::io;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tarpc::transport::channel;
use tokio::{io as tokio_io, time};
use tokio_util::codec;

use crate::peer::{Error, Limits};

/// The most messages that wait between tarpc and the socket, each way.
pub(crate) const QUEUE: usize = 64;

type Frames<S> = codec::Framed<S, codec::LengthDelimitedCodec>;

/// Moves messages until either side closes, the peer goes silent or a frame is bad.
///
/// `Out` is what tarpc sends and `In` is what it takes. An empty frame is a heartbeat.
pub(crate) async fn run<S, Out, In>(
    socket: S,
    channel: channel::Channel<Out, In>,
    limits: Limits,
) -> Result<(), Error>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
    Out: serde::Serialize,
    In: serde::de::DeserializeOwned,
{
    let (sink, stream) = frames(socket, &limits).split();
    let (to_tarpc, from_tarpc) = channel.split();
    let writer = write(sink, from_tarpc, limits);
    let reader = read(stream, to_tarpc, limits);
    tokio::pin!(writer, reader);
    tokio::select! {
        end = &mut writer => end,
        end = &mut reader => end,
    }
}

fn frames<S>(socket: S, limits: &Limits) -> Frames<S>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
{
    codec::LengthDelimitedCodec::builder().max_frame_length(limits.frame_bytes).new_framed(socket)
}

async fn write<S, Out, In>(
    mut sink: futures::stream::SplitSink<Frames<S>, Bytes>,
    mut messages: futures::stream::SplitStream<channel::Channel<Out, In>>,
    limits: Limits,
) -> Result<(), Error>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
    Out: serde::Serialize,
{
    loop {
        let frame = match time::timeout(limits.heartbeat(), messages.next()).await {
            Err(_) => Bytes::new(),
            Ok(None) => return Ok(()),
            Ok(Some(message)) => encode(&message.map_err(|_| Error::Closed)?)?,
        };
        time::timeout(limits.silence(), sink.send(frame)).await.map_err(|_| Error::Silent)??;
    }
}

async fn read<S, Out, In>(
    mut stream: futures::stream::SplitStream<Frames<S>>,
    mut messages: futures::stream::SplitSink<channel::Channel<Out, In>, In>,
    limits: Limits,
) -> Result<(), Error>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
    In: serde::de::DeserializeOwned,
{
    loop {
        let next = time::timeout(limits.silence(), stream.next()).await;
        let frame = next.map_err(|_| Error::Silent)?.ok_or(Error::Closed)?.map_err(too_large)?;
        if frame.is_empty() {
            continue;
        }
        let message = rmp_serde::from_slice(&frame).map_err(|e| Error::Frame(e.to_string()))?;
        messages.send(message).await.map_err(|_| Error::Closed)?;
    }
}

fn encode<Out: serde::Serialize>(message: &Out) -> Result<Bytes, Error> {
    rmp_serde::to_vec(message).map(Bytes::from).map_err(|e| Error::Frame(e.to_string()))
}

fn too_large(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::InvalidData => Error::Frame(error.to_string()),
        _ => Error::Io(error),
    }
}
