//! One attempt of a request on this VM.

use std::net::SocketAddr;
use std::time::Duration;

use coord::claim::{AttemptId, Holder, Outcome};
use coord::name::VmName;
use coord::time::Time;
use futures::future::BoxFuture;
use hyper::StatusCode;

use super::FleetClaims;
use crate::serve::refusal::Refusal;
use crate::serve::route::claims::{ClaimKey, Claims, Decision, Grant};

/// Tries to claim a key whose earlier attempt of the same request is still being released.
const TRIES: usize = 5;
/// The pause between two of them; a lost release is repeated after 500 ms.
const PAUSE: Duration = Duration::from_millis(150);

impl Claims for FleetClaims {
    fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.shared.peers.address(vm)
    }

    fn claim(
        &self,
        key: &ClaimKey,
        earlier: Option<Box<dyn Grant>>,
    ) -> BoxFuture<'_, Result<Decision, Refusal>> {
        let key = key.hashed();
        Box::pin(async move {
            let replaced = earlier.as_ref().map(|earlier| earlier.holder());
            let mut first = replaced.as_ref().map(|holder| holder.attempt);
            for _ in 0..TRIES {
                let decision = self.attempt(key, first.take()).await?;
                match decision {
                    // The own release has not arrived everywhere yet.
                    Decision::Held(holder) if Some(&holder) == replaced.as_ref() => {
                        tokio::time::sleep(PAUSE).await;
                    }
                    other => return Ok(other),
                }
            }
            Err(undecided(Duration::from_secs(1)))
        })
    }
}

impl FleetClaims {
    async fn attempt(
        &self,
        key: coord::claim::Key,
        earlier: Option<AttemptId>,
    ) -> Result<Decision, Refusal> {
        let started = self.shared.clock.now();
        let (attempt, decided) = self
            .begin(key, earlier)
            .ok_or_else(|| undecided(Duration::from_secs(1)))?;
        // Its drop cancels the attempt when the caller goes away meanwhile.
        let open = Open {
            claims: self.clone(),
            attempt,
            started,
            state: Stage::Open,
        };
        let outcome = decided.await.unwrap_or(Outcome::Unknown {
            retry_after: Duration::from_secs(1),
        });
        match outcome {
            Outcome::Dispatch => Ok(Decision::Run(Box::new(open))),
            Outcome::Attach { holder } => Ok(Decision::Held(holder)),
            outcome => Err(refusal(&outcome)),
        }
    }
}

fn refusal(outcome: &Outcome) -> Refusal {
    match outcome {
        Outcome::NotRun { retry_after } => {
            let message = "too few VMs have granted the key; no request with it has run";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Refusal::not_run(status, "claim-undecided", message).retry_in(*retry_after)
        }
        Outcome::Unknown { retry_after } => undecided(*retry_after),
        Outcome::Dispatch | Outcome::Attach { .. } => undecided(Duration::from_secs(1)),
    }
}

fn undecided(retry_after: Duration) -> Refusal {
    let message = "this request did not run, but an earlier one with the same Idempotency-Key \
                   may have: send it again with the same key";
    Refusal::unknown("claim-undecided", message).retry_in(retry_after)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Open,
    Passed,
    Ended,
}

struct Open {
    claims: FleetClaims,
    attempt: AttemptId,
    started: Time,
    state: Stage,
}

impl Open {
    fn finish(&mut self, ran: bool) {
        let (stage, attempt) = (self.state, self.attempt);
        self.state = Stage::Ended;
        if stage == Stage::Ended {
            return;
        }
        let batches = self.claims.step(|machine, now| {
            match (stage, ran) {
                (Stage::Passed, true) => machine.finish(attempt),
                (Stage::Passed, false) => machine.release(now, attempt),
                _ => machine.cancel(now, attempt),
            }
            machine.tick(now)
        });
        // Outside a runtime the process ends, and the release with it.
        if tokio::runtime::Handle::try_current().is_ok() {
            self.claims.post(batches);
        }
        self.claims.shared.lock().waiting.remove(&attempt);
    }
}

impl Grant for Open {
    fn is_fresh(&self) -> bool {
        let age = self.claims.shared.clock.now().since(self.started);
        age <= self.claims.shared.options.round_limit / 2
    }

    fn dispatch(&mut self) -> Result<(), Refusal> {
        let now = self.claims.shared.clock.now();
        let mut state = self.claims.shared.lock();
        let allowed = match state.machine.as_mut() {
            Some(machine) => machine.dispatch(now, self.attempt),
            None => Err(Outcome::Unknown {
                retry_after: Duration::from_secs(1),
            }),
        };
        allowed.map_err(|outcome| refusal(&outcome))?;
        self.state = Stage::Passed;
        Ok(())
    }

    fn end(mut self: Box<Self>, ran: bool) {
        self.finish(ran);
    }

    fn holder(&self) -> Holder {
        self.claims.holder(self.attempt)
    }
}

impl Drop for Open {
    /// A grant that is dropped without [`Grant::end`] counts as run once it may have been sent.
    fn drop(&mut self) {
        self.finish(self.state == Stage::Passed);
    }
}
