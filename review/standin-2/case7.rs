//! A machine is added while the machines that its seeds name are down. Do two machines give orders to one engine
//! within `lease-ms`?
#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;
use lib::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LEASE_MS: u64 = 3_000;
const ROLE_SWITCH: Duration = Duration::from_secs(6);
/// Machines 0 to 2 are the seeds, 3 and 4 two others, and 5 is added later.
const GATEWAYS: usize = 6;
const ADDED: usize = 5;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 2;

struct Order {
    ms: u64,
    engine: String,
    holder: String,
    fence: u64,
    status: &'static str,
}

struct Engine {
    name: String,
    addr: Mutex<Option<SocketAddr>>,
    stage: Mutex<&'static str>,
    busy: AtomicBool,
    sequence: AtomicU64,
    fence: AtomicU64,
    handles: Mutex<Vec<String>>,
}

struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    orders: Mutex<Vec<Order>>,
    next: AtomicU64,
}

impl World {
    fn register(&self, engine: &Engine) {
        let addr = engine.addr.lock().unwrap().expect("the engine listens");
        let (stage, sequence) = (
            *engine.stage.lock().unwrap(),
            engine.sequence.load(Ordering::Relaxed),
        );
        let entry = format!(
            r#"{{"service":"reader","address":"{addr}","zone":"zone-1","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#
        );
        self.store.put(&format!("servers/{}", engine.name), &entry);
    }

    /// Carries out an order as PROTOCOL.md tells.
    fn order(self: &Arc<Self>, engine: &Arc<Engine>, body: &str) -> &'static str {
        let text = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            Some(rest.split([',', '}']).next()?.trim_matches('"').to_owned())
        };
        let (Some(holder), Some(fence)) = (
            text("holder"),
            text("fencing-token").and_then(|v| v.parse::<u64>().ok()),
        ) else {
            return "400 Bad Request";
        };
        let wanted = if text("stage").as_deref() == Some("prefill") {
            "prefill"
        } else {
            "decode"
        };
        let status = if fence < engine.fence.load(Ordering::Relaxed) {
            "412 Precondition Failed"
        } else if engine.busy.load(Ordering::Relaxed) {
            "409 Conflict"
        } else if *engine.stage.lock().unwrap() == wanted {
            "200 OK"
        } else {
            "202 Accepted"
        };
        engine.fence.fetch_max(fence, Ordering::Relaxed);
        if status.starts_with("202") {
            engine.busy.store(true, Ordering::Relaxed);
            engine.sequence.fetch_add(1, Ordering::Relaxed);
            let (world, engine) = (Arc::clone(self), Arc::clone(engine));
            thread::spawn(move || {
                thread::sleep(ROLE_SWITCH);
                *engine.stage.lock().unwrap() = wanted;
                engine.busy.store(false, Ordering::Relaxed);
                world.register(&engine);
            });
        }
        let ms = self.record.note(format!(
            "engine {} gets an order of {holder} with fence {fence}: stage {wanted}; {status}",
            engine.name
        ));
        self.orders.lock().unwrap().push(Order {
            ms,
            engine: engine.name.clone(),
            holder,
            fence,
            status,
        });
        status
    }

    fn handle(
        self: &Arc<Self>,
        engine: &Arc<Engine>,
        request: &Request,
        stream: &mut TcpStream,
    ) -> After {
        let name = &*engine.name;
        let json = ("Content-Type", "application/json");
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
        let stage = *engine.stage.lock().unwrap();
        let busy = engine.busy.load(Ordering::Relaxed);
        if request.path == "/report" {
            let sequence = engine.sequence.load(Ordering::Relaxed);
            let body = format!(
                r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{busy},"sequence":{sequence},"queued-requests":0,"active-requests":0,"kv-used":0,"kv-total":66998,"kv-handles":0}}"#
            );
            return answer(stream, "200 OK", &[json], &body);
        }
        if request.path == "/order" {
            let status = self.order(engine, &String::from_utf8_lossy(&request.body));
            return answer(stream, status, &[], "");
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
        if busy {
            return answer(
                stream,
                "503 Service Unavailable",
                &[echo, ("X-Cumindoor-Not-Executed", "1")],
                "",
            );
        }
        if wants_prefill != (stage == "prefill") {
            return answer(
                stream,
                "421 Misdirected Request",
                &[("X-Cumindoor-Instance-Id", name)],
                "",
            );
        }
        if wants_prefill {
            thread::sleep(Duration::from_millis(40));
            let handle = format!("{:012x}", self.next.fetch_add(1, Ordering::Relaxed));
            engine.handles.lock().unwrap().push(handle.clone());
            let body = format!(r#"{{"kv-handle":"{handle}","tokens":8000,"version":1}}"#);
            return answer(stream, "200 OK", &[echo, json], &body);
        }
        self.record.note(format!("engine {name} runs {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Cumindoor-Request-Id: {id}\r\nX-Cumindoor-Engine-Signature: s.1\r\nX-Cumindoor-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return After::Close;
        }
        for event in 1..=20 {
            let text = format!("id: {event}\ndata: token\n\n");
            if stream
                .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .is_err()
            {
                return After::Close;
            }
            thread::sleep(Duration::from_millis(200));
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => After::Keep,
            Err(_) => After::Close,
        }
    }
}

fn main() {
    let trouble = has_trouble();
    let record = Record::new();
    let store = Arc::new(Store::default());
    let platform = store.spawn();
    let config = r#"{"version":1,"routes":[{"name":"r-1","host":"a.example","prefix":"/logs/","kind":"stream","timeout-ms":14000,"target-latency-ms":900,"priority":1,"service":"reader","max-attempts":1,"sticky":true,"resumable":false,"gap-aim-ms":300}],"services":[{"name":"reader","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":66998,"kv-bytes":327680,"link-mbps":3800000.0,"moves":true,"backups":true,"stride":11,"most":12,"kv-hold-s":0.5,"role-switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    store.put("op/config", config);
    let world = Arc::new(World {
        record: Arc::clone(&record),
        store: Arc::clone(&store),
        orders: Mutex::default(),
        next: AtomicU64::new(0x3fa0_9c41_0000),
    });
    for number in 0..PREFILL_ENGINES + DECODE_ENGINES {
        let engine = Arc::new(Engine {
            name: format!("i-000000000{number}"),
            addr: Mutex::default(),
            stage: Mutex::new(if number < PREFILL_ENGINES {
                "prefill"
            } else {
                "decode"
            }),
            busy: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            handles: Mutex::default(),
        });
        let (served, handler) = (Arc::clone(&engine), Arc::clone(&world));
        let server = serve(Arc::new(move |request, stream| {
            handler.handle(&served, request, stream)
        }));
        *engine.addr.lock().unwrap() = Some(server.addr);
        world.register(&engine);
    }
    let mut gateways = Gateways::start_some(GATEWAYS, ADDED, platform.addr);
    if !gateways.wait_ready_some(ADDED) {
        gateways.stop();
        std::process::exit(2);
    }
    record.note(format!(
        "gateways front-0 to front-{} are ready; the seeds are front-0, front-1 and front-2",
        ADDED - 1
    ));
    thread::sleep(Duration::from_secs(4));
    if trouble {
        for child in gateways.children.iter_mut().take(3) {
            let _ = child.kill();
            let _ = child.wait();
        }
        record.note("the machines of front-0, front-1 and front-2 are lost".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let child = gateways.spawn(ADDED);
    gateways.children.push(child);
    record.note(format!("a machine is added: front-{ADDED} starts"));
    thread::sleep(Duration::from_secs(66));
    record.note("the load begins".to_owned());
    let ended = Arc::new(AtomicBool::new(false));
    // 3.2 streams a second to each of two gateways, 4 s each.
    let senders: Vec<_> = [3, ADDED]
        .into_iter()
        .map(|gateway| {
            let (record, ended, addr) = (Arc::clone(&record), Arc::clone(&ended), gateways.callers[gateway]);
            thread::spawn(move || {
                let mut number = 0u64;
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("{gateway:04x}{number:012x}");
                    number += 1;
                    let record = Arc::clone(&record);
                    thread::spawn(move || {
                        let body = format!("the prompt of {id}");
                        let text = format!("POST /logs/2f HTTP/1.1\r\nHost: a.example\r\nX-Cumindoor-Request-Id: {id}\r\nX-Cumindoor-Model-Name: m\r\nX-Cumindoor-Token-Usage: 8000,170\r\nX-Cumindoor-Prefix-Hash: 5c1e07a2:200,{id}:7800\r\nX-Cumindoor-Deadline-Ms: 14000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
                        record.note(format!("client sends {id} to front-{gateway}"));
                        let status = call(addr, &text, Duration::from_secs(14)).map_or(0, |(status, _)| status);
                        record.note(format!("client got {status} for {id}"));
                    });
                    thread::sleep(Duration::from_millis(310));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(24));
    ended.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    gateways.stop();
    let orders = world.orders.lock().unwrap();
    let mut last: BTreeMap<&str, &Order> = BTreeMap::new();
    let mut turns = 0;
    for order in orders.iter() {
        if let Some(before) = last.insert(&order.engine, order)
            && before.holder != order.holder
            && order.ms - before.ms < LEASE_MS
        {
            turns += 1;
            record.note(format!(
                "engine {}: {} (fence {}, {}) and {} ms later {} (fence {}, {})",
                order.engine,
                before.holder,
                before.fence,
                before.status,
                order.ms - before.ms,
                order.holder,
                order.fence,
                order.status
            ));
        }
    }
    record.note(format!(
        "{} orders; turns of two holders at one engine within {LEASE_MS} ms: {turns}",
        orders.len()
    ));
    record.write(&std::env::args().nth(1).expect("the path of the record"));
    println!(
        "{} orders; turns of two holders at one engine within {LEASE_MS} ms: {turns}",
        orders.len()
    );
    std::process::exit(if orders.is_empty() {
        2
    } else {
        i32::from(turns > 0)
    });
}
