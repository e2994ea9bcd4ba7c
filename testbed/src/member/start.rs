//! How a node starts.

use std::{io, net};

use tokio::sync::watch;
use trefoildyke_daemon::{clock, members as service, peers};
use trefoildyke_decide::members;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::member::Node;

/// Says how a node starts.
pub struct Start {
    /// The node's number, from which its host and incarnation follow; a higher one is a later life.
    pub number: u64,
    /// The shared keys.
    pub keys: peer::Keys,
    /// The addresses of nodes that it knows.
    pub seeds: Vec<net::SocketAddr>,
    /// Where it listens.
    pub listener: tokio::net::TcpListener,
    /// Where others are told to connect, if not to the listener.
    pub advertise: Option<net::SocketAddr>,
    /// The membership's intervals.
    pub params: members::Params,
    /// The connections' limits.
    pub limits: peer::Limits,
}

impl Start {
    /// Prepares a node that listens on a free port.
    ///
    /// # Errors
    ///
    /// Whatever keeps it from listening.
    pub async fn new(number: u64, keys: peer::Keys) -> io::Result<Self> {
        Ok(Self {
            number,
            keys,
            seeds: Vec::new(),
            listener: tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?,
            advertise: None,
            params: members::Params::default(),
            limits: peer::Limits::default(),
        })
    }

    /// Starts the node on the traffic threads of `kernel`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn start(self, kernel: &kernel::Kernel) -> io::Result<Node> {
        let scope = kernel.traffic().child();
        let address = self.listener.local_addr()?;
        let incarnation = id::Incarnation::new(self.number, 0);
        let location = members::Location {
            host: id::HostName::new(&format!("host-{}", self.number)),
            zone: id::ZoneName::new("zone"),
            peer: self.advertise.unwrap_or(address),
        };
        let identity =
            peer::Identity { incarnation, keys: self.keys, clock: peer::Clock::default() };
        let (members, runner) =
            service::new(incarnation, location, self.params, clock::Clock::start());
        let known = members.clone();
        let find = move |incarnation| known.address(incarnation);
        let settings = peers::Settings::default();
        let (peers, failed_peers) =
            peers::new(identity.clone(), self.limits, settings, scope.clone(), find);
        let mut methods = peer::Methods::default();
        members.serve_peers(&peers, &mut methods);
        let (versions, own) = watch::channel(members::Versions::default());
        let sources = service::Sources {
            peers: peers.clone(),
            failed_peers,
            versions: own,
            hosts: None,
            seeds: self.seeds,
        };
        let stop = scope.token().clone();
        let server = peer::serve(self.listener, identity, self.limits, methods, stop.clone());
        scope.spawn("peer server", server);
        scope.spawn("members", async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = runner.run(sources) => {}
            }
            Ok::<_, std::convert::Infallible>(())
        });
        Ok(Node { incarnation, members, peers, address, versions, scope })
    }
}
