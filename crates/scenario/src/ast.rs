//! The statements of a scenario.

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

/// The syntax of every outcome that `expect` takes, by its last distinguishing word.
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

/// What a service is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines in two pools.
    Model {
        /// Whether its work may wait.
        patient: bool,
        /// Prefill engines.
        prefill: u32,
        /// Decode engines.
        decode: u32,
        /// Decode requests that fit into an engine.
        slots: u32,
        /// The time between two tokens.
        step: Duration,
    },
    /// Plain calls.
    Plain {
        /// Upstreams.
        upstreams: u32,
        /// The time that a call takes.
        call_time: Duration,
    },
}

/// A service of the scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceDef {
    /// Its name; its upstreams are called `NAME-1`, `NAME-2` and so on.
    pub name: String,
    /// What it is.
    pub kind: ServiceKind,
    /// Whether its requests run at most once.
    pub once: bool,
}

/// A request as its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// The name of the request.
    pub name: String,
    /// The VM that the caller reaches.
    pub vm: String,
    /// The service.
    pub service: String,
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Output length in tokens.
    pub tokens: u32,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether every engine that runs it dies.
    pub poison: bool,
}

/// The state of the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigServiceMode {
    /// It answers with the newest revision.
    Well,
    /// It does not answer.
    Down,
    /// It answers as of the moment of the fault.
    Stale,
}

/// The state of the engines' cache events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventMode {
    /// They arrive.
    Well,
    /// They arrive two seconds late.
    Late,
    /// They do not arrive.
    Lost,
}

/// What happens at an instant.
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

/// What has to be true.
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

/// A statement with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The line, from 1.
    pub line: usize,
    /// The statement.
    pub item: T,
}

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The file, for messages.
    pub file: String,
    /// Ids of the requirements that it covers.
    pub requirements: Vec<String>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The data centres.
    pub zones: Vec<String>,
    /// The number of VMs, called `vm-1`, `vm-2` and so on.
    pub vms: usize,
    /// How long claims are kept.
    pub retention: Duration,
    /// The services.
    pub services: Vec<ServiceDef>,
    /// The documents that exist before the first VM boots.
    pub documents: Vec<(String, String)>,
    /// What happens, in the order of the file.
    pub actions: Vec<Located<(Duration, Action)>>,
    /// What has to be true.
    pub expectations: Vec<Located<Expectation>>,
}
