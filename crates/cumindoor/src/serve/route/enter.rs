//! How a request with a key starts: as a new attempt, or attached to the answer of another one.

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

/// Tries to run a key or to find its answer. Between two of them the holder may start to keep its
/// answer, or give the key back.
const TRIES: usize = 5;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// How a request starts.
pub(in crate::serve) enum Entry {
    /// It runs; its answer is kept if it has a key.
    Run(Claim, Option<Recorder>),
    /// It receives the whole answer of another request with the same key.
    Attached(mpsc::Receiver<Piece>),
}

/// Starts a request. `tag` tells its contents from those of other requests with the same key.
///
/// # Errors
///
/// Returns the refusal of a missing, malformed or reused key, or of an undecided claim.
pub(in crate::serve) async fn enter(
    context: &Context,
    spec: &ServiceSpec,
    once: bool,
    headers: &HeaderMap,
    tag: u64,
) -> Result<Entry, Refusal> {
    match claims::key(spec, headers) {
        Ok(Some(key)) if once => enter_once(context, &key, tag).await,
        Ok(Some(key)) => Ok(enter_repeatable(context, &key, tag).await),
        Err(refusal) if once => Err(refusal),
        Ok(None) if once => claims::without_key(spec).map(|claim| Entry::Run(claim, None)),
        // A repeatable request needs no key, so an unusable one does not stop it.
        Ok(None) | Err(_) => Ok(Entry::Run(Claim::default(), None)),
    }
}

async fn enter_once(context: &Context, key: &ClaimKey, tag: u64) -> Result<Entry, Refusal> {
    let hash = key.hashed().hash;
    for _ in 0..TRIES {
        match context.answers.find(hash, tag) {
            Lookup::Answer(pieces) => return Ok(Entry::Attached(pieces)),
            Lookup::Mismatch => return Err(reused()),
            Lookup::NotFound => {}
        }
        let holder = match context.claims.claim(key, None).await? {
            Decision::Held(holder) => holder,
            Decision::Run(grant) => {
                let claim = Claim::new(Arc::clone(&context.claims), key.clone(), grant);
                let recorder = context
                    .answers
                    .start_recording(hash, tag, Some(claim.passed()));
                return Ok(Entry::Run(claim, Some(recorder)));
            }
        };
        if holder.vm != context.options.vm {
            let Some(addr) = context.claims.address(&holder.vm) else {
                break;
            };
            let pool = context.engines.pool();
            match fetch_answer(&context.answers, pool, addr, (hash, tag)).await {
                Ok(pieces) => return Ok(Entry::Attached(pieces)),
                Err(AttachError::Mismatch) => return Err(reused()),
                Err(AttachError::Unreachable) => break,
                Err(AttachError::NotFound) => {}
            }
        }
        sleep(PAUSE).await;
    }
    Err(claims::duplicate())
}

/// An earlier answer that failed never stands in the way of a new one.
async fn enter_repeatable(context: &Context, key: &ClaimKey, tag: u64) -> Entry {
    let hash = key.hashed().hash;
    match context.answers.find(hash, tag) {
        Lookup::Answer(mut pieces) => match pieces.recv().await {
            None | Some(Piece::Fail(_)) => {}
            Some(first) => return Entry::Attached(context.answers.chain(first, pieces)),
        },
        Lookup::Mismatch => return Entry::Run(Claim::default(), None),
        Lookup::NotFound => {}
    }
    let recorder = context.answers.start_recording(hash, tag, None);
    Entry::Run(Claim::default(), Some(recorder))
}

/// The refused request itself did not run; its key belongs to a request with other contents.
fn reused() -> Refusal {
    let message = "another request with other contents has this Idempotency-Key";
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", message)
}
