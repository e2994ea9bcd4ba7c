//! The routes of the API, with one function for each call.

use std::{collections, sync};

use hyper::{Method, body};
use tokio::time;
use trefoildyke_decide::{config, orders};
use trefoildyke_types::{error, resource};
use trefoildyke_wire::{http, operators::message};

use crate::operators::{Api, Progress, query::Query, reply, status};

type Reply = Result<hyper::Response<http::Body>, error::Error>;

/// Returns the answer to a request, selected by its method and path.
pub(crate) async fn answer(api: &Api, request: hyper::Request<body::Incoming>) -> Reply {
    let (parts, body) = request.into_parts();
    let segments: Vec<_> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["v1", "resources", kind]) => list(api, parse_kind(kind)?, &parts.uri).await,
        (&Method::GET, ["v1", "resources", kind, name]) => get(api, parse_kind(kind)?, name).await,
        (&Method::PUT, ["v1", "resources", kind, name]) => put(api, &key(kind, name)?, body).await,
        (&Method::DELETE, ["v1", "resources", kind, name]) => {
            delete(api, key(kind, name)?, &parts.uri).await
        }
        (&Method::POST, ["v1", "apply"]) => apply(api, body).await,
        (&Method::GET, ["v1", "watch"]) => watch(api, &parts.uri).await,
        (&Method::GET, ["v1", "status"]) => Ok(overview(api)),
        (&Method::GET, ["v1", "events"]) => events(api, &parts.uri),
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

async fn list(api: &Api, kind: resource::Kind, uri: &hyper::Uri) -> Reply {
    let query = Query::new(uri, &["after", "limit"])?;
    let after = query.text("after").unwrap_or("");
    let limit = query.number("limit")?.unwrap_or(api.settings.page).clamp(1, api.settings.page);
    let snapshot = api.config.snapshot();
    let progress = *api.progress.borrow();
    let mut rest = snapshot.of_kind(kind).skip_while(|resource| resource.name.as_str() <= after);
    let page: Vec<_> = rest.by_ref().take(limit).collect();
    let more = rest.next().is_some();
    let resources = match kind {
        resource::Kind::EngineOrder => orders_with_status(api, &page, &progress).await,
        _ => page.into_iter().map(|r| status::with_status(r, &progress)).collect(),
    };
    Ok(reply::ok(&message::ResourcePage { version: snapshot.version(), resources, more }))
}

async fn get(api: &Api, kind: resource::Kind, name: &str) -> Reply {
    let snapshot = api.config.snapshot();
    let Some(resource) = snapshot.resource(kind, name) else {
        let key = resource::ResourceKey { kind, name: name.to_owned() };
        return Err(error::Error::new(error::ErrorKind::NotFound, "does not exist").about(&key));
    };
    let progress = *api.progress.borrow();
    if kind == resource::Kind::EngineOrder {
        let end = match api.orders.record(&order_key(resource)).await {
            Ok(Some(record)) => status::OrderEnd::Ended(record.outcome),
            Ok(None) => status::OrderEnd::Open,
            Err(error) => status::OrderEnd::Unreadable(error),
        };
        return Ok(reply::ok(&status::order_with_status(resource, &progress, end)));
    }
    Ok(reply::ok(&status::with_status(resource, &progress)))
}

/// Returns orders with their status; reads the key-value service unless `page` is empty.
async fn orders_with_status(
    api: &Api,
    page: &[&sync::Arc<resource::Resource>],
    progress: &Progress,
) -> Vec<resource::Resource> {
    let ended = if page.is_empty() {
        Ok(collections::BTreeMap::new())
    } else {
        api.orders.all_records().await
    };
    let end = |resource: &resource::Resource| match &ended {
        Ok(ended) => ended.get(&order_key(resource)).map_or(status::OrderEnd::Open, |record| {
            status::OrderEnd::Ended(record.outcome.clone())
        }),
        Err(error) => status::OrderEnd::Unreadable(error.clone()),
    };
    page.iter()
        .map(|resource| status::order_with_status(resource, progress, end(resource)))
        .collect()
}

fn order_key(resource: &resource::Resource) -> orders::OrderKey {
    orders::OrderKey { name: resource.name.clone(), generation: resource.generation }
}

async fn put(api: &Api, key: &resource::ResourceKey, body: body::Incoming) -> Reply {
    let _permit = api.acquire_change_permit()?;
    let text = http::read_body(body, api.settings.resource_bytes, api.settings.body_wait()).await?;
    let resource = config::from_json(&text)?;
    if resource.key() != *key {
        let message = format!("the body is {}, but the path names {key}", resource.key());
        return Err(error::Error::new(error::ErrorKind::Invalid, message)
            .at("name")
            .remedy("send it to its own path"));
    }
    change(api, &config::ChangeSet::put(resource)).await
}

async fn delete(api: &Api, key: resource::ResourceKey, uri: &hyper::Uri) -> Reply {
    let _permit = api.acquire_change_permit()?;
    let resource_version = Query::new(uri, &["resource_version"])?.number("resource_version")?;
    change(api, &config::ChangeSet::delete(config::Deletion { key, resource_version })).await
}

async fn apply(api: &Api, body: body::Incoming) -> Reply {
    let _permit = api.acquire_change_permit()?;
    let text = http::read_body(body, api.settings.change_bytes, api.settings.body_wait()).await?;
    change(api, &config::change_from_json(&text)?).await
}

async fn change(api: &Api, set: &config::ChangeSet) -> Reply {
    let snapshot = api.config.write(set).await?;
    let progress = *api.progress.borrow();
    let accepted = set.puts.iter().filter_map(|put| {
        // A later change may already have replaced or deleted the resource.
        snapshot.resource(put.spec.kind(), &put.name).map(|r| status::with_status(r, &progress))
    });
    let resources = accepted.collect();
    Ok(reply::ok(&message::Accepted { version: snapshot.version(), resources }))
}

async fn watch(api: &Api, uri: &hyper::Uri) -> Reply {
    let query = Query::new(uri, &["after", "in_force", "settled", "wait_ms"])?;
    let after = query.number("after")?.unwrap_or(0);
    let in_force = query.number("in_force")?.unwrap_or(u64::MAX);
    let settled = query.number("settled")?.unwrap_or(u64::MAX);
    let wait_ms = query.number("wait_ms")?.unwrap_or(0).min(api.settings.watch_ms);
    let _permit = api.acquire_watch_permit()?;
    let mut snapshots = api.config.subscribe();
    let mut progress = api.progress.clone();
    let changed = async {
        tokio::select! {
            _ = snapshots.wait_for(|snapshot| snapshot.version() > after) => {}
            _ = progress.wait_for(|p| p.in_force > in_force || p.settled > settled) => {}
        }
    };
    // A timeout is no error: the answer then reports the unchanged state.
    let _ = time::timeout(time::Duration::from_millis(wait_ms), changed).await;
    Ok(reply::ok(&watched(api, after)))
}

/// Returns the resources accepted after a version, oldest first.
///
/// If more resources than a page holds were accepted, the answer ends with the version of the first one
/// beyond the page. It contains all resources of that version, so it is longer than a page.
fn watched(api: &Api, after: u64) -> message::Watched {
    let snapshot = api.config.snapshot();
    let progress = *api.progress.borrow();
    let resources = snapshot.resources().values();
    let mut changed: Vec<_> = resources.filter(|r| r.resource_version > after).collect();
    changed.sort_by_key(|resource| resource.resource_version);
    let mut version = snapshot.version();
    if let Some(last) = changed.get(api.settings.page) {
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

fn overview(api: &Api) -> hyper::Response<http::Body> {
    let Progress { in_force, settled, live } = *api.progress.borrow();
    reply::ok(&message::Overview {
        host: api.identity.host.clone(),
        incarnation: api.identity.incarnation,
        version: api.config.snapshot().version(),
        in_force,
        settled,
        live,
    })
}

fn events(api: &Api, uri: &hyper::Uri) -> Reply {
    let after = Query::new(uri, &["after"])?.number("after")?.unwrap_or(0);
    Ok(reply::ok(&(api.events)(after)))
}
