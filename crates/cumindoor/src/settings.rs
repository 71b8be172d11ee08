//! The settings of one VM: its addresses, limits and timeouts.

mod options;

use std::fmt;

use coord::name::{DataCentre, VmName};

use crate::ini::{
    self, Bytes, ConnectAddr, Count, Finding, Findings, KeySpec, ListenAddr, Section, TimeSpan,
    TypedSection, write_section,
};

ini::choice! {
    /// The format of log lines.
    pub enum LogFormat ("`text` or `json`") {
        /// Human-readable text.
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }
}

ini::choice! {
    /// The minimum severity of the log lines that are written.
    pub enum LogLevel ("`error`, `warn`, `info`, `debug` or `trace`") {
        /// Failures that need attention.
        Error = "error",
        /// Also conditions that may lead to failures.
        Warn = "warn",
        /// Also changes of state.
        Info = "info",
        /// Also details of these changes, and trace spans.
        Debug = "debug",
        /// Everything.
        Trace = "trace",
    }
}

ini::section! {
    /// The identity of the VM and its time limits.
    pub struct Vm {
        /// Name of the VM in the published list; a replacement VM may have the same name.
        name: VmName = "name" Required,
        /// Data centre of the VM.
        data_centre: DataCentre = "data-centre" Required,
        /// Maximum duration of any request; a document's `deadline` may not exceed it.
        request_limit: TimeSpan = "request-limit" Value("10 min") ["1 s" to "24 h"],
        /// Maximum time that running requests may take to finish after a planned stop was requested; not below `request-limit`.
        stop_limit: TimeSpan = "stop-limit" Value("11 min") ["1 s" to "25 h"],
        /// How long the idempotency key of an at-most-once request is kept; must be the same on all VMs.
        once_retention: TimeSpan = "once-retention" Value("1 h") ["1 min" to "168 h"],
    }
}

ini::section! {
    /// The listener for callers and the limits on callers.
    pub struct Callers {
        /// Address on which callers connect.
        address: ListenAddr = "address" Required,
        /// Maximum number of open connections from callers.
        connections: Count = "connections" Value("20000") ["1" to "1000000"],
        /// Maximum size of the head of one request.
        head_limit: Bytes = "head-limit" Value("32 KB") ["8 KB" to "1 MB"],
        /// Maximum number of header fields of one request.
        header_limit: Count = "header-limit" Value("100") ["10" to "1000"],
        /// Timeout for receiving the head of one request, and idle timeout of a persistent connection.
        head_time: TimeSpan = "head-time" Value("15 s") ["100 ms" to "10 min"],
        /// Maximum size of the body of one model request.
        body_limit: Bytes = "body-limit" Value("4 MB") ["1 KB" to "64 MB"],
        /// Timeout for receiving the body of one model request; for a plain call, the time without progress.
        body_time: TimeSpan = "body-time" Value("30 s") ["100 ms" to "10 min"],
        /// Maximum size of the body of one plain call, which is streamed and not buffered.
        plain_body_limit: Bytes = "plain-body-limit" Value("256 MB") ["1 KB" to "100 GB"],
        /// Time without progress of a write after which the caller is treated as disconnected.
        write_stall: TimeSpan = "write-stall" Value("30 s") ["100 ms" to "10 min"],
    }
}

ini::section! {
    /// The listener for other VMs.
    pub struct Peers {
        /// Address on which other VMs connect, as it stands in the published list.
        address: ConnectAddr = "address" Required,
    }
}

ini::section! {
    /// The configuration service.
    pub struct Platform {
        /// Addresses of the configuration service; if one fails, the next one is tried.
        addresses: Vec<ConnectAddr> = "addresses" Required,
        /// How long one watch request waits for a change.
        watch_time: TimeSpan = "watch-time" Value("30 s") ["100 ms" to "10 min"],
    }
}

ini::section! {
    /// Timeouts of single hops to upstreams.
    pub struct Hops {
        /// Timeout for opening a connection.
        connect: TimeSpan = "connect" Value("1 s") ["10 ms" to "1 min"],
        /// Time without data after which the engine is probed over a new connection.
        quiet: TimeSpan = "quiet" Value("2 s") ["10 ms" to "1 min"],
        /// Timeout for the response to such a probe.
        probe: TimeSpan = "probe" Value("1 s") ["10 ms" to "1 min"],
        /// Time without data after which the hop has failed, even if the engine still lists the request as running; not below `quiet`.
        stall: TimeSpan = "stall" Value("8 s") ["10 ms" to "10 min"],
        /// Timeout from a decode call to the start of its response, during which the KV cache is transferred.
        import: TimeSpan = "import" Value("1 s") ["10 ms" to "1 min"],
        /// Timeout of one attempt to cancel a request.
        cancel: TimeSpan = "cancel" Value("1 s") ["10 ms" to "1 min"],
        /// Time limit for all attempts to cancel one request; not below `cancel`.
        cancel_total: TimeSpan = "cancel-total" Value("30 s") ["10 ms" to "10 min"],
        /// Timeout for the response head of a plain service.
        plain: TimeSpan = "plain" Value("30 s") ["10 ms" to "24 h"],
        /// Interval between two polls of an engine for its load and cache events.
        poll: TimeSpan = "poll" Value("1 s") ["10 ms" to "1 min"],
    }
}

ini::section! {
    /// Logging.
    pub struct Log {
        /// Format of the log lines on standard error.
        format: LogFormat = "format" Value("text"),
        /// Minimum severity of the lines that are written.
        level: LogLevel = "level" Value("info"),
    }
}

ini::section! {
    /// Export of counters and timers.
    pub struct Metrics {
        /// Address to which they are sent as statsd datagrams over UDP.
        address: Option<ConnectAddr> = "address" Absent,
        /// Prefix of the name of every counter.
        prefix: VmName = "prefix" Value("cumindoor"),
    }
}

/// The settings of one VM.
///
/// # Example
///
/// ```
/// use cumindoor::settings::Settings;
///
/// let text = "[vm]\nname = vm-1\ndata-centre = suape\n\n[callers]\naddress = 10.0.0.1:8080\n\n\
///             [peers]\naddress = 10.0.0.1:7000\n\n[platform]\naddresses = 10.0.0.9:7100\n";
/// let settings = Settings::parse("vm-1.ini", text).unwrap();
/// assert_eq!(settings.callers.connections.0, 20_000);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[vm]`
    pub vm: Vm,
    /// `[callers]`
    pub callers: Callers,
    /// `[peers]`
    pub peers: Peers,
    /// `[platform]`
    pub platform: Platform,
    /// `[hops]`
    pub hops: Hops,
    /// `[log]`
    pub log: Log,
    /// `[metrics]`
    pub metrics: Metrics,
}

/// The sections of a settings file and their keys.
pub const SECTIONS: &[(&str, &[KeySpec])] = &[
    ("vm", Vm::KEYS),
    ("callers", Callers::KEYS),
    ("peers", Peers::KEYS),
    ("platform", Platform::KEYS),
    ("hops", Hops::KEYS),
    ("log", Log::KEYS),
    ("metrics", Metrics::KEYS),
];

impl Settings {
    /// Parses the settings of one VM.
    ///
    /// # Errors
    ///
    /// Returns all findings, ordered by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut findings = Findings::new(file);
        let sections = ini::parse_sections(text, &mut findings);
        let settings = Self::read(&sections, &mut findings);
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings.into_list()),
        }
    }

    pub(crate) fn read(sections: &[Section], findings: &mut Findings) -> Option<Self> {
        check_titles(sections, SECTIONS, findings);
        let find = |title: &str| {
            let found = sections.iter().find(|section| section.title == title);
            // The missing keys of an absent section are reported in line 1.
            found.cloned().unwrap_or_else(|| Section::new(1, title))
        };
        let (vm, hops, platform) = (find("vm"), find("hops"), find("platform"));
        // All sections are parsed before `?` returns on a faulty one, so that every finding is
        // reported.
        let vm_keys = vm.read(findings);
        let callers = find("callers").read(findings);
        let peers = find("peers").read(findings);
        let platform_keys = platform.read(findings);
        let hop_keys = hops.read(findings);
        let log = find("log").read(findings);
        let metrics = find("metrics").read(findings);
        let settings = Self {
            vm: vm_keys?,
            callers: callers?,
            peers: peers?,
            platform: platform_keys?,
            hops: hop_keys?,
            log: log?,
            metrics: metrics?,
        };
        settings.check_values(&vm, &hops, findings);
        if settings.platform.addresses.is_empty() {
            let line = platform.line_of("addresses");
            findings.add(line, "addresses is empty; expected at least one address");
        }
        Some(settings)
    }

    fn check_values(&self, vm: &Section, hops: &Section, findings: &mut Findings) {
        if self.vm.stop_limit < self.vm.request_limit {
            let text = format!(
                "stop-limit = {} is below request-limit = {}, so a planned stop could cut a \
                 request; expected at least {}",
                self.vm.stop_limit, self.vm.request_limit, self.vm.request_limit
            );
            findings.add(vm.line_of("stop-limit"), text);
        }
        let ordered_pairs = [
            ("quiet", self.hops.quiet, "stall", self.hops.stall),
            (
                "cancel",
                self.hops.cancel,
                "cancel-total",
                self.hops.cancel_total,
            ),
        ];
        for (low, minimum, high, value) in ordered_pairs {
            if value < minimum {
                let text = format!(
                    "{high} = {value} is below {low} = {minimum}; expected at least {minimum}"
                );
                findings.add(hops.line_of(high), text);
            }
        }
    }
}

/// Reports sections that `known` does not have, and duplicate ones.
pub(crate) fn check_titles(
    sections: &[Section],
    known: &[(&'static str, &[KeySpec])],
    findings: &mut Findings,
) {
    let names = || known.iter().map(|(name, _)| *name);
    for section in sections {
        let title = section.title.as_str();
        if !names().any(|name| name == title) {
            findings.add_with(section.line, || unknown_section(title, names()));
        }
    }
    ini::check_duplicate_titles(sections, findings);
}

/// Returns the text of the finding for an unknown section.
pub(crate) fn unknown_section<'a>(
    title: &str,
    names: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let problem = format!("[{}] is not a section", ini::quote(title).trim_matches('`'));
    if let Some(name) = ini::closest_match(title, names.clone()) {
        return format!("{problem}; did you mean [{name}]?");
    }
    let names: Vec<_> = names.map(|name| format!("[{name}]")).collect();
    format!("{problem}; expected one of {}", names.join(", "))
}

impl fmt::Display for Settings {
    /// Formats the settings in INI format with every effective value, including defaults.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        write_section(&mut text, "vm", &self.vm);
        write_section(&mut text, "callers", &self.callers);
        write_section(&mut text, "peers", &self.peers);
        write_section(&mut text, "platform", &self.platform);
        write_section(&mut text, "hops", &self.hops);
        write_section(&mut text, "log", &self.log);
        write_section(&mut text, "metrics", &self.metrics);
        f.write_str(&text)
    }
}
