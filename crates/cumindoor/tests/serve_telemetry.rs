//! Propagation of the trace context, statsd counters, and panics inside a request.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use common::{FleetOptions, service, upstream, wait_until};
use coord::name::VmName;
use coord::sched::{Attempt, Job, JobId, Role};
use cumindoor::serve::cell::{Cell, Clock, Order, Progress};
use cumindoor::serve::route::Context;
use cumindoor::serve::telemetry::Telemetry;
use cumindoor::serve::{ServeOptions, Server, ServiceKind, Table};
use standin::{Engine, EngineOptions};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// Answers one HTTP request and returns its header section.
async fn answer_one_request(listener: TcpListener) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = vec![0; 4096];
    let count = stream.read(&mut head).await.unwrap();
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    stream.write_all(answer).await.unwrap();
    String::from_utf8_lossy(&head[..count]).into_owned()
}

/// Guards against a trace context that is not passed to the upstream, and against hop-by-hop
/// headers that are.
#[tokio::test]
async fn passes_the_trace_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let fleet = FleetOptions::default().start().await;
    let services = vec![service("stock", ServiceKind::Plain)];
    let upstreams = vec![upstream("raw", "stock", None, address)];
    fleet.table.replace(services, upstreams);
    let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    let headers = [("traceparent", parent.as_str()), ("te", "trailers")];

    let call = common::post(fleet.server.addr(), "/stock/x", &headers, String::new());
    let (answer, head) = tokio::join!(call, answer_one_request(listener));

    assert_eq!(answer.text().await, "ok");
    assert!(head.starts_with("POST /x HTTP/1.1"), "{head}");
    assert!(
        head.contains(&format!("traceparent: 00-{TRACE_ID}-")),
        "{head}"
    );
    assert!(!head.contains("trailers"), "{head}");
}

/// Guards against counters that never reach a statsd server.
#[test]
fn sends_counters_to_statsd() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(std::time::Duration::from_mins(1)))
        .unwrap();
    let telemetry = Telemetry::statsd(server.local_addr().unwrap()).unwrap();

    telemetry.add("tokens", 12);
    telemetry.flush();
    let mut packet = [0; 512];
    let count = server.recv(&mut packet).unwrap();

    let text = std::str::from_utf8(&packet[..count]).unwrap();
    assert!(text.contains("cumindoor.tokens:12|c"), "{text}");
    assert_eq!(telemetry.snapshot().counters["cumindoor.tokens"], 12);
}

/// A cell that orders a prefill and panics when the request reports that it is done.
#[derive(Default)]
struct PanickingCell {
    orders: std::sync::Mutex<Vec<mpsc::UnboundedSender<Order>>>,
}

impl Cell for PanickingCell {
    fn submit(&self, _job: Job) -> mpsc::UnboundedReceiver<Order> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let order = Order::Prefill {
            attempt: Attempt(1),
            prefill: "both".into(),
            decode: "both".into(),
        };
        sender.send(order).unwrap();
        self.orders.lock().unwrap().push(sender);
        receiver
    }

    fn report(&self, _id: JobId, _attempt: Attempt, progress: Progress) {
        assert!(
            !matches!(progress, Progress::PrefillDone(_)),
            "injected fault"
        );
    }
}

/// Guards against a caller that is never answered, and an engine that never frees a prefill result,
/// when the task of a request panics.
#[tokio::test]
async fn a_panic_in_a_request_answers_and_frees() {
    let engine = Engine::spawn(EngineOptions::default()).await.unwrap();
    let chat = service("chat", ServiceKind::Model);
    let both = upstream("both", "chat", Some(Role::Both), engine.addr());
    let table = Table::new(vec![chat], vec![both]);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = ServeOptions::new(VmName::from("vm-1"), listen);
    let cell = Arc::new(PanickingCell::default());
    let telemetry = Telemetry::in_memory();
    let context = Context::new(options, table, cell, Clock::start(), telemetry);
    let server = Server::bind(Arc::new(context), Vec::new()).await.unwrap();

    let body = common::chat_body("Panic", 5, true);
    let answer = common::post(server.addr(), "/v1/chat/completions", &[], body).await;
    let status = answer.status;
    let error = answer.json().await["error"].clone();

    assert_eq!(status, 503);
    assert_eq!(error["kind"], "unknown");
    // The engine may evict the unused result before the cancellation reaches it, so an empty engine
    // alone does not show that the cancellation was sent.
    wait_until("the cancel arrives", || engine.counts().cancels > 0).await;
    wait_until("the engine holds nothing", || engine.held_ids().is_empty()).await;
    wait_until("no request is left", || server.context().live.is_empty()).await;
}
