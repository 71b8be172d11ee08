//! Claims on idempotency keys. Only the attempt that holds the claim on its key may run a once-only
//! request.

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

/// The header that contains the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The most bytes in a key; a UUID in text form has 36.
const MAX_KEY_BYTES: usize = 255;

/// An idempotency key with its scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The organisation that sent the request.
    pub organisation: Organisation,
    /// The service that the request is for.
    pub service: Service,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: String,
}

impl ClaimKey {
    /// Returns the key in the form that the VMs use between each other.
    ///
    /// The same text from another organisation or for another service gives another key.
    #[must_use]
    pub fn hashed(&self) -> coord::claim::Key {
        // Neither name can contain the separator, so different scopes have different texts.
        let scope = format!("{}\0{}", self.organisation, self.service);
        coord::claim::Key::new(&Organisation::from(scope), &self.key)
    }
}

/// The decision on a claim.
pub enum Decision {
    /// The claim is granted: this attempt may be dispatched.
    Run(Box<dyn Grant>),
    /// The claim is denied: another attempt holds the key.
    Held(Holder),
}

/// Decides which attempt may run each key.
pub trait Claims: Send + Sync {
    /// Returns the address at which other VMs connect to `vm`, or `None` if it is not known.
    fn address(&self, _vm: &VmName) -> Option<SocketAddr> {
        None
    }

    /// Claims a key for a new attempt. It replaces `earlier`, an attempt that was not dispatched.
    ///
    /// A claim that stays undecided gives a refusal. Its kind is `not-run` only if it is proven
    /// that no attempt with this key ran.
    fn claim(
        &self,
        key: &ClaimKey,
        earlier: Option<Box<dyn Grant>>,
    ) -> BoxFuture<'_, Result<Decision, Refusal>>;
}

/// The right of one attempt to run a request.
pub trait Grant: Send + Sync {
    /// Returns true if the right holds now and will not expire soon.
    fn is_fresh(&self) -> bool;

    /// Checks, directly before the first byte goes to an upstream, that the right still holds.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the attempt must not be dispatched.
    fn dispatch(&mut self) -> Result<(), Refusal>;

    /// Ends the attempt. `ran` is true if an upstream may have run any part of the request;
    /// otherwise the key can be claimed again.
    fn end(self: Box<Self>, ran: bool);

    /// Returns the VM and the id of this attempt.
    fn holder(&self) -> Holder;
}

/// The claim of one request. The default value belongs to a request without a key and always
/// allows the dispatch.
///
/// Dropping it releases the key unless an upstream may have run any part of the request.
#[derive(Default)]
pub struct Claim {
    origin: Option<(Arc<dyn Claims>, ClaimKey)>,
    grant: Option<Box<dyn Grant>>,
    /// True once the check directly before the first byte has passed. The recorder of the answer
    /// shares this flag.
    confirmed: Arc<AtomicBool>,
    /// True while an upstream may have run any part of the request.
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

    /// Returns the flag that becomes true when [`Self::confirm`] succeeds.
    #[must_use]
    pub fn confirmed(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.confirmed)
    }

    /// Returns true if [`Self::confirm`] has to succeed before the request is dispatched.
    #[must_use]
    pub fn needs_confirmation(&self) -> bool {
        self.origin.is_some() && !self.confirmed.load(Ordering::Acquire)
    }

    /// Checks that the claim still holds, directly before the first byte goes to an upstream.
    ///
    /// A claim that is about to expire is renewed first. The check itself is the last step: after
    /// it, the request must be sent without waiting for anything else.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the request must not be sent.
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

    /// Sets whether an upstream may have run any part of the request.
    pub fn set_dispatched(&mut self, dispatched: bool) {
        self.dispatched = dispatched;
    }

    /// Returns `refusal`, or one of kind `unknown` in its place if `not-run` cannot be proven.
    ///
    /// A `not-run` refusal requires proof that no other attempt with the key ran. An expired claim
    /// proves this no longer, so the claim is renewed first.
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

/// Returns the refusal of a request whose key another attempt holds.
pub(super) fn duplicate() -> Refusal {
    let message = "another request with this Idempotency-Key runs or has run";
    let mut refusal = Refusal::unknown("duplicate", message);
    refusal.status = StatusCode::CONFLICT;
    refusal
}

/// Returns `refusal`, which was made before the key was claimed, or one of kind `unknown` in its
/// place if `not-run` cannot be proven; see [`Claim::prove_not_run`].
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

/// Returns the claim of a once-only request without a key, or a refusal if the service requires
/// one.
pub(super) fn without_key(spec: &ServiceSpec) -> Result<Claim, Refusal> {
    if !spec.require_key {
        return Ok(Claim::default());
    }
    let message = "this request must run at most once, which needs an Idempotency-Key";
    let status = StatusCode::BAD_REQUEST;
    Err(Refusal::not_run(status, "key-required", message))
}

/// Returns the idempotency key of a request, or a refusal if the header is malformed.
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
