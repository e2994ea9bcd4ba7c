//! Limits the memory for the bodies of callers' requests.

use std::{sync, time};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{body, body::Body as _};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The unit of the budget, in bytes.
const UNIT: usize = 1 << 10;

/// The length in bytes up to which a body is small.
const SMALL: usize = 64 << 10;

/// The fraction of the budget that larger bodies may use, so that they do not hold up small ones.
const LARGE_FRACTION: f64 = 0.75;

/// The memory for all bodies that are read or kept. A body is kept until its request has been answered, as it
/// may have to be sent again.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    total: Share,
    /// The part of `total` that larger bodies may use.
    large: Share,
}

#[derive(Debug)]
struct Share {
    free: sync::Arc<Semaphore>,
    units: usize,
}

/// A body, and its part of the budget.
#[derive(Debug)]
pub(crate) struct KeptBody {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: BodyReservation,
}

/// A part of the budget, given back when dropped.
#[derive(Debug, Default)]
pub(crate) struct BodyReservation {
    permits: Vec<OwnedSemaphorePermit>,
    units: usize,
    is_large: bool,
}

/// The reason why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is longer than allowed")]
    TooLong,
    #[error("the bodies that are kept use up the memory for them")]
    NoMemory,
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

impl BodyBudget {
    /// Creates a budget of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        let large = (bytes as f64 * LARGE_FRACTION) as usize;
        Self { total: Share::new(bytes), large: Share::new(large) }
    }

    /// Reads a body of up to `limit` bytes. Waits for its part of the budget for up to `patience` at a time.
    ///
    /// A body that states its length is not read before there is memory for all of it.
    pub(crate) async fn read(
        &self,
        body: &mut body::Incoming,
        limit: usize,
        patience: time::Duration,
    ) -> Result<KeptBody, BodyError> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > limit {
            return Err(BodyError::TooLong);
        }
        let mut reservation = BodyReservation::default();
        self.extend(&mut reservation, stated, patience).await?;
        let mut bytes = BytesMut::with_capacity(stated);
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame?.into_data() else { continue };
            let length = bytes.len() + part.len();
            if length > limit {
                return Err(BodyError::TooLong);
            }
            if length > bytes.capacity() {
                // The buffer doubles, so that a long body without a stated length is copied only a few times.
                let capacity = length.max(2 * bytes.capacity()).min(limit);
                self.extend(&mut reservation, capacity, patience).await?;
                bytes.reserve(capacity - bytes.len());
            }
            bytes.extend_from_slice(&part);
        }
        Ok(KeptBody { bytes: bytes.freeze(), reservation })
    }

    /// Extends a reservation to `length` bytes.
    async fn extend(
        &self,
        reservation: &mut BodyReservation,
        length: usize,
        patience: time::Duration,
    ) -> Result<(), BodyError> {
        let units = length.div_ceil(UNIT);
        if units <= reservation.units {
            return Ok(());
        }
        let is_large = length > SMALL;
        let before = if reservation.is_large { reservation.units } else { 0 };
        let taking = async {
            if is_large {
                reservation.permits.extend(self.large.take(before, units).await);
            }
            reservation.permits.extend(self.total.take(reservation.units, units).await);
        };
        tokio::time::timeout(patience, taking).await.map_err(|_| BodyError::NoMemory)?;
        reservation.units = units;
        reservation.is_large = is_large;
        Ok(())
    }
}

impl Share {
    fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT).clamp(1, Semaphore::MAX_PERMITS);
        Self { free: sync::Arc::new(Semaphore::new(units)), units }
    }

    /// Takes what a reservation of `from` units lacks to `to` units. The longest bodies take all that there
    /// is.
    async fn take(&self, from: usize, to: usize) -> Option<OwnedSemaphorePermit> {
        let missing = to.min(self.units).saturating_sub(from);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        sync::Arc::clone(&self.free).acquire_many_owned(missing).await.ok()
    }
}
