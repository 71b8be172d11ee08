//! Rendering of sections as documentation tables and as INI text.

use std::fmt::Write as _;

use super::keys::{Fallback, KeySpec, TypedSection};

/// Returns the documentation of one section in Markdown: a heading and a table of its keys.
#[must_use]
pub fn section_markdown(title: &str, keys: &[KeySpec]) -> String {
    let mut markdown = format!("## {title}\n\n");
    markdown.push_str("| key | value | default | bounds | meaning |\n");
    markdown.push_str("|---|---|---|---|---|\n");
    for key in keys {
        let default = match key.fallback {
            Fallback::Required => "required".to_owned(),
            Fallback::Absent => "none".to_owned(),
            Fallback::Value("") => "empty".to_owned(),
            Fallback::Value(text) => format!("`{text}`"),
        };
        let bounds = match key.bounds {
            Some((low, high)) => format!("`{low}` to `{high}`"),
            None => "-".to_owned(),
        };
        let (name, value_format, description) =
            (key.name, key.value_format, key.description.trim());
        let _ = writeln!(
            markdown,
            "| `{name}` | {value_format} | {default} | {bounds} | {description} |"
        );
    }
    markdown
}

/// Appends a section with all its effective values to `text`, in INI format.
pub fn write_section(text: &mut String, title: &str, section: &impl TypedSection) {
    if !text.is_empty() {
        text.push('\n');
    }
    let _ = writeln!(text, "[{title}]");
    for (key, value) in section.values() {
        let _ = writeln!(text, "{}", format!("{key} = {value}").trim_end());
    }
}
