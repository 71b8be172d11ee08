//! Claims on idempotency keys: whoever holds the claim may run the once-only request.

mod local;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coord::claim::Holder;
use coord::name::{Organisation, Service, VmName};
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode};

use super::Context;
use crate::serve::refusal::{Kind, Refusal};
use crate::serve::spec::ServiceSpec;

pub use local::LocalClaims;

/// The header with the key.
const KEY_HEADER: &str = "idempotency-key";
/// Bytes of a key at most; a UUID has 36.
const MAX_KEY_BYTES: usize = 255;

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

impl ClaimKey {
    /// Returns the key as claims between VMs name it.
    ///
    /// The same text sent by another organisation or to another service is another key.
    #[must_use]
    pub fn hashed(&self) -> coord::claim::Key {
        // Neither name can contain the separator.
        let scope = format!("{}\0{}", self.organisation, self.service);
        coord::claim::Key::new(&Organisation::from(scope), &self.key)
    }
}

/// How a claim was decided.
pub enum Decision {
    /// This attempt may be dispatched.
    Run(Box<dyn Grant>),
    /// Another attempt has the key.
    Held(Holder),
}

/// Decides which attempt may run each key.
pub trait Claims: Send + Sync {
    /// Returns where other VMs connect to the VM of a holder; `None` if that is not known.
    fn address(&self, _vm: &VmName) -> Option<SocketAddr> {
        None
    }

    /// Claims a key for a new attempt, in place of an earlier one that was not dispatched.
    ///
    /// The refusal is `not-run` only if it is proven that no attempt with this key ran.
    fn claim(
        &self,
        key: &ClaimKey,
        earlier: Option<Box<dyn Grant>>,
    ) -> BoxFuture<'_, Result<Decision, Refusal>>;
}

/// The right of one attempt to run a request.
pub trait Grant: Send + Sync {
    /// Returns true if a dispatch now would be allowed, with some time left.
    fn is_fresh(&self) -> bool;

    /// Checks, directly before the first byte goes to an upstream, that the right still holds.
    ///
    /// # Errors
    ///
    /// Returns the caller's answer if the attempt must not be dispatched.
    fn dispatch(&mut self) -> Result<(), Refusal>;

    /// Ends the attempt. `ran` tells whether an upstream may have done any of the work; if not,
    /// the key is free again.
    fn end(self: Box<Self>, ran: bool);

    /// Returns this attempt's number.
    fn holder(&self) -> Holder;
}

/// The claim of one request; without a key it allows everything.
///
/// Dropping it gives the key back unless an upstream may have done the work.
#[derive(Default)]
pub struct Claim {
    origin: Option<(Arc<dyn Claims>, ClaimKey)>,
    grant: Option<Box<dyn Grant>>,
    /// True once the check directly before the first byte has passed; the kept answer shares it.
    confirmed: Arc<AtomicBool>,
    /// True while an upstream may have done the work.
    dispatched: bool,
}

impl Claim {
    /// Returns the claim for a granted key.
    #[must_use]
    pub fn new(claims: Arc<dyn Claims>, key: ClaimKey, grant: Box<dyn Grant>) -> Self {
        Self {
            origin: Some((claims, key)),
            grant: Some(grant),
            confirmed: Arc::default(),
            dispatched: false,
        }
    }

    /// Returns what becomes true when the request may be dispatched.
    #[must_use]
    pub fn confirmed(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.confirmed)
    }

    /// Returns true if the request is to be checked before its dispatch.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.origin.is_some() && !self.confirmed.load(Ordering::Acquire)
    }

    /// Makes the check directly before the first byte goes to an upstream.
    ///
    /// A claim that is too old is made again first. The check itself is the last step, so the
    /// caller must send without waiting for anything else.
    ///
    /// # Errors
    ///
    /// Returns the caller's answer if the request must not be sent.
    pub async fn confirm(&mut self) -> Result<(), Refusal> {
        if !self.needs_confirmation() {
            return Ok(());
        }
        self.renew().await?;
        if let Some(grant) = &mut self.grant {
            grant.dispatch()?;
        }
        self.confirmed.store(true, Ordering::Release);
        Ok(())
    }

    async fn renew(&mut self) -> Result<(), Refusal> {
        let Some((claims, key)) = &self.origin else {
            return Ok(());
        };
        if self.grant.as_ref().is_some_and(|grant| grant.is_fresh()) {
            return Ok(());
        }
        let earlier = self.grant.take();
        match claims.claim(key, earlier).await? {
            Decision::Run(grant) => self.grant = Some(grant),
            Decision::Held(_) => return Err(duplicate()),
        }
        Ok(())
    }

    /// Notes whether an upstream may have done the work.
    pub fn set_dispatched(&mut self, dispatched: bool) {
        self.dispatched = dispatched;
    }

    /// Returns `refusal` as it may be given: one that says `not-run` needs a proof that no other
    /// attempt with the key ran, and the proof of an old claim has lapsed.
    pub async fn prove_not_run(&mut self, refusal: Refusal) -> Refusal {
        if refusal.kind == Kind::Unknown || !self.needs_confirmation() {
            return refusal;
        }
        match self.renew().await {
            Ok(()) => refusal,
            Err(undecided) if undecided.kind == Kind::NotRun => refusal,
            Err(undecided) => undecided,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            grant.end(self.dispatched);
        }
    }
}

/// Returns the answer to a request whose key another attempt has.
pub(super) fn duplicate() -> Refusal {
    let message = "another request with this Idempotency-Key runs or has run";
    let mut refusal = Refusal::unknown("duplicate", message);
    refusal.status = StatusCode::CONFLICT;
    refusal
}

/// Returns `refusal`, made before the claim, as it may be given to a request that must run at
/// most once: see [`Claim::prove_not_run`].
pub(in crate::serve) async fn prove_not_run(
    context: &Context,
    spec: &ServiceSpec,
    once: bool,
    headers: &HeaderMap,
    refusal: Refusal,
) -> Refusal {
    let Ok(Some(key)) = key(spec, headers) else {
        return refusal;
    };
    if !once {
        return refusal;
    }
    match context.claims.claim(&key, None).await {
        Err(undecided) if undecided.kind == Kind::Unknown => undecided,
        Ok(Decision::Held(_)) => duplicate(),
        Ok(Decision::Run(_)) | Err(_) => refusal,
    }
}

pub(super) fn without_key(spec: &ServiceSpec) -> Result<Claim, Refusal> {
    if !spec.require_key {
        return Ok(Claim::default());
    }
    let message = "this request must run at most once, which needs an Idempotency-Key";
    let status = StatusCode::BAD_REQUEST;
    Err(Refusal::not_run(status, "key-required", message))
}

pub(super) fn key(spec: &ServiceSpec, headers: &HeaderMap) -> Result<Option<ClaimKey>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let usable = |key: &&str| !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    let key = value.to_str().ok().filter(usable).ok_or_else(|| {
        let message = format!("Idempotency-Key must be text of 1 to {MAX_KEY_BYTES} bytes");
        Refusal::not_run(StatusCode::BAD_REQUEST, "malformed", message)
    })?;
    Ok(Some(ClaimKey {
        organisation: spec.organisation.clone(),
        service: spec.name.clone(),
        key: key.to_owned(),
    }))
}
