//! Checks settings files and documents, each by itself and against each other.

use std::collections::BTreeMap;

use coord::name::Organisation;

use crate::document::Document;
use crate::gateway;
use crate::ini::{self, Finding, Findings, Section};
use crate::settings::Settings;

/// The name and content of a file to check.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name of the file, as findings show it.
    pub file: String,
    /// The content of the file.
    pub bytes: Vec<u8>,
}

/// A file that has no findings by itself.
struct ParsedFile {
    file: String,
    sections: Vec<Section>,
    content: Content,
}

enum Content {
    Settings(Box<Settings>),
    Gateway(Box<gateway::Settings>),
    Document(Box<Document>),
}

/// Checks every file by itself, then the valid ones against each other; returns all findings.
#[must_use]
pub fn check(sources: &[Source]) -> Vec<Finding> {
    let mut all = Vec::new();
    let mut parsed = Vec::new();
    for source in sources {
        match parse_file(source) {
            Ok(file) => parsed.push(file),
            Err(findings) => all.extend(findings),
        }
    }
    all.extend(check_unique_owners(&parsed));
    all.extend(check_deadlines(&parsed));
    all
}

/// Returns the file in INI format with every effective value, or `None` if it has findings.
#[must_use]
pub fn effective_values(source: &Source) -> Option<String> {
    let parsed = parse_file(source).ok()?;
    let text = match &parsed.content {
        Content::Settings(settings) => settings.to_string(),
        Content::Gateway(settings) => settings.to_string(),
        Content::Document(document) => document.to_string(),
    };
    Some(format!("# {}\n{text}", parsed.file))
}

fn parse_file(source: &Source) -> Result<ParsedFile, Vec<Finding>> {
    let mut findings = Findings::new(&source.file);
    let text = match std::str::from_utf8(&source.bytes) {
        Ok(text) => text,
        Err(error) => {
            let before = &source.bytes[..error.valid_up_to()];
            let line = 1 + before.split(|byte| *byte == b'\n').count() - 1;
            findings.add(line, "the line is not valid UTF-8");
            return Err(findings.into_list());
        }
    };
    let sections = ini::parse_sections(text, &mut findings);
    let content = parse_content(&sections, &mut findings);
    match content {
        Some(content) if findings.is_empty() => Ok(ParsedFile {
            file: source.file.clone(),
            sections,
            content,
        }),
        _ => Err(findings.into_list()),
    }
}

/// Parses the sections as the type of file that they indicate.
fn parse_content(sections: &[Section], findings: &mut Findings) -> Option<Content> {
    let has_any = |kinds: &[&str]| sections.iter().any(|s| kinds.contains(&s.kind()));
    if has_any(&["organisation", "service", "upstreams", "caller"]) {
        let document = Document::read(sections, findings);
        return document.map(|document| Content::Document(Box::new(document)));
    }
    if has_any(&["gateway", "listen", "fleet", "store"]) {
        let settings = gateway::Settings::read(sections, findings);
        return settings.map(|settings| Content::Gateway(Box::new(settings)));
    }
    if has_any(&["vm", "callers", "peers", "platform", "hops"]) {
        let settings = Settings::read(sections, findings);
        return settings.map(|settings| Content::Settings(Box::new(settings)));
    }
    if !findings.is_empty() {
        return None;
    }
    findings.add(
        1,
        "the file is neither the settings of a VM or gateway nor a document; expected a section \
         [vm], [gateway] or [organisation]",
    );
    None
}

fn documents(parsed: &[ParsedFile]) -> impl Iterator<Item = (&ParsedFile, &Document)> {
    parsed.iter().filter_map(|file| match &file.content {
        Content::Document(document) => Some((file, document.as_ref())),
        Content::Settings(_) | Content::Gateway(_) => None,
    })
}

/// Reports organisations that own more than one of the documents.
fn check_unique_owners(parsed: &[ParsedFile]) -> Vec<Finding> {
    let mut owners: BTreeMap<&Organisation, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for (file, document) in documents(parsed) {
        let name = &document.organisation.name;
        if let Some(first) = owners.get(name) {
            let text = format!(
                "`{name}` already owns the document {first}; expected one document per organisation"
            );
            found.push(finding_at(file, "organisation", "name", text));
        } else {
            owners.insert(name, &file.file);
        }
    }
    found
}

/// Reports service deadlines that are above the `request-limit` of a VM.
fn check_deadlines(parsed: &[ParsedFile]) -> Vec<Finding> {
    let mut found = Vec::new();
    for settings in parsed {
        let Content::Settings(vm) = &settings.content else {
            continue;
        };
        let limit = vm.vm.request_limit;
        for (file, document) in documents(parsed) {
            for (name, service) in &document.services {
                let deadline = service.deadline();
                if deadline <= limit {
                    continue;
                }
                let text = format!(
                    "deadline = {deadline} is above request-limit = {limit} of {}",
                    settings.file
                );
                found.push(finding_at(
                    file,
                    &format!("service {name}"),
                    "deadline",
                    text,
                ));
            }
        }
    }
    found
}

fn finding_at(file: &ParsedFile, title: &str, key: &str, text: String) -> Finding {
    let section = file.sections.iter().find(|section| section.title == title);
    Finding {
        file: file.file.as_str().into(),
        line: section.map_or(1, |section| section.line_of(key)),
        text,
    }
}
