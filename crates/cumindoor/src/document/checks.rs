//! Checks that span several keys or sections of one document.

use std::collections::BTreeSet;

use coord::name::Service;

use super::{Document, ModelService, ServiceSettings, Upstreams};
use crate::ini::{self, Findings, Section, TimeSpan, quote};
use crate::settings::unknown_section;

/// The kinds of sections, and whether a name follows the kind in the title.
const SECTION_KINDS: &[(&str, bool)] = &[
    ("organisation", false),
    ("service", true),
    ("upstreams", true),
    ("caller", true),
];

/// Reports sections with an unknown kind, a malformed title or a duplicate title.
pub(super) fn check_titles(sections: &[Section], findings: &mut Findings) {
    for section in sections {
        let known = SECTION_KINDS
            .iter()
            .find(|(kind, _)| *kind == section.kind());
        match known {
            None => {
                let names = SECTION_KINDS.iter().map(|(kind, _)| *kind);
                findings.add_with(section.line, || unknown_section(section.kind(), names));
            }
            Some((kind, false)) if !section.name().is_empty() => {
                let text = format!("a name follows `{kind}`; expected [{kind}]");
                findings.add(section.line, text);
            }
            Some((kind, true)) if section.name().is_empty() => {
                let text = format!("[{kind}] has no name; expected [{kind} NAME]");
                findings.add(section.line, text);
            }
            Some(_) => {}
        }
    }
    ini::check_duplicate_titles(sections, findings);
}

/// The names that section titles define, and the upstream groups that model services use.
struct SectionNames<'a> {
    services: BTreeSet<&'a str>,
    groups: BTreeSet<&'a str>,
    used_groups: BTreeSet<&'a str>,
}

impl<'a> SectionNames<'a> {
    fn new(sections: &'a [Section]) -> Self {
        let names_of_kind = |kind: &str| {
            let of_kind = sections.iter().filter(|section| section.kind() == kind);
            of_kind.map(Section::name).collect()
        };
        let value = |section: &'a Section, key: &str| {
            let entry = section.entry(key);
            entry.map_or("", |entry| entry.value.as_str())
        };
        let models = sections
            .iter()
            .filter(|section| section.kind() == "service" && value(section, "kind") != "plain");
        Self {
            services: names_of_kind("service"),
            groups: names_of_kind("upstreams"),
            used_groups: models.map(|section| value(section, "upstreams")).collect(),
        }
    }
}

/// Reports references to undefined sections, upstream groups that no model service uses, and
/// `[caller …]` sections that name the owner of the document or list no services.
pub(super) fn check_references(document: &Document, sections: &[Section], findings: &mut Findings) {
    let names = SectionNames::new(sections);
    for section in sections {
        match section.kind() {
            "service" => check_service_reference(document, &names, section, findings),
            "upstreams" => check_group_is_used(&names, section, findings),
            "caller" => check_caller_references(document, &names, section, findings),
            _ => {}
        }
    }
}

fn suggest_name(name: &str, names: &BTreeSet<&str>) -> String {
    match ini::closest_match(name, names.iter().copied()) {
        Some(name) => format!("; did you mean `{name}`?"),
        None => String::new(),
    }
}

fn check_service_reference(
    document: &Document,
    names: &SectionNames,
    section: &Section,
    findings: &mut Findings,
) {
    let Some(ServiceSettings::Model(keys)) = document.services.get(&section.name().into()) else {
        return;
    };
    let group = keys.upstreams.as_str();
    if !names.groups.contains(group) {
        findings.add_with(section.line_of("upstreams"), || {
            let hint = suggest_name(group, &names.groups);
            format!("upstreams = `{group}`: the document has no [upstreams {group}]{hint}")
        });
    }
}

fn check_group_is_used(names: &SectionNames, group: &Section, findings: &mut Findings) {
    let name = group.name();
    if !name.is_empty() && !names.used_groups.contains(name) {
        let title = quote(&group.title);
        let text = format!("no model service uses section {title}; expected at least one");
        findings.add(group.line, text);
    }
}

fn check_caller_references(
    document: &Document,
    names: &SectionNames,
    section: &Section,
    findings: &mut Findings,
) {
    let name = section.name();
    if document.organisation.name.as_str() == name && !name.is_empty() {
        let text = format!(
            "`{name}` owns the document and may call all its services; expected another organisation"
        );
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
                let hint = suggest_name(service, &names.services);
                format!("services: the document has no [service {service}]{hint}")
            });
        }
    }
}

/// Reports values of a service that contradict each other or those of its upstreams.
pub(super) fn check_values(document: &Document, sections: &[Section], findings: &mut Findings) {
    for section in sections
        .iter()
        .filter(|section| section.kind() == "service")
    {
        let name: Service = section.name().into();
        match document.services.get(&name) {
            Some(ServiceSettings::Model(keys)) => {
                let group = document.upstreams.get(&keys.upstreams);
                check_model_values(keys, group, section, findings);
            }
            Some(ServiceSettings::Plain(keys)) if keys.once && !keys.once_paths.is_empty() => {
                let text = "once-paths has no effect with `once = yes`; expected one of them";
                findings.add(section.line_of("once-paths"), text);
            }
            _ => {}
        }
    }
}

fn check_model_values(
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
    let prefill_time =
        TimeSpan(std::time::Duration::from_secs(1) * keys.max_prompt.0 / group.prefill_rate.0);
    if prefill_time > keys.deadline {
        let (deadline, prompt) = (keys.deadline, keys.max_prompt);
        let text = format!(
            "the prefill of max-prompt = {prompt} takes {prefill_time} at prefill-rate = {}; expected \
             at most deadline = {deadline}",
            group.prefill_rate
        );
        findings.add(section.line_of("max-prompt"), text);
    }
}
