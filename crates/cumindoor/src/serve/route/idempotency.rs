//! How a request with a key starts: as a new attempt, or attached to the answer of another one.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Context;
use super::claims::{self, Claim, ClaimKey, Decision};
use crate::serve::claim::{Found, Missing, Piece, Recorder, fetch};
use crate::serve::refusal::Refusal;
use crate::serve::spec::ServiceSpec;

/// Tries to run a key or to find its answer. Between two of them the holder may start to keep its
/// answer, or give the key back.
const MAX_TRIES: usize = 5;
/// The pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How a request starts.
pub(in crate::serve) enum Start {
    /// It runs; its answer is kept if it has a key.
    Run(Claim, Option<Recorder>),
    /// It receives the whole answer of another request with the same key.
    Attached(mpsc::Receiver<Piece>),
}

/// Starts a request. `content_hash` tells its contents from those of other requests with the same key.
///
/// # Errors
///
/// Returns the refusal of a missing, malformed or reused key, or of an undecided claim.
pub(in crate::serve) async fn start_or_attach(
    context: &Context,
    spec: &ServiceSpec,
    once: bool,
    headers: &HeaderMap,
    content_hash: u64,
) -> Result<Start, Refusal> {
    match claims::key(spec, headers) {
        Ok(Some(key)) if once => start_once_only(context, &key, content_hash).await,
        Ok(Some(key)) => Ok(start_repeatable(context, &key, content_hash).await),
        Err(refusal) if once => Err(refusal),
        Ok(None) if once => claims::without_key(spec).map(|claim| Start::Run(claim, None)),
        // A repeatable request needs no key, so an unusable one does not stop it.
        Ok(None) | Err(_) => Ok(Start::Run(Claim::default(), None)),
    }
}

async fn start_once_only(
    context: &Context,
    key: &ClaimKey,
    content_hash: u64,
) -> Result<Start, Refusal> {
    let hash = key.hashed().hash;
    for _ in 0..MAX_TRIES {
        match context.answers.find(hash, content_hash) {
            Found::Answer(pieces) => return Ok(Start::Attached(pieces)),
            Found::Other => return Err(reused()),
            Found::Nothing => {}
        }
        let holder = match context.claims.claim(key, None).await? {
            Decision::Held(holder) => holder,
            Decision::Run(grant) => {
                let claim = Claim::new(Arc::clone(&context.claims), key.clone(), grant);
                let recorder = context
                    .answers
                    .open(hash, content_hash, Some(claim.confirmed()));
                return Ok(Start::Run(claim, Some(recorder)));
            }
        };
        if holder.vm != context.options.vm {
            let Some(addr) = context.claims.address(&holder.vm) else {
                break;
            };
            let pool = context.engines.pool();
            match fetch(&context.answers, pool, addr, (hash, content_hash)).await {
                Ok(pieces) => return Ok(Start::Attached(pieces)),
                Err(Missing::Other) => return Err(reused()),
                Err(Missing::Unreachable) => break,
                Err(Missing::Nothing) => {}
            }
        }
        sleep(RETRY_DELAY).await;
    }
    Err(claims::duplicate())
}

/// An earlier answer that failed never stands in the way of a new one.
async fn start_repeatable(context: &Context, key: &ClaimKey, content_hash: u64) -> Start {
    let hash = key.hashed().hash;
    match context.answers.find(hash, content_hash) {
        Found::Answer(mut pieces) => match pieces.recv().await {
            None | Some(Piece::Fail(_)) => {}
            Some(first) => return Start::Attached(context.answers.chain(first, pieces)),
        },
        Found::Other => return Start::Run(Claim::default(), None),
        Found::Nothing => {}
    }
    let recorder = context.answers.open(hash, content_hash, None);
    Start::Run(Claim::default(), Some(recorder))
}

/// The refused request itself did not run; its key belongs to a request with other contents.
fn reused() -> Refusal {
    let message = "another request with other contents has this Idempotency-Key";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", message)
}
