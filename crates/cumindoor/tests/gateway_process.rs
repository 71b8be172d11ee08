//! The gateway as a process: signals, and settings that change while it runs.

use std::io::{BufRead, BufReader, Lines};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use serde_json::Value;

/// A gateway without a store in reach; it is killed when the handle is dropped.
struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn settings(ratio: &str) -> String {
    format!(
        "[gateway]\nname = vm-1\ndata-centre = suape\n\n\
         [listen]\ncallers = 127.0.0.1:0\nready = 127.0.0.1:0\n\n\
         [fleet]\naddress = 127.0.0.1:0\nseeds = 127.0.0.1:1\n\n\
         [store]\naddress = 127.0.0.1:1\n\n[repeats]\nratio = {ratio}\n"
    )
}

impl Process {
    fn start(test: &str) -> Self {
        let name = format!("{test}-{}.ini", std::process::id());
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, settings("0.2")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cumindoor"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut process = Self { child, lines, file };
        process.await_event("started");
        process
    }

    /// Changes the settings and tells the process.
    fn change(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Reads lines up to one with the event; fails if the process ends before.
    fn await_event(&mut self, event: &str) -> Value {
        for line in &mut self.lines {
            let line = line.unwrap();
            let parsed: Value = serde_json::from_str(&line).unwrap_or_default();
            if parsed["event"] == event {
                return parsed;
            }
        }
        panic!("the gateway ended before the event: {event}");
    }

    fn stop(mut self) -> ExitStatus {
        self.signal("-TERM");
        // The pipe is read to its end, so that the process never waits for room in it.
        self.lines.by_ref().for_each(drop);
        self.child.wait().unwrap()
    }
}

/// Guards against a gateway that a SIGHUP ends, and against settings that are not taken over.
#[test]
fn changed_settings_are_taken_over_on_a_hangup() {
    let mut gateway = Process::start("taken-over");

    gateway.change(&settings("0.1"));
    gateway.await_event("settings reloaded");

    assert!(gateway.stop().success());
}

/// Guards against faulty settings that end a running gateway or that are left without a word.
#[test]
fn faulty_settings_leave_the_ones_in_force() {
    let mut gateway = Process::start("faulty");

    gateway.change(&settings("many"));
    let line = gateway.await_event("settings not reloaded");
    gateway.change(&settings("0.1"));
    gateway.await_event("settings reloaded");

    let error = line["error"].as_str().unwrap();
    assert!(error.contains("ratio"), "{error}");
    assert!(gateway.stop().success());
}
