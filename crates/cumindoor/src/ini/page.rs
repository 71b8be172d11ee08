//! Tables of keys for the documentation, and printouts of sections.

use std::fmt::Write as _;

use super::keys::{Fallback, KeySpec, Keys};

/// Returns the documentation of one section: a heading and a table of its keys.
#[must_use]
pub fn section_page(title: &str, keys: &[KeySpec]) -> String {
    let mut page = format!("## {title}\n\n");
    page.push_str("| key | value | default | bounds | meaning |\n");
    page.push_str("|---|---|---|---|---|\n");
    for key in keys {
        let fallback = match key.fallback {
            Fallback::Required => "required".to_owned(),
            Fallback::Absent => "none".to_owned(),
            Fallback::Value("") => "empty".to_owned(),
            Fallback::Value(text) => format!("`{text}`"),
        };
        let bounds = match key.bounds {
            Some((low, high)) => format!("`{low}` to `{high}`"),
            None => "-".to_owned(),
        };
        let (name, unit, about) = (key.name, key.unit, key.about.trim());
        let _ = writeln!(
            page,
            "| `{name}` | {unit} | {fallback} | {bounds} | {about} |"
        );
    }
    page
}

/// Appends a section with all its values to `text`.
pub fn write_section(text: &mut String, title: &str, section: &impl Keys) {
    if !text.is_empty() {
        text.push('\n');
    }
    let _ = writeln!(text, "[{title}]");
    for (key, value) in section.values() {
        let _ = writeln!(text, "{}", format!("{key} = {value}").trim_end());
    }
}
