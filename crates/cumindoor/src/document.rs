//! The document of one organisation: its services, limits and targets.

mod checks;
mod paths;
mod specs;

use std::collections::BTreeMap;
use std::fmt;

use coord::name::{Organisation, Service};

use crate::ini::{
    self, ByteRate, Bytes, Count, Finding, Findings, KeySpec, Keys, ModelName, PathPrefix,
    RequestRate, Section, Span, TokenRate, Tokens, write_section,
};

ini::choice! {
    /// How the upstreams of a service are called.
    pub enum Kind ("`model` or `plain`") {
        /// Model engines: prefill and decode.
        Model = "model",
        /// Plain HTTP servers: calls are passed through.
        Plain = "plain",
    }
}

ini::choice! {
    /// How a service's requests are ordered against others.
    pub enum Class ("`interactive` or `patient`") {
        /// A person waits for the first token.
        Interactive = "interactive",
        /// The work may wait until its deadline but must not be lost.
        Patient = "patient",
    }
}

ini::choice! {
    /// What engines do with fencing numbers of orders.
    pub enum Fencing ("`honoured` or `ignored`") {
        /// An order with an old number is refused.
        Honoured = "honoured",
        /// Every order is carried out.
        Ignored = "ignored",
    }
}

ini::section! {
    /// The owner of the document.
    pub struct OrganisationKeys {
        /// Name of the organisation; the document is published under the same name.
        name: Organisation = "name" Required,
        /// Requests of the organisation over all VMs and services.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Prompt and output tokens of the organisation over all VMs and services.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

ini::section! {
    /// A service of model engines.
    pub struct ModelService {
        /// How the upstreams are called.
        kind: Kind = "kind" Required,
        /// Group of upstreams that run it: a section `[upstreams NAME]`, and the `service` of the upstreams in the published list.
        upstreams: Service = "upstreams" Required,
        /// Weights, adapter or version that its engines have to load.
        model: ModelName = "model" Required,
        /// Who waits: `interactive` requests are ordered by `ttft-target`, `patient` ones by `deadline`.
        class: Class = "class" Value("interactive"),
        /// Wanted time to the first token; not above `deadline`.
        ttft_target: Span = "ttft-target" Value("1500 ms") ["1 ms" to "24 h"],
        /// Wanted time between two tokens; not below the engines' `step`.
        itl_target: Span = "itl-target" Value("26 ms") ["100 us" to "1 min"],
        /// Longest time that one request may take in all; not above any VM's `request-limit`.
        deadline: Span = "deadline" Value("2 min") ["10 ms" to "24 h"],
        /// Whether a request must run at most once: it is not retried or resumed after its dispatch.
        once: bool = "once" Value("no"),
        /// Whether a once-only request without an `Idempotency-Key` is refused: nothing else stops its repetition.
        require_key: bool = "require-key" Value("yes"),
        /// Longest prompt.
        max_prompt: Tokens = "max-prompt" Value("32000 tokens") ["1 tokens" to "4000000 tokens"],
        /// Longest output; requests may ask for less.
        max_output: Tokens = "max-output" Value("4096 tokens") ["1 tokens" to "1000000 tokens"],
        /// Open requests on one VM for each calling organisation.
        open_limit: Count = "open-limit" Value("1000") ["1" to "1000000"],
        /// Requests of all callers together over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Prompt and output tokens of all callers together over all VMs.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

ini::section! {
    /// A service of plain HTTP servers.
    pub struct PlainService {
        /// How the upstreams are called.
        kind: Kind = "kind" Required,
        /// Group of upstreams that run it: the `service` of the upstreams in the published list.
        upstreams: Service = "upstreams" Required,
        /// Longest time that one call may take in all; not above any VM's `request-limit`.
        deadline: Span = "deadline" Value("30 s") ["10 ms" to "24 h"],
        /// Whether every call must run at most once.
        once: bool = "once" Value("no"),
        /// Paths below the service's own whose calls must run at most once; only with `once = no`.
        once_paths: Vec<PathPrefix> = "once-paths" Value(""),
        /// Whether a once-only call without an `Idempotency-Key` is refused: nothing else stops its repetition.
        require_key: bool = "require-key" Value("yes"),
        /// Open calls on one VM for each calling organisation.
        open_limit: Count = "open-limit" Value("1000") ["1" to "1000000"],
        /// Calls of all callers together over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
    }
}

ini::section! {
    /// A group of model engines.
    pub struct Upstreams {
        /// What the engines do with an order that has an old fencing number.
        fencing: Fencing = "fencing" Value("ignored"),
        /// Decode requests that fit into one engine's memory at once.
        slots: Count = "slots" Value("20") ["1" to "10000"],
        /// Usual duration of one decode step.
        step: Span = "step" Value("4 ms") ["10 us" to "10 s"],
        /// Prompt tokens that one engine computes in one second.
        prefill_rate: TokenRate = "prefill-rate" Value("10000 tokens/s") ["1 tokens/s" to "100000000 tokens/s"],
        /// How long a prefill's result is kept for its import.
        prefill_ttl: Span = "prefill-ttl" Value("800 ms") ["1 ms" to "1 h"],
        /// KV cache of one token.
        token_bytes: Bytes = "token-bytes" Value("70 KB") ["1 B" to "100 MB"],
        /// Tokens in one block of the prefix cache.
        block: Tokens = "block" Value("1000 tokens") ["1 tokens" to "1000000 tokens"],
        /// Rate of one engine's link for KV cache.
        link_rate: ByteRate = "link-rate" Value("2 GB/s") ["1 KB/s" to "10000 GB/s"],
        /// Requests that wait for one cell of engines; more are refused.
        queue_limit: Count = "queue-limit" Value("1000") ["1" to "1000000"],
    }
}

ini::section! {
    /// Another organisation that may call services of this document.
    pub struct Caller {
        /// Services of this document that it may call.
        services: Vec<Service> = "services" Required,
        /// Requests of that organisation to these services over all VMs.
        request_rate: Option<RequestRate> = "request-rate" Absent ["1 requests/s" to "1000000 requests/s"],
        /// Prompt and output tokens of that organisation over all VMs.
        token_rate: Option<TokenRate> = "token-rate" Absent ["1 tokens/s" to "1000000000 tokens/s"],
    }
}

/// A service of either kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKeys {
    /// Model engines.
    Model(ModelService),
    /// Plain HTTP servers.
    Plain(PlainService),
}

impl ServiceKeys {
    /// Returns the group of upstreams that run the service.
    #[must_use]
    pub fn upstreams(&self) -> &Service {
        match self {
            Self::Model(service) => &service.upstreams,
            Self::Plain(service) => &service.upstreams,
        }
    }

    /// Returns the longest time that one request may take in all.
    #[must_use]
    pub fn deadline(&self) -> Span {
        match self {
            Self::Model(service) => service.deadline,
            Self::Plain(service) => service.deadline,
        }
    }

    /// Returns whether a request to `path`, which starts after the service's name, must run at
    /// most once.
    #[must_use]
    pub fn is_once(&self, path: &str) -> bool {
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
/// assert!(service.is_once("/credit/55819"));
/// assert!(!service.is_once("/balance"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// `[organisation]`
    pub organisation: OrganisationKeys,
    /// `[service …]`
    pub services: BTreeMap<Service, ServiceKeys>,
    /// `[upstreams …]`
    pub upstreams: BTreeMap<Service, Upstreams>,
    /// `[caller …]`
    pub callers: BTreeMap<Organisation, Caller>,
}

/// The sections of a document, as the page names them, and their keys.
pub const SECTIONS: &[(&str, &[KeySpec])] = &[
    ("`[organisation]`", OrganisationKeys::KEYS),
    ("`[service NAME]` with `kind = model`", ModelService::KEYS),
    ("`[service NAME]` with `kind = plain`", PlainService::KEYS),
    ("`[upstreams NAME]`", Upstreams::KEYS),
    ("`[caller NAME]`", Caller::KEYS),
];

impl Document {
    /// Reads the document of one organisation.
    ///
    /// # Errors
    ///
    /// Returns all findings, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        let mut findings = Findings::new(file);
        let sections = ini::sections(text, &mut findings);
        let document = Self::read(&sections, &mut findings);
        match document {
            Some(document) if findings.is_empty() => Ok(document),
            _ => Err(findings.into_list()),
        }
    }

    pub(crate) fn read(sections: &[Section], findings: &mut Findings) -> Option<Self> {
        checks::titles(sections, findings);
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
            // Only a document whose organisation was read is returned.
            organisation: organisation.clone().unwrap_or(OrganisationKeys {
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
            if let Some((name, keys)) = subject(section, findings).zip(keys) {
                document.upstreams.insert(name, keys);
            }
        }
        for section in of_kind("caller") {
            let keys = section.read(findings);
            if let Some((name, keys)) = subject(section, findings).zip(keys) {
                document.callers.insert(name, keys);
            }
        }
        checks::references(&document, sections, findings);
        checks::values(&document, sections, findings);
        organisation.map(|_| document)
    }

    fn read_service(&mut self, section: &Section, findings: &mut Findings) {
        let plain = section
            .entry("kind")
            .is_some_and(|entry| entry.value == "plain");
        let keys = if plain {
            section.read(findings).map(ServiceKeys::Plain)
        } else {
            section.read(findings).map(ServiceKeys::Model)
        };
        let name = subject(section, findings);
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

/// Reads the name in a section's title.
fn subject<T: ini::Setting>(section: &Section, findings: &mut Findings) -> Option<T> {
    match T::parse(section.subject()) {
        Ok(name) => Some(name),
        Err(problem) => {
            let title = ini::quote(&section.title);
            findings.add(section.line, format!("section {title}: {problem}"));
            None
        }
    }
}

impl fmt::Display for Document {
    /// Writes the document as a file that names every value, defaults included.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        write_section(&mut text, "organisation", &self.organisation);
        for (name, service) in &self.services {
            let title = format!("service {name}");
            match service {
                ServiceKeys::Model(keys) => write_section(&mut text, &title, keys),
                ServiceKeys::Plain(keys) => write_section(&mut text, &title, keys),
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
