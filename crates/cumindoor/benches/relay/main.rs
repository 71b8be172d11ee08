//! What the relay adds: time to first token, time per token, processor time and memory.
//!
//! `cargo bench -p cumindoor --bench relay`. The router and the engines run as processes of
//! their own, so that processor time and memory are the router's alone.

mod client;
mod engine;
mod router;
mod usage;

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use client::{Load, Samples};
use usage::Usage;

/// Pairs of a direct and a relayed request.
const PAIRS: usize = 400;
/// Streams of the per-token measurement, and their pace.
const STREAMS: usize = 50;
const STEP: Duration = Duration::from_millis(4);
/// How long the idle router is watched; a clock tick of 10 ms is 0.1% of it.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The target for one core.
const TARGET_RATE: f64 = 15_600.0;

/// A child process that printed its address.
struct Process {
    child: Child,
    addr: std::net::SocketAddr,
}

impl Process {
    fn start(role: &str, args: &[String]) -> eyre::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(role)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| eyre::eyre!("no output"))?;
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)?;
        let addr = line.trim().parse()?;
        Ok(Self { child, addr })
    }

    fn usage(&self) -> eyre::Result<Usage> {
        usage::read(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("router") => router::run(&args[1..]),
        Some("engine") => engine::run(&args[1..]),
        _ => tokio::runtime::Runtime::new()?.block_on(measure()),
    }
}

fn engine(step: Duration) -> eyre::Result<Process> {
    Process::start("engine", &[step.as_micros().to_string()])
}

async fn measure() -> eyre::Result<()> {
    first_token().await?;
    per_token().await?;
    rate().await?;
    memory(1_000).await?;
    // Each stream takes two sockets of the router, and a process may open 20,000 files here.
    memory(9_000).await
}

async fn first_token() -> eyre::Result<()> {
    let engine = engine(Duration::ZERO)?;
    let router = Process::start("router", &[engine.addr.to_string()])?;
    let (mut direct, mut relayed) = (Samples::default(), Samples::default());
    for pair in 0..PAIRS {
        let prompt = format!("pair {pair}");
        direct.add(client::direct_first(engine.addr, &prompt).await?);
        relayed.add(client::relayed_first(router.addr, &prompt).await?);
    }
    println!(
        "time to first token: direct {} us, relayed {} us, added at the median {} us ({PAIRS} pairs)",
        direct.median(),
        relayed.median(),
        relayed.median().saturating_sub(direct.median()),
    );
    Ok(())
}

async fn per_token() -> eyre::Result<()> {
    let engine = engine(STEP)?;
    let router = Process::start("router", &[engine.addr.to_string()])?;
    let direct = client::direct_load(engine.addr, STREAMS, 500).await?;
    let relayed = client::relayed_load(router.addr, STREAMS, 500).await?;
    println!(
        "token from engine to reader: direct {} us, relayed {} us, added at the median {} us; \
         99 in 100: direct {} us, relayed {} us ({STREAMS} streams, {} ms step)",
        direct.delays.median(),
        relayed.delays.median(),
        relayed
            .delays
            .median()
            .saturating_sub(direct.delays.median()),
        direct.delays.quantile(0.99),
        relayed.delays.quantile(0.99),
        STEP.as_millis(),
    );
    Ok(())
}

/// Raises the number of streams until the router's only thread is busy.
async fn rate() -> eyre::Result<()> {
    for streams in [62, 125, 250, 375, 500] {
        let engine = engine(STEP)?;
        let router = Process::start("router", &[engine.addr.to_string(), "one".into()])?;
        // Connections and caches are warm before the figures are taken.
        client::relayed_load(router.addr, streams, 50).await?;
        let before = router.usage()?;
        let began = Instant::now();
        let load: Load = client::relayed_load(router.addr, streams, 1_000).await?;
        let elapsed = began.elapsed().as_secs_f64();
        let busy = router.usage()?.cpu.saturating_sub(before.cpu);
        let tokens = f64::from(u32::try_from(load.tokens)?);
        let per_second = tokens / elapsed;
        let per_core = tokens / busy.as_secs_f64();
        println!(
            "{streams} streams, one thread: {per_second:.0} tokens/s relayed, {:.0}% of a core, \
             {per_core:.0} tokens per core second (target {TARGET_RATE:.0}), delay {} us at the median",
            busy.as_secs_f64() / elapsed * 100.0,
            load.delays.median(),
        );
    }
    Ok(())
}

async fn memory(streams: usize) -> eyre::Result<()> {
    let engine = engine(Duration::from_millis(1_500))?;
    let router = Process::start("router", &[engine.addr.to_string()])?;
    let before = router.usage()?.cpu;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = router.usage()?;
    let busy = idle.cpu.saturating_sub(before).as_secs_f64() / IDLE_TIME.as_secs_f64();
    println!("idle router: {:.1}% of a core", busy * 100.0);
    let idle = idle.resident;
    let open = client::open(router.addr, streams).await?;
    let full = router.usage()?.resident;
    println!(
        "resident memory: idle {:.1} MB, {} open streams {:.1} MB, {:.1} KB for each stream",
        megabytes(idle),
        open.len(),
        megabytes(full),
        megabytes(full - idle) * 1_000.0 / f64::from(u32::try_from(open.len())?),
    );
    Ok(())
}

fn megabytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes / 1_024).unwrap_or(u32::MAX)) * 1_024.0 / 1e6
}
