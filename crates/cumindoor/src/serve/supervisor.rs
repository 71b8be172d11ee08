//! A supervision tree: named tasks that are restarted when they fail.
//!
//! A [`Spec`] describes the tree. A group restarts either only the failed child or, if the
//! children share state that a panic may have left inconsistent, all of them. If a child fails
//! too often, its group fails, and if the root fails, the process ends.

mod restart;

use std::collections::BTreeMap;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex, PoisonError};

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

pub use restart::{FailureWindow, RestartPolicy};

type Factory = Arc<dyn Fn() -> BoxFuture<'static, eyre::Result<()>> + Send + Sync>;

/// Which children a group restarts after one of them has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Restart only the child that failed.
    OneForOne,
    /// Restart all children, because the state that they share may be inconsistent.
    OneForAll,
}

/// A node of the supervision tree: a task or a group.
#[derive(Clone)]
pub enum Spec {
    /// A task that runs until the supervisor stops.
    Task {
        /// The name, unique in the tree.
        name: &'static str,
        /// Creates the future of the task for each start.
        factory: Factory,
    },
    /// Children that are restarted together or separately.
    Group {
        /// The name, unique in the tree.
        name: &'static str,
        /// Which children are restarted when one fails.
        strategy: Strategy,
        /// The children, in the order in which they are started.
        children: Vec<Spec>,
    },
}

impl Spec {
    /// Returns a task. `factory` is called for each start.
    pub fn task<F>(name: &'static str, factory: impl Fn() -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        let factory = Arc::new(move || factory().boxed());
        Self::Task { name, factory }
    }

    /// Returns a group that restarts its children according to `strategy`.
    #[must_use]
    pub fn group(name: &'static str, strategy: Strategy, children: Vec<Self>) -> Self {
        Self::Group {
            name,
            strategy,
            children,
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Self::Task { name, .. } | Self::Group { name, .. } => name,
        }
    }
}

/// A change in the supervision tree, for counters and tests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SupervisorEvent {
    /// A task or group failed and is restarted.
    Restarted(&'static str),
    /// A task or group failed too often, so its group fails.
    GaveUp(&'static str),
}

impl SupervisorEvent {
    /// Returns the part of a counter name that identifies the event, such as `cluster.restarted`.
    #[must_use]
    pub fn counter_suffix(&self) -> String {
        match self {
            Self::Restarted(name) => format!("{name}.restarted"),
            Self::GaveUp(name) => format!("{name}.gave-up"),
        }
    }
}

/// The handle of a running supervision tree. Dropping it ends all tasks.
pub struct Supervisor {
    shared: Arc<Shared>,
    root: AbortHandle,
}

struct Shared {
    restarts: RestartPolicy,
    stop: CancellationToken,
    failed: CancellationToken,
    panic_triggers: Mutex<BTreeMap<&'static str, Arc<Notify>>>,
    events: mpsc::UnboundedSender<SupervisorEvent>,
}

impl Supervisor {
    /// Starts the tree and returns its handle and a channel of its events.
    #[must_use]
    pub fn spawn(
        root: Spec,
        restarts: RestartPolicy,
    ) -> (Self, mpsc::UnboundedReceiver<SupervisorEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            restarts,
            stop: CancellationToken::new(),
            failed: CancellationToken::new(),
            panic_triggers: Mutex::default(),
            events,
        });
        let running = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            let name = root.name();
            if let Err(error) = run(&running, root).await {
                log::error!(task = name; "the supervisor gave up: {error:#}");
                running.failed.cancel();
            }
        });
        let root = task.abort_handle();
        (Self { shared, root }, receiver)
    }

    /// Ends all tasks without waiting for them.
    pub fn stop(&self) {
        self.shared.stop.cancel();
    }

    /// Waits until the root of the tree has failed.
    pub async fn failed(&self) {
        self.shared.failed.cancelled().await;
    }

    /// Makes the task `name` panic at its next await point, for tests of restarts.
    pub fn inject_panic(&self, name: &'static str) {
        self.shared.panic_trigger(name).notify_one();
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.shared.stop.cancel();
        self.root.abort();
    }
}

impl Shared {
    fn panic_trigger(&self, name: &'static str) -> Arc<Notify> {
        let mut panic_triggers = self
            .panic_triggers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(panic_triggers.entry(name).or_default())
    }

    fn send_event(&self, event: SupervisorEvent) {
        // Sending fails if the receiver was dropped, which is allowed.
        let _ = self.events.send(event);
    }
}

/// Runs a task or group until it fails. Returns `Ok` if the supervisor was stopped.
fn run(shared: &Arc<Shared>, spec: Spec) -> BoxFuture<'static, eyre::Result<()>> {
    let shared = Arc::clone(shared);
    async move {
        match spec {
            Spec::Task { name, factory } => run_task(&shared, name, &factory).await,
            Spec::Group {
                name,
                strategy,
                children,
            } => run_group(&shared, name, strategy, &children).await,
        }
    }
    .boxed()
}

async fn run_task(shared: &Shared, name: &'static str, factory: &Factory) -> eyre::Result<()> {
    let panic_trigger = shared.panic_trigger(name);
    let task = async {
        tokio::select! {
            result = factory() => result,
            () = panic_trigger.notified() => panic!("injected fault"),
        }
    };
    let unwind_safe = AssertUnwindSafe(task).catch_unwind();
    let Some(result) = shared.stop.run_until_cancelled(unwind_safe).await else {
        return Ok(());
    };
    match result {
        Ok(Ok(())) => Err(eyre::eyre!("the task {name} ended")),
        Ok(Err(error)) => Err(error.wrap_err(format!("the task {name} failed"))),
        Err(_) => Err(eyre::eyre!("the task {name} panicked")),
    }
}

async fn run_group(
    shared: &Arc<Shared>,
    name: &'static str,
    strategy: Strategy,
    children: &[Spec],
) -> eyre::Result<()> {
    let mut running = JoinSet::new();
    let mut windows: Vec<FailureWindow> =
        children.iter().map(|_| FailureWindow::default()).collect();
    for index in 0..children.len() {
        start(shared, &mut running, children, index);
    }
    while let Some(joined) = running.join_next().await {
        // `run_task` catches panics, so a join error means that the runtime is shutting down.
        let (index, result) = joined?;
        let Err(error) = result else {
            continue;
        };
        let child = children[index].name();
        log::warn!(task = child, group = name; "restarting: {error:#}");
        let Some(delay) = windows[index].record_failure(&shared.restarts) else {
            shared.send_event(SupervisorEvent::GaveUp(child));
            return Err(error.wrap_err(format!("the group {name} failed")));
        };
        if strategy == Strategy::OneForAll {
            running.shutdown().await;
        }
        if shared
            .stop
            .run_until_cancelled(tokio::time::sleep(delay))
            .await
            .is_none()
        {
            return Ok(());
        }
        shared.send_event(SupervisorEvent::Restarted(child));
        match strategy {
            Strategy::OneForOne => start(shared, &mut running, children, index),
            Strategy::OneForAll => {
                (0..children.len()).for_each(|i| start(shared, &mut running, children, i));
            }
        }
    }
    Ok(())
}

/// The index of a child in its group and the result of its run.
type ChildResult = (usize, eyre::Result<()>);

fn start(
    shared: &Arc<Shared>,
    running: &mut JoinSet<ChildResult>,
    children: &[Spec],
    index: usize,
) {
    let child = run(shared, children[index].clone());
    running.spawn(async move { (index, child.await) });
}

#[cfg(test)]
mod tests;
