//! Small stand-ins of the store, engines and clients for the scripts of this review. Standard library only.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, number: i32) {
    unsafe {
        kill(child.id() as i32, number);
    }
}

/// Closes a connection with a reset (SO_LINGER with a time of 0).
pub fn reset(stream: &TcpStream) {
    let linger = [1i32, 0];
    unsafe {
        setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8);
    }
}

/// What was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
        })
    }
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn note(&self, line: String) -> u64 {
        let mut lines = self.lines.lock().unwrap();
        let ms = self.ms();
        lines.push((ms, line));
        ms
    }
    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines
            .iter()
            .map(|(ms, line)| format!("{ms:>7} ms  {line}\n"))
            .collect();
        std::fs::write(path, text).expect("the record can be written");
    }
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v.replace("%2F", "/"))
    }
}

/// Reads one message up to its body; the first value is its first line.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.as_str())
}

/// Reads a body with a length or in chunks; `None` if it breaks off.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
    to_end: bool,
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match find(headers, "content-length") {
        Some(length) => {
            body = vec![0; length.parse().ok()?];
            reader.read_exact(&mut body).ok()?;
        }
        None if to_end => {
            reader.read_to_end(&mut body).ok()?;
        }
        None => {}
    }
    Some(body)
}

/// What becomes of the connection after a request.
#[derive(PartialEq)]
pub enum After {
    Keep,
    Close,
}

pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> After + Send + Sync>;

/// A server whose connections can be refused from some moment on.
pub struct Server {
    pub addr: SocketAddr,
    pub stopped: Arc<AtomicBool>,
}

pub fn serve(handler: Handler) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&stopped);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || connection(stream, handler));
        }
    });
    Server { addr, stopped }
}

fn connection(mut stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some((first, headers)) = read_head(&mut reader) {
        let mut words = first.split(' ');
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return;
        };
        let Some(body) = read_body(&mut reader, &headers, false) else {
            return;
        };
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            headers,
            body,
        };
        if handler(&request, &mut stream) == After::Close {
            return;
        }
    }
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &str) -> After {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("\r\n{body}");
    match stream.write_all(text.as_bytes()) {
        Ok(()) => After::Keep,
        Err(_) => After::Close,
    }
}

struct Item {
    value: String,
    revision: u64,
    create: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, value (none if deleted), create-revision.
    changes: Vec<(u64, String, Option<String>, u64)>,
}

/// The platform's store, as PROTOCOL.md describes it.
#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    /// Milliseconds after which a waiting watch is cut; 0 for never.
    pub cut_after: AtomicU64,
    pub cuts: AtomicU64,
}

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let value = base64(value.as_bytes());
        let create = content.items.get(key).map_or(revision, |item| item.create);
        content.items.insert(
            key.to_owned(),
            Item {
                value: value.clone(),
                revision,
                create,
            },
        );
        content
            .changes
            .push((revision, key.to_owned(), Some(value), create));
        self.changed.notify_all();
    }
    pub fn delete(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.changes.push((revision, key.to_owned(), None, 0));
        self.changed.notify_all();
    }
    pub fn spawn(self: &Arc<Self>) -> Server {
        let store = Arc::clone(self);
        serve(Arc::new(move |request, stream| {
            store.handle(request, stream)
        }))
    }
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> After {
        let json = [("Content-Type", "application/json")];
        let prefix = request.query("prefix").unwrap_or_default();
        if request.path.starts_with("/kv-range?") {
            let after = request.query("after").unwrap_or_default();
            let content = self.content.lock().unwrap();
            let found = content.items.iter();
            let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = found
                .map(|(key, item)| written(key, &item.value, item.revision, item.create))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has-more\":false,\"as-of\":{}}}",
                items.join(","),
                content.revision
            );
            drop(content);
            return answer(stream, "200 OK", &json, &body);
        }
        if request.path.starts_with("/kv-watch?") {
            let after: u64 = request
                .query("after")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let wait: u64 = request
                .query("wait-ms")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let began = Instant::now();
            let mut content = self.content.lock().unwrap();
            loop {
                let news = content
                    .changes
                    .iter()
                    .filter(|c| c.0 > after && c.1.starts_with(&prefix));
                let events: Vec<String> = news
                    .map(|(revision, key, value, create)| match value {
                        Some(value) => written(key, value, *revision, *create),
                        None => format!(
                            "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                        ),
                    })
                    .collect();
                let waited = began.elapsed().as_millis() as u64;
                if !events.is_empty() || waited >= wait {
                    let body = format!(
                        "{{\"events\":[{}],\"as-of\":{}}}",
                        events.join(","),
                        content.revision
                    );
                    drop(content);
                    return answer(stream, "200 OK", &json, &body);
                }
                let cut = self.cut_after.load(Ordering::Relaxed);
                if cut > 0 && waited >= cut {
                    self.cuts.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.shutdown(Shutdown::Both);
                    return After::Close;
                }
                content = self
                    .changed
                    .wait_timeout(content, Duration::from_millis(5))
                    .unwrap()
                    .0;
            }
        }
        answer(stream, "404 Not Found", &json, "{}")
    }
}

fn written(key: &str, value: &str, revision: u64, create: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create-revision\":{create},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    let digits = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let all = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for place in 0..4 {
            if place <= part.len() {
                text.push(digits[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The gateways of a small deployment, on loopback addresses of their own.
pub struct Gateways {
    pub callers: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
    pub children: Vec<Child>,
    pub settings: Vec<PathBuf>,
    pub folder: PathBuf,
}

fn free_port(ips: &[String]) -> u16 {
    loop {
        let port = TcpListener::bind((ips[0].as_str(), 0))
            .unwrap()
            .local_addr()
            .unwrap()
            .port();
        if ips
            .iter()
            .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
        {
            return port;
        }
    }
}

impl Gateways {
    pub fn start(count: usize, store: SocketAddr) -> Self {
        Self::start_some(count, count, store)
    }

    /// Starts the first `started` gateways of a deployment with room for `count`.
    pub fn start_some(count: usize, started: usize, store: SocketAddr) -> Self {
        let folder =
            std::env::temp_dir().join(format!("cumindoor-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ips: Vec<String> = (1..=count).map(|n| format!("127.61.0.{n}")).collect();
        let [callers, ready, metrics, fleet, control] = [(); 5].map(|()| free_port(&ips));
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{control}"))
            .collect();
        let mut all = Self {
            callers: Vec::new(),
            ready: Vec::new(),
            children: Vec::new(),
            settings: Vec::new(),
            folder,
        };
        for (number, ip) in ips.iter().enumerate() {
            let text = format!(
                "[gateway]\nname = front-{number}\ndata-centre = zone-1\ngrace = 8 s\n\n[listen]\ncallers = {ip}:{callers}\n\
                 ready = {ip}:{ready}\nmetrics = {ip}:{metrics}\n\n[fleet]\naddress = {ip}:{fleet}\nseeds = {}\n\n\
                 [store]\naddress = {store}\n\n[orders]\nbalance = yes\nlease = 3000 ms\n\n\
                 [repeats]\nratio = 0.2\nslack = 56\nwindow = 10 s\n\n[resources]\nlink = 1000.0\n",
                seeds.join(",")
            );
            let path = all.folder.join(format!("front-{number}.ini"));
            std::fs::write(&path, text).unwrap();
            all.settings.push(path);
            all.callers.push(format!("{ip}:{callers}").parse().unwrap());
            all.ready.push(format!("{ip}:{ready}").parse().unwrap());
            if number < started {
                let child = all.spawn(number);
                all.children.push(child);
            }
        }
        all
    }

    /// Starts one gateway with the command of the deploy file.
    pub fn spawn(&self, number: usize) -> Child {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("front-{number}.log")))
            .unwrap();
        let errors = log.try_clone().unwrap();
        Command::new("target/release/cumindoor")
            .args(["gateway", "--settings"])
            .arg(&self.settings[number])
            .env("CUMINDOOR_BOOT", &self.settings[number])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the deploy file's build has made target/release/cumindoor")
    }

    /// Waits until all gateways are ready; returns false if they are not within 10 s.
    pub fn wait_ready(&self) -> bool {
        self.wait_ready_some(self.ready.len())
    }

    /// Waits until the first `count` gateways are ready.
    pub fn wait_ready_some(&self, count: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        self.ready.iter().take(count).all(|addr| {
            while Instant::now() < until {
                if get(*addr, "/readiness").is_some_and(|(status, _)| status == 200) {
                    return true;
                }
                thread::sleep(Duration::from_millis(20));
            }
            false
        })
    }

    pub fn stop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a request without headers over a new connection.
pub fn get(addr: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    call(
        addr,
        &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
        Duration::from_secs(2),
    )
}

/// Sends a request over a new connection; returns the status and the whole body, or `None` if the answer breaks off.
pub fn call(addr: SocketAddr, text: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers, true)?;
    Some((status, body))
}

/// Random numbers from a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn share(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
