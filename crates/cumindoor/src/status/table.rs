//! Renders JSON values as text tables.

use std::fmt::Write as _;

use serde_json::Value;

/// Renders a value on one line.
pub(super) fn scalar(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        // The report may come from another program, so control characters are escaped before they
        // reach the terminal.
        Value::String(text) => text.escape_debug().to_string(),
        Value::Array(items) => items.iter().map(scalar).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Appends `rows` as a table if all are objects, or else with one value on each line.
pub(super) fn render(text: &mut String, rows: &[Value], indent: usize) {
    if rows.is_empty() {
        let _ = writeln!(text, "{:indent$}none", "");
        return;
    }
    let mut columns: Vec<&str> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for name in row.keys() {
            if !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
    }
    if columns.is_empty() || rows.iter().any(|row| !row.is_object()) {
        for row in rows {
            let _ = writeln!(text, "{:indent$}{}", "", scalar(row));
        }
        return;
    }
    let mut lines: Vec<Vec<String>> = vec![columns.iter().map(ToString::to_string).collect()];
    for row in rows {
        let cell = |column: &&str| scalar(row.get(*column).unwrap_or(&Value::Null));
        lines.push(columns.iter().map(cell).collect());
    }
    write_lines(text, &lines, indent);
}

fn write_lines(text: &mut String, lines: &[Vec<String>], indent: usize) {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let cells = lines.iter().map(|line| line[column].chars().count());
        cells.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for line in lines {
        let mut row = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            let _ = write!(row, "{cell:width$}  ");
        }
        let _ = writeln!(text, "{:indent$}{}", "", row.trim_end());
    }
}
