//! A request crashes each engine that runs it, and all gateways are lost twice. Do engines get it in more than three
//! retries after it has crashed the third?
#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;
use lib::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 2;
const PREFILL_ENGINES: usize = 2;
const DECODE_ENGINES: usize = 6;
const STABLE_WINDOW_MS: u64 = 3_000;
/// Time between two events of a stream.
const GAP: Duration = Duration::from_millis(50);
/// Events after which the engine crashes.
const CRASH_AFTER_EVENTS: u64 = 2;
/// All gateways are killed before the request comes for the sixth and for the eleventh time, and are away for this time.
const KILLS: [u64; 2] = [5, 10];
const AWAY: Duration = Duration::from_secs(1);
/// Time after which a crashed engine is back, as a new lifetime.
const DOWN: Duration = Duration::from_secs(2);
/// Three ping intervals of 1,200 ms.
const SILENCE: Duration = Duration::from_millis(3_600);
/// The rule: not more than three retries.
const MAX_RETRIES: usize = 3;
const POISON: &str = "the prompt that crashes";

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    next: AtomicU64,
    handles: Mutex<BTreeSet<String>>,
    /// When the poison request reached a decode engine, and when it crashed one.
    arrivals: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
}

struct Engine {
    name: String,
    is_prefill: bool,
    crashed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl World {
    /// Starts one lifetime of an engine.
    fn start(self: &Arc<Self>, is_prefill: bool) {
        let name = format!("i-{:010x}", self.next.fetch_add(1, Ordering::Relaxed));
        let engine = Arc::new(Engine {
            name,
            is_prefill,
            crashed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let (world, served) = (Arc::clone(self), Arc::clone(&engine));
        let ended = Arc::new(Mutex::new(None));
        let own = Arc::clone(&ended);
        let server = serve(Arc::new(move |request, stream| {
            let after = world.handle(&served, request, stream);
            if served.crashed.load(Ordering::Relaxed) {
                let mut own = own.lock().unwrap();
                if let Some((addr, stopped)) = own.take() {
                    let stopped: Arc<AtomicBool> = stopped;
                    stopped.store(true, Ordering::Relaxed);
                    // Ends the listener, so that new connections are refused.
                    let _ = TcpStream::connect::<std::net::SocketAddr>(addr);
                    for open in served.open.lock().unwrap().drain(..) {
                        let _ = open.shutdown(Shutdown::Both);
                    }
                    world.restart(&served);
                }
                return After::Close;
            }
            after
        }));
        *ended.lock().unwrap() = Some((server.addr, Arc::clone(&server.stopped)));
        let stage = if is_prefill { "prefill" } else { "decode" };
        let entry = format!(
            r#"{{"service":"reader","address":"{}","zone":"zone-1","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1}}"#,
            server.addr
        );
        self.store.put(&format!("servers/{}", engine.name), &entry);
    }

    fn restart(self: &Arc<Self>, engine: &Engine) {
        let (world, key, is_prefill) = (
            Arc::clone(self),
            format!("servers/{}", engine.name),
            engine.is_prefill,
        );
        thread::spawn(move || {
            thread::sleep(DOWN);
            world.start(is_prefill);
            thread::sleep(SILENCE - DOWN);
            world.store.delete(&key);
        });
    }

    fn handle(&self, engine: &Engine, request: &Request, stream: &mut TcpStream) -> After {
        let name = &*engine.name;
        let json = ("Content-Type", "application/json");
        if engine.crashed.load(Ordering::Relaxed) {
            return After::Close;
        }
        if let Ok(copy) = stream.try_clone() {
            engine.open.lock().unwrap().push(copy);
        }
        if request.method == "DELETE" {
            return answer(stream, "200 OK", &[], "");
        }
        if request
            .header("X-Cumindoor-Target-Instance")
            .is_some_and(|target| target != name)
        {
            return answer(
                stream,
                "421 Misdirected Request",
                &[("X-Cumindoor-Instance-Id", name)],
                "",
            );
        }
        if request.path == "/report" {
            let stage = if engine.is_prefill {
                "prefill"
            } else {
                "decode"
            };
            let body = format!(
                r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued-requests":0,"active-requests":0,"kv-used":0,"kv-total":66998,"kv-handles":0}}"#
            );
            return answer(stream, "200 OK", &[json], &body);
        }
        if request.path == "/order" {
            return answer(stream, "409 Conflict", &[], "");
        }
        let Some(id) = request.header("X-Cumindoor-Request-Id").map(str::to_owned) else {
            return answer(
                stream,
                "400 Bad Request",
                &[("X-Cumindoor-Not-Executed", "1")],
                "",
            );
        };
        let echo = ("X-Cumindoor-Request-Id", &*id);
        let wants_prefill = request.header("X-Cumindoor-Serving-Stage") == Some("prefill");
        if wants_prefill != engine.is_prefill {
            return answer(
                stream,
                "421 Misdirected Request",
                &[("X-Cumindoor-Instance-Id", name)],
                "",
            );
        }
        if wants_prefill {
            thread::sleep(Duration::from_millis(30));
            let handle = format!(
                "{:012x}",
                0x3fa0_0000_0000 + self.next.fetch_add(1, Ordering::Relaxed)
            );
            self.handles.lock().unwrap().insert(handle.clone());
            let body = format!(r#"{{"kv-handle":"{handle}","tokens":1460,"version":1}}"#);
            return answer(stream, "200 OK", &[echo, json], &body);
        }
        if let Some(source) = request.header("X-Cumindoor-Kv-Source") {
            let handle = source.rsplit('/').next().unwrap_or_default();
            if !self.handles.lock().unwrap().remove(handle) {
                return answer(
                    stream,
                    "503 Service Unavailable",
                    &[echo, ("X-Cumindoor-Not-Executed", "1")],
                    "",
                );
            }
        }
        let is_poison = request.body == POISON.as_bytes();
        let at = self.record.note(format!(
            "engine {name} begins to run {id}{}",
            if is_poison {
                ", the poison request"
            } else {
                ""
            }
        ));
        if is_poison {
            self.arrivals.lock().unwrap().push(at);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Cumindoor-Request-Id: {id}\r\nX-Cumindoor-Engine-Signature: s.1\r\nX-Cumindoor-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return After::Close;
        }
        let events = if is_poison { 72 } else { 8 };
        for event in 1..=events {
            if engine.crashed.load(Ordering::Relaxed) {
                return After::Close;
            }
            if is_poison && event > CRASH_AFTER_EVENTS {
                engine.crashed.store(true, Ordering::Relaxed);
                let at = self
                    .record
                    .note(format!("engine {name} crashes under {id}"));
                self.crashes.lock().unwrap().push(at);
                return After::Close;
            }
            let text = format!("id: {event}\ndata: token\n\n");
            if stream
                .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .is_err()
            {
                return After::Close;
            }
            thread::sleep(GAP);
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => After::Keep,
            Err(_) => After::Close,
        }
    }
}

fn send(record: &Record, addr: std::net::SocketAddr, id: &str, body: &str) {
    let text = format!(
        "POST /digests/2f HTTP/1.1\r\nHost: a.example\r\nX-Cumindoor-Request-Id: {id}\r\nX-Cumindoor-Model-Name: m\r\nX-Cumindoor-Token-Usage: 1460,80\r\nX-Cumindoor-Prefix-Hash: 5c1e07a2:200,{id}:1260\r\nX-Cumindoor-Deadline-Ms: 14000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    record.note(format!("client sends {id} to {addr}"));
    match call(addr, &text, Duration::from_secs(14)) {
        Some((status, body)) => record.note(format!(
            "client got {status} with {} bytes for {id}",
            body.len()
        )),
        None => record.note(format!("client got no complete answer for {id}")),
    };
}

fn main() {
    let trouble = has_trouble();
    let record = Record::new();
    let store = Arc::new(Store::default());
    let platform = store.spawn();
    let config = r#"{"version":1,"routes":[{"name":"r-1","host":"a.example","prefix":"/digests/","kind":"stream","timeout-ms":14000,"target-latency-ms":900,"priority":1,"service":"reader","max-attempts":1,"sticky":true,"resumable":false,"gap-aim-ms":300}],"services":[{"name":"reader","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":66998,"kv-bytes":327680,"link-mbps":3800000.0,"moves":true,"backups":true,"stride":11,"most":12,"kv-hold-s":0.5,"role-switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    store.put("op/config", config);
    let world = Arc::new(World {
        record: Arc::clone(&record),
        store: Arc::clone(&store),
        next: AtomicU64::new(1),
        handles: Mutex::default(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
    });
    for number in 0..PREFILL_ENGINES + DECODE_ENGINES {
        world.start(number < PREFILL_ENGINES);
    }
    let mut gateways = Gateways::start(GATEWAYS, platform.addr);
    if !gateways.wait_ready() {
        gateways.stop();
        std::process::exit(2);
    }
    record.note("all gateways are ready".to_owned());
    thread::sleep(Duration::from_secs(4));
    // Sound requests of other callers, ten a second.
    let ended = Arc::new(AtomicBool::new(false));
    let sound = {
        let (record, ended, callers) = (
            Arc::clone(&record),
            Arc::clone(&ended),
            gateways.callers.clone(),
        );
        thread::spawn(move || {
            let mut number = 0u64;
            while !ended.load(Ordering::Relaxed) {
                let (record, addr) = (Arc::clone(&record), callers[number as usize % GATEWAYS]);
                let id = format!("a{number:015x}");
                number += 1;
                thread::spawn(move || send(&record, addr, &id, &format!("the prompt of {id}")));
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    // The poison request comes again every 4 s, at the gateways in turn.
    // Arrivals are not counted until the gateways are in touch again.
    let mut untouched = Vec::new();
    for number in 0..16u64 {
        if trouble && KILLS.contains(&number) {
            for child in &mut gateways.children {
                let _ = child.kill();
                let _ = child.wait();
            }
            let killed = record.note("all gateways are killed".to_owned());
            thread::sleep(AWAY);
            gateways.children = (0..GATEWAYS)
                .map(|gateway| gateways.spawn(gateway))
                .collect();
            if !gateways.wait_ready() {
                gateways.stop();
                std::process::exit(2);
            }
            let back = record.note("all gateways are back".to_owned());
            untouched.push((killed, back + STABLE_WINDOW_MS));
            // The caller comes when the gateways are in touch.
            thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 300));
        }
        let (record, addr) = (
            Arc::clone(&record),
            gateways.callers[number as usize % GATEWAYS],
        );
        thread::spawn(move || send(&record, addr, &format!("b{number:015x}"), POISON));
        thread::sleep(Duration::from_secs(4));
    }
    ended.store(true, Ordering::Relaxed);
    let _ = sound.join();
    gateways.stop();
    let (arrivals, crashes) = (
        world.arrivals.lock().unwrap(),
        world.crashes.lock().unwrap(),
    );
    let third = crashes.get(2).copied();
    let in_touch = |at: &u64| !untouched.iter().any(|(from, to)| from <= at && at < to);
    let late = third.map_or(0, |third| {
        arrivals
            .iter()
            .filter(|at| **at > third + STABLE_WINDOW_MS && in_touch(at))
            .count()
    });
    record.note(format!(
        "the poison request reached decode engines {} times and crashed {}",
        arrivals.len(),
        crashes.len()
    ));
    record.note(format!("times that it reached one later than {STABLE_WINDOW_MS} ms after it had crashed the third, from machines in touch: {late} (allowed: {MAX_RETRIES})"));
    record.write(&std::env::args().nth(1).expect("the path of the record"));
    println!(
        "engines crashed: {}; arrivals later than {STABLE_WINDOW_MS} ms after the third crash: {late}",
        crashes.len()
    );
    std::process::exit(if arrivals.is_empty() {
        2
    } else {
        i32::from(late > MAX_RETRIES)
    });
}
