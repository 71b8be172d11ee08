//! Metrics, log output and trace spans.

mod filter;
mod sink;
mod stdout;
mod trace;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient, Timed};

pub use sink::{MemorySink, Snapshot, TimerTotals};
pub use trace::{TraceLog, hop, init_tracing};

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "cumindoor";

/// Counters, gauges and timers. Clones share them.
#[derive(Clone, Debug)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    memory: Option<MemorySink>,
}

impl Telemetry {
    /// Returns metrics that are only kept in memory, for [`Self::snapshot`].
    #[must_use]
    pub fn in_memory() -> Self {
        let memory = MemorySink::default();
        let client = StatsdClient::from_sink(METRIC_PREFIX, memory.clone());
        Self {
            client: Arc::new(client),
            memory: Some(memory),
        }
    }

    /// Returns metrics that are sent to a statsd server over UDP and also kept in memory.
    ///
    /// Metrics are collected until a packet is full; [`Self::flush`] sends an incomplete packet.
    /// The socket does not block: a packet that does not fit into its send buffer is lost.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub fn statsd(server: SocketAddr) -> eyre::Result<Self> {
        let local = if server.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(server, socket)?;
        let memory = MemorySink::default();
        let tee = sink::Tee::new(memory.clone(), udp);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, tee)),
            memory: Some(memory),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `number` to a counter.
    pub fn add(&self, name: &str, number: u64) {
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        // Errors are ignored, because a lost metric must not fail a request.
        let _ = self.client.count(name, number);
    }

    /// Records a duration in a timer.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Sets a gauge to its current value.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends the metrics that are still buffered.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }

    /// Returns the metrics so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.memory
            .as_ref()
            .map(MemorySink::snapshot)
            .unwrap_or_default()
    }
}

/// Starts logging to standard error in JSON, for records of `level` and above.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn init_logging(level: log::LevelFilter) -> eyre::Result<()> {
    let layout = logforth::layout::JsonLayout::default();
    let stderr = logforth::append::Stderr::default().with_layout(layout);
    let diagnostic = logforth::diagnostic::FastraceDiagnostic::default();
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(filter::OwnTargets)
                .diagnostic(diagnostic)
                .append(stderr)
        })
        .try_apply()
        .map_err(|error| eyre::eyre!("cannot start logging: {error}"))?;
    log::set_max_level(level);
    Ok(())
}

/// Starts logging to standard output in JSON, for records of `level` and above.
///
/// At most `rate` lines per second are written; the others are dropped and counted.
///
/// # Errors
///
/// Returns an error if the process already has a logger or the writer thread cannot be started.
pub fn log_to_stdout(level: log::LevelFilter, rate: u32) -> eyre::Result<()> {
    let appender = stdout::StdoutAppender::spawn(rate)?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter::OwnTargets).append(appender))
        .try_apply()
        .map_err(|error| eyre::eyre!("cannot start logging: {error}"))?;
    log::set_max_level(level);
    Ok(())
}
