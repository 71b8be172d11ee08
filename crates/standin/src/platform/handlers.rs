//! The handlers of reads and watches.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Duration, Instant};

use super::state::{Content, Shared};
use crate::http::{self, Body, error_response, json_response};

/// The maximum duration of a watch; longer ones are shortened to it.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(10);

/// Returns the response from a replica's content, and whether the content has a change after the
/// given revision.
type ReadFn = fn(&Content, u64) -> (Value, bool);

pub(super) async fn handle(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    let read: ReadFn = match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/documents") => documents,
        (&Method::GET, "/v1/vms") => list,
        _ => return error_response(StatusCode::NOT_FOUND, "no such call"),
    };
    if !shared.admit_read() {
        return error_response(StatusCode::TOO_MANY_REQUESTS, "read limit");
    }
    let params = http::query_params(request);
    let since = http::number_param(&params, "since");
    let wait = Duration::from_millis(http::number_param(&params, "wait_ms")).min(MAX_WATCH_WAIT);
    let value = watch(shared, read, since, wait).await;
    json_response(StatusCode::OK, &value)
}

/// Waits up to `wait` for a change after the revision `since`, and returns the response.
async fn watch(shared: &Shared, read: ReadFn, since: u64, wait: Duration) -> Value {
    let deadline = Instant::now() + wait;
    let stale = shared.choose_stale();
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        let (value, newer) = shared.read(stale, |content| read(content, since));
        if newer || wait.is_zero() {
            return value;
        }
        let outcome = tokio::time::timeout_at(deadline, changes.changed()).await;
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
