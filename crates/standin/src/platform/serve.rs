//! The reads and watches of the platform.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Duration, Instant};

use super::state::{Content, Shared};
use crate::http::{self, Body, error_answer, json_answer};

/// A watch waits this long at most.
const WAIT_LIMIT: Duration = Duration::from_mins(10);

/// A read: returns the replica's answer and whether it has something newer than `since`.
type Read = fn(&Content, u64) -> (Value, bool);

pub(super) async fn answer(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    let read: Read = match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/documents") => documents,
        (&Method::GET, "/v1/vms") => list,
        _ => return error_answer(StatusCode::NOT_FOUND, "no such call"),
    };
    if !shared.admit_read() {
        return error_answer(StatusCode::TOO_MANY_REQUESTS, "read limit");
    }
    let query = http::query(request);
    let since = http::number(&query, "since");
    let wait = Duration::from_millis(http::number(&query, "wait_ms")).min(WAIT_LIMIT);
    let value = watch(shared, read, since, wait).await;
    json_answer(StatusCode::OK, &value)
}

/// Waits up to `wait` for something newer than `since`.
async fn watch(shared: &Shared, read: Read, since: u64, wait: Duration) -> Value {
    let until = Instant::now() + wait;
    let stale = shared.choose_stale();
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        let (value, newer) = shared.read(stale, |content| read(content, since));
        if newer || wait.is_zero() {
            return value;
        }
        let outcome = tokio::time::timeout_at(until, changes.changed()).await;
        if !matches!(outcome, Ok(Ok(()))) {
            return value;
        }
    }
}

fn documents(content: &Content, since: u64) -> (Value, bool) {
    let newer = content.by_revision.range(since.saturating_add(1)..);
    let entries: Vec<_> = newer
        .filter_map(|(_, name)| content.documents.get(name))
        .collect();
    let value = json!({ "revision": content.revision, "documents": entries });
    (value, !entries.is_empty())
}

fn list(content: &Content, since: u64) -> (Value, bool) {
    let list = &content.list;
    let vms: Vec<_> = list.vms.values().collect();
    let upstreams: Vec<_> = list.upstreams.values().collect();
    let value = json!({ "revision": list.revision, "vms": vms, "upstreams": upstreams });
    (value, list.revision > since)
}
