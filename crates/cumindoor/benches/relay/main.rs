//! Overhead of the router: time to first token, delay of each token, CPU time and memory.
//!
//! Run with `cargo bench -p cumindoor --bench relay`. The router and the engines run in separate
//! processes, so that the CPU time and memory of the router are measured alone.

mod client;
mod engine;
mod router;
mod usage;

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use client::{Samples, StreamTotals};
use usage::Usage;

/// Number of pairs of a direct and a relayed request in the measurement of the first token.
const REQUEST_PAIRS: usize = 400;

/// Number of concurrent streams in the measurement of each token's delay.
const STREAMS: usize = 50;

/// Time between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(4);

/// Duration of the measurement of the idle router. The resolution of the CPU time is a clock tick
/// of 10 ms, which is 0.1% of it.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Target for the tokens per second that the router relays on one core.
const TARGET_TOKENS_PER_SECOND: f64 = 15_600.0;

/// A child process that has printed the address on which it listens.
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
        let output = child
            .stdout
            .take()
            .ok_or_else(|| eyre::eyre!("the child process has no standard output"))?;
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(output), &mut line)?;
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

fn engine(token_interval: Duration) -> eyre::Result<Process> {
    Process::start("engine", &[token_interval.as_micros().to_string()])
}

async fn measure() -> eyre::Result<()> {
    first_token().await?;
    token_delay().await?;
    token_rate().await?;
    memory_per_stream(1_000).await?;
    // Each stream takes two sockets in the router, and a limit of 20,000 open files is assumed.
    memory_per_stream(9_000).await
}

async fn first_token() -> eyre::Result<()> {
    let engine = engine(Duration::ZERO)?;
    let router = Process::start("router", &[engine.addr.to_string()])?;
    let (mut direct, mut relayed) = (Samples::default(), Samples::default());
    for pair in 0..REQUEST_PAIRS {
        let prompt = format!("pair {pair}");
        direct.add(client::direct_first(engine.addr, &prompt).await?);
        relayed.add(client::relayed_first(router.addr, &prompt).await?);
    }
    println!(
        "time to first token: direct {} us, relayed {} us, added at the median {} us ({REQUEST_PAIRS} pairs)",
        direct.median(),
        relayed.median(),
        relayed.median().saturating_sub(direct.median()),
    );
    Ok(())
}

async fn token_delay() -> eyre::Result<()> {
    let engine = engine(TOKEN_INTERVAL)?;
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
        TOKEN_INTERVAL.as_millis(),
    );
    Ok(())
}

/// Measures the token rate of a single-threaded router with increasing numbers of streams, up to
/// saturation.
async fn token_rate() -> eyre::Result<()> {
    for streams in [62, 125, 250, 375, 500] {
        let engine = engine(TOKEN_INTERVAL)?;
        let router = Process::start("router", &[engine.addr.to_string(), "one".into()])?;
        // A warm-up run opens connections and fills caches before the measurement.
        client::relayed_load(router.addr, streams, 50).await?;
        let before = router.usage()?;
        let began = Instant::now();
        let totals: StreamTotals = client::relayed_load(router.addr, streams, 1_000).await?;
        let elapsed = began.elapsed().as_secs_f64();
        let cpu_time = router.usage()?.cpu.saturating_sub(before.cpu);
        let tokens = f64::from(u32::try_from(totals.tokens)?);
        let per_second = tokens / elapsed;
        let per_core = tokens / cpu_time.as_secs_f64();
        println!(
            "{streams} streams, one thread: {per_second:.0} tokens/s relayed, {:.0}% of a core, \
             {per_core:.0} tokens per core second (target {TARGET_TOKENS_PER_SECOND:.0}), delay {} us at the median",
            cpu_time.as_secs_f64() / elapsed * 100.0,
            totals.delays.median(),
        );
    }
    Ok(())
}

async fn memory_per_stream(streams: usize) -> eyre::Result<()> {
    let engine = engine(Duration::from_millis(1_500))?;
    let router = Process::start("router", &[engine.addr.to_string()])?;
    let before = router.usage()?.cpu;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = router.usage()?;
    let busy = idle.cpu.saturating_sub(before).as_secs_f64() / IDLE_TIME.as_secs_f64();
    println!("idle router: {:.1}% of a core", busy * 100.0);
    let idle = idle.resident_bytes;
    let open = client::open_streams(router.addr, streams).await?;
    let loaded = router.usage()?.resident_bytes;
    println!(
        "resident memory: idle {:.1} MB, {} open streams {:.1} MB, {:.1} KB for each stream",
        megabytes(idle),
        open.len(),
        megabytes(loaded),
        megabytes(loaded - idle) * 1_000.0 / f64::from(u32::try_from(open.len())?),
    );
    Ok(())
}

fn megabytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes / 1_024).unwrap_or(u32::MAX)) * 1_024.0 / 1e6
}
