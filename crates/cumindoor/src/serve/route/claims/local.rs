//! Claims in a deployment with a single VM.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coord::claim::{AttemptId, Holder};
use coord::name::VmName;
use futures::FutureExt;
use futures::future::BoxFuture;

use super::{ClaimKey, Claims, Decision, Grant};
use crate::serve::refusal::Refusal;

#[derive(Debug, Default)]
struct GrantedKeys {
    by_key: BTreeMap<ClaimKey, AttemptId>,
    /// The claims in the order in which they were granted.
    order: VecDeque<(Instant, ClaimKey, AttemptId)>,
}

/// Claims in the memory of a single VM. A restart loses them.
#[derive(Clone, Debug)]
pub struct LocalClaims {
    own_vm: VmName,
    retention: Duration,
    granted: Arc<Mutex<GrantedKeys>>,
}

impl LocalClaims {
    /// Returns an empty set of claims that keeps each key for `retention`.
    #[must_use]
    pub fn new(own_vm: VmName, retention: Duration) -> Self {
        Self {
            own_vm,
            retention,
            granted: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, GrantedKeys> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holder(&self, attempt: AttemptId) -> Holder {
        let vm = self.own_vm.clone();
        Holder { vm, attempt }
    }

    fn grant(&self, key: &ClaimKey) -> Decision {
        let now = Instant::now();
        let mut granted = self.lock();
        granted.expire(now, self.retention);
        if let Some(attempt) = granted.by_key.get(key) {
            return Decision::Held(self.holder(*attempt));
        }
        let attempt = AttemptId(uuid::Uuid::new_v4().as_u64_pair().0);
        granted.by_key.insert(key.clone(), attempt);
        granted.order.push_back((now, key.clone(), attempt));
        drop(granted);
        Decision::Run(Box::new(LocalGrant {
            claims: self.clone(),
            key: key.clone(),
            attempt,
        }))
    }
}

impl GrantedKeys {
    fn expire(&mut self, now: Instant, retention: Duration) {
        let old = |at: &Instant| now.duration_since(*at) >= retention;
        while let Some((_, key, attempt)) = self.order.pop_front_if(|(at, ..)| old(at)) {
            self.remove(&key, attempt);
        }
    }

    /// Removes the claim of `attempt`, unless the key was released and claimed by another attempt.
    fn remove(&mut self, key: &ClaimKey, attempt: AttemptId) {
        if self.by_key.get(key) == Some(&attempt) {
            self.by_key.remove(key);
        }
    }
}

impl Claims for LocalClaims {
    fn claim(
        &self,
        key: &ClaimKey,
        earlier: Option<Box<dyn Grant>>,
    ) -> BoxFuture<'_, Result<Decision, Refusal>> {
        if let Some(earlier) = earlier {
            earlier.end(false);
        }
        let decision = self.grant(key);
        async move { Ok(decision) }.boxed()
    }
}

struct LocalGrant {
    claims: LocalClaims,
    key: ClaimKey,
    attempt: AttemptId,
}

impl Grant for LocalGrant {
    fn is_fresh(&self) -> bool {
        true
    }

    fn dispatch(&mut self) -> Result<(), Refusal> {
        Ok(())
    }

    fn end(self: Box<Self>, ran: bool) {
        if !ran {
            self.claims.lock().remove(&self.key, self.attempt);
        }
    }

    fn holder(&self) -> Holder {
        self.claims.holder(self.attempt)
    }
}
