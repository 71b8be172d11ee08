//! Periodic polls of engines for their load and cache changes, and cancels of abandoned work.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use coord::name::Upstream;
use coord::sched::{CacheEvent, EngineReport, JobId};
use futures::StreamExt;
use futures::stream;
use tokio::sync::{Mutex, mpsc};

use super::{CacheKind, Load, parse_engine_id};
use crate::serve::cell::{EngineUpdate, EngineUpdates, Orphan};
use crate::serve::route::Context;
use crate::serve::spec::UpstreamSpec;
use crate::serve::supervisor::Spec;

/// Engines that are contacted at the same time.
const MAX_CONCURRENT_ENGINES: usize = 64;
/// Engines polled in one round although another VM schedules their cell.
///
/// They are polled only to find abandoned requests of this VM. A large deployment has 2,100
/// engines; polling all of them each second would exceed the control overhead allowed for a VM.
const MAX_REMOTE_ENGINES: usize = 32;
/// Orphaned requests that are looked up together.
const ORPHAN_BATCH_SIZE: usize = 1_024;

/// State kept for one engine between polls.
#[derive(Debug, Default)]
struct PollState {
    /// Sequence number of the last cache change seen.
    seq: u64,
    /// Ids of this VM that the last load report listed although no such request was running.
    unmatched: BTreeSet<String>,
}

/// Returns the supervised tasks that poll engines and cancel the requests received on `orphans`.
#[must_use]
pub fn tasks(
    context: &Arc<Context>,
    cells: Arc<dyn EngineUpdates>,
    orphans: mpsc::UnboundedReceiver<Orphan>,
) -> Vec<Spec> {
    let poll_context = Arc::clone(context);
    let load = Spec::task("engine-load", move || {
        run(Arc::clone(&poll_context), Arc::clone(&cells))
    });
    let (context, orphans) = (Arc::clone(context), Arc::new(Mutex::new(orphans)));
    let orphans = Spec::task("orphans", move || {
        cancel_orphans(Arc::clone(&context), Arc::clone(&orphans))
    });
    vec![load, orphans]
}

/// Polls engines until the future is dropped.
///
/// Engines whose cells this VM schedules are polled in each round, the others in rotation.
async fn run(context: Arc<Context>, cells: Arc<dyn EngineUpdates>) -> eyre::Result<()> {
    let poll_signal = cells.poll_signal();
    let mut states: BTreeMap<Upstream, PollState> = BTreeMap::new();
    let mut last = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(context.options.timeouts.poll) => {}
            () = poll_signal.notified() => {}
        }
        let engines = context.table.engines();
        let names: BTreeSet<Upstream> = engines.iter().map(|engine| engine.name.clone()).collect();
        states.retain(|name, _| names.contains(name));
        let round = select_engines(
            engines,
            |engine| cells.needs_updates(&engine.service),
            &mut last,
        );
        let polls = stream::iter(round).map(|engine| {
            let state = states.remove(&engine.name).unwrap_or_default();
            poll_engine(&context, &*cells, engine, state)
        });
        let polled: Vec<_> = polls
            .buffer_unordered(MAX_CONCURRENT_ENGINES)
            .collect()
            .await;
        states.extend(polled);
    }
}

/// Returns the engines of one round: all `wanted` ones, and the next few others after `last`.
fn select_engines(
    engines: Vec<UpstreamSpec>,
    wanted: impl Fn(&UpstreamSpec) -> bool,
    last: &mut Option<Upstream>,
) -> Vec<UpstreamSpec> {
    let (mut round, mut others): (Vec<_>, Vec<_>) = engines.into_iter().partition(wanted);
    let next = others.partition_point(|engine| Some(&engine.name) <= last.as_ref());
    others.rotate_left(next);
    others.truncate(MAX_REMOTE_ENGINES);
    if let Some(engine) = others.last() {
        *last = Some(engine.name.clone());
    }
    round.extend(others);
    round
}

async fn poll_engine(
    context: &Context,
    cells: &dyn EngineUpdates,
    engine: UpstreamSpec,
    mut state: PollState,
) -> (Upstream, PollState) {
    if let Ok(load) = context.engines.load(engine.address).await {
        state.unmatched = cancel_unmatched(context, &engine, &load, &state.unmatched);
        let report = EngineReport {
            held: held_jobs(&load),
            queue: load.queue,
        };
        cells.engine_update(
            &engine.service,
            EngineUpdate::Load(engine.name.clone(), report),
        );
    }
    let changes = context
        .engines
        .cache_changes(engine.address, state.seq)
        .await;
    for change in changes.unwrap_or_default() {
        if change.seq > state.seq + 1 {
            let gap = EngineUpdate::Cache(engine.name.clone(), CacheEvent::Gap);
            cells.engine_update(&engine.service, gap);
        }
        state.seq = change.seq;
        let event = match change.kind {
            CacheKind::Stored => CacheEvent::Stored(change.prefix),
            CacheKind::Evicted => CacheEvent::Evicted(change.prefix),
        };
        cells.engine_update(
            &engine.service,
            EngineUpdate::Cache(engine.name.clone(), event),
        );
    }
    (engine.name, state)
}

fn held_jobs(load: &Load) -> Vec<JobId> {
    let parsed = load.held.iter().filter_map(|id| parse_engine_id(id));
    let jobs: BTreeSet<JobId> = parsed.map(|(job, _)| job).collect();
    jobs.into_iter().collect()
}

/// Cancels ids of this VM that belong to no running request, for example those of an earlier
/// process of this VM.
///
/// A load report may be out of date, so an id is cancelled only when two reports in a row list it.
fn cancel_unmatched(
    context: &Context,
    engine: &UpstreamSpec,
    load: &Load,
    previous: &BTreeSet<String>,
) -> BTreeSet<String> {
    let tag = JobId::vm_tag_of(&context.options.vm);
    let is_unmatched = |id: &&String| {
        let parsed = parse_engine_id(id);
        parsed.is_some_and(|(job, _)| job.vm_tag() == tag && !context.live.contains(job))
    };
    let unmatched: BTreeSet<String> = load.held.iter().filter(is_unmatched).cloned().collect();
    for id in unmatched.intersection(previous) {
        context.canceller.cancel(engine.address, id.clone());
    }
    unmatched
}

/// Cancels the engine calls of requests that have no task in this process.
async fn cancel_orphans(
    context: Arc<Context>,
    orphans: Arc<Mutex<mpsc::UnboundedReceiver<Orphan>>>,
) -> eyre::Result<()> {
    loop {
        let mut batch = Vec::new();
        if orphans
            .lock()
            .await
            .recv_many(&mut batch, ORPHAN_BATCH_SIZE)
            .await
            == 0
        {
            return std::future::pending().await;
        }
        let mut by_engine: BTreeMap<Upstream, BTreeSet<JobId>> = BTreeMap::new();
        for orphan in batch {
            by_engine
                .entry(orphan.upstream)
                .or_default()
                .insert(orphan.id);
        }
        let cancels = stream::iter(by_engine).map(|(name, ids)| cancel_jobs(&context, name, ids));
        cancels
            .buffer_unordered(MAX_CONCURRENT_ENGINES)
            .collect::<()>()
            .await;
    }
}

/// Cancels all attempts of the given requests on one engine.
///
/// The attempts are taken from the load report of the engine, as only the engine knows which it
/// holds.
async fn cancel_jobs(context: &Context, upstream: Upstream, ids: BTreeSet<JobId>) {
    let Some(address) = context.table.address(&upstream) else {
        return;
    };
    let Ok(load) = context.engines.load(address).await else {
        return;
    };
    for held in load.held {
        if parse_engine_id(&held).is_some_and(|(job, _)| ids.contains(&job)) {
            context.canceller.cancel(address, held);
        }
    }
}
