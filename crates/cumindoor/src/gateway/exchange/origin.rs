//! The software version at which a stream began, which alone may continue it.
//!
//! A request is free until its caller has the first event. From then on it is bound to the build that wrote
//! that event, and so are later attempts of its caller, at any gateway. See `docs/design.md`, section 6.12.

use std::sync::Arc;
use std::time::Duration;

use border::RouteKind;
use coord::name::Service;
use coord::origin::{BuildKey, StreamKey, caller_key, stream_key};

use super::{CallerRequest, millis};
use crate::gateway::admission::placement::Choice;
use crate::gateway::callers::answer::{Reason, Refusal};
use crate::gateway::fleet::origins::{self, RunningStream};

/// Time for which an origin is kept after the caller's time limit, for the way of its last attempt.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Binds a request that resumes a stream to the build at which it began. Refuses it if nobody knows that
/// build, because any other one would write something that does not fit.
pub(super) async fn find(req: &mut CallerRequest) -> Result<(), Refusal> {
    if !req.resumes() {
        return Ok(());
    }
    let build = look_up(req).await?;
    req.build.get_or_init(|| build);
    choose_service(req);
    if !req.has_upstream_of_build(&req.ctx.state().directory) {
        return Err(Refusal::new(Reason::VersionGone));
    }
    Ok(())
}

/// Returns the build at which the stream began that a request resumes.
async fn look_up(req: &CallerRequest) -> Result<BuildKey, Refusal> {
    let content = req.content.run;
    let (name, stream) = match &req.meta.resumes {
        Some(Ok(name)) => (&**name, stream_key(name, content)),
        Some(Err(error)) => return Err(refuse(req, &error.to_string())),
        None => ("", unnamed(req)),
    };
    let is_named = !name.is_empty();
    let Some(build) = origins::find(&req.ctx, (stream, content), is_named).await else {
        return Err(refuse(req, "no gateway knows the stream"));
    };
    let waited_ms = millis(req.started.elapsed());
    let version = version(req, build);
    let (id, version) = (&*req.meta.id, version.as_deref().unwrap_or(""));
    log::info!(id, resumes = name, version, waited_ms; "origin found");
    req.ctx.telemetry.count("origin.found");
    Ok(build)
}

/// Sends a request that resumes a stream to the service that began it, if its route shares the requests out
/// among several.
fn choose_service(req: &mut CallerRequest) {
    let found = {
        let state = req.ctx.state();
        let has_build = |service: &&Service| {
            let mut all = state.directory.not_draining(service);
            all.any(|endpoint| Some(endpoint.build) == req.build())
        };
        let targets = req.route.targets.iter();
        let mut used = targets
            .filter(|(_, weight)| *weight > 0)
            .map(|(service, _)| service);
        let service = used.find(has_build).cloned();
        let routing = state.routing.clone();
        service.and_then(|service| {
            let def = routing?.services.get(&service).cloned()?;
            Some((service, def))
        })
    };
    if let Some((service, def)) = found {
        (req.service, req.def) = (service, def);
    }
}

fn refuse(req: &CallerRequest, why: &str) -> Refusal {
    let waited_ms = millis(req.started.elapsed());
    log::info!(id = &*req.meta.id, why, waited_ms; "origin unknown");
    req.ctx.telemetry.count("origin.unknown");
    Refusal::new(Reason::UnknownOrigin)
}

/// Returns the version that a build key stands for, if an upstream has it.
pub(super) fn version(req: &CallerRequest, build: BuildKey) -> Option<Arc<str>> {
    let state = req.ctx.state();
    let mut all = state.directory.all();
    let endpoint = all.find(|endpoint| endpoint.build == build)?;
    Some(endpoint.entry.version.clone())
}

/// Binds a request to the build that is about to send its caller the first event of an attempt, and tells
/// other gateways, to which the caller may come back at once. Returns `None` if no other attempt may follow.
pub(super) async fn bind(req: &CallerRequest, choice: &Choice) -> Option<RunningStream> {
    let build = *req.build.get_or_init(|| choice.build);
    if req.kind() != (RouteKind::Stream { resumable: true }) {
        return None;
    }
    let limit = req.meta.timeout.unwrap_or(req.route.timeout);
    let retention = limit.saturating_sub(req.started.elapsed()) + RETENTION_MARGIN;
    let streams = streams(req);
    let key = (&streams[..], req.content.run);
    Some(origins::begin(&req.ctx, key, build, retention).await)
}

/// Returns the keys under which the caller may take the stream up: by the attempt that began it, which it
/// should name, by this one, and by its address if it names none.
fn streams(req: &CallerRequest) -> Vec<StreamKey> {
    let own = stream_key(&req.meta.id, req.content.run);
    let first = match &req.meta.resumes {
        Some(Ok(name)) => Some(stream_key(name, req.content.run)),
        _ => None,
    };
    [own, unnamed(req)].into_iter().chain(first).collect()
}

/// Returns the key of what the caller streamed lately, for callers that do not name the attempt.
fn unnamed(req: &CallerRequest) -> StreamKey {
    caller_key(&req.content.caller.to_string(), req.content.run)
}
