//! Case 11: a planned stop of a gateway while requests wait there for memory at the decode engine.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use common::*;

/// The figures of `cmofc-print-grown`: the time limit of `hobby-review`, the memory of an engine, the tokens of an
/// event, and the mean prompt. A step takes 3.09 ms and more, so an event of 14 tokens takes 46 ms with others beside.
const PATIENCE: Duration = Duration::from_secs(14);
const KV_CAPACITY: u64 = 46_972;
const EVENT_TOKENS: u64 = 14;
const EVENT_MS: u64 = 46;
const PROMPT: u64 = 5_000;
/// The most events of a stream, and the mean.
const MOST_EVENTS: u64 = 170;
const MEAN_EVENTS: u64 = 70;
/// As many of the longest streams as fill the memory of the decode engine.
const LONG: u64 = 6;

const TENANTS: &str = r#","tenants":[{"name":"school","api-keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]"#;

/// Sends a request in the background. Its estimate of the output is right.
fn send(record: &Arc<Record>, mut client: Client, to: &str, id: String, events: u64) -> JoinHandle<(String, Outcome)> {
    let (record, to) = (Arc::clone(record), to.to_owned());
    thread::spawn(move || {
        let hint = events * EVENT_TOKENS;
        let more = format!("X-Cumindoor-Key: asnmgkcuyj8pjbvk9m68\r\nX-Cumindoor-Length-Hint: {hint}\r\n");
        let size = (PROMPT, MOST_EVENTS * EVENT_TOKENS);
        record.line(&format!("{id} is sent to {to}"));
        let outcome = client.send(&stream_request(&id, size, events, &more), PATIENCE);
        log_outcome(&record, &id, &outcome);
        (id, outcome)
    })
}

fn connect(gateway: &Gateway) -> Client {
    Client::connect(gateway.callers).unwrap_or_else(|| blocked("no connection"))
}

fn are_served(outcomes: &[(String, Outcome)]) -> bool {
    outcomes.iter().all(|(_, outcome)| outcome.status == 200 && outcome.complete)
}

fn join(handles: Vec<JoinHandle<(String, Outcome)>>) -> Vec<(String, Outcome)> {
    handles.into_iter().map(|handle| handle.join().unwrap()).collect()
}

fn main() {
    let (program, record, folder, trouble) = arguments();
    let store_addr = SocketAddr::from((ip(100), free_port(&[ip(100)])));
    let store = Store::start(store_addr);
    // hobby-review: aim 2,000 ms, time limit 14,000 ms, two attempts, resumable.
    let route = r#""kind":"stream","timeout-ms":14000,"target-latency-ms":2000,"max-attempts":2,"allow-anonymous":false,"resumable":true"#;
    store.put("op/config", &configuration("print-assistant", route, KV_CAPACITY, TENANTS));
    let site = Arc::new(Site {
        record: Arc::clone(&record),
        store: Arc::clone(&store),
        service: "print-assistant".to_owned(),
        kv_capacity: KV_CAPACITY,
        event_ms: EVENT_MS,
        event_tokens: EVENT_TOKENS,
        orders: Mutex::default(),
        runs: Mutex::new(BTreeMap::new()),
        loses: Box::new(|_, _| false),
    });
    let _engines = [Engine::start(&site, "p1", "prefill"), Engine::start(&site, "d1", "decode")];
    let port = free_port(&[ip(1), ip(2)]);
    let logs = folder.clone();
    let fleet = Fleet { folder, program, store: store_addr, port, seeds: vec![ip(1), ip(2)] };
    let mut stopped = fleet.start(&record, "front-1", ip(1), true);
    let other = fleet.start(&record, "front-2", ip(2), true);
    stopped.await_ready(&record);
    other.await_ready(&record);
    pause(4_000);

    let usual = (0..4).map(|n| send(&record, connect(&stopped), "front-1", format!("usual-{n}"), MEAN_EVENTS));
    if !are_served(&join(usual.collect())) {
        blocked("the usual streams were not served");
    }
    // Connections that clients have open when the stop begins. The platform gives the gateway no new ones soon after,
    // and open ones stay.
    let clients: Vec<Client> = (0..2).map(|_| connect(&stopped)).collect();
    let stop = record.now() + 500;
    until(&record, stop);
    if trouble {
        stopped.signal(&record, SIGTERM, "SIGTERM");
    }
    until(&record, stop + 700);
    let long = (0..LONG).map(|n| send(&record, connect(&other), "front-2", format!("long-{n}"), MOST_EVENTS));
    let long: Vec<_> = long.collect();
    until(&record, stop + 2_500);
    let waiting = clients.into_iter().enumerate();
    let waiting = waiting.map(|(n, client)| send(&record, client, "front-1, on an open connection", format!("waits-{n}"), 20));
    let waited = join(waiting.collect());
    if !are_served(&join(long)) {
        blocked("the streams that fill the engine were not served");
    }
    if trouble {
        stopped.wait(&record);
    }
    let runs = site.runs.lock().unwrap();
    let log = std::fs::read_to_string(logs.join("front-1.log")).unwrap_or_default();
    let mut lost = 0;
    for (id, outcome) in &waited {
        let is_read = log.lines().any(|line| line.contains("request waits") && line.contains(id.as_str()));
        if !is_read {
            blocked("a request did not wait at the gateway");
        }
        if !outcome.complete && !outcome.gave_up {
            lost += 1;
            let ran = runs.contains_key(id);
            let ended = if outcome.closed { "closed in order" } else { "reset" };
            let to = if ran { "ran" } else { "never was" };
            record.line(&format!("LOST: {id}, which the gateway had read and let wait, {to} at an engine; its connection was {ended}"));
        }
    }
    record.line(&format!("{lost} of {} requests lost", waited.len()));
    drop((other, stopped));
    std::process::exit(i32::from(lost > 0));
}
