//! Claims on idempotency keys across VMs: runs [`coord::claim`] over network connections.
//!
//! All decisions are made by the state machine, see `docs/decisions/once-only.md`. This module
//! supplies it with the time, the published list of VMs and the messages of other VMs, and passes
//! outcomes to the waiting requests. Messages that cannot be delivered are dropped, because the
//! state machine retransmits whatever was not answered.

mod answers;
mod attach;
mod clock;
mod frame;
mod grant;
mod recording;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coord::claim::{
    Action, AttemptId, ClaimOptions, Claims as Machine, Holder, Key, Message, Outcome, Start,
    VmList,
};
use coord::name::{Incarnation, VmName};
use coord::time::Time;
use futures::future::BoxFuture;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::sleep;

use super::peer::{Handler, Part, Peers, Router};
use super::supervisor::Spec;
use clock::BootClock;

pub use answers::{AnswerStore, Lookup, Recorder};
pub use attach::{ATTACH_PATH, answer as attach};
pub(super) use attach::{AttachError, fetch_answer};
pub use recording::Piece;

/// The interval between ticks while at least one claim is undecided.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between ticks while no claim is undecided.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a call to a peer. A claim round has ended by then, so a later reply is useless.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of concurrent calls to peers. Messages beyond it are dropped, which the
/// state machine treats like loss in the network.
const MAX_CALLS: usize = 1_024;

/// The peer protocol of claims: a call carries messages, and its reply the answers to them.
#[derive(Clone, Copy, Debug)]
pub struct ClaimPart;

impl Part for ClaimPart {
    const NAME: &'static str = "claim";
    type Call = Vec<Message>;
    type Reply = Vec<Message>;
}

type Batches = BTreeMap<VmName, Vec<Message>>;

#[derive(Default)]
struct State {
    /// `None` until the first list of VMs is known.
    machine: Option<Machine>,
    /// The requests that wait for the outcome of their attempt.
    waiting: BTreeMap<AttemptId, oneshot::Sender<Outcome>>,
}

struct Shared {
    own_vm: VmName,
    peers: Peers,
    options: ClaimOptions,
    clock: BootClock,
    start: Start,
    lists: watch::Receiver<Option<VmList>>,
    state: Mutex<State>,
    calls: Arc<Semaphore>,
}

/// The claims of this VM, which are decided together with the other VMs of the fleet. Clones share
/// the same state.
#[derive(Clone)]
pub struct FleetClaims {
    shared: Arc<Shared>,
}

impl FleetClaims {
    /// Returns the claims of a VM that has just started and knows no earlier grants.
    ///
    /// `lists` is the published list of VMs. No claim is decided before the first list is known.
    #[must_use]
    pub fn new(
        own_vm: VmName,
        options: ClaimOptions,
        peers: Peers,
        lists: watch::Receiver<Option<VmList>>,
    ) -> Self {
        Self::with_uptime(Duration::ZERO, own_vm, options, peers, lists)
    }

    /// Returns the claims of a VM that granted nothing during the `uptime` before this call.
    ///
    /// A fleet in which all VMs have just started grants nothing for the retention time, so tests
    /// start fleets with a longer uptime. With an `uptime` that is too long, a key can run twice.
    #[must_use]
    pub fn with_uptime(
        uptime: Duration,
        own_vm: VmName,
        options: ClaimOptions,
        peers: Peers,
        lists: watch::Receiver<Option<VmList>>,
    ) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since.map_or(0, |since| since.as_millis());
        let unix_ms = u64::try_from(unix_ms).unwrap_or(u64::MAX);
        let start = Start {
            incarnation: Incarnation(unix_ms),
            boot: Time::ZERO,
            unix_ms,
            seed: uuid::Uuid::new_v4().as_u64_pair().0,
        };
        Self {
            shared: Arc::new(Shared {
                own_vm,
                peers,
                options,
                clock: BootClock::with_uptime(uptime),
                start,
                lists,
                state: Mutex::default(),
                calls: Arc::new(Semaphore::new(MAX_CALLS)),
            }),
        }
    }

    /// Registers the handler of messages from other VMs.
    #[must_use]
    pub fn register(&self, router: Router) -> Router {
        router.with::<ClaimPart>(Arc::new(self.clone()))
    }

    /// Returns the task that applies new lists of VMs and drives the timers of the state machine.
    #[must_use]
    pub fn task(&self) -> Spec {
        let claims = self.clone();
        Spec::task("claims", move || run(claims.clone()))
    }

    /// Returns whether this VM can decide every key of the claim sets that it belongs to.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.shared.lock();
        state.machine.as_ref().is_some_and(Machine::ready)
    }

    /// Returns the number of records of keys that this VM holds, for the metrics.
    #[must_use]
    pub fn records(&self) -> usize {
        let state = self.shared.lock();
        state.machine.as_ref().map_or(0, Machine::record_count)
    }

    /// Starts an attempt, which replaces the `earlier` one if there is one. Returns `None` if the
    /// list of VMs is not known yet.
    fn start_attempt(
        &self,
        key: Key,
        earlier: Option<AttemptId>,
    ) -> Option<(AttemptId, oneshot::Receiver<Outcome>)> {
        let now = self.shared.clock.now();
        let (sender, receiver) = oneshot::channel();
        let mut state = self.shared.lock();
        let machine = state.machine.as_mut()?;
        let mut actions = Vec::new();
        if let Some(earlier) = earlier {
            // Puts the releases before the new requests in the same calls, so that each VM frees
            // the key before it is asked to grant it again.
            machine.cancel(now, earlier);
            actions = machine.tick(now);
        }
        let (attempt, started) = machine.start(now, key);
        actions.extend(started);
        state.waiting.insert(attempt, sender);
        let batches = state.apply_actions(actions);
        drop(state);
        self.send_batches(batches);
        Some((attempt, receiver))
    }

    fn step(&self, step: impl FnOnce(&mut Machine, Time) -> Vec<Action>) -> Batches {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let Some(machine) = state.machine.as_mut() else {
            return Batches::new();
        };
        let actions = step(machine, now);
        state.apply_actions(actions)
    }

    fn receive(&self, from: &VmName, messages: Vec<Message>) -> Batches {
        self.step(|machine, now| {
            let messages = messages.into_iter();
            messages
                .flat_map(|message| machine.receive(now, from, message))
                .collect()
        })
    }

    fn send_batches(&self, batches: Batches) {
        for (to, messages) in batches {
            let Ok(permit) = Arc::clone(&self.shared.calls).try_acquire_owned() else {
                return;
            };
            let claims = self.clone();
            tokio::spawn(async move {
                let peers = &claims.shared.peers;
                let answered = peers.call::<ClaimPart>(&to, &messages, CALL_TIMEOUT).await;
                drop(permit);
                if let Ok(replies) = answered {
                    let next_batches = claims.receive(&to, replies);
                    claims.send_batches(next_batches);
                }
            });
        }
    }

    fn update_list(&self, list: VmList) {
        let shared = &self.shared;
        let mut state = shared.lock();
        if state.machine.is_none() {
            let options = shared.options.clone();
            let machine = Machine::new(shared.own_vm.clone(), shared.start, options, list);
            state.machine = Some(machine);
            return;
        }
        drop(state);
        let batches = self.step(|machine, now| machine.adopt(now, list));
        self.send_batches(batches);
    }

    fn holder(&self, attempt: AttemptId) -> Holder {
        let vm = self.shared.own_vm.clone();
        Holder { vm, attempt }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Delivers outcomes to the waiting requests and returns the messages to send to each VM.
    fn apply_actions(&mut self, actions: Vec<Action>) -> Batches {
        let mut batches = Batches::new();
        for action in actions {
            match action {
                Action::Send { to, message } => batches.entry(to).or_default().push(message),
                Action::Decided { attempt, outcome } => {
                    // The send fails if the request has ended. Its attempt is then already
                    // cancelled.
                    let waiting = self.waiting.remove(&attempt);
                    let _ = waiting.map(|waiting| waiting.send(outcome));
                }
            }
        }
        batches
    }
}

impl Handler<ClaimPart> for FleetClaims {
    fn handle(&self, from: VmName, messages: Vec<Message>) -> BoxFuture<'_, Vec<Message>> {
        let mut batches = self.receive(&from, messages);
        let reply = batches.remove(&from).unwrap_or_default();
        self.send_batches(batches);
        Box::pin(std::future::ready(reply))
    }
}

async fn run(claims: FleetClaims) -> eyre::Result<()> {
    let mut lists = claims.shared.lists.clone();
    lists.mark_changed();
    loop {
        let busy = !claims.shared.lock().waiting.is_empty();
        let pause = if busy {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        tokio::select! {
            changed = lists.changed() => match changed {
                Ok(()) => {
                    let list = lists.borrow_and_update().clone();
                    if let Some(list) = list {
                        claims.update_list(list);
                    }
                }
                // The sender was dropped, so the last list stays in effect.
                Err(_) => sleep(pause).await,
            },
            () = sleep(pause) => {}
        }
        let batches = claims.step(Machine::tick);
        claims.send_batches(batches);
    }
}
