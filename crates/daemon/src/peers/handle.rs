//! What the other services use to call peers.

use std::{net, sync};

use tokio::{sync::mpsc, time};
use trefoildyke_kernel as kernel;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::peers::{Client, Settings, pool};

/// The most lost peers that wait to be told of; one more is noticed by the next digest instead.
const LOST: usize = 256;

/// Finds the address of an incarnation; `None` if it is not a living member.
type Find = sync::Arc<dyn Fn(id::Incarnation) -> Option<net::SocketAddr> + Send + Sync>;

/// Opens and shares connections to peers; published as `peers`.
#[derive(Clone)]
pub struct Handle {
    shared: sync::Arc<Shared>,
}

struct Shared {
    identity: peer::Identity,
    limits: peer::Limits,
    settings: Settings,
    scope: kernel::Scope,
    find: Find,
    lost: mpsc::Sender<id::Incarnation>,
    pool: pool::Pool,
}

/// Creates the service; the receiver tells which peers were lost, for the membership.
///
/// The connections run in `scope`; `find` gives the address of an incarnation.
pub fn new(
    identity: peer::Identity,
    limits: peer::Limits,
    settings: Settings,
    scope: kernel::Scope,
    find: impl Fn(id::Incarnation) -> Option<net::SocketAddr> + Send + Sync + 'static,
) -> (Handle, mpsc::Receiver<id::Incarnation>) {
    let (lost, receiver) = mpsc::channel(LOST);
    let find: Find = sync::Arc::new(find);
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
    /// `Unauthorized` if no connection can be opened; a peer that was just tried in vain is not
    /// tried again at once.
    pub async fn client(&self, incarnation: id::Incarnation) -> Result<Client, error::Error> {
        let slot = self.shared.pool.slot(incarnation);
        let mut slot = slot.lock().await;
        if let Some(open) = slot.open.as_ref().filter(|open| open.is_alive()) {
            return Ok(open.client());
        }
        let address = self.find(incarnation)?;
        self.check_pause(incarnation, &slot)?;
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

    /// Returns a client of whoever answers at an address, for joining.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn client_at(&self, address: net::SocketAddr) -> Result<Client, error::Error> {
        let connection = self.connect(address, None).await?;
        Ok(self.run(connection).client())
    }

    /// Returns how many peers have a connection or had one of late.
    pub fn len(&self) -> usize {
        self.shared.pool.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn check_pause(
        &self,
        incarnation: id::Incarnation,
        slot: &pool::Slot,
    ) -> Result<(), error::Error> {
        match &slot.failure {
            Some((at, cause)) if at.elapsed() < self.shared.settings.pause => {
                let message = format!("peer {incarnation} was not reached a moment ago: {cause}");
                Err(error::Error::new(error::ErrorKind::Unavailable, message))
            }
            _ => Ok(()),
        }
    }

    fn find(&self, incarnation: id::Incarnation) -> Result<net::SocketAddr, error::Error> {
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
    ) -> Result<pool::Open, error::Error> {
        let connected = self.connect(address, Some(incarnation)).await;
        let connection = connected.inspect_err(|_| self.tell_lost(incarnation))?;
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

    /// Runs a connection in the scope until it ends or nobody uses it.
    fn run(&self, connection: peer::Connection) -> pool::Open {
        let peer::Connection { client, incarnation, driver } = connection;
        let (used, alive) = (sync::Arc::new(pool::Used::new()), sync::Arc::new(()));
        let open = pool::Open {
            client,
            incarnation,
            used: sync::Arc::clone(&used),
            alive: sync::Arc::downgrade(&alive),
        };
        let this = self.clone();
        self.shared.scope.spawn_isolated("peer connection", async move {
            let _alive = alive;
            tokio::select! {
                () = this.shared.scope.cancelled() => {}
                () = this.unused(&used) => {}
                end = driver => {
                    if let Err(error) = end {
                        log::info!(target: "peers", "connection to {incarnation} ended: {error}");
                        this.tell_lost(incarnation);
                    }
                }
            }
            this.shared.pool.remove_ended(incarnation, &used);
            Ok::<_, std::convert::Infallible>(())
        });
        open
    }

    /// Waits until nobody has used the connection for long enough.
    async fn unused(&self, used: &sync::Arc<pool::Used>) {
        let keep = self.shared.settings.keep;
        // The pool and this task hold one count each.
        while used.idle() < keep || sync::Arc::strong_count(used) > 2 {
            time::sleep(keep / 2).await;
        }
    }

    fn tell_lost(&self, incarnation: id::Incarnation) {
        // A full queue means that many are lost already; digests notice the rest.
        let _ = self.shared.lost.try_send(incarnation);
    }
}
