//! The gateway as a process: signals, and settings that change while it runs.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Lines, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use serde_json::Value;

/// A gateway process whose store is unreachable. The process is killed when the handle is dropped.
struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
    file: PathBuf,
    callers: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // These calls fail only if the process has already ended.
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
        Self::start_with(test, &settings("0.2"))
    }

    fn start_with(test: &str, settings: &str) -> Self {
        let name = format!("{test}-{}.ini", std::process::id());
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cumindoor"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = lines.next().expect("a line with the address").unwrap();
        let callers = first.strip_prefix("callers ").unwrap().parse().unwrap();
        let mut process = Self {
            child,
            lines,
            file,
            callers,
        };
        process.await_event("started");
        process
    }

    /// Writes new settings and sends SIGHUP.
    fn reload_with(&self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Reads log lines up to the first one with the event; panics if the process ends before.
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

    /// Sends SIGTERM, and returns the exit status and the remaining log lines.
    fn stop(mut self) -> (ExitStatus, Vec<Value>) {
        self.signal("-TERM");
        let lines = self.lines.by_ref().map(|line| line.unwrap());
        let lines = lines.map(|line| serde_json::from_str(&line).unwrap());
        let lines = lines.collect();
        (self.child.wait().unwrap(), lines)
    }

    /// Sends a request, which is refused because no routes are known.
    fn request(&self) {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        let head = "GET / HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
}

/// Guards against a SIGHUP that ends the gateway, and against settings that are not reloaded.
#[test]
fn changed_settings_are_reloaded_on_a_hangup() {
    let mut gateway = Process::start("taken-over");

    gateway.reload_with(&settings("0.1"));
    gateway.await_event("settings reloaded");

    assert!(gateway.stop().0.success());
}

/// Guards against faulty settings that end a running gateway or are ignored without a log event.
#[test]
fn faulty_settings_leave_the_old_ones_in_force() {
    let mut gateway = Process::start("faulty");

    gateway.reload_with(&settings("many"));
    let line = gateway.await_event("settings not reloaded");
    gateway.reload_with(&settings("0.1"));
    gateway.await_event("settings reloaded");

    let error = line["error"].as_str().unwrap();
    assert!(error.contains("ratio"), "{error}");
    assert!(gateway.stop().0.success());
}

/// Guards against a log without a rate limit, against lines that are dropped without being counted,
/// and against the loss of a process's last lines. The test causes 200 refusals at a limit of ten
/// lines a second.
#[test]
fn log_lines_beyond_the_rate_limit_are_counted() {
    const REQUESTS: u64 = 200;
    const RATE: usize = 10;
    let text = settings("0.2") + &format!("\n[lines]\nrate = {RATE}\n");
    let gateway = Process::start_with("rate", &text);

    (0..REQUESTS).for_each(|_| gateway.request());
    let (status, lines) = gateway.stop();

    assert!(status.success());
    let of = |event: &str| {
        let event = event.to_owned();
        lines.iter().filter(move |line| line["event"] == event)
    };
    let logged = of("request refused").count();
    let dropped: u64 = of("lines left out")
        .filter_map(|line| line["count"].as_u64())
        .sum();
    assert!(
        dropped + logged as u64 >= REQUESTS,
        "{logged} logged, {dropped} dropped"
    );
    assert_eq!(of("stopped").count(), 1);
    // A window of the rate limit may begin within a second, so one second has the lines of two
    // windows at most.
    let mut seconds = BTreeMap::new();
    for line in of("request refused") {
        *seconds
            .entry(line["at"].to_string().split('.').next().unwrap().to_owned())
            .or_insert(0) += 1;
    }
    assert!(
        seconds.values().all(|lines| *lines <= 2 * RATE),
        "{seconds:?}"
    );
}
