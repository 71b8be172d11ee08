//! HTTP requests on the peer port: `GET /status` and attaching to an answer.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use coord::name::DataCentre;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::watch;

use super::active_config::ActiveConfig;
use crate::serve::cell::shared::{CellsStatus, SharedCells};
use crate::serve::claim;
use crate::serve::peer::{Body, HttpHandler};
use crate::serve::route::Context;
use crate::serve::view::View;

/// Handles HTTP requests on the peer port.
///
/// `GET /status` returns the VM's state as JSON.
pub(super) struct StatusPage {
    pub(super) data_centre: DataCentre,
    pub(super) context: Arc<Context>,
    pub(super) cells: Arc<SharedCells>,
    pub(super) active_config: Arc<ActiveConfig>,
    pub(super) view: watch::Receiver<Arc<View>>,
}

#[derive(Serialize)]
struct Report {
    vm: String,
    data_centre: String,
    trusted: bool,
    stopping: bool,
    requests: Requests,
    documents: BTreeMap<String, u64>,
    members: Vec<Vm>,
    upstreams: Vec<Upstream>,
    cells: CellsStatus,
    counters: BTreeMap<String, u64>,
}

#[derive(Serialize)]
struct Requests {
    running: usize,
    open: usize,
    /// Cancellations that engines have not acknowledged yet.
    cancels: usize,
}

#[derive(Serialize)]
struct Vm {
    name: String,
    data_centre: String,
    incarnation: u64,
    address: String,
    leaving: bool,
}

#[derive(Serialize)]
struct Upstream {
    name: String,
    group: String,
    role: String,
    data_centre: String,
    address: String,
    slots: u32,
    leaving: bool,
}

impl StatusPage {
    fn report(&self) -> Report {
        let view = Arc::clone(&self.view.borrow());
        let context = &self.context;
        Report {
            vm: context.options.vm.to_string(),
            data_centre: self.data_centre.to_string(),
            trusted: view.trusted,
            stopping: context.tasks.is_closed(),
            requests: Requests {
                running: context.live.len(),
                open: context.open.total(),
                cancels: context.canceller.pending(),
            },
            documents: self.active_config.in_force(),
            members: members(&view),
            upstreams: self.upstreams(),
            cells: self.cells.status(),
            counters: context.telemetry.snapshot().counters.into_iter().collect(),
        }
    }

    fn upstreams(&self) -> Vec<Upstream> {
        let all = self.active_config.upstreams().into_iter();
        all.map(|upstream| Upstream {
            name: upstream.name.to_string(),
            group: upstream.service.to_string(),
            role: upstream
                .role
                .map_or("plain".into(), |role| format!("{role:?}").to_lowercase()),
            data_centre: upstream.data_centre.to_string(),
            address: upstream.address.to_string(),
            slots: upstream.slots,
            leaving: upstream.leaving,
        })
        .collect()
    }
}

fn members(view: &View) -> Vec<Vm> {
    let all = view.vms.iter();
    all.map(|(name, member)| Vm {
        name: name.to_string(),
        data_centre: member.data_centre.to_string(),
        incarnation: member.incarnation.0,
        address: member.address.to_string(),
        leaving: member.leaving,
    })
    .collect()
}

impl HttpHandler for StatusPage {
    fn respond(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        let target = (request.method(), request.uri().path());
        let response = match target {
            (&Method::GET, "/status") => match serde_json::to_vec(&self.report()) {
                Ok(body) => response(StatusCode::OK, body),
                Err(error) => {
                    let text = error.to_string().into_bytes();
                    response(StatusCode::INTERNAL_SERVER_ERROR, text)
                }
            },
            (&Method::GET, path) if path.starts_with(claim::ATTACH_PATH) => {
                claim::attach(&self.context.answers, request.uri())
            }
            _ => response(StatusCode::NOT_FOUND, Vec::new()),
        };
        Box::pin(std::future::ready(response))
    }
}

fn response(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body));
    let body = body.map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
