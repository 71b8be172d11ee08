//! The attempt of a request on this VM, from its claim to its end.

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

/// The maximum number of tries to claim a key while the earlier attempt of the same request is
/// still being released.
const MAX_TRIES: usize = 5;
/// The delay between two tries. All tries together outlast the 500 ms after which a lost release is
/// sent again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

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
            for _ in 0..MAX_TRIES {
                let decision = self.try_claim(key, first.take()).await?;
                match decision {
                    // Some VMs have not received the release of the earlier attempt yet.
                    Decision::Held(holder) if Some(&holder) == replaced.as_ref() => {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                    other => return Ok(other),
                }
            }
            Err(undecided_refusal(Duration::from_secs(1)))
        })
    }
}

impl FleetClaims {
    async fn try_claim(
        &self,
        key: coord::claim::Key,
        earlier: Option<AttemptId>,
    ) -> Result<Decision, Refusal> {
        let started = self.shared.clock.now();
        let (id, decided) = self
            .start_attempt(key, earlier)
            .ok_or_else(|| undecided_refusal(Duration::from_secs(1)))?;
        // If this future is dropped because the caller disconnects, dropping `attempt` cancels
        // the attempt.
        let attempt = Attempt {
            claims: self.clone(),
            id,
            started,
            stage: Stage::Open,
        };
        let outcome = decided.await.unwrap_or(Outcome::Unknown {
            retry_after: Duration::from_secs(1),
        });
        match outcome {
            Outcome::Dispatch => Ok(Decision::Run(Box::new(attempt))),
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
        Outcome::Unknown { retry_after } => undecided_refusal(*retry_after),
        Outcome::Dispatch | Outcome::Attach { .. } => undecided_refusal(Duration::from_secs(1)),
    }
}

fn undecided_refusal(retry_after: Duration) -> Refusal {
    let message = "this request did not run, but an earlier one with the same Idempotency-Key \
                   may have: send it again with the same key";
    Refusal::unknown("claim-undecided", message).retry_in(retry_after)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Not dispatched; the attempt can be cancelled.
    Open,
    /// Allowed to be sent; an upstream may have received the request.
    Dispatched,
    /// The end of the attempt was reported to the state machine.
    Ended,
}

struct Attempt {
    claims: FleetClaims,
    id: AttemptId,
    started: Time,
    stage: Stage,
}

impl Attempt {
    fn finish(&mut self, ran: bool) {
        let (stage, id) = (self.stage, self.id);
        self.stage = Stage::Ended;
        if stage == Stage::Ended {
            return;
        }
        let batches = self.claims.step(|machine, now| {
            match (stage, ran) {
                (Stage::Dispatched, true) => machine.finish(id),
                (Stage::Dispatched, false) => machine.release(now, id),
                _ => machine.cancel(now, id),
            }
            machine.tick(now)
        });
        // Sending needs a runtime. There is none only while the process exits, and the release is
        // then lost.
        if tokio::runtime::Handle::try_current().is_ok() {
            self.claims.send_batches(batches);
        }
        self.claims.shared.lock().waiting.remove(&id);
    }
}

impl Grant for Attempt {
    fn is_fresh(&self) -> bool {
        let age = self.claims.shared.clock.now().since(self.started);
        age <= self.claims.shared.options.round_limit / 2
    }

    fn dispatch(&mut self) -> Result<(), Refusal> {
        let now = self.claims.shared.clock.now();
        let mut state = self.claims.shared.lock();
        let allowed = match state.machine.as_mut() {
            Some(machine) => machine.dispatch(now, self.id),
            None => Err(Outcome::Unknown {
                retry_after: Duration::from_secs(1),
            }),
        };
        allowed.map_err(|outcome| refusal(&outcome))?;
        self.stage = Stage::Dispatched;
        Ok(())
    }

    fn end(mut self: Box<Self>, ran: bool) {
        self.finish(ran);
    }

    fn holder(&self) -> Holder {
        self.claims.holder(self.id)
    }
}

impl Drop for Attempt {
    /// Ends an attempt that was dropped without [`Grant::end`]. It counts as run if it was
    /// dispatched, because an upstream may have received the request.
    fn drop(&mut self) {
        self.finish(self.stage == Stage::Dispatched);
    }
}
