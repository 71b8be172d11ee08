//! Six engines leave the store's list in a quiet hour while the store cuts waiting watches. Do they still get requests
//! more than `drain-ms` later?
#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;
use lib::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN_MS: u64 = 2_000;
const GATEWAYS: usize = 2;
const ENGINES: usize = 24;
/// The engines that leave: a quarter.
const LEAVING: usize = 6;

fn main() {
    let trouble = has_trouble();
    let record = Record::new();
    let store = Arc::new(Store::default());
    let platform = store.spawn();
    let config = r#"{"version":1,"routes":[{"name":"r-1","host":"a.example","prefix":"/desk/","kind":"safe","timeout-ms":800,"target-latency-ms":150,"priority":2,"service":"desk","max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    store.put("op/config", config);
    // When each request reached an engine that leaves.
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let is_leaving = Arc::new(AtomicBool::new(false));
    let mut leaving = Vec::new();
    for number in 0..ENGINES {
        let id = format!("i-{number:010x}");
        let (name, record, arrivals) = (id.clone(), Arc::clone(&record), Arc::clone(&arrivals));
        let is_leaving = Arc::clone(&is_leaving);
        let server = serve(Arc::new(move |request, stream| {
            // An engine that leaves says so in all its answers.
            let mut headers = Vec::new();
            if number < LEAVING && is_leaving.load(Ordering::Relaxed) {
                headers.push(("Server-Leaving", "1"));
            }
            if request
                .header("X-Cumindoor-Target-Instance")
                .is_some_and(|target| target != name)
            {
                headers.push(("X-Cumindoor-Instance-Id", &name));
                return answer(stream, "421 Misdirected Request", &headers, "");
            }
            let Some(request_id) = request.header("X-Cumindoor-Request-Id") else {
                headers.push(("X-Cumindoor-Not-Executed", "1"));
                return answer(stream, "400 Bad Request", &headers, "");
            };
            let at = record.note(format!("engine {name} runs {request_id}"));
            if number < LEAVING {
                arrivals.lock().unwrap().push(at);
            }
            thread::sleep(Duration::from_millis(20));
            headers.extend([
                ("X-Cumindoor-Request-Id", request_id),
                ("X-Cumindoor-Engine-Signature", "s.1"),
                ("X-Cumindoor-Engine-Load", "1,0,6"),
            ]);
            answer(stream, "200 OK", &headers, "balance")
        }));
        let entry = format!(
            r#"{{"service":"desk","address":"{}","zone":"zone-1","version":"v1","slots":6,"state":"ready","cold-remaining-ms":0,"sequence":1}}"#,
            server.addr
        );
        store.put(&format!("servers/{id}"), &entry);
        if number < LEAVING {
            leaving.push(id);
        }
    }
    let mut gateways = Gateways::start(GATEWAYS, platform.addr);
    if !gateways.wait_ready() {
        gateways.stop();
        std::process::exit(2);
    }
    record.note("all gateways are ready".to_owned());
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    // Two requests a second, at the gateways in turn.
    let client = {
        let (record, ended, served) =
            (Arc::clone(&record), Arc::clone(&ended), Arc::clone(&served));
        let callers = gateways.callers.clone();
        thread::spawn(move || {
            let mut number = 0usize;
            while !ended.load(Ordering::Relaxed) {
                let began = Instant::now();
                let (id, addr) = (format!("{number:016x}"), callers[number % GATEWAYS]);
                number += 1;
                let text = format!(
                    "GET /desk/2f HTTP/1.1\r\nHost: a.example\r\nX-Cumindoor-Request-Id: {id}\r\nX-Cumindoor-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
                );
                record.note(format!("client sends {id} to {addr}"));
                let status =
                    call(addr, &text, Duration::from_millis(1_500)).map_or(0, |(status, _)| status);
                record.note(format!("client got {status} for {id}"));
                served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
            }
        })
    };
    thread::sleep(Duration::from_secs(6));
    if trouble {
        store.cut_after.store(900, Ordering::Relaxed);
        record.note("from now on the store cuts watches that have waited for 900 ms".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    is_leaving.store(true, Ordering::Relaxed);
    let mut gone = 0;
    for id in &leaving {
        store.delete(&format!("servers/{id}"));
        gone = record.note(format!(
            "the entry of {id} is removed from the store; it goes on serving"
        ));
    }
    thread::sleep(Duration::from_secs(12));
    record.note("the end".to_owned());
    ended.store(true, Ordering::Relaxed);
    let _ = client.join();
    gateways.stop();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<u64> = arrivals
        .iter()
        .filter(|at| **at > gone + DRAIN_MS)
        .map(|at| at - gone)
        .collect();
    let (cuts, served) = (
        store.cuts.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
    );
    record.note(format!("{served} requests served, {cuts} watches cut"));
    record.note(format!("requests that reached engines later than {DRAIN_MS} ms after the removal of their entries: {late:?} ms"));
    record.write(&std::env::args().nth(1).expect("the path of the record"));
    println!(
        "late requests: {} ({late:?} ms after the removal), {cuts} cuts, {served} served",
        late.len()
    );
    let could_run = served > 0 && (!trouble || cuts > 0);
    std::process::exit(if !could_run {
        2
    } else {
        i32::from(!late.is_empty())
    });
}
