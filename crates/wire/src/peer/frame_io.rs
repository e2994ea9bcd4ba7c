//! Transfers messages between tarpc and the socket, with heartbeats in both directions.

use std::{io, sync};

use bytes::Bytes;
use futures::{SinkExt, StreamExt, stream};
use tarpc::transport::channel;
use tokio::{io as tokio_io, time};
use tokio_util::codec;

use crate::peer::{Clock, Error, Limits, activity, activity::Message};

/// The maximum number of messages queued between tarpc and the socket, in each direction.
pub(crate) const QUEUE_CAPACITY: usize = 64;

type Frames<S> = codec::Framed<S, codec::LengthDelimitedCodec>;

struct FrameIo<'a> {
    clock: &'a Clock,
    limits: Limits,
    activity: sync::Mutex<activity::Activity>,
}

/// Transfers messages until a side closes the connection, the peer is silent for too long, or a frame
/// is invalid.
///
/// `Out` is the type of the messages that tarpc sends, and `In` the type of those that it receives. A
/// frame starts with the time of the sender's logical clock, 8 bytes in big-endian order, followed by
/// the message. An empty frame is a heartbeat.
pub(crate) async fn run<S, Out, In>(
    socket: S,
    channel: channel::Channel<Out, In>,
    limits: Limits,
    clock: &Clock,
) -> Result<(), Error>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
    Out: serde::Serialize + Message,
    In: serde::de::DeserializeOwned + Message,
{
    let activity = activity::Activity::new(limits, std::time::Instant::now());
    let frame_io = FrameIo { clock, limits, activity: sync::Mutex::new(activity) };
    let (sink, stream) = framed(socket, &limits).split();
    let (to_tarpc, from_tarpc) = channel.split();
    tokio::select! {
        result = frame_io.write(sink, from_tarpc) => result,
        result = frame_io.read(stream, to_tarpc) => result,
    }
}

fn framed<S>(socket: S, limits: &Limits) -> Frames<S>
where
    S: tokio_io::AsyncRead + tokio_io::AsyncWrite,
{
    codec::LengthDelimitedCodec::builder().max_frame_length(limits.frame_bytes).new_framed(socket)
}

impl FrameIo<'_> {
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
                Err(_) if self.lock().is_heartbeat_due(std::time::Instant::now()) => Bytes::new(),
                Err(_) => continue,
                Ok(None) => return Ok(()),
                Ok(Some(message)) => self.encode(&message.map_err(|_| Error::Closed)?)?,
            };
            let send = time::timeout(self.limits.silence(), sink.send(frame));
            send.await.map_err(|_| Error::Silent)??;
            self.lock().record_sent(std::time::Instant::now());
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
            let frame = next.ok_or(Error::Closed)?.map_err(frame_error)?;
            self.lock().record_received(std::time::Instant::now());
            if frame.is_empty() {
                continue;
            }
            let message: In = rmp_serde::from_slice(self.merge_clock(&frame)?)
                .map_err(|e| Error::Frame(e.to_string()))?;
            message.record_call(&mut self.lock());
            messages.send(message).await.map_err(|_| Error::Closed)?;
        }
    }

    fn encode<Out: serde::Serialize + Message>(&self, message: &Out) -> Result<Bytes, Error> {
        message.record_call(&mut self.lock());
        let mut frame = self.clock.now().to_be_bytes().to_vec();
        rmp_serde::encode::write(&mut frame, message).map_err(|e| Error::Frame(e.to_string()))?;
        Ok(frame.into())
    }

    /// Merges the sender's logical clock and returns the rest of the frame.
    fn merge_clock<'f>(&self, frame: &'f [u8]) -> Result<&'f [u8], Error> {
        let (clock, message) = frame
            .split_first_chunk()
            .ok_or_else(|| Error::Frame("it is shorter than its clock".to_owned()))?;
        self.clock.merge(u64::from_be_bytes(*clock));
        Ok(message)
    }

    fn lock(&self) -> sync::MutexGuard<'_, activity::Activity> {
        self.activity.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn frame_error(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::InvalidData => Error::Frame(error.to_string()),
        _ => Error::Io(error),
    }
}
