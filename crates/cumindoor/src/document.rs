//! The document of one organisation: its services, their limits and latency targets, and their
//! upstreams.

mod checks;
mod paths;
mod specs;

use std::collections::BTreeMap;
use std::fmt;

use coord::name::{Organisation, Service};

use crate::ini::{
    self, ByteRate, Bytes, Count, Finding, Findings, KeySpec, ModelName, PathPrefix, RequestRate,
    Section, TimeSpan, TokenRate, Tokens, TypedSection, write_section,
};

ini::choice! {
    /// The kind of upstreams that serve a service.
    pub enum Kind ("`model` or `plain`") {
        /// Model engines, called for prefill and for decode.
        Model = "model",
        /// Plain HTTP servers, to which calls are proxied unchanged.
        Plain = "plain",
    }
}

ini::choice! {
    /// The scheduling class of the requests of a service.
    pub enum Class ("`interactive` or `patient`") {
        /// Requests of users who wait for the first token.
        Interactive = "interactive",
        /// Batch requests, which may be delayed up to their deadline but must not be dropped.
        Patient = "patient",
    }
}

ini::choice! {
    /// Whether engines check the fencing token of a request.
    pub enum Fencing ("`honoured` or `ignored`") {
        /// Engines refuse a request with an outdated fencing token.
        Honoured = "honoured",
        /// Engines execute every request.
        Ignored = "ignored",
    }
}

ini::section! {
    /// The organisation that owns the document.
    pub struct OrganisationSettings {
        /// Name of the organisation, under which its document is published.
        name: Organisation = "name" Required,
        /// Maximum rate of requests of the organisation over all VMs and services.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Maximum rate of prompt and output tokens of the organisation over all VMs and services.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

ini::section! {
    /// A service that runs on model engines.
    pub struct ModelService {
        /// Kind of the upstreams that serve it.
        kind: Kind = "kind" Required,
        /// Group of upstreams that serve it: the NAME of a section `[upstreams NAME]`, and the `service` of these upstreams in the published list.
        upstreams: Service = "upstreams" Required,
        /// Weights, adapter or version that its engines must have loaded.
        model: ModelName = "model" Required,
        /// Scheduling class: `interactive` requests are ordered by `ttft-target`, `patient` ones by `deadline`.
        class: Class = "class" Value("interactive"),
        /// Target for the time to the first token; not above `deadline`.
        ttft_target: TimeSpan = "ttft-target" Value("1500 ms") ["1 ms" to "24 h"],
        /// Target for the time between two tokens; not below the engines' `step`.
        itl_target: TimeSpan = "itl-target" Value("26 ms") ["100 us" to "1 min"],
        /// Maximum total duration of one request; not above any VM's `request-limit`.
        deadline: TimeSpan = "deadline" Value("2 min") ["10 ms" to "24 h"],
        /// Whether a request must run at most once: it is not retried or resumed after it was sent to an engine.
        once: bool = "once" Value("no"),
        /// Whether an at-most-once request without an `Idempotency-Key` is refused, as nothing else detects its repetition by the caller.
        require_key: bool = "require-key" Value("yes"),
        /// Maximum length of a prompt.
        max_prompt: Tokens = "max-prompt" Value("32000 tokens") ["1 tokens" to "4000000 tokens"],
        /// Maximum length of an output; a request may set a lower limit.
        max_output: Tokens = "max-output" Value("4096 tokens") ["1 tokens" to "1000000 tokens"],
        /// Maximum number of open requests on one VM from each calling organisation.
        open_limit: Count = "open-limit" Value("1000") ["1" to "1000000"],
        /// Maximum rate of requests of all callers together over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Maximum rate of prompt and output tokens of all callers together over all VMs.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

ini::section! {
    /// A service that runs on plain HTTP servers.
    pub struct PlainService {
        /// Kind of the upstreams that serve it.
        kind: Kind = "kind" Required,
        /// Group of upstreams that serve it: the `service` of these upstreams in the published list.
        upstreams: Service = "upstreams" Required,
        /// Maximum total duration of one call; not above any VM's `request-limit`.
        deadline: TimeSpan = "deadline" Value("30 s") ["10 ms" to "24 h"],
        /// Whether every call must run at most once.
        once: bool = "once" Value("no"),
        /// Path prefixes, relative to the service's path, whose calls must run at most once; only with `once = no`.
        once_paths: Vec<PathPrefix> = "once-paths" Value(""),
        /// Whether an at-most-once call without an `Idempotency-Key` is refused, as nothing else detects its repetition by the caller.
        require_key: bool = "require-key" Value("yes"),
        /// Maximum number of open calls on one VM from each calling organisation.
        open_limit: Count = "open-limit" Value("1000") ["1" to "1000000"],
        /// Maximum rate of calls of all callers together over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
    }
}

ini::section! {
    /// A group of model engines.
    pub struct Upstreams {
        /// Whether the engines refuse a request with an outdated fencing token.
        fencing: Fencing = "fencing" Value("ignored"),
        /// Maximum number of concurrent decode requests that fit into one engine's memory.
        slots: Count = "slots" Value("20") ["1" to "10000"],
        /// Typical duration of one decode step.
        step: TimeSpan = "step" Value("4 ms") ["10 us" to "10 s"],
        /// Prompt tokens that one engine prefills per second.
        prefill_rate: TokenRate = "prefill-rate" Value("10000 tokens/s") ["1 tokens/s" to "100000000 tokens/s"],
        /// How long a prefill engine keeps the KV cache of a finished prefill for the transfer to a decode engine.
        prefill_ttl: TimeSpan = "prefill-ttl" Value("800 ms") ["1 ms" to "1 h"],
        /// Size of the KV cache of one token.
        token_bytes: Bytes = "token-bytes" Value("70 KB") ["1 B" to "100 MB"],
        /// Number of tokens in one block of the prefix cache.
        block: Tokens = "block" Value("1000 tokens") ["1 tokens" to "1000000 tokens"],
        /// Bandwidth of one engine's link for KV cache transfers.
        link_rate: ByteRate = "link-rate" Value("2 GB/s") ["1 KB/s" to "10000 GB/s"],
        /// Maximum number of requests that wait in one cell, the scheduler of a group of engines; further ones are refused.
        queue_limit: Count = "queue-limit" Value("1000") ["1" to "1000000"],
    }
}

ini::section! {
    /// Another organisation that may call services of this document.
    pub struct Caller {
        /// Services of this document that it may call.
        services: Vec<Service> = "services" Required,
        /// Maximum rate of requests of that organisation to these services over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Maximum rate of prompt and output tokens of that organisation to these services over all VMs.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

/// The settings of a service of either kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceSettings {
    /// A service that runs on model engines.
    Model(ModelService),
    /// A service that runs on plain HTTP servers.
    Plain(PlainService),
}

impl ServiceSettings {
    /// Returns the group of upstreams that serve the service.
    #[must_use]
    pub fn upstreams(&self) -> &Service {
        match self {
            Self::Model(service) => &service.upstreams,
            Self::Plain(service) => &service.upstreams,
        }
    }

    /// Returns the maximum total duration of one request.
    #[must_use]
    pub fn deadline(&self) -> TimeSpan {
        match self {
            Self::Model(service) => service.deadline,
            Self::Plain(service) => service.deadline,
        }
    }

    /// Returns whether a request to `path`, which is relative to the service's path, must run at
    /// most once.
    #[must_use]
    pub fn is_at_most_once(&self, path: &str) -> bool {
        match self {
            Self::Model(service) => service.once,
            Self::Plain(service) => {
                service.once || service.once_paths.iter().any(|once| once.covers(path))
            }
        }
    }
}

/// The document of one organisation.
///
/// # Example
///
/// ```
/// use cumindoor::document::Document;
///
/// let text = "[organisation]\nname = celeste\n\n[service top-up]\nkind = plain\n\
///             upstreams = top-up\nonce-paths = /credit\n";
/// let document = Document::parse("celeste.ini", text).unwrap();
/// let service = &document.services[&"top-up".into()];
/// assert!(service.is_at_most_once("/credit/55819"));
/// assert!(!service.is_at_most_once("/balance"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// `[organisation]`
    pub organisation: OrganisationSettings,
    /// `[service …]`
    pub services: BTreeMap<Service, ServiceSettings>,
    /// `[upstreams …]`
    pub upstreams: BTreeMap<Service, Upstreams>,
    /// `[caller …]`
    pub callers: BTreeMap<Organisation, Caller>,
}

/// The sections of a document, under their headings in the documentation, and their keys.
pub const SECTIONS: &[(&str, &[KeySpec])] = &[
    ("`[organisation]`", OrganisationSettings::KEYS),
    ("`[service NAME]` with `kind = model`", ModelService::KEYS),
    ("`[service NAME]` with `kind = plain`", PlainService::KEYS),
    ("`[upstreams NAME]`", Upstreams::KEYS),
    ("`[caller NAME]`", Caller::KEYS),
];

impl Document {
    /// Parses the document of one organisation.
    ///
    /// # Errors
    ///
    /// Returns all findings, ordered by line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut findings = Findings::new(file);
        let sections = ini::parse_sections(text, &mut findings);
        let document = Self::read(&sections, &mut findings);
        match document {
            Some(document) if findings.is_empty() => Ok(document),
            _ => Err(findings.into_list()),
        }
    }

    pub(crate) fn read(sections: &[Section], findings: &mut Findings) -> Option<Self> {
        checks::check_titles(sections, findings);
        let of_kind = |kind: &'static str| {
            sections
                .iter()
                .filter(move |section| section.kind() == kind)
        };
        let owner = of_kind("organisation").next();
        let organisation = if let Some(section) = owner {
            section.read(findings)
        } else {
            findings.add(1, "the document has no section [organisation]");
            None
        };
        let mut document = Self {
            // The placeholder is never returned: the last line requires a parsed organisation.
            organisation: organisation.clone().unwrap_or(OrganisationSettings {
                name: "".into(),
                request_rate: None,
                token_rate: None,
            }),
            services: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            callers: BTreeMap::new(),
        };
        for section in of_kind("service") {
            document.read_service(section, findings);
        }
        for section in of_kind("upstreams") {
            let keys = section.read(findings);
            if let Some((name, keys)) = parse_name(section, findings).zip(keys) {
                document.upstreams.insert(name, keys);
            }
        }
        for section in of_kind("caller") {
            let keys = section.read(findings);
            if let Some((name, keys)) = parse_name(section, findings).zip(keys) {
                document.callers.insert(name, keys);
            }
        }
        checks::check_references(&document, sections, findings);
        checks::check_values(&document, sections, findings);
        organisation.map(|_| document)
    }

    fn read_service(&mut self, section: &Section, findings: &mut Findings) {
        let plain = section
            .entry("kind")
            .is_some_and(|entry| entry.value == "plain");
        let keys = if plain {
            section.read(findings).map(ServiceSettings::Plain)
        } else {
            section.read(findings).map(ServiceSettings::Model)
        };
        let name = parse_name(section, findings);
        if let Some((name, keys)) = name.zip(keys) {
            self.services.insert(name, keys);
        }
    }

    /// Returns whether `organisation` may call `service` of this document.
    #[must_use]
    pub fn allows(&self, organisation: &Organisation, service: &Service) -> bool {
        if !self.services.contains_key(service) {
            return false;
        }
        let listed = |caller: &Caller| caller.services.contains(service);
        *organisation == self.organisation.name
            || self.callers.get(organisation).is_some_and(listed)
    }
}

/// Parses the name in the title of a section.
fn parse_name<T: ini::Setting>(section: &Section, findings: &mut Findings) -> Option<T> {
    match T::parse(section.name()) {
        Ok(name) => Some(name),
        Err(problem) => {
            let title = ini::quote(&section.title);
            findings.add(section.line, format!("section {title}: {problem}"));
            None
        }
    }
}

impl fmt::Display for Document {
    /// Formats the document in INI format with every effective value, including defaults.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        write_section(&mut text, "organisation", &self.organisation);
        for (name, service) in &self.services {
            let title = format!("service {name}");
            match service {
                ServiceSettings::Model(keys) => write_section(&mut text, &title, keys),
                ServiceSettings::Plain(keys) => write_section(&mut text, &title, keys),
            }
        }
        for (name, keys) in &self.upstreams {
            write_section(&mut text, &format!("upstreams {name}"), keys);
        }
        for (name, keys) in &self.callers {
            write_section(&mut text, &format!("caller {name}"), keys);
        }
        f.write_str(&text)
    }
}
