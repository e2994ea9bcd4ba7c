//! The calls from services to the same service at other daemons.

use std::{sync, time};

use futures::FutureExt;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::{config, coordinate, intents, members, peers, schedule};

/// The timeout of a call that pulls configuration changes from a peer.
const PULL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Creates the functions through which services call peers.
#[derive(Clone)]
pub(super) struct Routes {
    pub(super) own: id::Incarnation,
    pub(super) members: members::Handle,
    pub(super) peers: peers::Handle,
}

impl Routes {
    pub(super) fn config(&self) -> config::Peers {
        let peers = self.peers.clone();
        config::Peers {
            own: self.own,
            view: self.members.subscribe(),
            newest: self.members.newest_version(),
            request_changes: sync::Arc::new(move |member, request| {
                let peers = peers.clone();
                let call = async move {
                    let client = peers.client(member).await?;
                    client
                        .changes(peer::within(PULL_TIMEOUT), request)
                        .await
                        .map_err(|error| unavailable(&error))?
                };
                call.boxed()
            }),
        }
    }

    pub(super) fn intents(&self) -> intents::Route {
        let views = self.members.subscribe();
        let (commit_peers, look_up_peers) = (self.peers.clone(), self.peers.clone());
        intents::Route {
            own: self.own,
            owners: sync::Arc::new(move |key, count| {
                let view = views.borrow();
                view.owners(key, count).into_iter().map(|member| member.incarnation).collect()
            }),
            commit: sync::Arc::new(move |member, request, timeout| {
                let peers = commit_peers.clone();
                let call = async move {
                    let client = client_of(&peers, member).await?;
                    client
                        .commit(peer::within(timeout), request)
                        .await
                        .map_err(|error| unsure(&error))?
                };
                call.boxed()
            }),
            look_up: sync::Arc::new(move |member, key, timeout| {
                let peers = look_up_peers.clone();
                let call = async move {
                    let client = peers.client(member).await?;
                    client
                        .look_up(peer::within(timeout), key)
                        .await
                        .map_err(|error| unavailable(&error))?
                };
                call.boxed()
            }),
        }
    }

    pub(super) fn schedule(&self) -> schedule::SchedulerCalls {
        let (ask_peers, report_peers) = (self.peers.clone(), self.peers.clone());
        schedule::SchedulerCalls {
            own: self.own,
            view: self.members.subscribe(),
            ask: sync::Arc::new(move |member, request, timeout| {
                let peers = ask_peers.clone();
                let call = async move {
                    let client = peers.client(member).await?;
                    client
                        .ask(peer::within(timeout), request)
                        .await
                        .map_err(|error| unavailable(&error))
                };
                call.boxed()
            }),
            report: sync::Arc::new(move |member, request, timeout| {
                let peers = report_peers.clone();
                let call = async move {
                    let client = peers.client(member).await?;
                    client
                        .report(peer::within(timeout), request)
                        .await
                        .map_err(|error| unavailable(&error))?
                };
                call.boxed()
            }),
        }
    }

    pub(super) fn coordinate(&self) -> coordinate::PeerCalls {
        let peers = self.peers.clone();
        coordinate::PeerCalls {
            own: self.own,
            read: sync::Arc::new(move |member, request, timeout| {
                let peers = peers.clone();
                let call = async move {
                    let client = peers.client(member).await?;
                    client
                        .read(peer::within(timeout), request)
                        .await
                        .map_err(|error| unavailable(&error))?
                };
                call.boxed()
            }),
        }
    }
}

/// Returns a client of a member; any failure has kind `Unavailable`, since nothing was sent.
async fn client_of(
    peers: &peers::Handle,
    member: id::Incarnation,
) -> Result<peers::Client, error::Error> {
    let not_sent = |error: error::Error| {
        error::Error::new(error::ErrorKind::Unavailable, error.message).remedy(error.remedy)
    };
    peers.client(member).await.map_err(not_sent)
}

fn unavailable(error: &impl ToString) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, error.to_string())
}

fn unsure(error: &impl ToString) -> error::Error {
    error::Error::new(error::ErrorKind::Unsure, error.to_string())
}
