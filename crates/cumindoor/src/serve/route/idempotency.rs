//! The start of a request with an idempotency key: it runs as a new attempt, or it is attached to
//! the answer of another request with the same key.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::Context;
use super::claims::{self, Claim, ClaimKey, Decision};
use crate::serve::claim::{AttachError, Lookup, Piece, Recorder, fetch_answer};
use crate::serve::refusal::Refusal;
use crate::serve::spec::ServiceSpec;

/// How often a request tries to claim its key or to find the recorded answer. Between two tries,
/// the holder may start to record its answer or release the key.
const MAX_TRIES: usize = 5;
/// Delay between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The way in which a request starts.
pub(in crate::serve) enum Start {
    /// The request runs. Its answer is recorded if it has a key.
    Run(Claim, Option<Recorder>),
    /// The request receives the complete answer of another request with the same key.
    Attached(mpsc::Receiver<Piece>),
}

/// Starts a request, or attaches it to an existing answer. `content_hash` detects a request with
/// other contents that reuses a key.
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
        // A repeatable request does not need a key, so a malformed one is ignored.
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
            Lookup::Answer(pieces) => return Ok(Start::Attached(pieces)),
            Lookup::Mismatch => return Err(reused()),
            Lookup::NotFound => {}
        }
        let holder = match context.claims.claim(key, None).await? {
            Decision::Held(holder) => holder,
            Decision::Run(grant) => {
                let claim = Claim::new(Arc::clone(&context.claims), key.clone(), grant);
                let recorder =
                    context
                        .answers
                        .start_recording(hash, content_hash, Some(claim.confirmed()));
                return Ok(Start::Run(claim, Some(recorder)));
            }
        };
        if holder.vm != context.options.vm {
            let Some(addr) = context.claims.address(&holder.vm) else {
                break;
            };
            let pool = context.engines.pool();
            match fetch_answer(&context.answers, pool, addr, (hash, content_hash)).await {
                Ok(pieces) => return Ok(Start::Attached(pieces)),
                Err(AttachError::Mismatch) => return Err(reused()),
                Err(AttachError::Unreachable) => break,
                Err(AttachError::NotFound) => {}
            }
        }
        sleep(RETRY_DELAY).await;
    }
    Err(claims::duplicate())
}

/// Attaches a repeatable request to a recorded answer, or runs it. An answer that failed before
/// its first piece is not reused.
async fn start_repeatable(context: &Context, key: &ClaimKey, content_hash: u64) -> Start {
    let hash = key.hashed().hash;
    match context.answers.find(hash, content_hash) {
        Lookup::Answer(mut pieces) => match pieces.recv().await {
            None | Some(Piece::Fail(_)) => {}
            Some(first) => return Start::Attached(context.answers.chain(first, pieces)),
        },
        Lookup::Mismatch => return Start::Run(Claim::default(), None),
        Lookup::NotFound => {}
    }
    let recorder = context.answers.start_recording(hash, content_hash, None);
    Start::Run(Claim::default(), Some(recorder))
}

/// Returns the refusal of a request whose key belongs to a request with other contents. The kind is
/// `not-run`, because the refused request itself did not run.
fn reused() -> Refusal {
    let message = "another request with other contents has this Idempotency-Key";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", message)
}
