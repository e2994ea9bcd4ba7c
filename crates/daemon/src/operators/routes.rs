//! One function for each call.

use std::{collections, sync};

use hyper::{Method, body};
use tokio::time;
use trefoildyke_decide::{config, orders};
use trefoildyke_types::{error, resource};
use trefoildyke_wire::{http, operators::message};

use crate::operators::{Face, Progress, query::Query, reply, status};

type Reply = Result<hyper::Response<http::Body>, error::Error>;

/// Finds the call that is meant and answers it.
pub(crate) async fn answer(face: &Face, request: hyper::Request<body::Incoming>) -> Reply {
    let (parts, body) = request.into_parts();
    let segments: Vec<_> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["v1", "resources", kind]) => {
            list(face, parse_kind(kind)?, &parts.uri).await
        }
        (&Method::GET, ["v1", "resources", kind, name]) => get(face, parse_kind(kind)?, name).await,
        (&Method::PUT, ["v1", "resources", kind, name]) => put(face, &key(kind, name)?, body).await,
        (&Method::DELETE, ["v1", "resources", kind, name]) => {
            delete(face, key(kind, name)?, &parts.uri).await
        }
        (&Method::POST, ["v1", "apply"]) => apply(face, body).await,
        (&Method::GET, ["v1", "watch"]) => watch(face, &parts.uri).await,
        (&Method::GET, ["v1", "status"]) => Ok(overview(face)),
        (&Method::GET, ["v1", "events"]) => events(face, &parts.uri),
        (method, _) => {
            let message = format!("there is no call {method} {}", parts.uri.path());
            Err(error::Error::new(error::ErrorKind::NotFound, message)
                .remedy("see the operators' calls in docs/PROTOCOLS.md"))
        }
    }
}

fn parse_kind(text: &str) -> Result<resource::Kind, error::Error> {
    text.parse().map_err(|error: resource::UnknownKind| {
        error::Error::new(error::ErrorKind::NotFound, error.to_string()).remedy("correct the path")
    })
}

fn key(kind: &str, name: &str) -> Result<resource::ResourceKey, error::Error> {
    Ok(resource::ResourceKey { kind: parse_kind(kind)?, name: name.to_owned() })
}

async fn list(face: &Face, kind: resource::Kind, uri: &hyper::Uri) -> Reply {
    let query = Query::new(uri, &["after", "limit"])?;
    let after = query.text("after").unwrap_or("");
    let limit = query.number("limit")?.unwrap_or(face.settings.page).clamp(1, face.settings.page);
    let snapshot = face.config.snapshot();
    let progress = *face.progress.borrow();
    let mut rest = snapshot.of_kind(kind).skip_while(|resource| resource.name.as_str() <= after);
    let page: Vec<_> = rest.by_ref().take(limit).collect();
    let more = rest.next().is_some();
    let resources = match kind {
        resource::Kind::EngineOrder => with_ends(face, &page, &progress).await,
        _ => page.into_iter().map(|r| status::with_status(r, &progress)).collect(),
    };
    Ok(reply::ok(&message::ResourcePage { version: snapshot.version(), resources, more }))
}

async fn get(face: &Face, kind: resource::Kind, name: &str) -> Reply {
    let snapshot = face.config.snapshot();
    let Some(resource) = snapshot.resource(kind, name) else {
        let key = resource::ResourceKey { kind, name: name.to_owned() };
        return Err(error::Error::new(error::ErrorKind::NotFound, "does not exist").about(&key));
    };
    let progress = *face.progress.borrow();
    if kind == resource::Kind::EngineOrder {
        let end = match face.orders.ended(&order_key(resource)).await {
            Ok(Some(ended)) => status::OrderEnd::Ended(ended.outcome),
            Ok(None) => status::OrderEnd::None,
            Err(error) => status::OrderEnd::Unread(error),
        };
        return Ok(reply::ok(&status::of_order(resource, &progress, end)));
    }
    Ok(reply::ok(&status::with_status(resource, &progress)))
}

/// Returns orders with their status, which costs a read of the key-value service.
async fn with_ends(
    face: &Face,
    page: &[&sync::Arc<resource::Resource>],
    progress: &Progress,
) -> Vec<resource::Resource> {
    let ended = if page.is_empty() {
        Ok(collections::BTreeMap::new())
    } else {
        face.orders.all_ended().await
    };
    let end = |resource: &resource::Resource| match &ended {
        Ok(ended) => ended
            .get(&order_key(resource))
            .map_or(status::OrderEnd::None, |ended| status::OrderEnd::Ended(ended.outcome.clone())),
        Err(error) => status::OrderEnd::Unread(error.clone()),
    };
    page.iter().map(|resource| status::of_order(resource, progress, end(resource))).collect()
}

fn order_key(resource: &resource::Resource) -> orders::OrderKey {
    orders::OrderKey { name: resource.name.clone(), generation: resource.generation }
}

async fn put(face: &Face, key: &resource::ResourceKey, body: body::Incoming) -> Reply {
    let _place = face.enter_change()?;
    let text =
        http::read_body(body, face.settings.resource_bytes, face.settings.body_wait()).await?;
    let resource = config::from_json(&text)?;
    if resource.key() != *key {
        let message = format!("the body is {}, but the path names {key}", resource.key());
        return Err(error::Error::new(error::ErrorKind::Invalid, message)
            .at("name")
            .remedy("send it to its own path"));
    }
    change(face, &config::ChangeSet::put(resource)).await
}

async fn delete(face: &Face, key: resource::ResourceKey, uri: &hyper::Uri) -> Reply {
    let _place = face.enter_change()?;
    let resource_version = Query::new(uri, &["resource_version"])?.number("resource_version")?;
    change(face, &config::ChangeSet::delete(config::Deletion { key, resource_version })).await
}

async fn apply(face: &Face, body: body::Incoming) -> Reply {
    let _place = face.enter_change()?;
    let text = http::read_body(body, face.settings.change_bytes, face.settings.body_wait()).await?;
    change(face, &config::change_from_json(&text)?).await
}

async fn change(face: &Face, set: &config::ChangeSet) -> Reply {
    let snapshot = face.config.write(set).await?;
    let progress = *face.progress.borrow();
    let accepted = set.puts.iter().filter_map(|put| {
        // A later change may have replaced or deleted it already.
        snapshot.resource(put.spec.kind(), &put.name).map(|r| status::with_status(r, &progress))
    });
    let resources = accepted.collect();
    Ok(reply::ok(&message::Accepted { version: snapshot.version(), resources }))
}

async fn watch(face: &Face, uri: &hyper::Uri) -> Reply {
    let query = Query::new(uri, &["after", "in_force", "settled", "wait_ms"])?;
    let after = query.number("after")?.unwrap_or(0);
    let in_force = query.number("in_force")?.unwrap_or(u64::MAX);
    let settled = query.number("settled")?.unwrap_or(u64::MAX);
    let wait_ms = query.number("wait_ms")?.unwrap_or(0).min(face.settings.watch_ms);
    let _place = face.enter_watch()?;
    let mut snapshots = face.config.subscribe();
    let mut progress = face.progress.clone();
    let news = async {
        tokio::select! {
            _ = snapshots.wait_for(|snapshot| snapshot.version() > after) => {}
            _ = progress.wait_for(|p| p.in_force > in_force || p.settled > settled) => {}
        }
    };
    // The answer is the same, only with nothing new in it.
    let _ = time::timeout(time::Duration::from_millis(wait_ms), news).await;
    Ok(reply::ok(&watched(face, after)))
}

/// Returns what was accepted after a version: a page, if it is much, but no version in part.
fn watched(face: &Face, after: u64) -> message::Watched {
    let snapshot = face.config.snapshot();
    let progress = *face.progress.borrow();
    let resources = snapshot.resources().values();
    let mut changed: Vec<_> = resources.filter(|r| r.resource_version > after).collect();
    changed.sort_by_key(|resource| resource.resource_version);
    let mut version = snapshot.version();
    if let Some(last) = changed.get(face.settings.page) {
        version = last.resource_version;
        changed.retain(|resource| resource.resource_version <= version);
    }
    message::Watched {
        version,
        in_force: progress.in_force,
        settled: progress.settled,
        resources: changed.into_iter().map(|r| status::with_status(r, &progress)).collect(),
    }
}

fn overview(face: &Face) -> hyper::Response<http::Body> {
    let Progress { in_force, settled, live } = *face.progress.borrow();
    reply::ok(&message::Overview {
        host: face.identity.host.clone(),
        incarnation: face.identity.incarnation,
        version: face.config.snapshot().version(),
        in_force,
        settled,
        live,
    })
}

fn events(face: &Face, uri: &hyper::Uri) -> Reply {
    let after = Query::new(uri, &["after"])?.number("after")?.unwrap_or(0);
    Ok(reply::ok(&(face.events)(after)))
}
