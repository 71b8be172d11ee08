//! One request to a model from its admission to the last byte.
//!
//! The request runs in a task of its own. Its caller holds the receiving end of a channel of
//! [`Event`]s; when the caller goes away, the receiver is dropped and the task cancels
//! everything that the request holds on engines.

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
use crate::serve::engine::cancel::Asked;
use crate::serve::engine::engine_id;
use crate::serve::refusal::Refusal;
use crate::serve::spec::{ServiceSpec, jittered};
use crate::serve::telemetry;

/// Events that wait for a slow caller, so that it does not hold its engine's slot.
const EVENT_QUEUE: usize = 1024;
/// Times that a request is handed to a restarted cell before it is refused.
const SUBMIT_LIMIT: u32 = 6;
/// First pause before a request is handed to a restarted cell; it doubles.
const SUBMIT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// What a request's caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The next output tokens.
    Tokens(Vec<String>),
    /// The answer is complete.
    Finish(Usage),
    /// There will be no more of the answer.
    Fail(Refusal),
}

/// The figures at the end of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Why the output ended: `stop` or `length`.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the output.
    pub output_tokens: u32,
}

/// Starts a request; it is cancelled when the receiver is dropped.
#[must_use]
pub fn start(
    context: &Arc<Context>,
    spec: Arc<ServiceSpec>,
    mut ask: ModelRequest,
    guards: (OpenGuard, Claim),
) -> mpsc::Receiver<Event> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE);
    let (span, trace) = telemetry::hop("request", ask.trace.as_deref());
    ask.trace = Some(trace);
    context.telemetry.count("request.started");
    let job = job::build(context, &spec, &ask);
    let run = Run {
        ticket: Ticket::new(Arc::clone(&context.cell), context.live.clone(), job),
        asked: Asked::new(context.canceller.clone()),
        until: Box::pin(sleep(spec.request_limit)),
        context: Arc::clone(context),
        spec,
        ask,
        orders: None,
        events,
        delivered: String::new(),
        prefilled: None,
        prompt_tokens: None,
        dispatched: false,
        current: None,
        started: Instant::now(),
        claim: guards.1,
        _guard: guards.0,
        _span: span,
    };
    context.runs.spawn(run.drive());
    receiver
}

/// A request's entry at its cell; dropping it tells the cell that the request is over.
struct Ticket {
    cell: Arc<dyn Cell>,
    live: LiveRequests,
    job: Job,
    attempt: Attempt,
    over: bool,
}

impl Ticket {
    fn new(cell: Arc<dyn Cell>, live: LiveRequests, job: Job) -> Self {
        live.add(job.id);
        Self {
            cell,
            live,
            job,
            attempt: Attempt::default(),
            over: false,
        }
    }

    /// Takes a new id, because engines remember the old one as cancelled.
    fn rename(&mut self, id: JobId) {
        self.live.remove(self.job.id);
        self.live.add(id);
        self.job.id = id;
    }

    fn report(&self, progress: Progress) {
        self.cell.report(self.job.id, self.attempt, progress);
    }

    fn finish(&mut self) {
        self.report(Progress::Finished);
        self.over = true;
    }

    fn engine_id(&self) -> String {
        engine_id(self.job.id, self.attempt)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            self.report(Progress::Cancelled);
        }
        self.live.remove(self.job.id);
    }
}

/// The result of a prefill that waits for its import.
struct Ready {
    source: Upstream,
    address: std::net::SocketAddr,
    handle: String,
    id: String,
}

/// How a request ended.
enum End {
    Finished(Usage),
    Refused(Refusal),
    CallerGone,
}

/// Why a request stopped waiting for an engine.
enum Interrupt {
    CallerGone,
    Deadline,
    CellLost,
    Order(Order),
}

struct Run {
    context: Arc<Context>,
    spec: Arc<ServiceSpec>,
    ask: ModelRequest,
    ticket: Ticket,
    asked: Asked,
    orders: Option<mpsc::UnboundedReceiver<Order>>,
    events: mpsc::Sender<Event>,
    until: Pin<Box<Sleep>>,
    /// Text of the output tokens that the caller has received.
    delivered: String,
    prefilled: Option<Ready>,
    prompt_tokens: Option<u32>,
    /// True once an engine may have done some of the work.
    dispatched: bool,
    /// The engine that is being waited for.
    current: Option<Upstream>,
    started: Instant,
    claim: Claim,
    _guard: OpenGuard,
    _span: Span,
}

impl Run {
    async fn drive(mut self) {
        let cut = self.context.abort.clone();
        let served = cut.run_until_cancelled(self.serve()).await;
        let last = match served.unwrap_or_else(|| self.cut()) {
            End::Finished(usage) => {
                self.ticket.finish();
                self.count_end("request.finished");
                Event::Finish(usage)
            }
            End::Refused(refusal) => {
                let refusal = self.claim.prove_not_run(refusal).await;
                self.count_end(&format!("request.refused.{}", refusal.reason));
                Event::Fail(refusal)
            }
            End::CallerGone => {
                self.count_end("request.cancelled");
                return;
            }
        };
        // The engines are freed before the caller reads the last event.
        let events = self.events.clone();
        drop(self);
        // A caller that is gone needs no last event.
        drop(events.send(last).await);
    }

    /// Notes whether an engine may have done some of the work.
    fn set_dispatched(&mut self, dispatched: bool) {
        self.dispatched = dispatched;
        self.claim.set_dispatched(dispatched);
    }

    fn count_end(&self, name: &str) {
        let telemetry = &self.context.telemetry;
        telemetry.count(name);
        telemetry.add("tokens", u64::from(self.ticket.job.offset));
    }

    fn cut(&self) -> End {
        End::Refused(self.refusal("stopping", "the router had to stop before the answer ended"))
    }

    async fn serve(&mut self) -> End {
        let mut pause = SUBMIT_PAUSE;
        for _ in 0..SUBMIT_LIMIT {
            self.submit();
            match self.follow_orders().await {
                Ok(()) => {}
                Err(end) => return end,
            }
            self.asked.cancel_all();
            self.prefilled = None;
            if self.spec.once && self.dispatched {
                return End::Refused(self.refusal("cell-lost", "the scheduler failed"));
            }
            tokio::time::sleep(jittered(pause)).await;
            pause *= 2;
            self.ticket.rename(job::draw_id(&self.context.options.vm));
        }
        End::Refused(self.refusal("cell-lost", "the scheduler failed repeatedly"))
    }

    fn submit(&mut self) {
        let job = self.ticket.job.clone();
        self.orders = Some(self.context.cell.submit(job));
    }

    /// Obeys orders until the request ends or, with `Ok`, the cell is lost.
    async fn follow_orders(&mut self) -> Result<(), End> {
        let mut next = None;
        loop {
            let order = match next.take() {
                Some(order) => order,
                None => match self.wait_order().await {
                    Ok(order) => order,
                    Err(Interrupt::CellLost) => return Ok(()),
                    Err(interrupt) => return Err(self.end(&interrupt)),
                },
            };
            match self.obey(order).await {
                Ok(following) => next = following,
                Err(Some(end)) => return Err(end),
                Err(None) => return Ok(()),
            }
        }
    }

    async fn wait_order(&mut self) -> Result<Order, Interrupt> {
        self.current = None;
        if self.orders.is_none() {
            return Err(Interrupt::CellLost);
        }
        match self.watch(pending::<Infallible>()).await {
            Ok(never) => match never {},
            Err(Interrupt::Order(order)) => Ok(order),
            Err(interrupt) => Err(interrupt),
        }
    }

    /// Obeys one order; `Err(None)` means that the cell is lost.
    async fn obey(&mut self, order: Order) -> Result<Option<Order>, Option<End>> {
        let interrupted = match order {
            Order::Prefill {
                attempt, prefill, ..
            } => {
                self.ticket.attempt = attempt;
                // Boxed, so that a stream does not keep the room of the larger step before it.
                Box::pin(self.prefill(prefill)).await
            }
            Order::Decode {
                attempt,
                decode,
                source,
            } => {
                self.ticket.attempt = attempt;
                self.decode(decode, &source).await
            }
            Order::Refuse {
                reason,
                retry_after,
            } => {
                self.ticket.over = true;
                let refusal = Refusal::from_reason(reason, retry_after, self.dispatched);
                return Err(Some(End::Refused(refusal)));
            }
            Order::Cancel { upstream } => {
                self.asked.cancel_on(&upstream);
                return Ok(None);
            }
        };
        match interrupted {
            Ok(()) => Ok(None),
            Err(Stop::End(end)) => Err(Some(end)),
            Err(Stop::Interrupt(Interrupt::Order(Order::Cancel { upstream }))) => {
                self.asked.cancel_on(&upstream);
                Ok(None)
            }
            Err(Stop::Interrupt(Interrupt::Order(order))) => Ok(Some(order)),
            Err(Stop::Interrupt(Interrupt::CellLost)) => Err(None),
            Err(Stop::Interrupt(interrupt)) => Err(Some(self.end(&interrupt))),
        }
    }

    /// Waits for `call`, the caller's departure, the request's deadline or a new order.
    async fn watch<T>(&mut self, call: impl Future<Output = T>) -> Result<T, Interrupt> {
        let mut call = pin!(call);
        loop {
            tokio::select! {
                done = &mut call => return Ok(done),
                () = self.events.closed() => return Err(Interrupt::CallerGone),
                () = &mut self.until => return Err(Interrupt::Deadline),
                order = receive(&mut self.orders) => match order {
                    Some(Order::Cancel { upstream }) if Some(&upstream) != self.current.as_ref() => {
                        self.asked.cancel_on(&upstream);
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

    fn end(&self, interrupt: &Interrupt) -> End {
        match interrupt {
            Interrupt::CallerGone => End::CallerGone,
            _ => End::Refused(self.refusal("request-limit", "the request took too long")),
        }
    }

    /// Returns a refusal of the right kind for what has happened so far.
    fn refusal(&self, reason: &'static str, message: &str) -> Refusal {
        if self.dispatched {
            return Refusal::unknown(reason, message);
        }
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
    }
}

/// Why a step did not complete.
enum Stop {
    End(End),
    Interrupt(Interrupt),
}

impl From<Interrupt> for Stop {
    fn from(interrupt: Interrupt) -> Self {
        Self::Interrupt(interrupt)
    }
}

async fn receive(orders: &mut Option<mpsc::UnboundedReceiver<Order>>) -> Option<Order> {
    match orders {
        Some(orders) => orders.recv().await,
        None => pending().await,
    }
}
