//! Stand-ins that the scripts in review/11 to review/15 share: the platform's store, engines with the
//! protocol of PROTOCOL.md, clients, and gateways as child processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::os::unix::process::CommandExt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// What was sent, answered and run, with milliseconds since the start of the script.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|error| blocked(&format!("{path}: {error}")));
        Arc::new(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8} ms  {text}\n", self.now());
        print!("{line}");
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }
}

/// Ends the script because the case could not run.
pub fn blocked(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this many milliseconds after the start of the record.
pub fn until(record: &Record, ms: u64) {
    pause(ms.saturating_sub(record.now()));
}

/// Returns a loopback address; scripts that run at the same time use different ones.
pub fn ip(last: u8) -> Ipv4Addr {
    let script = std::process::id();
    let third = u8::try_from(script % 250 + 1).unwrap();
    let second = u8::try_from(script / 250 % 100 + 100).unwrap();
    Ipv4Addr::new(127, second, third, last)
}

/// Returns a port that is free for TCP and UDP on all these addresses.
pub fn free_port(addresses: &[Ipv4Addr]) -> u16 {
    for _ in 0..200 {
        let Ok(first) = TcpListener::bind((addresses[0], 0)) else { continue };
        let port = first.local_addr().unwrap().port();
        drop(first);
        let is_free = |a: &Ipv4Addr| TcpListener::bind((*a, port)).is_ok() && UdpSocket::bind((*a, port)).is_ok();
        // Ports of outgoing connections are left alone.
        if addresses.iter().all(is_free) {
            return port;
        }
    }
    blocked("no port is free on all addresses")
}

// ---------------------------------------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub from: Option<SocketAddr>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-cumindoor-request-id").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads bytes of a connection, with those that were read ahead.
pub struct Reader {
    pub stream: TcpStream,
    ahead: Vec<u8>,
    /// Whether the other side closed in order, which it can only after it has read all that was sent.
    closed: bool,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, ahead: Vec::new(), closed: false }
    }

    fn more(&mut self) -> std::io::Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        self.closed |= count == 0;
        Ok(count > 0)
    }

    /// Reads up to and including `end`.
    pub fn until(&mut self, end: &[u8]) -> std::io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(at) = self.ahead.windows(end.len()).position(|w| w == end) {
                let rest = self.ahead.split_off(at + end.len());
                return Ok(Some(std::mem::replace(&mut self.ahead, rest)));
            }
            if !self.more()? {
                return Ok(None);
            }
        }
    }

    pub fn exactly(&mut self, count: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.ahead.len() < count {
            if !self.more()? {
                return Ok(None);
            }
        }
        let rest = self.ahead.split_off(count);
        Ok(Some(std::mem::replace(&mut self.ahead, rest)))
    }

    /// Reads a chunked body; the second value tells whether it came to its end.
    pub fn chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let Ok(Some(line)) = self.until(b"\r\n") else { return (body, false) };
            let line = String::from_utf8_lossy(&line).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&line, 16) else { return (body, false) };
            let Ok(Some(chunk)) = self.exactly(size + 2) else { return (body, false) };
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

fn parse_head(head: &[u8]) -> (String, Vec<(String, String)>) {
    let head = String::from_utf8_lossy(head).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    (first, headers.collect())
}

/// Handles a request and returns whether its connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves requests, one after the other on each connection.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

pub fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut answers) = stream.try_clone() else { return };
    let from = stream.peer_addr().ok();
    let mut reader = Reader::new(stream);
    while let Ok(Some(head)) = reader.until(b"\r\n\r\n") {
        let (line, headers) = parse_head(&head);
        let mut words = line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let mut request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            headers,
            body: Vec::new(),
            from,
        };
        let length = request.header("content-length").and_then(|text| text.parse().ok());
        if request.header("transfer-encoding").is_some() {
            let (body, complete) = reader.chunks();
            if !complete {
                return;
            }
            request.body = body;
        } else if let Some(length) = length {
            let Ok(Some(body)) = reader.exactly(length) else { return };
            request.body = body;
        }
        if !handler(&request, &mut answers) {
            return;
        }
    }
}

/// Writes an answer with a length. Returns whether it was written.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(head.as_bytes()).is_ok()
}

/// Makes the close of a connection reset it.
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let linger = [1_i32, 0];
    // SAFETY: SOL_SOCKET is 1 and SO_LINGER is 13 on Linux; the value is two integers.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The status, or 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole answer arrived.
    pub complete: bool,
    /// Whether the client gave up, rather than that the connection ended.
    pub gave_up: bool,
    /// Whether the connection was closed in order, so that the gateway had read the whole request.
    pub closed: bool,
    pub took_ms: u64,
}

/// A connection of a client, which it may keep.
pub struct Client {
    reader: Reader,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: Reader::new(stream) })
    }

    /// Sends a request and reads its answer for up to `patience`.
    pub fn send(&mut self, request: &str, patience: Duration) -> Outcome {
        let began = Instant::now();
        let mut outcome = Outcome {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            complete: false,
            gave_up: false,
            closed: false,
            took_ms: 0,
        };
        let _ = self.reader.stream.set_read_timeout(Some(patience));
        if self.reader.stream.write_all(request.as_bytes()).is_ok()
            && let Ok(Some(head)) = self.reader.until(b"\r\n\r\n")
        {
            let (line, headers) = parse_head(&head);
            outcome.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            let value = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
            if value("transfer-encoding").is_some() {
                (outcome.body, outcome.complete) = self.reader.chunks();
            } else if let Some(length) = value("content-length").and_then(|v| v.parse().ok())
                && let Ok(Some(body)) = self.reader.exactly(length)
            {
                (outcome.body, outcome.complete) = (body, true);
            }
            outcome.headers = headers;
        }
        outcome.took_ms = u64::try_from(began.elapsed().as_millis()).unwrap();
        outcome.closed = self.reader.closed;
        outcome.gave_up = !outcome.complete && began.elapsed() >= patience;
        outcome
    }
}

// --------------------------------------------------------------------------------------------- store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let all = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = (u32::from(all[0]) << 16) | (u32::from(all[1]) << 8) | u32::from(all[2]);
        for place in 0..4 {
            let digit = (bits >> (18 - 6 * place)) & 63;
            text.push(if place <= group.len() { char::from(DIGITS[digit as usize]) } else { '=' });
        }
    }
    text
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(if byte == b'+' { b' ' } else { byte });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// The platform's store: it is up, and loses nothing.
pub struct Store {
    items: Mutex<(u64, BTreeMap<String, (u64, String)>)>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            items: Mutex::new((100, BTreeMap::new())),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| blocked(&format!("{addr}: {e}")));
        let served = Arc::clone(&store);
        serve(listener, Arc::new(move |request, stream| served.handle(request, stream)));
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.0 += 1;
        let revision = items.0;
        items.1.insert(key.to_owned(), (revision, value.to_owned()));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<&str, String> = pairs.map(|(k, v)| (k, decoded(v))).collect();
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let is_watch = path == "/kv-watch";
        if !is_watch && path != "/kv-range" {
            return answer(stream, "404 Not Found", "", "{}");
        }
        let after = if is_watch { number("after") } else { 0 };
        let deadline = Instant::now() + Duration::from_millis(number("wait-ms"));
        let mut items = self.items.lock().unwrap();
        let (revision, found) = loop {
            let found = items.1.iter().filter(|(k, (r, _))| k.starts_with(&prefix) && *r > after);
            let found: Vec<String> = found
                .map(|(key, (revision, value))| {
                    let value = base64(value.as_bytes());
                    format!(
                        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create-revision":{revision},"lease":0}}"#
                    )
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !is_watch || !found.is_empty() || left.is_zero() {
                break (items.0, found.join(","));
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        };
        drop(items);
        pause(4);
        let body = if is_watch {
            format!(r#"{{"events":[{found}],"as-of":{revision}}}"#)
        } else {
            format!(r#"{{"items":[{found}],"has-more":false,"as-of":{revision}}}"#)
        };
        answer(stream, "200 OK", "Content-Type: application/json\r\n", &body)
    }
}

// ------------------------------------------------------------------------------------------- engines

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub struct Order {
    pub at_ms: u64,
    pub engine: String,
    pub holder: String,
    pub fence: u64,
}

/// What the engines of a script have in common.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub service: String,
    pub kv_capacity: u64,
    /// Milliseconds between two events of a stream.
    pub event_ms: u64,
    /// Tokens of an event.
    pub event_tokens: u64,
    pub orders: Mutex<Vec<Order>>,
    /// By request id, the engines that began to generate.
    pub runs: Mutex<BTreeMap<String, Vec<String>>>,
    /// Whether an engine loses the answer of a run; the arguments are its name and the number of the run there.
    pub loses: Box<dyn Fn(&str, u64) -> bool + Send + Sync>,
}

struct EngineState {
    stage: &'static str,
    /// Until when it changes its stage.
    busy_until: Option<Instant>,
    fence: u64,
    sequence: u64,
    kv_used: u64,
    running: u64,
    runs: u64,
}

/// A model engine.
pub struct Engine {
    site: Arc<Site>,
    name: String,
    addr: SocketAddr,
    state: Mutex<EngineState>,
}

static HANDLES: AtomicU64 = AtomicU64::new(1);

/// Time that an order takes (`role-switch-s`).
const SWITCH_TIME: Duration = Duration::from_secs(6);
const SLOTS: u64 = 64;

impl Engine {
    pub fn start(site: &Arc<Site>, name: &str, stage: &'static str) -> Arc<Self> {
        let listener = TcpListener::bind((ip(200), 0)).unwrap_or_else(|e| blocked(&e.to_string()));
        let engine = Arc::new(Self {
            site: Arc::clone(site),
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            state: Mutex::new(EngineState {
                stage,
                busy_until: None,
                fence: 0,
                sequence: 0,
                kv_used: 0,
                running: 0,
                runs: 0,
            }),
        });
        engine.register();
        let served = Arc::clone(&engine);
        serve(listener, Arc::new(move |request, stream| served.handle(request, stream)));
        engine
    }

    fn register(&self) {
        let (stage, sequence) = {
            let state = self.state.lock().unwrap();
            (state.stage, state.sequence)
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":{SLOTS},"state":"ready","cold-remaining-ms":0,"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#,
            self.site.service, self.addr
        );
        self.site.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn echo(&self, request: &Request) -> String {
        format!(
            "X-Cumindoor-Request-Id: {}\r\nX-Cumindoor-Weight-Versions: 1\r\n",
            request.id()
        )
    }

    fn not_executed(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let headers = format!("{}X-Cumindoor-Not-Executed: 1\r\n", self.echo(request));
        answer(stream, "503 Service Unavailable", &headers, "")
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let target = request.header("x-cumindoor-target-instance");
        if target.is_some_and(|target| target != self.name) {
            let headers = format!("X-Cumindoor-Instance-Id: {}\r\n", self.name);
            return answer(stream, "421 Misdirected Request", &headers, "");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => self.report(stream),
            ("POST", "/order") => self.order(request, stream),
            ("DELETE", path) if path.starts_with("/kv-handle/") => answer(stream, "200 OK", "", ""),
            _ if request.id().is_empty() => {
                answer(stream, "400 Bad Request", "X-Cumindoor-Not-Executed: 1\r\n", "")
            }
            _ => self.run(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = self.state.lock().unwrap();
        let body = format!(
            r#"{{"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},"sequence":{},"queued-requests":0,"active-requests":{},"kv-used":{},"kv-total":{},"kv-handles":0}}"#,
            state.stage,
            state.busy_until.is_some(),
            state.sequence,
            state.running,
            state.kv_used,
            self.site.kv_capacity
        );
        drop(state);
        answer(stream, "200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let text = request.text();
        let field = |name: &str| {
            let rest = text.split_once(&format!("\"{name}\":"))?.1;
            let value = rest.split([',', '}']).next()?;
            Some(value.trim_matches('"').to_owned())
        };
        let (Some(holder), Some(fence)) = (field("holder"), field("fencing-token")) else {
            return answer(stream, "400 Bad Request", "", "");
        };
        let (fence, wanted): (u64, _) = (fence.parse().unwrap_or(0), field("stage").unwrap_or_default());
        let at_ms = self.site.record.now();
        let status = {
            let mut state = self.state.lock().unwrap();
            let is_busy = state.busy_until.is_some();
            if fence < state.fence {
                "412 Precondition Failed"
            } else {
                state.fence = fence;
                if is_busy {
                    "409 Conflict"
                } else if state.stage == wanted {
                    "200 OK"
                } else {
                    state.busy_until = Some(Instant::now() + SWITCH_TIME);
                    state.sequence += 1;
                    "202 Accepted"
                }
            }
        };
        self.site.record.line(&format!(
            "order at {}: stage {wanted}, holder {holder}, fence {fence}, answered {status}",
            self.name
        ));
        self.site.orders.lock().unwrap().push(Order { at_ms, engine: self.name.clone(), holder, fence });
        if status.starts_with("202") {
            let engine = Arc::clone(self);
            let wanted = if wanted == "decode" { "decode" } else { "prefill" };
            thread::spawn(move || {
                thread::sleep(SWITCH_TIME);
                {
                    let mut state = engine.state.lock().unwrap();
                    state.stage = wanted;
                    state.busy_until = None;
                }
                engine.register();
            });
        }
        answer(stream, status, "", "")
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let is_prefill = request.header("x-cumindoor-serving-stage") == Some("prefill");
        let usage = request.header("x-cumindoor-token-usage").unwrap_or("0,0");
        let prompt: u64 = usage.split(',').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let number = {
            let mut state = self.state.lock().unwrap();
            let fits = state.kv_used + prompt <= self.site.kv_capacity && state.running < SLOTS;
            let is_wrong = (state.stage == "prefill") != is_prefill;
            if is_wrong && state.busy_until.is_none() {
                drop(state);
                return answer(stream, "421 Misdirected Request", &self.echo(request), "");
            }
            if state.busy_until.is_some() || (!fits && !is_prefill) {
                drop(state);
                return self.not_executed(request, stream);
            }
            state.running += 1;
            if !is_prefill {
                state.kv_used += prompt;
                state.runs += 1;
            }
            state.runs
        };
        let kept = if is_prefill {
            self.prefill(request, prompt, stream)
        } else {
            self.generate(request, (prompt, number), stream)
        };
        self.state.lock().unwrap().running -= 1;
        kept
    }

    fn prefill(&self, request: &Request, prompt: u64, stream: &mut TcpStream) -> bool {
        pause(prompt / 55 + 1);
        let handle = HANDLES.fetch_add(1, Ordering::Relaxed);
        let headers = format!("{}Content-Type: application/json\r\n", self.echo(request));
        let body = format!(r#"{{"kv-handle":"h{handle}","tokens":{prompt},"version":1}}"#);
        answer(stream, "200 OK", &headers, &body)
    }

    /// Streams the number of events that the body names.
    fn generate(&self, request: &Request, (prompt, number): (u64, u64), stream: &mut TcpStream) -> bool {
        let record = &self.site.record;
        let mut runs = self.site.runs.lock().unwrap();
        runs.entry(request.id().to_owned()).or_default().push(self.name.clone());
        drop(runs);
        record.line(&format!("{} runs {} (run {number} there)", self.name, request.id()));
        if (self.site.loses)(&self.name, number) {
            pause(2 * self.site.event_ms);
            record.line(&format!("{} loses the answer of {}", self.name, request.id()));
            reset_on_close(stream);
            self.state.lock().unwrap().kv_used -= prompt;
            return false;
        }
        let events: u64 = request.text().trim().parse().unwrap_or(10);
        let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}X-Cumindoor-Engine-Signature: sig.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.echo(request),
            self.name
        );
        let mut written = stream.write_all(head.as_bytes()).is_ok();
        let mut made = 0;
        for id in last + 1..=events {
            pause(self.site.event_ms);
            let event = format!("id: {id}\ndata: token {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            written = written && stream.write_all(chunk.as_bytes()).is_ok();
            if !written {
                break;
            }
            made += 1;
            self.state.lock().unwrap().kv_used += self.site.event_tokens;
        }
        written = written && stream.write_all(b"0\r\n\r\n").is_ok();
        self.state.lock().unwrap().kv_used -= prompt + made * self.site.event_tokens;
        record.line(&format!(
            "{} ended {} after {made} events{}",
            self.name,
            request.id(),
            if written { "" } else { ", connection gone" }
        ));
        written
    }
}

// ------------------------------------------------------------------------------------------ gateways

/// A gateway as a process of its own. Dropping it kills the process.
pub struct Gateway {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub program: String,
    pub store: SocketAddr,
    pub port: u16,
    pub seeds: Vec<Ipv4Addr>,
}

impl Fleet {
    /// Starts a gateway with the settings that the template of the deploy file gives.
    pub fn start(&self, record: &Record, name: &str, addr: Ipv4Addr, first: bool) -> Gateway {
        let mut callers = SocketAddr::from((addr, self.port));
        while callers.port() == self.port {
            callers = SocketAddr::from((addr, free_port(&[addr])));
        }
        let mut ready = callers;
        while ready == callers || ready.port() == self.port {
            ready = SocketAddr::from((addr, free_port(&[addr])));
        }
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("{seed}:8144")).collect();
        let first = if first { "yes" } else { "no" };
        let settings = format!(
            "[gateway]\nname = {name}\ndata-centre = z1\ngrace = 8 s\n\n\
             [listen]\ncallers = {callers}\nready = {ready}\n\n\
             [fleet]\naddress = {addr}:{}\nseeds = {}\nfirst-start = {first}\n\n\
             [store]\naddress = {}\n\n\
             [orders]\nbalance = yes\nlease = 3000 ms\n\n\
             [repeats]\nratio = 0.2\nslack = 56\nwindow = 10 s\n\n\
             [resources]\nlink = 1000.0\n",
            self.port,
            seeds.join(","),
            self.store
        );
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).unwrap_or_else(|e| blocked(&e.to_string()));
        let log = File::create(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| blocked(&e.to_string()));
        let mut command = Command::new(&self.program);
        command.args(["gateway", "--settings"]).arg(&file).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // PR_SET_PDEATHSIG is 1: the process ends with this one, however that ends.
        // SAFETY: prctl is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .unwrap_or_else(|e| blocked(&format!("{}: {e}", self.program)));
        record.line(&format!("{name} started, callers at {callers}"));
        Gateway { child, name: name.to_owned(), callers, ready }
    }
}

impl Gateway {
    /// Waits until the gateway reports that it is ready.
    pub fn await_ready(&self, record: &Record) {
        for _ in 0..100 {
            let request = "GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n";
            let answered = Client::connect(self.ready).map(|mut c| c.send(request, Duration::from_secs(1)));
            if answered.is_some_and(|outcome| outcome.status == 200) {
                record.line(&format!("{} is ready", self.name));
                return;
            }
            pause(100);
        }
        blocked(&format!("{} does not get ready", self.name))
    }

    pub fn signal(&self, record: &Record, signal: i32, text: &str) {
        record.line(&format!("{text} to {}", self.name));
        // SAFETY: the process is a child of this one that was not waited for.
        unsafe { kill(i32::try_from(self.child.id()).unwrap(), signal) };
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, record: &Record) {
        let _ = self.child.wait();
        record.line(&format!("{} has ended", self.name));
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// --------------------------------------------------------------------------------------------- tools

/// The arguments of a script: the program, the record and a temporary folder; and whether there is trouble.
pub fn arguments() -> (String, Arc<Record>, PathBuf, bool) {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, record, folder] = &arguments[..] else {
        blocked("usage: PROGRAM RECORD FOLDER");
    };
    if !Path::new(program).exists() {
        blocked(&format!("{program} is not built"));
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    record.line(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    (program.clone(), record, PathBuf::from(folder), trouble)
}

/// A configuration with one model service and one route to it. `more` is added at its end.
pub fn configuration(service: &str, route: &str, kv_capacity: u64, more: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"site.example","prefix":"/go/",{route},"service":"{service}","priority":1,"sticky":true,"gap-aim-ms":300}}],"services":[{{"name":"{service}","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{{"slots":{SLOTS},"kv-capacity-tokens":{kv_capacity},"kv-bytes":327680,"link-mbps":3800000.0,"moves":true,"backups":true,"stride":11,"most":12,"kv-hold-s":0.5,"role-switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}{more}}}"#
    )
}

/// A request for a stream of `events` events, with more header lines.
pub fn stream_request(id: &str, (prompt, limit): (u64, u64), events: u64, more: &str) -> String {
    let body = events.to_string();
    format!(
        "POST /go/1 HTTP/1.1\r\nHost: site.example\r\nX-Cumindoor-Request-Id: {id}\r\n\
         X-Cumindoor-Model-Name: m\r\nX-Cumindoor-Token-Usage: {prompt},{limit}\r\n\
         X-Cumindoor-Prefix-Hash: 5c1e07a2:{}\r\nX-Cumindoor-Deadline-Ms: 14000\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        prompt,
        body.len()
    )
}

pub fn log_outcome(record: &Record, id: &str, outcome: &Outcome) {
    let how = match (outcome.complete, outcome.gave_up) {
        (true, _) => "answered completely",
        (false, true) => "given up by the client",
        (false, false) if outcome.closed => "NOT ANSWERED COMPLETELY: the connection was closed",
        (false, false) => "NOT ANSWERED COMPLETELY: the connection was reset",
    };
    let (status, took, bytes) = (outcome.status, outcome.took_ms, outcome.body.len());
    record.line(&format!("{id}: {how}, status {status}, {bytes} bytes, after {took} ms"));
}
