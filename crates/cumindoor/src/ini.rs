//! INI files with line numbers, typed keys and findings that are reported together.
//!
//! `rust-ini` stops at the first error and keeps no line numbers, so it is given one line at a
//! time here.

mod keys;
mod name;
mod page;
mod quantity;
mod value;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

pub(crate) use keys::section;
pub use keys::{Fallback, Field, KeySpec, Keys, Section, closest};
pub use page::{section_page, write_section};
pub use quantity::{ByteRate, Bytes, Count, RequestRate, Span, TokenRate, Tokens};
pub(crate) use value::choice;
pub use value::{Listen, ModelName, PathPrefix, Ratio, Setting, Target};

/// Bytes of one file at most: the platform's limit of one value.
pub const FILE_LIMIT: usize = 1_000_000;

/// Bytes of one line at most.
pub const LINE_LIMIT: usize = 16_000;

/// Sections of one file at most.
pub const SECTION_LIMIT: usize = 5_000;

/// Findings of one file that are listed; a file that is no INI at all has one in each line.
pub const FINDING_LIMIT: usize = 200;

/// Characters between the brackets of a section at most.
const TITLE_LIMIT: usize = 128;

/// The finding for a file whose rest is not read.
const TOO_MANY: &str = "the lines from here are not read: too many findings or sections \
                        (expected at most 5000 sections)";

/// Characters of a wrong value that a finding repeats.
const QUOTE_LIMIT: usize = 60;

/// What is wrong at a place and what is expected there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file's name as the caller gave it.
    pub file: Arc<str>,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong and what is expected.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// The findings of one file.
#[derive(Debug)]
pub struct Findings {
    file: Arc<str>,
    list: Vec<Finding>,
    omitted: bool,
}

impl Findings {
    /// Returns an empty list for `file`.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            list: Vec::new(),
            omitted: false,
        }
    }

    /// Adds a finding; those over [`FINDING_LIMIT`] are only counted.
    pub fn add(&mut self, line: usize, text: impl Into<String>) {
        if self.is_full() {
            self.omitted = true;
            return;
        }
        self.list.push(Finding {
            file: self.file.clone(),
            line: line.max(1),
            text: text.into(),
        });
    }

    /// Adds a finding whose text takes long to compute; `text` is called only if it is listed.
    pub fn add_with(&mut self, line: usize, text: impl FnOnce() -> String) {
        if self.is_full() {
            self.omitted = true;
            return;
        }
        self.add(line, text());
    }

    /// Returns whether further findings would not be listed.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.list.len() >= FINDING_LIMIT
    }

    /// Returns whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings in the order of their lines.
    #[must_use]
    pub fn into_list(mut self) -> Vec<Finding> {
        self.list.sort_by_key(|finding| finding.line);
        if self.omitted {
            let line = self.list.last().map_or(1, |finding| finding.line);
            let text = "further findings are not listed".into();
            self.list.push(Finding {
                file: self.file,
                line,
                text,
            });
        }
        self.list
    }
}

/// Returns `text` for a finding: shortened, with control characters escaped.
#[must_use]
pub fn quote(text: &str) -> String {
    let mut chars = text.chars();
    let mut start = String::new();
    for c in chars.by_ref().take(QUOTE_LIMIT) {
        match c {
            '\'' | '"' | '\\' => start.push(c),
            _ => start.extend(c.escape_debug()),
        }
    }
    let dots = if chars.next().is_some() { "…" } else { "" };
    format!("`{start}{dots}`")
}

/// One `key = value` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The line, from 1.
    pub line: usize,
    /// The key.
    pub key: String,
    /// The value without the spaces around it.
    pub value: String,
}

/// Reads the sections of `text`, in order.
///
/// A line that cannot be read becomes a finding, and the lines after it are still read.
pub fn sections(text: &str, findings: &mut Findings) -> Vec<Section> {
    if text.len() > FILE_LIMIT {
        let bytes = text.len();
        let text = format!("the file has {bytes} bytes; expected at most {FILE_LIMIT}");
        findings.add(1, text);
        return Vec::new();
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut found: Vec<Section> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        if found.len() > SECTION_LIMIT || findings.is_full() {
            // A file without findings so far ends here too, so that it is not accepted.
            findings.add(number, TOO_MANY);
            break;
        }
        match parse_line(line) {
            Ok(Line::Empty) => {}
            Ok(Line::Section(name)) => found.push(Section::new(number, &name)),
            Ok(Line::Entry(key, value)) => match found.last_mut() {
                Some(section) => section.entries.push(Entry {
                    line: number,
                    key,
                    value,
                }),
                None => findings.add(
                    number,
                    format!("{} stands before the first [section]", quote(&key)),
                ),
            },
            Err(text) => findings.add(number, text),
        }
    }
    found
}

/// Finds sections that are given twice.
pub(crate) fn repeated_titles(sections: &[Section], findings: &mut Findings) {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    for section in sections {
        let title = section.title.as_str();
        if let Some(first) = seen.get(title) {
            let title = quote(title);
            let text = format!("section {title} is given twice; the first one is in line {first}");
            findings.add(section.line, text);
        } else {
            seen.insert(title, section.line);
        }
    }
}

enum Line {
    Empty,
    Section(String),
    Entry(String, String),
}

fn parse_line(line: &str) -> Result<Line, String> {
    if line.len() > LINE_LIMIT {
        let bytes = line.len();
        return Err(format!(
            "the line has {bytes} bytes; expected at most {LINE_LIMIT}"
        ));
    }
    let line = line.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Ok(Line::Empty);
    }
    if let Some(c) = line.chars().find(|c| c.is_control() && *c != '\t') {
        return Err(format!(
            "the line contains the control character {}; expected text",
            c.escape_debug()
        ));
    }
    if let Some(rest) = line.strip_prefix('[') {
        return section_name(rest);
    }
    let malformed = || {
        format!(
            "{} is neither `key = value` nor `[section]` nor a `# comment`",
            quote(line)
        )
    };
    // rust-ini also takes `key: value`, in which a missing `=` would go unnoticed.
    if line
        .find('=')
        .is_none_or(|equals| line[..equals].contains(':'))
    {
        return Err(malformed());
    }
    let options = ini::ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ini::ParseOption::default()
    };
    let parsed = ini::Ini::load_from_str_opt(line, options).map_err(|_| malformed())?;
    let entry = parsed.general_section().iter().next();
    let (key, value) = entry.ok_or_else(malformed)?;
    Ok(Line::Entry(key.trim().into(), value.trim().into()))
}

fn section_name(rest: &str) -> Result<Line, String> {
    let Some((name, after)) = rest.split_once(']') else {
        return Err("the section name has no closing `]`".into());
    };
    if !after.trim().is_empty() {
        return Err(format!(
            "{} follows the section name; expected nothing after `]`",
            quote(after.trim())
        ));
    }
    if name.len() > TITLE_LIMIT {
        let bytes = name.len();
        return Err(format!(
            "the section name has {bytes} bytes; expected at most {TITLE_LIMIT}"
        ));
    }
    let words: Vec<_> = name.split_whitespace().collect();
    if words.is_empty() {
        return Err("the section name is empty".into());
    }
    Ok(Line::Section(words.join(" ")))
}
