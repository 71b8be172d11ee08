//! Checks over several keys and sections of one document.

use std::collections::BTreeSet;

use coord::name::Service;

use super::{Document, ModelService, ServiceKeys, Upstreams};
use crate::ini::{self, Findings, Section, Span, quote};
use crate::settings::unknown_section;

/// The first words of the titles, and whether a name follows.
const TITLES: &[(&str, bool)] = &[
    ("organisation", false),
    ("service", true),
    ("upstreams", true),
    ("caller", true),
];

/// Finds sections that do not exist, have a wrong title or are given twice.
pub(super) fn titles(sections: &[Section], findings: &mut Findings) {
    for section in sections {
        let known = TITLES.iter().find(|(kind, _)| *kind == section.kind());
        match known {
            None => {
                let names = TITLES.iter().map(|(kind, _)| *kind);
                findings.add_with(section.line, || unknown_section(section.kind(), names));
            }
            Some((kind, false)) if !section.subject().is_empty() => {
                let text = format!("a name follows `{kind}`; expected [{kind}]");
                findings.add(section.line, text);
            }
            Some((kind, true)) if section.subject().is_empty() => {
                let text = format!("[{kind}] has no name; expected [{kind} NAME]");
                findings.add(section.line, text);
            }
            Some(_) => {}
        }
    }
    ini::repeated_titles(sections, findings);
}

/// The names in the titles of one document, and the groups that its model services use.
struct Names<'a> {
    services: BTreeSet<&'a str>,
    groups: BTreeSet<&'a str>,
    used_groups: BTreeSet<&'a str>,
}

impl<'a> Names<'a> {
    fn new(sections: &'a [Section]) -> Self {
        let subjects = |kind: &str| {
            let of_kind = sections.iter().filter(|section| section.kind() == kind);
            of_kind.map(Section::subject).collect()
        };
        let value = |section: &'a Section, key: &str| {
            let entry = section.entry(key);
            entry.map_or("", |entry| entry.value.as_str())
        };
        let models = sections
            .iter()
            .filter(|section| section.kind() == "service" && value(section, "kind") != "plain");
        Self {
            services: subjects("service"),
            groups: subjects("upstreams"),
            used_groups: models.map(|section| value(section, "upstreams")).collect(),
        }
    }
}

/// Finds names that refer to sections that do not exist, and sections that nothing refers to.
pub(super) fn references(document: &Document, sections: &[Section], findings: &mut Findings) {
    let names = Names::new(sections);
    for section in sections {
        match section.kind() {
            "service" => service_reference(document, &names, section, findings),
            "upstreams" => unused_group(&names, section, findings),
            "caller" => caller_references(document, &names, section, findings),
            _ => {}
        }
    }
}

fn suggestion(name: &str, names: &BTreeSet<&str>) -> String {
    match ini::closest(name, names.iter().copied()) {
        Some(name) => format!("; did you mean `{name}`?"),
        None => String::new(),
    }
}

fn service_reference(
    document: &Document,
    names: &Names,
    section: &Section,
    findings: &mut Findings,
) {
    let Some(ServiceKeys::Model(keys)) = document.services.get(&section.subject().into()) else {
        return;
    };
    let group = keys.upstreams.as_str();
    if !names.groups.contains(group) {
        findings.add_with(section.line_of("upstreams"), || {
            let hint = suggestion(group, &names.groups);
            format!("upstreams = `{group}`: the document has no [upstreams {group}]{hint}")
        });
    }
}

fn unused_group(names: &Names, group: &Section, findings: &mut Findings) {
    let name = group.subject();
    if !name.is_empty() && !names.used_groups.contains(name) {
        let title = quote(&group.title);
        let text = format!("no model service has the upstreams of section {title}");
        findings.add(group.line, text);
    }
}

fn caller_references(
    document: &Document,
    names: &Names,
    section: &Section,
    findings: &mut Findings,
) {
    let name = section.subject();
    if document.organisation.name.as_str() == name && !name.is_empty() {
        let text = format!("`{name}` owns the document and may call all its services");
        findings.add(section.line, text);
    }
    let Some(caller) = document.callers.get(&name.into()) else {
        return;
    };
    let line = section.line_of("services");
    if caller.services.is_empty() {
        findings.add(line, "services is empty; expected at least one service");
    }
    for service in &caller.services {
        let service = service.as_str();
        if !names.services.contains(service) {
            findings.add_with(line, || {
                let hint = suggestion(service, &names.services);
                format!("services: the document has no [service {service}]{hint}")
            });
        }
    }
}

/// Finds values that contradict each other.
pub(super) fn values(document: &Document, sections: &[Section], findings: &mut Findings) {
    for section in sections
        .iter()
        .filter(|section| section.kind() == "service")
    {
        let name: Service = section.subject().into();
        match document.services.get(&name) {
            Some(ServiceKeys::Model(keys)) => {
                let group = document.upstreams.get(&keys.upstreams);
                model_values(keys, group, section, findings);
            }
            Some(ServiceKeys::Plain(keys)) if keys.once && !keys.once_paths.is_empty() => {
                let text = "once-paths has no effect with `once = yes`; expected one of them";
                findings.add(section.line_of("once-paths"), text);
            }
            _ => {}
        }
    }
}

fn model_values(
    keys: &ModelService,
    group: Option<&Upstreams>,
    section: &Section,
    findings: &mut Findings,
) {
    if keys.ttft_target > keys.deadline {
        let (target, deadline) = (keys.ttft_target, keys.deadline);
        let text = format!("ttft-target = {target} is above deadline = {deadline}");
        findings.add(section.line_of("ttft-target"), text);
    }
    let Some(group) = group else { return };
    if keys.itl_target < group.step {
        let (target, step) = (keys.itl_target, group.step);
        let text = format!("itl-target = {target} is below the engines' step = {step}");
        findings.add(section.line_of("itl-target"), text);
    }
    let prefill =
        Span(std::time::Duration::from_secs(1) * keys.max_prompt.0 / group.prefill_rate.0);
    if prefill > keys.deadline {
        let (deadline, prompt) = (keys.deadline, keys.max_prompt);
        let text = format!(
            "the prefill of max-prompt = {prompt} takes {prefill} at prefill-rate = {}; expected \
             at most deadline = {deadline}",
            group.prefill_rate
        );
        findings.add(section.line_of("max-prompt"), text);
    }
}
