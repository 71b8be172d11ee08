//! One request to a model, from its admission to the last byte of the answer.
//!
//! Each request runs in its own task. The connection handler of the caller holds the receiving end
//! of a channel of [`Event`]s. When the caller disconnects, the receiver is dropped, and the task
//! cancels the request's calls on engines.

pub mod claims;
pub mod context;
mod decode;
mod idempotency;
mod job;
mod prefill;

use std::convert::Infallible;
use std::future::{Future, pending};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Instant;

use coord::name::Upstream;
use coord::sched::{Attempt, Job, JobId};
use fastrace::Span;
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::time::{Sleep, sleep};

pub use claims::{Claim, ClaimKey, Claims, Decision, Grant, LocalClaims};
pub use context::{Context, LiveRequests, OpenGuard, OpenRequests};
pub(super) use idempotency::{Start, start_or_attach};
pub use job::ModelRequest;
pub(super) use job::estimate_tokens;

use crate::serve::cell::{Cell, Order, Progress};
use crate::serve::engine::cancel::EngineCalls;
use crate::serve::engine::engine_id;
use crate::serve::refusal::Refusal;
use crate::serve::spec::{ServiceSpec, jittered};
use crate::serve::telemetry;

/// The most events queued for one caller. The queue lets an engine finish and free its slot while
/// a slow caller still reads.
const EVENT_QUEUE_LEN: usize = 1024;
/// How often a request is submitted to its cell, whose scheduler may fail and restart, before it
/// is refused.
const MAX_SUBMISSIONS: u32 = 6;
/// Delay before the first resubmission to a restarted cell. It doubles with each further one.
const RESUBMIT_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// An event for the caller of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The next output tokens.
    Tokens(Vec<String>),
    /// The answer is complete.
    Finish(Usage),
    /// The answer ends here, incomplete.
    Fail(Refusal),
}

/// The finish reason and token counts of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Why the output ended: `stop` or `length`.
    pub reason: String,
    /// The number of prompt tokens, as counted by an engine.
    pub prompt_tokens: u32,
    /// The number of output tokens.
    pub output_tokens: u32,
}

/// Starts a request; it is cancelled when the receiver is dropped.
#[must_use]
pub fn start(
    context: &Arc<Context>,
    spec: Arc<ServiceSpec>,
    mut request: ModelRequest,
    guards: (OpenGuard, Claim),
) -> mpsc::Receiver<Event> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    let (span, trace) = telemetry::hop("request", request.trace.as_deref());
    request.trace = Some(trace);
    context.telemetry.count("request.started");
    let job = job::build_job(context, &spec, &request);
    let task = RequestTask {
        submission: Submission::new(Arc::clone(&context.cell), context.live.clone(), job),
        engine_calls: EngineCalls::new(context.canceller.clone()),
        time_limit: Box::pin(sleep(spec.request_limit)),
        context: Arc::clone(context),
        spec,
        request,
        orders: None,
        events,
        delivered: String::new(),
        prefill_result: None,
        prompt_tokens: None,
        dispatched: false,
        engine: None,
        started: Instant::now(),
        claim: guards.1,
        _guard: guards.0,
        _span: span,
    };
    context.tasks.spawn(task.run());
    receiver
}

/// A request's registration with its cell. Dropping it reports the request as cancelled unless it
/// has ended.
struct Submission {
    cell: Arc<dyn Cell>,
    live: LiveRequests,
    job: Job,
    attempt: Attempt,
    ended: bool,
}

impl Submission {
    fn new(cell: Arc<dyn Cell>, live: LiveRequests, job: Job) -> Self {
        live.add(job.id);
        Self {
            cell,
            live,
            job,
            attempt: Attempt::default(),
            ended: false,
        }
    }

    /// Changes the request's id for a new submission, because engines remember the old id as
    /// cancelled.
    fn change_id(&mut self, id: JobId) {
        self.live.remove(self.job.id);
        self.live.add(id);
        self.job.id = id;
    }

    fn report(&self, progress: Progress) {
        self.cell.report(self.job.id, self.attempt, progress);
    }

    fn finish(&mut self) {
        self.report(Progress::Finished);
        self.ended = true;
    }

    fn engine_id(&self) -> String {
        engine_id(self.job.id, self.attempt)
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        if !self.ended {
            self.report(Progress::Cancelled);
        }
        self.live.remove(self.job.id);
    }
}

/// A completed prefill whose KV cache has not been imported by a decode engine.
struct PrefillResult {
    source: Upstream,
    address: std::net::SocketAddr,
    handle: String,
    id: String,
}

/// How a request ended.
enum Outcome {
    Finished(Usage),
    Refused(Refusal),
    CallerGone,
}

/// Why a request stopped waiting for a call or an order.
enum Interrupt {
    CallerGone,
    Deadline,
    CellLost,
    Order(Order),
}

struct RequestTask {
    context: Arc<Context>,
    spec: Arc<ServiceSpec>,
    request: ModelRequest,
    submission: Submission,
    engine_calls: EngineCalls,
    orders: Option<mpsc::UnboundedReceiver<Order>>,
    events: mpsc::Sender<Event>,
    time_limit: Pin<Box<Sleep>>,
    /// Text of the output tokens that the caller has received.
    delivered: String,
    prefill_result: Option<PrefillResult>,
    prompt_tokens: Option<u32>,
    /// True while an engine may have run any part of the request.
    dispatched: bool,
    /// The engine whose answer the task is waiting for.
    engine: Option<Upstream>,
    started: Instant,
    claim: Claim,
    _guard: OpenGuard,
    _span: Span,
}

impl RequestTask {
    async fn run(mut self) {
        let abort = self.context.abort.clone();
        let served = abort.run_until_cancelled(self.serve()).await;
        let last = match served.unwrap_or_else(|| self.refuse_at_stop()) {
            Outcome::Finished(usage) => {
                self.submission.finish();
                self.count_end("request.finished");
                Event::Finish(usage)
            }
            Outcome::Refused(refusal) => {
                let refusal = self.claim.prove_not_run(refusal).await;
                self.count_end(&format!("request.refused.{}", refusal.reason));
                Event::Fail(refusal)
            }
            Outcome::CallerGone => {
                self.count_end("request.cancelled");
                return;
            }
        };
        // Dropping the task frees the engines before the caller reads the last event.
        let events = self.events.clone();
        drop(self);
        // Sending fails only if the caller has disconnected.
        drop(events.send(last).await);
    }

    /// Sets whether an engine may have run any part of the request.
    fn set_dispatched(&mut self, dispatched: bool) {
        self.dispatched = dispatched;
        self.claim.set_dispatched(dispatched);
    }

    fn count_end(&self, name: &str) {
        let telemetry = &self.context.telemetry;
        telemetry.count(name);
        telemetry.add("tokens", u64::from(self.submission.job.offset));
    }

    fn refuse_at_stop(&self) -> Outcome {
        Outcome::Refused(self.refusal("stopping", "the router had to stop before the answer ended"))
    }

    async fn serve(&mut self) -> Outcome {
        let mut delay = RESUBMIT_DELAY;
        for _ in 0..MAX_SUBMISSIONS {
            self.submit();
            match self.follow_orders().await {
                Ok(()) => {}
                Err(outcome) => return outcome,
            }
            self.engine_calls.cancel_all();
            self.prefill_result = None;
            if self.spec.once && self.dispatched {
                return Outcome::Refused(self.refusal("cell-lost", "the scheduler failed"));
            }
            tokio::time::sleep(jittered(delay)).await;
            delay *= 2;
            self.submission
                .change_id(job::random_job_id(&self.context.options.vm));
        }
        Outcome::Refused(self.refusal("cell-lost", "the scheduler failed repeatedly"))
    }

    fn submit(&mut self) {
        let job = self.submission.job.clone();
        self.orders = Some(self.context.cell.submit(job));
    }

    /// Executes orders until the request ends. Returns `Ok` if the cell's scheduler failed.
    async fn follow_orders(&mut self) -> Result<(), Outcome> {
        let mut next = None;
        loop {
            let order = match next.take() {
                Some(order) => order,
                None => match self.wait_order().await {
                    Ok(order) => order,
                    Err(Interrupt::CellLost) => return Ok(()),
                    Err(interrupt) => return Err(self.outcome(&interrupt)),
                },
            };
            match self.execute_order(order).await {
                Ok(following) => next = following,
                Err(Some(outcome)) => return Err(outcome),
                Err(None) => return Ok(()),
            }
        }
    }

    async fn wait_order(&mut self) -> Result<Order, Interrupt> {
        self.engine = None;
        if self.orders.is_none() {
            return Err(Interrupt::CellLost);
        }
        match self.run_until_interrupted(pending::<Infallible>()).await {
            Ok(never) => match never {},
            Err(Interrupt::Order(order)) => Ok(order),
            Err(interrupt) => Err(interrupt),
        }
    }

    /// Executes one order. Returns the order that interrupted it, if there is one, or `Err` with
    /// the outcome of the request. `Err(None)` means that the cell's scheduler failed.
    async fn execute_order(&mut self, order: Order) -> Result<Option<Order>, Option<Outcome>> {
        let interrupted = match order {
            Order::Prefill {
                attempt, prefill, ..
            } => {
                self.submission.attempt = attempt;
                // Boxed, so that the task does not reserve memory for the larger prefill future
                // while it streams the output.
                Box::pin(self.prefill(prefill)).await
            }
            Order::Decode {
                attempt,
                decode,
                source,
            } => {
                self.submission.attempt = attempt;
                self.decode(decode, &source).await
            }
            Order::Refuse {
                reason,
                retry_after,
            } => {
                self.submission.ended = true;
                let refusal = Refusal::from_reason(reason, retry_after, self.dispatched);
                return Err(Some(Outcome::Refused(refusal)));
            }
            Order::Cancel { upstream } => {
                self.engine_calls.cancel_on(&upstream);
                return Ok(None);
            }
        };
        match interrupted {
            Ok(()) => Ok(None),
            Err(StepError::Ended(outcome)) => Err(Some(outcome)),
            Err(StepError::Interrupt(Interrupt::Order(Order::Cancel { upstream }))) => {
                self.engine_calls.cancel_on(&upstream);
                Ok(None)
            }
            Err(StepError::Interrupt(Interrupt::Order(order))) => Ok(Some(order)),
            Err(StepError::Interrupt(Interrupt::CellLost)) => Err(None),
            Err(StepError::Interrupt(interrupt)) => Err(Some(self.outcome(&interrupt))),
        }
    }

    /// Waits for `call`. It is interrupted if the caller disconnects, the request's time limit
    /// passes, a new order arrives or the cell's scheduler fails.
    async fn run_until_interrupted<T>(
        &mut self,
        call: impl Future<Output = T>,
    ) -> Result<T, Interrupt> {
        let mut call = pin!(call);
        loop {
            tokio::select! {
                done = &mut call => return Ok(done),
                () = self.events.closed() => return Err(Interrupt::CallerGone),
                () = &mut self.time_limit => return Err(Interrupt::Deadline),
                order = next_order(&mut self.orders) => match order {
                    Some(Order::Cancel { upstream }) if Some(&upstream) != self.engine.as_ref() => {
                        self.engine_calls.cancel_on(&upstream);
                    }
                    Some(order) => return Err(Interrupt::Order(order)),
                    None => {
                        self.orders = None;
                        return Err(Interrupt::CellLost);
                    }
                },
            }
        }
    }

    fn outcome(&self, interrupt: &Interrupt) -> Outcome {
        match interrupt {
            Interrupt::CallerGone => Outcome::CallerGone,
            _ => Outcome::Refused(self.refusal("request-limit", "the request took too long")),
        }
    }

    /// Returns a refusal of kind `unknown` if an engine may have run any part of the request, and
    /// of kind `not-run` otherwise.
    fn refusal(&self, reason: &'static str, message: &str) -> Refusal {
        if self.dispatched {
            return Refusal::unknown(reason, message);
        }
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
    }
}

/// Why a prefill or decode step did not complete.
enum StepError {
    Ended(Outcome),
    Interrupt(Interrupt),
}

impl From<Interrupt> for StepError {
    fn from(interrupt: Interrupt) -> Self {
        Self::Interrupt(interrupt)
    }
}

async fn next_order(orders: &mut Option<mpsc::UnboundedReceiver<Order>>) -> Option<Order> {
    match orders {
        Some(orders) => orders.recv().await,
        None => pending().await,
    }
}
