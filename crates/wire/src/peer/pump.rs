//! Moves messages between tarpc and the socket, with heartbeats both ways.

use std::{io, sync};

use bytes::Bytes;
use futures::{SinkExt, StreamExt, stream};
use tarpc::transport::channel;
use tokio::{io as tokio_io, time};
use tokio_util::codec;

use crate::peer::{Error, Limits, activity, activity::Message};

/// The most messages that wait between tarpc and the socket, each way.
pub(crate) const QUEUE: usize = 64;

type Frames<S> = codec::Framed<S, codec::LengthDelimitedCodec>;

struct Pump {
    limits: Limits,
    activity: sync::Mutex<activity::Activity>,
}

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
    Out: serde::Serialize + Message,
    In: serde::de::DeserializeOwned + Message,
{
    let activity = activity::Activity::new(limits, std::time::Instant::now());
    let pump = Pump { limits, activity: sync::Mutex::new(activity) };
    let (sink, stream) = frames(socket, &limits).split();
    let (to_tarpc, from_tarpc) = channel.split();
    tokio::select! {
        end = pump.write(sink, from_tarpc) => end,
        end = pump.read(stream, to_tarpc) => end,
    }
}

fn frames<S>(socket: S, limits: &Limits) -> Frames<S>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
{
    codec::LengthDelimitedCodec::builder().max_frame_length(limits.frame_bytes).new_framed(socket)
}

impl Pump {
    async fn write<S, Out, In>(
        &self,
        mut sink: stream::SplitSink<Frames<S>, Bytes>,
        mut messages: stream::SplitStream<channel::Channel<Out, In>>,
    ) -> Result<(), Error>
    where
        S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
        Out: serde::Serialize + Message,
    {
        loop {
            let frame = match time::timeout(self.limits.heartbeat(), messages.next()).await {
                Err(_) if self.lock().is_due(std::time::Instant::now()) => Bytes::new(),
                Err(_) => continue,
                Ok(None) => return Ok(()),
                Ok(Some(message)) => self.encode(&message.map_err(|_| Error::Closed)?)?,
            };
            let send = time::timeout(self.limits.silence(), sink.send(frame));
            send.await.map_err(|_| Error::Silent)??;
            self.lock().sent(std::time::Instant::now());
        }
    }

    async fn read<S, Out, In>(
        &self,
        mut stream: stream::SplitStream<Frames<S>>,
        mut messages: stream::SplitSink<channel::Channel<Out, In>, In>,
    ) -> Result<(), Error>
    where
        S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
        In: serde::de::DeserializeOwned + Message,
    {
        loop {
            let Ok(next) = time::timeout(self.limits.heartbeat(), stream.next()).await else {
                if self.lock().is_silent(std::time::Instant::now()) {
                    return Err(Error::Silent);
                }
                continue;
            };
            let frame = next.ok_or(Error::Closed)?.map_err(too_large)?;
            self.lock().heard(std::time::Instant::now());
            if frame.is_empty() {
                continue;
            }
            let message: In =
                rmp_serde::from_slice(&frame).map_err(|e| Error::Frame(e.to_string()))?;
            message.note(&mut self.lock());
            messages.send(message).await.map_err(|_| Error::Closed)?;
        }
    }

    fn encode<Out: serde::Serialize + Message>(&self, message: &Out) -> Result<Bytes, Error> {
        message.note(&mut self.lock());
        rmp_serde::to_vec(message).map(Bytes::from).map_err(|e| Error::Frame(e.to_string()))
    }

    fn lock(&self) -> sync::MutexGuard<'_, activity::Activity> {
        self.activity.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn too_large(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::InvalidData => Error::Frame(error.to_string()),
        _ => Error::Io(error),
    }
}
