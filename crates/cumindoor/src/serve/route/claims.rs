//! Claims on idempotency keys: whoever holds the claim may run the once-only request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::name::{Organisation, Service};
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode};

use super::Context;
use crate::serve::refusal::Refusal;
use crate::serve::spec::ServiceSpec;

/// The header with the key.
const KEY: &str = "idempotency-key";
/// Bytes of a key at most; a UUID has 36.
const KEY_BYTES: usize = 255;
/// How long a key is remembered after its claim.
const RETENTION: Duration = Duration::from_hours(1);

/// What a claim is made on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The organisation that sent the request.
    pub organisation: Organisation,
    /// The service that is to run it.
    pub service: Service,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Grants each key once.
pub trait Claims: Send + Sync {
    /// Claims a key for one attempt.
    ///
    /// The refusal is `not-run` if the claim could not be decided, and `unknown` if another
    /// attempt holds it.
    fn claim(&self, key: ClaimKey) -> BoxFuture<'_, Result<Claim, Refusal>>;
}

type Release = Box<dyn FnOnce() + Send>;

/// The right to run a request; dropping it before the dispatch gives the key back.
#[derive(Default)]
pub struct Claim {
    release: Option<Release>,
    dispatched: bool,
}

impl Claim {
    /// Returns a claim that calls `release` if the request was not dispatched.
    #[must_use]
    pub fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self {
            release: Some(Box::new(release)),
            dispatched: false,
        }
    }

    /// Notes whether an upstream may have done the work.
    pub fn set_dispatched(&mut self, dispatched: bool) {
        self.dispatched = dispatched;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(release) = self.release.take().filter(|_| !self.dispatched) {
            release();
        }
    }
}

/// Claims a request's key if it must run at most once and has one.
///
/// # Errors
///
/// Returns the refusal of a duplicate, of a malformed key, or of an undecided claim.
pub(in crate::serve) async fn claim(
    context: &Context,
    spec: &ServiceSpec,
    once: bool,
    headers: &HeaderMap,
) -> Result<Claim, Refusal> {
    let Some(value) = headers.get(KEY).filter(|_| once) else {
        return Ok(Claim::default());
    };
    let key = value.to_str().ok().filter(|key| key.len() <= KEY_BYTES);
    let key = key.ok_or_else(|| {
        let message = format!("Idempotency-Key must be text of at most {KEY_BYTES} bytes");
        Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
    })?;
    let key = ClaimKey {
        organisation: spec.organisation.clone(),
        service: spec.name.clone(),
        key: key.to_owned(),
    };
    context.claims.claim(key).await
}

#[derive(Debug, Default)]
struct Granted {
    by_key: BTreeMap<ClaimKey, Instant>,
    /// The keys in the order of their claims.
    order: VecDeque<(Instant, ClaimKey)>,
}

/// Claims of a VM that is alone; a restart forgets them.
#[derive(Clone, Debug, Default)]
pub struct LocalClaims {
    granted: Arc<Mutex<Granted>>,
}

impl LocalClaims {
    fn lock(&self) -> MutexGuard<'_, Granted> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grant(&self, key: ClaimKey) -> Result<Claim, Refusal> {
        let now = Instant::now();
        let mut granted = self.lock();
        granted.expire(now);
        if granted.by_key.contains_key(&key) {
            let message = "another request with this Idempotency-Key runs or has run";
            let mut refusal = Refusal::unknown("duplicate", message);
            refusal.status = StatusCode::CONFLICT;
            return Err(refusal);
        }
        granted.by_key.insert(key.clone(), now);
        granted.order.push_back((now, key.clone()));
        drop(granted);
        let claims = self.clone();
        Ok(Claim::new(move || claims.release(&key)))
    }

    fn release(&self, key: &ClaimKey) {
        self.lock().by_key.remove(key);
    }
}

impl Granted {
    fn expire(&mut self, now: Instant) {
        let old = |at: &Instant| now.duration_since(*at) >= RETENTION;
        while let Some((at, key)) = self.order.pop_front_if(|(at, _)| old(at)) {
            // The key may have been released and claimed again since.
            if self.by_key.get(&key) == Some(&at) {
                self.by_key.remove(&key);
            }
        }
    }
}

impl Claims for LocalClaims {
    fn claim(&self, key: ClaimKey) -> BoxFuture<'_, Result<Claim, Refusal>> {
        let granted = self.grant(key);
        async move { granted }.boxed()
    }
}
