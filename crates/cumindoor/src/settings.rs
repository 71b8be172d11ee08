//! The settings of one VM.

mod options;

use std::fmt;

use coord::name::{DataCentre, VmName};

use crate::ini::{
    self, Bytes, Count, Finding, Findings, KeySpec, Keys, Listen, Section, Span, Target,
    write_section,
};

ini::choice! {
    /// How log lines are written.
    pub enum LogFormat ("`text` or `json`") {
        /// For people.
        Text = "text",
        /// One JSON object in each line.
        Json = "json",
    }
}

ini::choice! {
    /// The least severe log lines that are written.
    pub enum LogLevel ("`error`, `warn`, `info`, `debug` or `trace`") {
        /// Failures that need attention.
        Error = "error",
        /// Also conditions that may become failures.
        Warn = "warn",
        /// Also changes of state.
        Info = "info",
        /// Also details of changes.
        Debug = "debug",
        /// Everything.
        Trace = "trace",
    }
}

ini::section! {
    /// Who the VM is and how it stops.
    pub struct Vm {
        /// Name of the VM in the published list; a replacement may have the same name.
        name: VmName = "name" Required,
        /// Data centre of the VM.
        data_centre: DataCentre = "data-centre" Required,
        /// Longest time that any request may take; a document's `deadline` may not exceed it.
        request_limit: Span = "request-limit" Value("10 min") ["1 s" to "24 h"],
        /// How long running requests may take after a planned stop was ordered; not below `request-limit`.
        stop_limit: Span = "stop-limit" Value("11 min") ["1 s" to "25 h"],
        /// How long the key of a once-only request is kept; the same on all VMs.
        once_retention: Span = "once-retention" Value("1 h") ["1 min" to "168 h"],
    }
}

ini::section! {
    /// The listener for callers and what callers may use.
    pub struct Callers {
        /// Where callers connect.
        address: Listen = "address" Required,
        /// Open connections of all callers.
        connections: Count = "connections" Value("20000") ["1" to "1000000"],
        /// Size of one request head.
        head_limit: Bytes = "head-limit" Value("32 KB") ["8 KB" to "1 MB"],
        /// Header fields of one request.
        header_limit: Count = "header-limit" Value("100") ["10" to "1000"],
        /// Time for one request head, also the idle time of a kept connection.
        head_time: Span = "head-time" Value("15 s") ["100 ms" to "10 min"],
        /// Size of one model request's body.
        body_limit: Bytes = "body-limit" Value("4 MB") ["1 KB" to "64 MB"],
        /// Time for one model request's body; for a plain call, the time without progress.
        body_time: Span = "body-time" Value("30 s") ["100 ms" to "10 min"],
        /// Size of one plain call's body, which is passed through and not stored.
        plain_body_limit: Bytes = "plain-body-limit" Value("256 MB") ["1 KB" to "100 GB"],
        /// Time without progress of a write after which the caller counts as gone.
        write_stall: Span = "write-stall" Value("30 s") ["100 ms" to "10 min"],
    }
}

ini::section! {
    /// The listener for other VMs.
    pub struct Peers {
        /// Where other VMs connect, as the published list names it.
        address: Target = "address" Required,
    }
}

ini::section! {
    /// The configuration service.
    pub struct Platform {
        /// Addresses of the configuration service; the next one is asked when one fails.
        addresses: Vec<Target> = "addresses" Required,
        /// How long one watch waits for a change.
        watch_time: Span = "watch-time" Value("30 s") ["100 ms" to "10 min"],
    }
}

ini::section! {
    /// Deadlines of single hops to upstreams.
    pub struct Hops {
        /// Time to open a connection.
        connect: Span = "connect" Value("1 s") ["10 ms" to "1 min"],
        /// Time without bytes before the engine is asked over a new connection.
        quiet: Span = "quiet" Value("2 s") ["10 ms" to "1 min"],
        /// Time for the answer to such a question.
        probe: Span = "probe" Value("1 s") ["10 ms" to "1 min"],
        /// Time without bytes after which the hop has failed, even if the engine lists the request; not below `quiet`.
        stall: Span = "stall" Value("8 s") ["10 ms" to "10 min"],
        /// Time from a decode call to the start of its answer: the transfer of the KV cache.
        import: Span = "import" Value("1 s") ["10 ms" to "1 min"],
        /// Time for one try to cancel.
        cancel: Span = "cancel" Value("1 s") ["10 ms" to "1 min"],
        /// Time for all tries to cancel one request; not below `cancel`.
        cancel_total: Span = "cancel-total" Value("30 s") ["10 ms" to "10 min"],
        /// Time for the head of a plain service's answer.
        plain: Span = "plain" Value("30 s") ["10 ms" to "24 h"],
        /// Time between two questions for an engine's load and cache events.
        poll: Span = "poll" Value("1 s") ["10 ms" to "1 min"],
    }
}

ini::section! {
    /// Log lines.
    pub struct Log {
        /// Form of the lines on standard error.
        format: LogFormat = "format" Value("text"),
        /// Least severe lines that are written.
        level: LogLevel = "level" Value("info"),
    }
}

ini::section! {
    /// Counters and timers.
    pub struct Metrics {
        /// Address that receives them as statsd datagrams over UDP.
        address: Option<Target> = "address" Absent,
        /// Start of every counter's name.
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
    /// Reads the settings of one VM.
    ///
    /// # Errors
    ///
    /// Returns all findings, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut findings = Findings::new(file);
        let sections = ini::sections(text, &mut findings);
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
            // A section without a line of its own: its missing keys are reported in line 1.
            found.cloned().unwrap_or_else(|| Section::new(1, title))
        };
        let (vm, hops, platform) = (find("vm"), find("hops"), find("platform"));
        // All sections are read before the first faulty one ends the function, so that every
        // finding is reported.
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
        settings.check(&vm, &hops, findings);
        if settings.platform.addresses.is_empty() {
            let line = platform.line_of("addresses");
            findings.add(line, "addresses is empty; expected at least one address");
        }
        Some(settings)
    }

    fn check(&self, vm: &Section, hops: &Section, findings: &mut Findings) {
        if self.vm.stop_limit < self.vm.request_limit {
            let text = format!(
                "stop-limit = {} is below request-limit = {}, so a planned stop could cut a \
                 request; expected at least {}",
                self.vm.stop_limit, self.vm.request_limit, self.vm.request_limit
            );
            findings.add(vm.line_of("stop-limit"), text);
        }
        let ordered = [
            ("quiet", self.hops.quiet, "stall", self.hops.stall),
            (
                "cancel",
                self.hops.cancel,
                "cancel-total",
                self.hops.cancel_total,
            ),
        ];
        for (low, least, high, value) in ordered {
            if value < least {
                let text =
                    format!("{high} = {value} is below {low} = {least}; expected at least that");
                findings.add(hops.line_of(high), text);
            }
        }
    }
}

/// Finds sections that `known` does not have, and repeated ones.
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
    ini::repeated_titles(sections, findings);
}

/// Returns the finding for a section that does not exist.
pub(crate) fn unknown_section<'a>(
    title: &str,
    names: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let problem = format!("[{}] is not a section", ini::quote(title).trim_matches('`'));
    if let Some(name) = ini::closest(title, names.clone()) {
        return format!("{problem}; did you mean [{name}]?");
    }
    let names: Vec<_> = names.map(|name| format!("[{name}]")).collect();
    format!("{problem}; expected one of {}", names.join(", "))
}

impl fmt::Display for Settings {
    /// Writes the settings as a file that names every value, defaults included.
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
