//! Claims on idempotency keys over several VMs: [`coord::claim`] on real connections.
//!
//! The state machine decides everything, see `docs/decisions/once-only.md`. This module gives it
//! clocks, the published list of VMs and the messages of the other VMs, and hands outcomes to the
//! requests that wait for them. A message that cannot be delivered is dropped: claims repeat what
//! was not answered.

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

/// Time between two ticks while claims wait, and while none does.
const BUSY_TICK: Duration = Duration::from_millis(50);
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Time after which a call to a peer is given up: a claim round is over by then.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Calls to peers under way; further messages are dropped, like lost ones.
const MAX_CALLS: usize = 1_024;

/// The messages of claims between two VMs; the reply has the answers.
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
    /// Absent until the first list is known.
    machine: Option<Machine>,
    waiting: BTreeMap<AttemptId, oneshot::Sender<Outcome>>,
}

struct Shared {
    own: VmName,
    peers: Peers,
    options: ClaimOptions,
    clock: BootClock,
    start: Start,
    lists: watch::Receiver<Option<VmList>>,
    state: Mutex<State>,
    calls: Arc<Semaphore>,
}

/// Claims of one VM among others; clones share them.
#[derive(Clone)]
pub struct FleetClaims {
    shared: Arc<Shared>,
}

impl FleetClaims {
    /// Returns the claims of a VM that has just started, with empty memory.
    ///
    /// `lists` is the published list of VMs; no claim is decided before it is known.
    #[must_use]
    pub fn new(
        own: VmName,
        options: ClaimOptions,
        peers: Peers,
        lists: watch::Receiver<Option<VmList>>,
    ) -> Self {
        Self::with_uptime(Duration::ZERO, own, options, peers, lists)
    }

    /// Returns the claims of a VM that granted nothing in the time `up` before this call.
    ///
    /// A fleet whose VMs have all just started grants nothing for the retention time; tests start
    /// fleets that have been up for longer. A wrong `up` lets a key run twice.
    #[must_use]
    pub fn with_uptime(
        up: Duration,
        own: VmName,
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
                own,
                peers,
                options,
                clock: BootClock::with_uptime(up),
                start,
                lists,
                state: Mutex::default(),
                calls: Arc::new(Semaphore::new(MAX_CALLS)),
            }),
        }
    }

    /// Registers the handler of the other VMs' messages.
    #[must_use]
    pub fn register(&self, router: Router) -> Router {
        router.with::<ClaimPart>(Arc::new(self.clone()))
    }

    /// Returns the task that follows the list and the time.
    #[must_use]
    pub fn task(&self) -> Spec {
        let claims = self.clone();
        Spec::task("claims", move || follow(claims.clone()))
    }

    /// Returns whether this VM grants every key of its sets.
    #[must_use]
    pub fn ready(&self) -> bool {
        let state = self.shared.lock();
        state.machine.as_ref().is_some_and(Machine::ready)
    }

    /// Returns the number of records, for metrics.
    #[must_use]
    pub fn records(&self) -> usize {
        let state = self.shared.lock();
        state.machine.as_ref().map_or(0, Machine::record_count)
    }

    /// Starts an attempt in place of an earlier one; `None` if the list is not known yet.
    fn begin(
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
            // The releases travel ahead of the new requests in the same calls.
            machine.cancel(now, earlier);
            actions = machine.tick(now);
        }
        let (attempt, started) = machine.start(now, key);
        actions.extend(started);
        state.waiting.insert(attempt, sender);
        let batches = state.settle(actions);
        drop(state);
        self.post(batches);
        Some((attempt, receiver))
    }

    fn step(&self, step: impl FnOnce(&mut Machine, Time) -> Vec<Action>) -> Batches {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let Some(machine) = state.machine.as_mut() else {
            return Batches::new();
        };
        let actions = step(machine, now);
        state.settle(actions)
    }

    fn receive(&self, from: &VmName, messages: Vec<Message>) -> Batches {
        self.step(|machine, now| {
            let messages = messages.into_iter();
            messages
                .flat_map(|message| machine.receive(now, from, message))
                .collect()
        })
    }

    fn post(&self, batches: Batches) {
        for (to, messages) in batches {
            let Ok(permit) = Arc::clone(&self.shared.calls).try_acquire_owned() else {
                return;
            };
            let claims = self.clone();
            tokio::spawn(async move {
                let peers = &claims.shared.peers;
                let answered = peers.call::<ClaimPart>(&to, &messages, CALL_LIMIT).await;
                drop(permit);
                if let Ok(replies) = answered {
                    let more = claims.receive(&to, replies);
                    claims.post(more);
                }
            });
        }
    }

    fn adopt(&self, list: VmList) {
        let shared = &self.shared;
        let mut state = shared.lock();
        if state.machine.is_none() {
            let options = shared.options.clone();
            let machine = Machine::new(shared.own.clone(), shared.start, options, list);
            state.machine = Some(machine);
            return;
        }
        drop(state);
        let batches = self.step(|machine, now| machine.adopt(now, list));
        self.post(batches);
    }

    fn holder(&self, attempt: AttemptId) -> Holder {
        let vm = self.shared.own.clone();
        Holder { vm, attempt }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Hands outcomes to their requests and returns the messages for each VM.
    fn settle(&mut self, actions: Vec<Action>) -> Batches {
        let mut batches = Batches::new();
        for action in actions {
            match action {
                Action::Send { to, message } => batches.entry(to).or_default().push(message),
                Action::Decided { attempt, outcome } => {
                    // A request that is gone has cancelled its attempt.
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
        self.post(batches);
        Box::pin(std::future::ready(reply))
    }
}

async fn follow(claims: FleetClaims) -> eyre::Result<()> {
    let mut lists = claims.shared.lists.clone();
    lists.mark_changed();
    loop {
        let busy = !claims.shared.lock().waiting.is_empty();
        let pause = if busy { BUSY_TICK } else { IDLE_TICK };
        tokio::select! {
            changed = lists.changed() => match changed {
                Ok(()) => {
                    let list = lists.borrow_and_update().clone();
                    if let Some(list) = list {
                        claims.adopt(list);
                    }
                }
                // The last list stays in force.
                Err(_) => sleep(pause).await,
            },
            () = sleep(pause) => {}
        }
        let batches = claims.step(Machine::tick);
        claims.post(batches);
    }
}
