//! Expected results of a replay, read from an INI file.

use std::fmt;

use crate::ini::{
    self, Count, Finding, Findings, KeySpec, Section, Setting, TimeSpan, TypedSection, quote,
};

use super::report::Row;

/// A fraction from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

impl Setting for Share {
    const VALUE_FORMAT: &'static str = "a share from 0 to 1 such as `0.95`";

    fn parse(text: &str) -> Result<Self, String> {
        let plain = text.chars().all(|c| c.is_ascii_digit() || c == '.');
        let share = text
            .parse()
            .ok()
            .filter(|s| plain && (0.0..=1.0).contains(s));
        share
            .map(Self)
            .ok_or_else(|| format!("expected {}", Self::VALUE_FORMAT))
    }

    fn to_text(&self) -> String {
        self.0.to_string()
    }
}

ini::section! {
    /// Expected results of the whole run.
    pub struct Run {
        /// Minimum share of the arrivals that meet both latency targets.
        goodput_share: Option<Share> = "goodput-share" Absent,
        /// Maximum share of the computed prompt tokens whose result is never used.
        wasted_prefill_share: Option<Share> = "wasted-prefill-share" Absent,
        /// Minimum number of complete answers.
        answered: Option<Count> = "answered" Absent,
        /// Maximum number of requests without an answer or a refusal.
        lost: Count = "lost" Value("0"),
    }
}

ini::section! {
    /// Maximum number of refusals for each reason.
    pub struct Refused {
        /// Maximum number of refusals because the deadline cannot be met.
        deadline: Option<Count> = "deadline" Absent,
        /// Maximum number of refusals because the queue is full.
        queue_full: Option<Count> = "queue-full" Absent,
        /// Maximum number of refusals because no upstream is available.
        no_upstream: Option<Count> = "no-upstream" Absent,
        /// Maximum number of refusals because the retry budget is spent.
        retry_budget: Option<Count> = "retry-budget" Absent,
        /// Maximum number of refusals because upstreams failed while they ran the request.
        poison: Option<Count> = "poison" Absent,
        /// Maximum number of refusals because the outcome of the request is unknown.
        unknown: Option<Count> = "unknown" Absent,
    }
}

ini::section! {
    /// Expected results of one service.
    pub struct Service {
        /// Minimum share of the service's arrivals that meet both latency targets.
        goodput_share: Option<Share> = "goodput-share" Absent,
        /// Maximum of the 95th percentile of the time to first token.
        ttft_p95: Option<TimeSpan> = "ttft-p95" Absent,
    }
}

/// The sections of an expectations file with their keys, from which the reference is generated.
pub const SECTIONS: &[(&str, &[KeySpec])] = &[
    ("run", Run::KEYS),
    ("refused", Refused::KEYS),
    ("`[service NAME]`", Service::KEYS),
];

/// The values of one section.
enum SectionValues {
    Run(Run),
    Refused(Refused),
    Service(String, Service),
}

/// A parsed expectations file.
pub struct Expectations {
    file: String,
    entries: Vec<(Section, SectionValues)>,
}

impl Expectations {
    /// Parses a file. If `services` is given, it lists the services of the trace, and sections of
    /// other services are reported.
    pub fn parse(
        file: &str,
        text: &str,
        services: Option<&[String]>,
    ) -> Result<Self, Vec<Finding>> {
        let mut findings = Findings::new(file);
        let sections = ini::parse_sections(text, &mut findings);
        ini::check_duplicate_titles(&sections, &mut findings);
        if sections.is_empty() && findings.is_empty() {
            findings.add(
                1,
                "the file has no sections; expected [run], [refused] or [service NAME]",
            );
        }
        let mut entries = Vec::new();
        for section in sections {
            if let Some(values) = read_section(&section, services, &mut findings) {
                entries.push((section, values));
            }
        }
        if findings.is_empty() {
            return Ok(Self {
                file: file.into(),
                entries,
            });
        }
        Err(findings.into_list())
    }

    /// Returns the differences between the expected and the measured results.
    pub fn differences(&self, row: &Row) -> Vec<Finding> {
        let mut findings = Findings::new(&self.file);
        let mut lost_checked = false;
        for (section, values) in &self.entries {
            let mut comparison = Comparison {
                section,
                findings: &mut findings,
            };
            match values {
                SectionValues::Run(run) => {
                    lost_checked = true;
                    comparison.run(run, row);
                }
                SectionValues::Refused(refused) => comparison.refused(refused, row),
                SectionValues::Service(name, service) => comparison.service(name, service, row),
            }
        }
        if !lost_checked && row.lost > 0 {
            findings.add(1, format!("expected lost at most 0, got {}", row.lost));
        }
        findings.into_list()
    }
}

fn read_section(
    section: &Section,
    services: Option<&[String]>,
    findings: &mut Findings,
) -> Option<SectionValues> {
    match (section.kind(), section.name()) {
        ("run", "") => section.read(findings).map(SectionValues::Run),
        ("refused", "") => section.read(findings).map(SectionValues::Refused),
        ("service", name) => {
            if let Some(services) = services.filter(|s| !s.iter().any(|s| s == name)) {
                let names = services.join(", ");
                let text = format!("the trace has no service {}; it has {names}", quote(name));
                findings.add(section.line, text);
            }
            let values = section.read(findings)?;
            Some(SectionValues::Service(name.into(), values))
        }
        _ => {
            let title = quote(&section.title);
            let text = format!("unknown section {title}; expected run, refused or service NAME");
            findings.add(section.line, text);
            None
        }
    }
}

/// Compares the values of one section with the measured results.
struct Comparison<'a> {
    section: &'a Section,
    findings: &'a mut Findings,
}

impl Comparison<'_> {
    fn at_least<T: PartialOrd + fmt::Display>(&mut self, key: &str, bound: Option<T>, got: &T) {
        if let Some(bound) = bound.filter(|bound| got < bound) {
            self.add(key, &format!("at least {bound}, got {got}"));
        }
    }

    fn at_most<T: PartialOrd + fmt::Display>(&mut self, key: &str, bound: Option<T>, got: &T) {
        if let Some(bound) = bound.filter(|bound| got > bound) {
            self.add(key, &format!("at most {bound}, got {got}"));
        }
    }

    fn add(&mut self, key: &str, text: &str) {
        let line = self.section.line_of(key);
        self.findings.add(line, format!("expected {key} {text}"));
    }

    fn run(&mut self, run: &Run, row: &Row) {
        let share = |s: Option<Share>| s.map(|s| s.0);
        let count = |c: Count| u64::from(c.0);
        self.at_least(
            "goodput-share",
            share(run.goodput_share),
            &row.goodput_share,
        );
        let wasted = share(run.wasted_prefill_share);
        self.at_most("wasted-prefill-share", wasted, &row.wasted_prefill_share);
        self.at_least("answered", run.answered.map(count), &row.answered);
        self.at_most("lost", Some(count(run.lost)), &row.lost);
    }

    fn refused(&mut self, refused: &Refused, row: &Row) {
        for (key, reason, bound) in [
            ("deadline", "Deadline", refused.deadline),
            ("queue-full", "QueueFull", refused.queue_full),
            ("no-upstream", "NoUpstream", refused.no_upstream),
            ("retry-budget", "RetryBudget", refused.retry_budget),
            ("poison", "Poison", refused.poison),
            ("unknown", "Unknown", refused.unknown),
        ] {
            let got = row.refused.get(reason).copied().unwrap_or(0);
            self.at_most(key, bound.map(|c| u64::from(c.0)), &got);
        }
    }

    /// Compares each class of the service separately, so that a good result in one class does not
    /// mask a bad one in another.
    fn service(&mut self, name: &str, service: &Service, row: &Row) {
        let rows: Vec<_> = row.services.iter().filter(|s| *s.name == *name).collect();
        if rows.is_empty() {
            let text = format!("expected measured requests to {name}, got none");
            self.findings.add(self.section.line, text);
        }
        for got in rows {
            let share = service.goodput_share.map(|s| s.0);
            self.at_least("goodput-share", share, &got.goodput_share);
            let bound = service.ttft_p95.map(|t| t.0.as_secs_f64() * 1_000.0);
            if let Some(bound) = bound.filter(|bound| got.ttft_ms.p95 > *bound) {
                let text = format!("at most {bound} ms, got {} ms", got.ttft_ms.p95);
                self.add("ttft-p95", &text);
            }
        }
    }
}

#[cfg(test)]
mod tests;
