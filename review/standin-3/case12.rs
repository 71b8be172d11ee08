//! Case 12: an engine crashes and starts again under its id with another version of its software.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::*;

const PATIENCE: Duration = Duration::from_secs(14);
const KV_CAPACITY: u64 = 66_998;
const SERVICE: &str = "logreader";
const EVENT_MS: u64 = 45;
const STREAMS: u64 = 24;

/// An engine of some start and version; the number of its start rises at each crash and each start.
struct Node {
    record: Arc<Record>,
    store: Arc<Store>,
    name: String,
    stage: &'static str,
    addr: Mutex<Option<SocketAddr>>,
    start: AtomicU64,
}

impl Node {
    fn new(record: &Arc<Record>, store: &Arc<Store>, name: &str, stage: &'static str) -> Arc<Self> {
        Arc::new(Self {
            record: Arc::clone(record),
            store: Arc::clone(store),
            name: name.to_owned(),
            stage,
            addr: Mutex::new(None),
            start: AtomicU64::new(0),
        })
    }

    /// Starts the engine: it registers itself, and takes requests from then on.
    fn run(self: &Arc<Self>, version: &'static str) {
        let addr = self.addr.lock().unwrap().unwrap_or(SocketAddr::from((ip(200), 0)));
        let listener = TcpListener::bind(addr).unwrap_or_else(|e| blocked(&e.to_string()));
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        *self.addr.lock().unwrap() = Some(addr);
        let start = self.start.fetch_add(1, Ordering::SeqCst) + 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let entry = format!(
            r#"{{"service":"{SERVICE}","address":"{addr}","zone":"z1","version":"{version}","slots":64,"state":"ready","cold-remaining-ms":0,"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#,
            self.stage
        );
        self.store.put(&format!("servers/{}", self.name), &entry);
        self.record.line(&format!("{} starts with version {version}, and registers itself", self.name));
        let node = Arc::clone(self);
        let handler: Handler = Arc::new({
            let node = Arc::clone(self);
            move |request, stream| node.handle(request, stream, (start, version))
        });
        thread::spawn(move || {
            while node.start.load(Ordering::SeqCst) == start {
                let Ok((stream, _)) = listener.accept() else {
                    pause(1);
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve_connection(stream, &handler));
            }
        });
    }

    /// Ends the engine: its connections are reset, and it sends nothing to the store.
    fn crash(&self) {
        self.start.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("{} crashes", self.name));
    }

    fn is_down(&self, start: u64) -> bool {
        self.start.load(Ordering::SeqCst) != start
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream, (start, version): (u64, &str)) -> bool {
        if self.is_down(start) {
            reset_on_close(stream);
            return false;
        }
        let target = request.header("x-cumindoor-target-instance");
        if target.is_some_and(|target| target != self.name) {
            let headers = format!("X-Cumindoor-Instance-Id: {}\r\n", self.name);
            return answer(stream, "421 Misdirected Request", &headers, "");
        }
        if request.path == "/report" || request.path.starts_with("/kv-handle/") {
            return answer(stream, "200 OK", "Content-Type: application/json\r\n", "{}");
        }
        if request.id().is_empty() {
            return answer(stream, "400 Bad Request", "X-Cumindoor-Not-Executed: 1\r\n", "");
        }
        let echo = format!("X-Cumindoor-Request-Id: {}\r\nX-Cumindoor-Weight-Versions: 1\r\n", request.id());
        let is_prefill = request.header("x-cumindoor-serving-stage") == Some("prefill");
        if is_prefill != (self.stage == "prefill") {
            return answer(stream, "421 Misdirected Request", &echo, "");
        }
        let usage = request.header("x-cumindoor-token-usage").unwrap_or("0,0");
        let prompt: u64 = usage.split(',').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        if is_prefill {
            pause(prompt / 55 + 1);
            let headers = format!("{echo}Content-Type: application/json\r\n");
            let body = format!(r#"{{"kv-handle":"h-{}","tokens":{prompt},"version":1}}"#, request.id());
            return answer(stream, "200 OK", &headers, &body);
        }
        let last: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.record.line(&format!("{} ({version}) runs {} after event {last}", self.name, request.id()));
        // A decode engine that has no copy of the prompt reads it at half the speed.
        if request.header("x-cumindoor-kv-source").is_none() {
            pause(prompt / 27 + 1);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Cumindoor-Engine-Signature: sig.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        let events: u64 = request.text().trim().parse().unwrap_or(10);
        let mut written = stream.write_all(head.as_bytes()).is_ok();
        for id in last + 1..=events {
            pause(EVENT_MS);
            if self.is_down(start) {
                reset_on_close(stream);
                return false;
            }
            let event = format!("id: {id}\ndata: token {id} of {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            written = written && stream.write_all(chunk.as_bytes()).is_ok();
            if !written {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn main() {
    let (program, record, folder, trouble) = arguments();
    let store_addr = SocketAddr::from((ip(100), free_port(&[ip(100)])));
    let store = Store::start(store_addr);
    let route = r#""kind":"stream","timeout-ms":14000,"target-latency-ms":900,"max-attempts":2,"resumable":true"#;
    store.put("op/config", &configuration(SERVICE, route, KV_CAPACITY, ""));
    let node = |name: &str, stage| Node::new(&record, &store, name, stage);
    // Two versions serve side by side: one decode engine is left of v1, and two have v2.
    let first = [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode")];
    let next = [("p3", "prefill"), ("p4", "prefill"), ("p5", "prefill"), ("d2", "decode"), ("d3", "decode")];
    let first = first.map(|(name, stage)| node(name, stage));
    first.iter().for_each(|node| node.run("v1"));
    next.iter().for_each(|(name, stage)| node(name, stage).run("v2"));
    let [_, _, d1] = first;
    let port = free_port(&[ip(1), ip(2)]);
    let fleet = Fleet { folder, program, store: store_addr, port, seeds: vec![ip(1), ip(2)] };
    let gateways = [fleet.start(&record, "front-1", ip(1), true), fleet.start(&record, "front-2", ip(2), true)];
    gateways.iter().for_each(|gateway| gateway.await_ready(&record));
    // The steady state begins a window of the retry budget after the start.
    pause(12_000);
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let addr = gateways[usize::try_from(number % 2).unwrap()].callers;
        let record = Arc::clone(&record);
        clients.push(thread::spawn(move || {
            let id = format!("claim-{number}");
            record.line(&format!("{id} is sent to {addr}"));
            let mut client = Client::connect(addr).unwrap_or_else(|| blocked("no connection"));
            let outcome = client.send(&stream_request(&id, (1_000, 170), 100 + number, ""), PATIENCE);
            log_outcome(&record, &id, &outcome);
            (id, outcome)
        }));
    }
    pause(1_700);
    // Two empty engines are added to the eight (scale_out).
    node("d4", "decode").run("v2");
    pause(100);
    node("d5", "decode").run("v2");
    pause(50);
    if trouble {
        d1.crash();
        pause(400);
        d1.run("v2");
    }
    let outcomes: Vec<(String, Outcome)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let mut mixed = 0;
    let mut begun = 0;
    for (id, outcome) in &outcomes {
        let text = String::from_utf8_lossy(&outcome.body);
        let counts = ["v1", "v2"].map(|version| text.matches(&format!("of {version}\n")).count());
        begun += u64::from(text.contains("id: 1\ndata: token 1 of v1\n"));
        if counts.iter().all(|count| *count > 0) {
            mixed += 1;
            let whole = if outcome.complete { "whole" } else { "cut" };
            record.line(&format!("ORDER: {id} holds {} events of v1 and then {} of v2, {whole}", counts[0], counts[1]));
        }
    }
    record.line(&format!("{begun} of {STREAMS} streams began at v1, and {mixed} hold events of two versions"));
    if begun < 3 {
        blocked("too few streams began at v1");
    }
    drop(gateways);
    std::process::exit(i32::from(mixed > 2));
}
