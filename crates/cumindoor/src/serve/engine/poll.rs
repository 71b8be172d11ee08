//! Periodic questions to engines: load, cache changes, and work that nobody waits for.

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

/// Engines that are asked at once.
const AT_ONCE: usize = 64;
/// Engines of cells that other VMs schedule, asked in one round for this VM's own ids only.
///
/// With the 2,100 engines of the target, asking all of them each second would take more than the
/// control cost that a VM may have.
const OTHERS: usize = 32;
/// Orphans that are looked up together.
const ORPHANS: usize = 1_024;

/// What is remembered of one engine between two polls.
#[derive(Debug, Default)]
struct Memory {
    /// Last cache change that was seen.
    seq: u64,
    /// Ids of this VM that the last report listed although no such request runs.
    strays: BTreeSet<String>,
}

/// Returns the supervised tasks that ask engines and that cancel what `orphans` names.
#[must_use]
pub fn tasks(
    context: &Arc<Context>,
    cells: Arc<dyn EngineUpdates>,
    orphans: mpsc::UnboundedReceiver<Orphan>,
) -> Vec<Spec> {
    let polled = Arc::clone(context);
    let load = Spec::task("engine-load", move || {
        run(Arc::clone(&polled), Arc::clone(&cells))
    });
    let (cleaned, orphans) = (Arc::clone(context), Arc::new(Mutex::new(orphans)));
    let orphans = Spec::task("orphans", move || {
        cancel_orphans(Arc::clone(&cleaned), Arc::clone(&orphans))
    });
    vec![load, orphans]
}

/// Asks engines for their load until the future is dropped.
///
/// Engines whose cells are scheduled here are asked in each round, the others in turns.
async fn run(context: Arc<Context>, cells: Arc<dyn EngineUpdates>) -> eyre::Result<()> {
    let poll_signal = cells.poll_signal();
    let mut memories: BTreeMap<Upstream, Memory> = BTreeMap::new();
    let mut last = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(context.options.times.poll) => {}
            () = poll_signal.notified() => {}
        }
        let engines = context.table.engines();
        let names: BTreeSet<Upstream> = engines.iter().map(|e| e.name.clone()).collect();
        memories.retain(|name, _| names.contains(name));
        let round = choose(
            engines,
            |engine| cells.needs_updates(&engine.service),
            &mut last,
        );
        let asked = stream::iter(round).map(|engine| {
            let memory = memories.remove(&engine.name).unwrap_or_default();
            ask(&context, &*cells, engine, memory)
        });
        let answered: Vec<_> = asked.buffer_unordered(AT_ONCE).collect().await;
        memories.extend(answered);
    }
}

/// Returns the wanted engines and the next few others after `last`.
fn choose(
    engines: Vec<UpstreamSpec>,
    wanted: impl Fn(&UpstreamSpec) -> bool,
    last: &mut Option<Upstream>,
) -> Vec<UpstreamSpec> {
    let (mut round, mut others): (Vec<_>, Vec<_>) = engines.into_iter().partition(wanted);
    let next = others.partition_point(|engine| Some(&engine.name) <= last.as_ref());
    others.rotate_left(next);
    others.truncate(OTHERS);
    if let Some(engine) = others.last() {
        *last = Some(engine.name.clone());
    }
    round.extend(others);
    round
}

async fn ask(
    context: &Context,
    cells: &dyn EngineUpdates,
    engine: UpstreamSpec,
    mut memory: Memory,
) -> (Upstream, Memory) {
    if let Ok(load) = context.engines.load(engine.address).await {
        memory.strays = cancel_strays(context, &engine, &load, &memory.strays);
        let report = EngineReport {
            held: held_jobs(&load),
            queue: load.queue,
        };
        cells.engine_update(
            &engine.service,
            EngineUpdate::Load(engine.name.clone(), report),
        );
    }
    let changes = context.engines.changes(engine.address, memory.seq).await;
    for change in changes.unwrap_or_default() {
        if change.seq > memory.seq + 1 {
            let gap = EngineUpdate::Cache(engine.name.clone(), CacheEvent::Gap);
            cells.engine_update(&engine.service, gap);
        }
        memory.seq = change.seq;
        let event = match change.kind {
            CacheKind::Stored => CacheEvent::Stored(change.prefix),
            CacheKind::Evicted => CacheEvent::Evicted(change.prefix),
        };
        cells.engine_update(
            &engine.service,
            EngineUpdate::Cache(engine.name.clone(), event),
        );
    }
    (engine.name, memory)
}

fn held_jobs(load: &Load) -> Vec<JobId> {
    let parsed = load.held.iter().filter_map(|id| parse_engine_id(id));
    let jobs: BTreeSet<JobId> = parsed.map(|(job, _)| job).collect();
    jobs.into_iter().collect()
}

/// Cancels this VM's ids that no running request has, for example those of its predecessor.
///
/// A report lags, so an id is cancelled only when two reports in a row list it.
fn cancel_strays(
    context: &Context,
    engine: &UpstreamSpec,
    load: &Load,
    before: &BTreeSet<String>,
) -> BTreeSet<String> {
    let tag = JobId::vm_tag_of(&context.options.vm);
    let stray = |text: &&String| {
        let parsed = parse_engine_id(text);
        parsed.is_some_and(|(job, _)| job.vm_tag() == tag && !context.live.contains(job))
    };
    let strays: BTreeSet<String> = load.held.iter().filter(stray).cloned().collect();
    for id in strays.intersection(before) {
        context.canceller.cancel(engine.address, id.clone());
    }
    strays
}

/// Cancels what engines hold for requests that have no task in this process.
async fn cancel_orphans(
    context: Arc<Context>,
    orphans: Arc<Mutex<mpsc::UnboundedReceiver<Orphan>>>,
) -> eyre::Result<()> {
    loop {
        let mut some = Vec::new();
        if orphans.lock().await.recv_many(&mut some, ORPHANS).await == 0 {
            return std::future::pending().await;
        }
        let mut by_engine: BTreeMap<Upstream, BTreeSet<JobId>> = BTreeMap::new();
        for orphan in some {
            by_engine
                .entry(orphan.upstream)
                .or_default()
                .insert(orphan.id);
        }
        let cancels = stream::iter(by_engine).map(|(name, ids)| cancel_jobs(&context, name, ids));
        cancels.buffer_unordered(AT_ONCE).collect::<()>().await;
    }
}

/// Cancels all attempts of requests on one engine; only the engine knows which it holds.
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
