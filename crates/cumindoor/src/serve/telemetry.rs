//! Counters, timers, log lines and trace spans.

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

/// The first part of every counter's name.
const METRIC_PREFIX: &str = "cumindoor";

/// Counters and timers of the request path; clones share them.
#[derive(Clone, Debug)]
pub struct Telemetry {
    client: Arc<StatsdClient>,
    memory: Option<MemorySink>,
}

impl Telemetry {
    /// Returns counters that are kept in memory for `status`.
    #[must_use]
    pub fn in_memory() -> Self {
        let memory = MemorySink::default();
        let client = StatsdClient::from_sink(METRIC_PREFIX, memory.clone());
        Self {
            client: Arc::new(client),
            memory: Some(memory),
        }
    }

    /// Returns counters that are sent to a statsd server over UDP and also kept in memory.
    ///
    /// They are sent in packets; [`Self::flush`] sends one that is not full. The socket never
    /// blocks: a packet that does not fit into its buffer is lost.
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

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Counts `number` events.
    pub fn add(&self, name: &str, number: u64) {
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        // A lost counter is not worth a failed request.
        let _ = self.client.count(name, number);
    }

    /// Notes how long something took.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Notes a current value.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends what is still buffered.
    pub fn flush(&self) {
        let _ = self.client.flush();
    }

    /// Returns the sums so far.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.memory
            .as_ref()
            .map(MemorySink::snapshot)
            .unwrap_or_default()
    }
}

/// Writes structured log lines to the standard error output, `level` and above.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
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

/// Writes structured log lines to the standard output, `level` and above, `rate` a second at most.
///
/// # Errors
///
/// Returns an error if the process has a logger already or the writing thread cannot start.
pub fn log_to_stdout(level: log::LevelFilter, rate: u32) -> eyre::Result<()> {
    let appender = stdout::StdoutAppender::spawn(rate)?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter::OwnTargets).append(appender))
        .try_apply()
        .map_err(|error| eyre::eyre!("cannot start logging: {error}"))?;
    log::set_max_level(level);
    Ok(())
}
