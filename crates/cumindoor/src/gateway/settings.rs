//! The settings of a gateway.

use std::fmt;
use std::time::Duration;

use coord::name::{DataCentre, VmName};

use crate::ini::{
    self, Bytes, ConnectAddr, Count, Finding, Findings, KeySpec, ListenAddr, Ratio, Section,
    TimeSpan, write_section,
};
use crate::settings::{LogLevel, check_titles};

ini::section! {
    /// Identity of the gateway and limit on its shutdown time.
    pub struct IdentitySettings {
        /// Name of the VM.
        name: VmName = "name" Required,
        /// Data centre of the VM.
        data_centre: DataCentre = "data-centre" Required,
        /// Time from the start of a planned stop until the process is killed.
        grace: TimeSpan = "grace" Value("8 s") ["1 s" to "1 h"],
    }
}

ini::section! {
    /// Addresses on which the gateway listens.
    pub struct Listeners {
        /// Address on which callers connect.
        callers: ListenAddr = "callers" Required,
        /// Address of the readiness check for the load balancer.
        ready: ListenAddr = "ready" Required,
        /// Address that serves counters and histograms as text; not served if absent.
        metrics: Option<ListenAddr> = "metrics" Absent,
    }
}

ini::section! {
    /// Communication with the other gateways.
    pub struct Fleet {
        /// Address of this gateway for other gateways, which exchange load over UDP and forward
        /// requests over TCP; all gateways use the same port.
        address: ConnectAddr = "address" Required,
        /// Addresses of some VMs of the fleet, which need not all be alive; only the IP address
        /// counts.
        seeds: Vec<ConnectAddr> = "seeds" Required,
        /// Whether the whole fleet starts for the first time, so that no gateway can have forgotten anything. Without it,
        /// gateways that start and hear no older one are careful for two minutes: a request under which one upstream
        /// crashes is refused.
        first_start: bool = "first-start" Value("no"),
    }
}

ini::section! {
    /// Access to the store of routes and upstreams.
    pub struct StoreSettings {
        /// Address of the store.
        address: ConnectAddr = "address" Required,
        /// Longest time for which one watch waits for a change; each one waits 0.8 of it or more.
        watch: TimeSpan = "watch" Value("24 s") ["100 ms" to "30 s"],
        /// Time limit for an answer, in addition to the time for which a watch waits.
        answer: TimeSpan = "answer" Value("1 s") ["50 ms" to "30 s"],
        /// Time after an outage of the store until entries that were lost during it are dropped.
        regain: TimeSpan = "regain" Value("2 s") ["0 s" to "1 min"],
    }
}

ini::section! {
    /// Limit on retries over the whole fleet.
    pub struct RetrySettings {
        /// Retries allowed for each request of a service.
        ratio: Ratio = "ratio" Value("0.2") ["0" to "1"],
        /// Retries of a service allowed in addition in each window.
        slack: Ratio = "slack" Value("50") ["0" to "100000"],
        /// Length of the window.
        window: TimeSpan = "window" Value("10 s") ["1 s" to "5 min"],
    }
}

ini::section! {
    /// Stage orders to engines.
    pub struct OrderSettings {
        /// Whether engines are moved between prefill and decode according to the load; requires
        /// engines that refuse an order with an old fencing number.
        balance: bool = "balance" Value("no"),
        /// Minimum time between orders of two gateways, and after a change among the gateways.
        lease: TimeSpan = "lease" Value("3 s") ["100 ms" to "1 min"],
    }
}

ini::section! {
    /// What is learned of upstreams.
    pub struct UpstreamSettings {
        /// Whether requests are placed by how long work takes at each upstream, as observed by all gateways and
        /// stated by the upstreams, instead of by load alone.
        speeds: bool = "speeds" Value("no"),
    }
}

ini::section! {
    /// Resources that the process may use.
    pub struct Resources {
        /// Maximum number of connections from callers.
        connections: Count = "connections" Value("3000") ["10" to "1000000"],
        /// Maximum memory for request bodies, and for answers that callers have not taken yet. If it is absent, it
        /// follows from `memory`, and is 32 MB without that.
        bodies: Option<Bytes> = "bodies" Absent ["1 MB" to "64 GB"],
        /// Bandwidth of the network link in Mbit/s. Digests to other gateways fill a part of it.
        link: Ratio = "link" Value("1000") ["0.1" to "1000000"],
        /// Memory of the machine for this process. It bounds bodies, unread answers and connections of callers. If it
        /// is absent, that of the machine counts if it is below 1 GB.
        memory: Option<Bytes> = "memory" Absent ["32 MB" to "1024 GB"],
        /// Descriptors of the process, 200 of them for files. They bound connections of callers.
        descriptors: Option<Count> = "descriptors" Absent ["256" to "10000000"],
    }
}

ini::section! {
    /// Second copies of requests that take longer than usual. Only requests that may run more than once are copied.
    pub struct CopySettings {
        /// Copies allowed for each request of a service; 0 turns them off.
        share: Ratio = "share" Value("0") ["0" to "0.5"],
    }
}

ini::section! {
    /// Log output.
    pub struct LogSettings {
        /// Least severe level that is written.
        level: LogLevel = "level" Value("info"),
        /// Maximum number of lines per second; further lines are counted by event.
        rate: Count = "rate" Value("200") ["1" to "1000000"],
    }
}

/// The settings of a gateway.
///
/// # Example
///
/// ```
/// use cumindoor::gateway::Settings;
///
/// let text = "[gateway]\nname = vm-1\ndata-centre = suape\n\n[listen]\n\
///             callers = 10.0.0.1:8080\nready = 10.0.0.1:8081\n\n[fleet]\n\
///             address = 10.0.0.1:7000\nseeds = 10.0.0.2:1\n\n[store]\naddress = 10.0.0.9:7100\n";
/// let settings = Settings::parse("vm-1.ini", text).unwrap();
/// assert_eq!(settings.repeats.ratio.0, 0.2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `[gateway]`
    pub gateway: IdentitySettings,
    /// `[listen]`
    pub listen: Listeners,
    /// `[fleet]`
    pub fleet: Fleet,
    /// `[store]`
    pub store: StoreSettings,
    /// `[repeats]`
    pub repeats: RetrySettings,
    /// `[orders]`
    pub orders: OrderSettings,
    /// `[resources]`
    pub resources: Resources,
    /// `[lines]`
    pub lines: LogSettings,
    /// `[upstreams]`
    pub upstreams: UpstreamSettings,
    /// `[copies]`
    pub copies: CopySettings,
}

/// The sections of a gateway's settings and the keys of each.
pub const SECTIONS: &[(&str, &[KeySpec])] = &[
    ("gateway", <IdentitySettings as ini::TypedSection>::KEYS),
    ("listen", <Listeners as ini::TypedSection>::KEYS),
    ("fleet", <Fleet as ini::TypedSection>::KEYS),
    ("store", <StoreSettings as ini::TypedSection>::KEYS),
    ("repeats", <RetrySettings as ini::TypedSection>::KEYS),
    ("orders", <OrderSettings as ini::TypedSection>::KEYS),
    ("resources", <Resources as ini::TypedSection>::KEYS),
    ("lines", <LogSettings as ini::TypedSection>::KEYS),
    ("upstreams", <UpstreamSettings as ini::TypedSection>::KEYS),
    ("copies", <CopySettings as ini::TypedSection>::KEYS),
];

impl Settings {
    /// Parses the settings of a gateway.
    ///
    /// # Errors
    ///
    /// Returns all findings, in the order of their lines.
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
            found.cloned().unwrap_or_else(|| Section::new(1, title))
        };
        // All sections are read before the first faulty one ends the function, so that every
        // finding is reported.
        let gateway = find("gateway").read(findings);
        let listen = find("listen").read(findings);
        let fleet = find("fleet").read(findings);
        let store = find("store").read(findings);
        let repeats = find("repeats").read(findings);
        let orders = find("orders").read(findings);
        let resources = find("resources").read(findings);
        let lines = find("lines").read(findings);
        let upstreams = find("upstreams").read(findings);
        let copies = find("copies").read(findings);
        Some(Self {
            gateway: gateway?,
            listen: listen?,
            fleet: fleet?,
            store: store?,
            repeats: repeats?,
            orders: orders?,
            resources: resources?,
            lines: lines?,
            upstreams: upstreams?,
            copies: copies?,
        })
    }

    /// Returns how long a planned stop may take, with a margin before the process is killed.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        /// Share of the grace period that is left for last writes and the end of the process.
        const MARGIN: f64 = 0.05;
        self.gateway.grace.0.mul_f64(1.0 - MARGIN)
    }
}

impl fmt::Display for Settings {
    /// Writes the settings as a file that states every value, including defaults.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        write_section(&mut text, "gateway", &self.gateway);
        write_section(&mut text, "listen", &self.listen);
        write_section(&mut text, "fleet", &self.fleet);
        write_section(&mut text, "store", &self.store);
        write_section(&mut text, "repeats", &self.repeats);
        write_section(&mut text, "orders", &self.orders);
        write_section(&mut text, "resources", &self.resources);
        write_section(&mut text, "lines", &self.lines);
        write_section(&mut text, "upstreams", &self.upstreams);
        write_section(&mut text, "copies", &self.copies);
        f.write_str(&text)
    }
}
