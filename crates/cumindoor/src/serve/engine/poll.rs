//! Periodic questions to engines: load, cache changes, and work that nobody waits for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use coord::name::Upstream;
use coord::sched::{CacheEvent, EngineReport, JobId};
use futures::StreamExt;
use futures::stream;
use tokio::sync::mpsc;

use super::{CacheKind, Load, parse_engine_id};
use crate::serve::cell::{CellSet, Input, Orphan};
use crate::serve::route::Context;
use crate::serve::spec::UpstreamSpec;

/// Engines that are asked at once.
const AT_ONCE: usize = 64;

/// What is remembered of one engine between two polls.
#[derive(Debug, Default)]
struct Memory {
    /// Last cache change that was seen.
    seq: u64,
    /// Ids of this VM that the last report listed although no such request runs.
    strays: BTreeSet<String>,
}

/// Asks all engines of the table for their load until the future is dropped.
///
/// # Errors
///
/// Does not return.
pub async fn run(context: Arc<Context>, cells: Arc<CellSet>) -> eyre::Result<()> {
    let mut memories: BTreeMap<Upstream, Memory> = BTreeMap::new();
    loop {
        tokio::time::sleep(context.options.times.poll).await;
        let engines = context.table.engines();
        let names: BTreeSet<Upstream> = engines.iter().map(|e| e.name.clone()).collect();
        memories.retain(|name, _| names.contains(name));
        let asked = stream::iter(engines).map(|engine| {
            let memory = memories.remove(&engine.name).unwrap_or_default();
            ask(&context, &cells, engine, memory)
        });
        let answered: Vec<_> = asked.buffer_unordered(AT_ONCE).collect().await;
        memories.extend(answered);
    }
}

async fn ask(
    context: &Context,
    cells: &CellSet,
    engine: UpstreamSpec,
    mut memory: Memory,
) -> (Upstream, Memory) {
    if let Ok(load) = context.engines.load(engine.address).await {
        memory.strays = cancel_strays(context, &engine, &load, &memory.strays);
        let report = EngineReport {
            held: held_jobs(&load),
            queue: load.queue,
        };
        cells.input(&engine.service, Input::Load(engine.name.clone(), report));
    }
    let changes = context.engines.changes(engine.address, memory.seq).await;
    for change in changes.unwrap_or_default() {
        if change.seq > memory.seq + 1 {
            let gap = Input::Cache(engine.name.clone(), CacheEvent::Gap);
            cells.input(&engine.service, gap);
        }
        memory.seq = change.seq;
        let event = match change.kind {
            CacheKind::Stored => CacheEvent::Stored(change.prefix),
            CacheKind::Evicted => CacheEvent::Evicted(change.prefix),
        };
        cells.input(&engine.service, Input::Cache(engine.name.clone(), event));
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
    let tag = JobId::tag_of(&context.options.vm);
    let stray = |text: &&String| {
        let parsed = parse_engine_id(text);
        parsed.is_some_and(|(job, _)| job.tag() == tag && !context.live.contains(job))
    };
    let strays: BTreeSet<String> = load.held.iter().filter(stray).cloned().collect();
    for id in strays.intersection(before) {
        context.canceller.cancel(engine.address, id.clone());
    }
    strays
}

/// Cancels what engines hold for requests that have no task in this process.
///
/// # Errors
///
/// Does not return while the cells exist.
pub async fn cancel_orphans(
    context: Arc<Context>,
    orphans: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<Orphan>>>,
) -> eyre::Result<()> {
    loop {
        let Some(orphan) = orphans.lock().await.recv().await else {
            return std::future::pending().await;
        };
        let Some(address) = context.table.address(&orphan.upstream) else {
            continue;
        };
        // Only the engine knows which attempts it holds.
        let Ok(load) = context.engines.load(address).await else {
            continue;
        };
        for held in load.held {
            if parse_engine_id(&held).is_some_and(|(job, _)| job == orphan.id) {
                context.canceller.cancel(address, held);
            }
        }
    }
}
