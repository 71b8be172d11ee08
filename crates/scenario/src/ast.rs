//! The syntax tree of a scenario.

use std::time::Duration;

/// The syntax of every statement, as error messages and `docs/scenarios.md` show it.
pub const STATEMENTS: &[(&str, &str)] = &[
    ("requirement", "requirement ID"),
    ("seed", "seed NUMBER"),
    ("zones", "zones NAME..."),
    ("vms", "vms NUMBER"),
    ("retention", "retention TIME"),
    (
        "service",
        "service NAME interactive|patient prefill NUMBER decode NUMBER slots NUMBER [step TIME] [once]",
    ),
    ("plain", "plain NAME upstreams NUMBER takes TIME [once]"),
    ("document", "document NAME \"TEXT\""),
    ("at", "at TIME ACTION"),
    ("expect", "expect OUTCOME"),
    (
        "send",
        "send NAME to VM service NAME [prompt NUMBER] [tokens NUMBER] [key NAME] [poison]",
    ),
    ("cancel", "cancel NAME"),
    ("resend", "resend NAME to VM as NAME"),
    ("silence", "silence NAME"),
    ("kill", "kill NAME"),
    ("start", "start NAME"),
    ("pause", "pause NAME"),
    ("wake", "wake NAME"),
    ("stop", "stop VM"),
    ("partition", "partition NAME... | NAME..."),
    ("heal", "heal"),
    (
        "network",
        "network loss NUMBER% late NUMBER% double NUMBER%",
    ),
    ("delay", "delay NAME TIME"),
    ("lose-cancels", "lose-cancels NAME NUMBER"),
    ("repeat-tokens", "repeat-tokens NAME"),
    ("skip-token", "skip-token NAME"),
    ("events", "events well|late|lost"),
    ("configuration", "configuration well|down|stale"),
    ("publish", "publish NAME \"TEXT\""),
    ("delete", "delete NAME"),
    ("leave", "leave NAME"),
    ("return", "return NAME"),
    ("list-lag", "list-lag VM TIME"),
    ("unlist", "unlist VM"),
    ("stall", "stall NAME"),
    ("unstall", "unstall NAME"),
];

/// The syntax of every outcome that `expect` accepts, keyed by the word that identifies it.
pub const OUTCOMES: &[(&str, &str)] = &[
    ("answered", "expect NAME answered"),
    ("refused", "expect NAME refused not-run|unknown"),
    ("closed", "expect NAME closed"),
    ("ended", "expect NAME ended"),
    ("runs", "expect NAME runs at most NUMBER"),
    ("held", "expect held zero by TIME"),
    ("revision", "expect revision NUMBER of NAME by TIME"),
    ("no-work", "expect no-work on NAME after TIME"),
    ("exited", "expect exited VM by TIME"),
];

/// The kind of a service, with the size and speed of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model service with a prefill pool and a decode pool.
    Model {
        /// Whether its requests may wait in the queue for a long time.
        patient: bool,
        /// The number of prefill engines.
        prefill: u32,
        /// The number of decode engines.
        decode: u32,
        /// The number of decodes that an engine runs at once.
        slots: u32,
        /// The time between two tokens of a stream.
        step: Duration,
    },
    /// A plain service, whose calls run on one upstream each.
    Plain {
        /// The number of upstreams.
        upstreams: u32,
        /// The time from the start of a call to its answer.
        call_time: Duration,
    },
}

/// The definition of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDef {
    /// The name of the service; its upstreams are called `NAME-1`, `NAME-2` and so on.
    pub name: String,
    /// Whether it is a model service or a plain one.
    pub kind: ServiceKind,
    /// Whether each of its requests may run at most once.
    pub once: bool,
}

/// A request as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// The name by which the scenario refers to the request.
    pub name: String,
    /// The VM that the caller connects to.
    pub vm: String,
    /// The name of the service that is called.
    pub service: String,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Output length in tokens.
    pub tokens: u32,
    /// The idempotency key, if the caller sends one.
    pub key: Option<String>,
    /// Whether the request crashes every engine that runs it.
    pub poison: bool,
}

/// How the configuration service responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigServiceMode {
    /// It returns the newest revision.
    Well,
    /// It refuses connections.
    Down,
    /// It returns the revision of the moment at which the fault was injected.
    Stale,
}

/// How the cache events of engines are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventMode {
    /// They arrive after the usual delay.
    Well,
    /// They arrive two seconds late.
    Late,
    /// They are dropped.
    Lost,
}

/// An action of an `at` statement.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    missing_docs,
    reason = "each variant is a statement of `docs/scenarios.md`"
)]
pub enum Action {
    Send(RequestSpec),
    Cancel(String),
    Resend(String, String, String),
    Silence(String),
    Kill(String),
    Start(String),
    Pause(String),
    Wake(String),
    Stop(String),
    Partition(Vec<String>, Vec<String>),
    Heal,
    Network {
        loss_percent: u32,
        late_percent: u32,
        double_percent: u32,
    },
    Delay(String, Duration),
    LoseCancels(String, u32),
    RepeatTokens(String),
    SkipToken(String),
    Events(CacheEventMode),
    Configuration(ConfigServiceMode),
    Publish(String, String),
    Delete(String),
    Leave(String),
    Return(String),
    ListLag(String, Duration),
    Unlist(String),
    Stall(String),
    Unstall(String),
}

/// An expected outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    missing_docs,
    reason = "each variant is an outcome of `docs/scenarios.md`"
)]
pub enum Expectation {
    Answered(String),
    Refused {
        name: String,
        not_run: bool,
    },
    Closed(String),
    Ended(String),
    Runs {
        name: String,
        max_runs: u32,
    },
    HeldZero(Duration),
    Revision {
        number: usize,
        name: String,
        by: Duration,
    },
    NoWork {
        on: String,
        after: Duration,
    },
    Exited {
        vm: String,
        by: Duration,
    },
}

/// A statement with its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The line in the file, from 1.
    pub line: usize,
    /// The parsed statement.
    pub item: T,
}

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The file name that diagnostics show.
    pub file: String,
    /// The ids of the requirements that the scenario tests, such as `H1`.
    pub requirements: Vec<String>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The names of the data centres; VMs are assigned to them in turn.
    pub zones: Vec<String>,
    /// The number of VMs, which are called `vm-1`, `vm-2` and so on.
    pub vms: usize,
    /// How long claims of idempotency keys are retained.
    pub retention: Duration,
    /// The services that the fleet provides.
    pub services: Vec<ServiceDef>,
    /// The names and texts of the documents that exist before the first VM boots.
    pub documents: Vec<(String, String)>,
    /// The actions with their times since the start of the scenario, in file order.
    pub actions: Vec<Located<(Duration, Action)>>,
    /// The expected outcomes, in file order.
    pub expectations: Vec<Located<Expectation>>,
}
