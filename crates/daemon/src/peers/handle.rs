//! The handle through which other services call peers.

use std::{net, sync};

use tokio::{sync::mpsc, time};
use trefoildyke_kernel as kernel;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::peers::{Client, Settings, pool};

/// Capacity of the queue of lost peers; the next digest exchange detects a loss that does not fit.
const LOST_CAPACITY: usize = 256;

/// Looks up the address of an incarnation; `None` if it is not a living member.
type FindAddress = sync::Arc<dyn Fn(id::Incarnation) -> Option<net::SocketAddr> + Send + Sync>;

/// Opens and shares connections to peers; published in the registry as `peers`.
#[derive(Clone)]
pub struct Handle {
    shared: sync::Arc<Shared>,
}

struct Shared {
    identity: peer::Identity,
    limits: peer::Limits,
    settings: Settings,
    scope: kernel::Scope,
    find: FindAddress,
    lost: mpsc::Sender<id::Incarnation>,
    pool: pool::Pool,
}

/// Creates the service.
///
/// The receiver yields the peers whose connections failed, for the membership.
///
/// The connections run in `scope`; `find` returns the address of an incarnation.
pub fn new(
    identity: peer::Identity,
    limits: peer::Limits,
    settings: Settings,
    scope: kernel::Scope,
    find: impl Fn(id::Incarnation) -> Option<net::SocketAddr> + Send + Sync + 'static,
) -> (Handle, mpsc::Receiver<id::Incarnation>) {
    let (lost, receiver) = mpsc::channel(LOST_CAPACITY);
    let find: FindAddress = sync::Arc::new(find);
    let pool = pool::Pool::default();
    let shared = Shared { identity, limits, settings, scope, find, lost, pool };
    (Handle { shared: sync::Arc::new(shared) }, receiver)
}

impl Handle {
    /// Returns a client of a member, over its open connection or a new one.
    ///
    /// # Errors
    ///
    /// Fails with `NotFound` if the incarnation is not a living member, and with `Unavailable` or
    /// `Unauthorized` if no connection can be opened. After a failure, calls fail at once until
    /// [`Settings::backoff`] has passed.
    pub async fn client(&self, incarnation: id::Incarnation) -> Result<Client, error::Error> {
        let slot = self.shared.pool.slot(incarnation);
        let mut slot = slot.lock().await;
        if let Some(open) = slot.open.as_ref().filter(|open| open.is_alive()) {
            return Ok(open.client());
        }
        let address = self.find_address(incarnation)?;
        self.check_backoff(incarnation, &slot)?;
        match self.open(incarnation, address).await {
            Ok(open) => {
                let client = open.client();
                *slot = pool::Slot { open: Some(open), failure: None };
                Ok(client)
            }
            Err(error) => {
                *slot = pool::Slot {
                    open: None,
                    failure: Some((time::Instant::now(), error.message.clone())),
                };
                Err(error)
            }
        }
    }

    /// Returns a client of the daemon at an address, whatever its incarnation; used for joining.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn client_at(&self, address: net::SocketAddr) -> Result<Client, error::Error> {
        let connection = self.connect(address, None).await?;
        Ok(self.run(connection).client())
    }

    /// Returns the number of peers with a slot in the connection pool.
    pub fn len(&self) -> usize {
        self.shared.pool.len()
    }

    /// Returns whether the connection pool is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn check_backoff(
        &self,
        incarnation: id::Incarnation,
        slot: &pool::Slot,
    ) -> Result<(), error::Error> {
        match &slot.failure {
            Some((at, cause)) if at.elapsed() < self.shared.settings.backoff => {
                let message = format!("peer {incarnation} was not reached a moment ago: {cause}");
                Err(error::Error::new(error::ErrorKind::Unavailable, message))
            }
            _ => Ok(()),
        }
    }

    fn find_address(&self, incarnation: id::Incarnation) -> Result<net::SocketAddr, error::Error> {
        (self.shared.find)(incarnation).ok_or_else(|| {
            self.shared.pool.remove(incarnation);
            let message = format!("{incarnation} is not a living member");
            error::Error::new(error::ErrorKind::NotFound, message)
                .remedy("take the member from the current view")
        })
    }

    async fn open(
        &self,
        incarnation: id::Incarnation,
        address: net::SocketAddr,
    ) -> Result<pool::OpenConnection, error::Error> {
        let connected = self.connect(address, Some(incarnation)).await;
        let connection = connected.inspect_err(|_| self.report_lost(incarnation))?;
        Ok(self.run(connection))
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        wanted: Option<id::Incarnation>,
    ) -> Result<peer::Connection, error::Error> {
        let shared = &self.shared;
        Ok(peer::connect(address, wanted, &shared.identity, shared.limits).await?)
    }

    /// Runs a connection in the scope until it ends or has been unused for [`Settings::idle_timeout`].
    fn run(&self, connection: peer::Connection) -> pool::OpenConnection {
        let peer::Connection { client, incarnation, driver } = connection;
        let (last_use, alive) = (sync::Arc::new(pool::LastUse::new()), sync::Arc::new(()));
        let open = pool::OpenConnection {
            client,
            incarnation,
            last_use: sync::Arc::clone(&last_use),
            alive: sync::Arc::downgrade(&alive),
        };
        let this = self.clone();
        self.shared.scope.spawn_isolated("peer connection", async move {
            let _alive = alive;
            tokio::select! {
                () = this.shared.scope.cancelled() => {}
                () = this.wait_until_unused(&last_use) => {}
                end = driver => {
                    if let Err(error) = end {
                        log::info!(target: "peers", "connection to peer {incarnation} failed: {error}");
                        this.report_lost(incarnation);
                    }
                }
            }
            this.shared.pool.remove_ended(incarnation, &last_use);
            Ok::<_, std::convert::Infallible>(())
        });
        open
    }

    /// Waits until the connection has been unused for [`Settings::idle_timeout`].
    async fn wait_until_unused(&self, last_use: &sync::Arc<pool::LastUse>) {
        let idle_timeout = self.shared.settings.idle_timeout;
        // The pool and this task hold one reference each.
        while last_use.idle() < idle_timeout || sync::Arc::strong_count(last_use) > 2 {
            time::sleep(idle_timeout / 2).await;
        }
    }

    fn report_lost(&self, incarnation: id::Incarnation) {
        // If the queue is full, the digest exchange detects the loss instead.
        let _ = self.shared.lost.try_send(incarnation);
    }
}
