//! What the demonstration prints.

use std::io::Write as _;
use std::time::Instant;

/// Prints lines with the time since the start.
pub(super) struct Report {
    start: Instant,
}

impl Report {
    pub(super) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Prints the title of a part.
    pub(super) fn title(&self, text: &str) {
        self.plain(&format!("\n{text}"));
    }

    /// Prints a line with the time.
    pub(super) fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        self.plain(&format!("{seconds:7.2} s  {text}"));
    }

    /// Prints a line as it is; a reader that has gone is no error.
    #[expect(clippy::unused_self, reason = "all output goes through the report")]
    pub(super) fn plain(&self, text: &str) {
        let mut stdout = std::io::stdout().lock();
        let _ = writeln!(stdout, "{text}");
        let _ = stdout.flush();
    }
}

/// Returns the start of a long text.
pub(super) fn excerpt(text: &str) -> String {
    const CHARS: usize = 60;
    let start: String = text.chars().take(CHARS).collect();
    if start.len() < text.len() {
        format!("{}…", start.trim())
    } else {
        start.trim().to_owned()
    }
}
