//! Dispatch of caller requests to model services and plain services.

use std::time::Duration;

use coord::name::{Organisation, Service};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use serde_json::json;

use super::answer::{self, CallerResponse};
use super::parse::{self, Form};
use super::{Shared, body};
use crate::serve::claim::Piece;
use crate::serve::plain;
use crate::serve::refusal::Refusal;
use crate::serve::route::{self, Event, ModelRequest, Start, claims};
use crate::serve::spec::{ServiceKind, ServiceSpec};

/// The header that names the organisation of the caller.
const ORGANISATION: &str = "x-organisation";
/// Retry delay given to an organisation that exceeds its limit of open requests.
const OPEN_LIMIT_RETRY: Duration = Duration::from_secs(1);

/// Handles one request.
pub(super) async fn handle(shared: &Shared, request: Request<Incoming>) -> CallerResponse {
    let response = match request.uri().path() {
        "/v1/chat/completions" => serve_model(shared, Form::Chat, request).await,
        "/v1/completions" => serve_model(shared, Form::Completion, request).await,
        "/v1/models" => list_models(shared, &request),
        _ => serve_plain(shared, request).await,
    };
    response.unwrap_or_else(|refusal| answer::refuse(&refusal))
}

async fn serve_model(
    shared: &Shared,
    form: Form,
    request: Request<Incoming>,
) -> Result<CallerResponse, Refusal> {
    if request.method() != Method::POST {
        return Err(Refusal::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "method",
            "only POST is allowed here",
        ));
    }
    let organisation = organisation(request.headers())?;
    let trace = text_header(request.headers(), "traceparent");
    let context = &shared.context;
    let (parts, body) = request.into_parts();
    let bytes = body::read(body, &context.options.limits).await?;
    let mut parsed = parse::parse(form, &bytes)?;
    drop(bytes);

    let spec = context
        .table
        .service(&organisation, &Service::from(parsed.model.as_str()))
        .filter(|spec| spec.kind == ServiceKind::Model)
        .ok_or_else(|| no_service(&organisation, &parsed.model))?;
    let max_tokens = parsed.output_limit(&spec)?;
    let Some(guard) = context.open.acquire(&spec) else {
        let refusal = too_many_open(&spec);
        return Err(
            claims::prove_not_run(context, &spec, spec.once, &parts.headers, refusal).await,
        );
    };
    let content_hash = parsed.content_hash();
    let model_request = ModelRequest {
        prompt: std::mem::take(&mut parsed.prompt),
        max_tokens,
        trace,
    };
    let (answers, once) = (&context.answers, spec.once);
    let events =
        match route::start_or_attach(context, &spec, once, &parts.headers, content_hash).await? {
            Start::Attached(pieces) => answers.map(pieces, move |piece| {
                let _guard = &guard;
                Event::from(piece)
            }),
            Start::Run(claim, recorder) => {
                let events = route::start(context, spec, model_request, (guard, claim));
                match recorder {
                    None => events,
                    Some(recorder) => {
                        let pieces = recorder.record(answers.map(events, Piece::from), false);
                        answers.map(pieces, Event::from)
                    }
                }
            }
        };
    Ok(answer::respond(&parsed, events).await)
}

/// Lists the model services of the caller's organisation. Client libraries request this list.
fn list_models(shared: &Shared, request: &Request<Incoming>) -> Result<CallerResponse, Refusal> {
    let organisation = organisation(request.headers())?;
    let names = shared
        .context
        .table
        .names(&organisation, ServiceKind::Model);
    let entry = |name: &Service| {
        json!({
            "id": name.as_str(), "object": "model", "created": 0,
            "owned_by": organisation.as_str(),
        })
    };
    let data: Vec<_> = names.iter().map(entry).collect();
    let body = json!({"object": "list", "data": data}).to_string();
    Ok(answer::json_response(StatusCode::OK, body))
}

async fn serve_plain(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<CallerResponse, Refusal> {
    let organisation = organisation(request.headers())?;
    let path = request.uri().path();
    let name = path.trim_start_matches('/').split('/').next();
    let name = name.unwrap_or_default().to_owned();
    let context = &shared.context;
    let spec = context
        .table
        .service(&organisation, &Service::from(name.as_str()))
        .filter(|spec| spec.kind == ServiceKind::Plain)
        .ok_or_else(|| no_service(&organisation, &name))?;
    let Some(guard) = context.open.acquire(&spec) else {
        let once = spec.is_once(plain::upstream_uri(request.uri())?.path());
        let refusal = too_many_open(&spec);
        return Err(claims::prove_not_run(context, &spec, once, request.headers(), refusal).await);
    };
    plain::call(context, &spec, request, guard).await
}

fn organisation(headers: &HeaderMap) -> Result<Organisation, Refusal> {
    let name = text_header(headers, ORGANISATION).ok_or_else(|| {
        Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "organisation",
            "the header X-Organisation is missing",
        )
    })?;
    Ok(Organisation::from(name))
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?.trim();
    (!value.is_empty()).then(|| value.to_owned())
}

fn no_service(organisation: &Organisation, name: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        "no-service",
        format!("the organisation {organisation} has no such service: {name:?}"),
    )
}

fn too_many_open(spec: &ServiceSpec) -> Refusal {
    let message = format!("more than {} open requests", spec.open_limit);
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "open-limit", message)
        .retry_in(OPEN_LIMIT_RETRY)
}
