//! INI parser with line numbers and typed keys that reports all errors of a file at once.
//!
//! `rust-ini` stops at the first error and keeps no line numbers, so this module passes it one
//! line at a time.

mod keys;
mod name;
mod quantity;
mod render;
mod value;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

pub(crate) use keys::section;
pub use keys::{Fallback, Field, KeySpec, Section, TypedSection, closest_match};
pub use quantity::{ByteRate, Bytes, Count, RequestRate, TimeSpan, TokenRate, Tokens};
pub use render::{section_markdown, write_section};
pub(crate) use value::choice;
pub use value::{ConnectAddr, ListenAddr, ModelName, PathPrefix, Ratio, Setting};

/// Maximum size of one file: the platform's limit for one value.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Maximum length of one line.
pub const MAX_LINE_BYTES: usize = 16_000;

/// Maximum number of sections in one file.
pub const MAX_SECTIONS: usize = 5_000;

/// Maximum number of findings that are listed for one file.
///
/// A file that is not in INI format has a finding in every line.
pub const MAX_FINDINGS: usize = 200;

/// Maximum length of a section title, without the brackets.
const MAX_TITLE_BYTES: usize = 128;

/// Text of the finding that reports where parsing stopped early.
const REST_NOT_READ: &str = "the lines from here are not read: too many findings or sections \
                        (expected at most 5000 sections)";

/// Maximum number of characters of an invalid value that a finding quotes.
const MAX_QUOTE_CHARS: usize = 60;

/// A problem in a file: its position, what is wrong and what is expected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The name of the file, as passed to [`Findings::new`].
    pub file: Arc<str>,
    /// The line number, from 1.
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

    /// Adds a finding; beyond [`MAX_FINDINGS`], only the fact that some are missing is recorded.
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

    /// Adds a finding whose text is expensive to build; `text` is only called if it is listed.
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
        self.list.len() >= MAX_FINDINGS
    }

    /// Returns whether no finding has been added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings ordered by line, with a closing entry if some were omitted.
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

/// Quotes `text` in backticks for a finding: truncated, with control characters escaped.
#[must_use]
pub fn quote(text: &str) -> String {
    let mut chars = text.chars();
    let mut start = String::new();
    for c in chars.by_ref().take(MAX_QUOTE_CHARS) {
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
    /// The line number, from 1.
    pub line: usize,
    /// The key, without surrounding white space.
    pub key: String,
    /// The value, without surrounding white space.
    pub value: String,
}

/// Parses `text` into its sections, in the order of the file.
///
/// A malformed line is reported as a finding, and parsing goes on with the next line.
pub fn parse_sections(text: &str, findings: &mut Findings) -> Vec<Section> {
    if text.len() > MAX_FILE_BYTES {
        let bytes = text.len();
        let text = format!("the file has {bytes} bytes; expected at most {MAX_FILE_BYTES}");
        findings.add(1, text);
        return Vec::new();
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut found: Vec<Section> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        if found.len() > MAX_SECTIONS || findings.is_full() {
            // The finding is added even if the file has none so far: a truncated file must not be
            // accepted.
            findings.add(number, REST_NOT_READ);
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
                    format!(
                        "{} is outside any section; expected a [section] line before it",
                        quote(&key)
                    ),
                ),
            },
            Err(text) => findings.add(number, text),
        }
    }
    found
}

/// Reports section titles that occur more than once.
pub(crate) fn check_duplicate_titles(sections: &[Section], findings: &mut Findings) {
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
    if line.len() > MAX_LINE_BYTES {
        let bytes = line.len();
        return Err(format!(
            "the line has {bytes} bytes; expected at most {MAX_LINE_BYTES}"
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
        return parse_title(rest);
    }
    let malformed = || {
        format!(
            "{} is neither `key = value` nor `[section]` nor a `# comment`",
            quote(line)
        )
    };
    // rust-ini also accepts `key: value`, which would hide a missing `=`.
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

fn parse_title(rest: &str) -> Result<Line, String> {
    let Some((name, after)) = rest.split_once(']') else {
        return Err("the section name has no closing `]`".into());
    };
    if !after.trim().is_empty() {
        return Err(format!(
            "{} follows the section name; expected nothing after `]`",
            quote(after.trim())
        ));
    }
    if name.len() > MAX_TITLE_BYTES {
        let bytes = name.len();
        return Err(format!(
            "the section name has {bytes} bytes; expected at most {MAX_TITLE_BYTES}"
        ));
    }
    let words: Vec<_> = name.split_whitespace().collect();
    if words.is_empty() {
        return Err("the section name is empty".into());
    }
    Ok(Line::Section(words.join(" ")))
}
