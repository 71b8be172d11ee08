//! Remote procedure calls between VMs over loopback connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::VmName;
use cumindoor::serve::peer::{
    Handler, Listener, ListenerHandle, ListenerOptions, MAX_FRAME_BYTES, NotFoundHandler, Part,
    PeerError, Peers, PeersOptions, Router,
};
use fastrace::future::FutureExt as _;
use fastrace::prelude::{Span, SpanContext};
use futures::future::BoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Far above any expected duration, so that tests do not fail on slow machines.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Echo;

impl Part for Echo {
    const NAME: &'static str = "echo";
    type Call = String;
    type Reply = (String, u128);
}

struct EchoHandler;

impl Handler<Echo> for EchoHandler {
    fn handle(&self, from: VmName, call: String) -> BoxFuture<'_, (String, u128)> {
        Box::pin(async move {
            match call.as_str() {
                "never" => std::future::pending().await,
                "panic" => panic!("the handler was asked to panic"),
                _ => {}
            }
            let trace = SpanContext::current_local_parent().map_or(0, |span| span.trace_id.0);
            (format!("{from}: {call}"), trace)
        })
    }
}

/// Returns the frame of a call of `echo`, as the transport writes it, with a deadline of `seconds`.
fn echo_frame(seconds: u64) -> Vec<u8> {
    #[derive(serde::Serialize)]
    enum Wire {
        Call((Envelope,)),
    }
    #[derive(serde::Serialize)]
    enum Message {
        Request((Context, u64, Wire)),
    }
    type Envelope = (&'static str, &'static str, u64, bytes::Bytes);
    type Context = ((u64, u32), ([u8; 16], u64, &'static str));
    let envelope = ("vm-9", "echo", 0, bytes::Bytes::from_static(b"\xa1x"));
    let context = ((seconds, 0), ([0; 16], 0, "Unsampled"));
    let body = Message::Request((context, 1, Wire::Call((envelope,))));
    let body = rmp_serde::to_vec(&body).unwrap();
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&length[..], &body[..]].concat()
}

struct Unregistered;

impl Part for Unregistered {
    const NAME: &'static str = "absent";
    type Call = ();
    type Reply = ();
}

async fn server() -> ListenerHandle {
    server_with(ListenerOptions::default()).await
}

async fn server_with(options: ListenerOptions) -> ListenerHandle {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, options).await.unwrap();
    let router = Router::new().with::<Echo>(Arc::new(EchoHandler));
    listener.spawn(router, Arc::new(NotFoundHandler)).unwrap()
}

fn client(options: PeersOptions) -> Peers {
    Peers::new(VmName::from("vm-1"), options)
}

async fn echo(peers: &Peers, to: SocketAddr, text: &str) -> Result<String, PeerError> {
    let reply = peers
        .call_at::<Echo>(to, &text.to_owned(), TEST_TIMEOUT)
        .await;
    reply.map(|(text, _)| text)
}

/// Forwards connections to `to`. Once `silence` is cancelled, connections that were open before
/// forward nothing more and stay open; later connections work.
async fn silenceable_proxy(to: SocketAddr, silence: CancellationToken) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut client_stream, _)) = socket.accept().await {
            let opened_after = silence.is_cancelled();
            let silence = silence.clone();
            tokio::spawn(async move {
                let mut server_stream = TcpStream::connect(to).await.unwrap();
                let copy = tokio::io::copy_bidirectional(&mut client_stream, &mut server_stream);
                if opened_after {
                    copy.await.unwrap();
                } else if silence.run_until_cancelled(copy).await.is_none() {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    addr
}

/// Opens a connection and upgrades it to the peer protocol.
async fn upgraded_connection(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = b"POST /peer HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n\
        Upgrade: cumindoor-peer/1\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.unwrap());
    }
    assert!(
        text.starts_with(b"HTTP/1.1 101"),
        "{}",
        String::from_utf8_lossy(&text)
    );
    stream
}

/// Guards against calls that name the wrong caller or lose their content.
#[tokio::test]
async fn a_call_is_answered() {
    let server = server().await;
    let peers = client(PeersOptions::default());
    peers.set_directory(BTreeMap::from([(VmName::from("vm-2"), server.addr())]));

    let reply = peers
        .call::<Echo>(&VmName::from("vm-2"), &"hello".to_owned(), TEST_TIMEOUT)
        .await;

    assert_eq!(reply.unwrap().0, "vm-1: hello");
    server.stop().await;
}

/// Guards against a trace context that is not passed on to the called VM.
#[tokio::test]
async fn the_trace_crosses_the_connection() {
    let server = server().await;
    let peers = client(PeersOptions::default());
    let root = SpanContext::random();
    let span = Span::root("test", root);
    let text = "hello".to_owned();

    let reply = peers
        .call_at::<Echo>(server.addr(), &text, TEST_TIMEOUT)
        .in_span(span)
        .await;

    assert_eq!(reply.unwrap().1, root.trace_id.0);
}

/// Guards against a caller that repeats a call on another VM although it may have run.
#[tokio::test]
async fn errors_tell_whether_the_call_may_have_run() {
    let server = server().await;
    let peers = client(PeersOptions::default());
    let short = Duration::from_millis(20);

    let unknown = peers
        .call::<Echo>(&VmName::from("vm-9"), &String::new(), TEST_TIMEOUT)
        .await;
    let unregistered = peers
        .call_at::<Unregistered>(server.addr(), &(), TEST_TIMEOUT)
        .await;
    let large = peers
        .call_at::<Echo>(server.addr(), &"x".repeat(MAX_FRAME_BYTES), TEST_TIMEOUT)
        .await;
    let late = peers
        .call_at::<Echo>(server.addr(), &"never".to_owned(), short)
        .await;

    assert!(unknown.unwrap_err().not_run());
    assert!(unregistered.unwrap_err().not_run());
    assert!(large.unwrap_err().not_run());
    assert!(!late.unwrap_err().not_run());
}

/// Guards against calls that wait until their deadline on a connection that is open but no longer
/// delivers anything.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let server = server().await;
    let silence = CancellationToken::new();
    let proxy_addr = silenceable_proxy(server.addr(), silence.clone()).await;
    let peers = client(PeersOptions::default());
    echo(&peers, proxy_addr, "before").await.unwrap();

    silence.cancel();
    let silent = echo(&peers, proxy_addr, "during").await;
    let after = echo(&peers, proxy_addr, "after").await;

    assert_eq!(silent.unwrap_err(), PeerError::Closed);
    assert_eq!(after.unwrap(), "vm-1: after");
}

/// Guards against malformed input that allocates memory, keeps its connection open or affects other
/// connections. The first case announces a frame of about 4 GiB.
#[rstest::rstest]
#[case::oversized(&[0xff, 0xff, 0xff, 0xff, 0x00])]
#[case::not_messagepack(&[0, 0, 0, 3, 0xc1, 0xc1, 0xc1])]
#[case::http_again(b"GET / HTTP/1.1\r\n\r\n")]
#[tokio::test]
async fn a_hostile_frame_closes_its_connection_only(#[case] bytes: &[u8]) {
    let server = server().await;
    let peers = client(PeersOptions::default());
    echo(&peers, server.addr(), "before").await.unwrap();
    let mut hostile = upgraded_connection(server.addr()).await;

    hostile.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    let end = tokio::time::timeout(TEST_TIMEOUT, hostile.read_to_end(&mut rest)).await;
    let after = echo(&peers, server.addr(), "after").await;

    assert!(end.is_ok(), "the connection stayed open");
    assert_eq!(after.unwrap(), "vm-1: after");
}

/// Guards against connections that stay open after their peer ended without closing them, and use
/// up the connection limit.
#[tokio::test]
async fn an_idle_connection_is_closed() {
    let options = ListenerOptions {
        idle_timeout: Duration::from_millis(50),
        ..ListenerOptions::default()
    };
    let server = server_with(options).await;
    let mut idle = upgraded_connection(server.addr()).await;

    let end = tokio::time::timeout(TEST_TIMEOUT, idle.read_to_end(&mut Vec::new())).await;

    assert!(end.is_ok(), "the connection stayed open");
}

/// Guards against a frame that affects other connections because its deadline is beyond the range
/// of the clock.
#[tokio::test]
async fn an_impossible_deadline_closes_its_connection_only() {
    let server = server().await;
    let peers = client(PeersOptions::default());
    let mut hostile = upgraded_connection(server.addr()).await;

    hostile.write_all(&echo_frame(10)).await.unwrap();
    let length = hostile.read_u32().await.unwrap();
    let mut reply = vec![0; usize::try_from(length).unwrap()];
    hostile.read_exact(&mut reply).await.unwrap();
    hostile.write_all(&echo_frame(u64::MAX)).await.unwrap();
    let end = tokio::time::timeout(TEST_TIMEOUT, hostile.read_to_end(&mut Vec::new())).await;
    let after = echo(&peers, server.addr(), "after").await;

    assert!(String::from_utf8_lossy(&reply).contains("vm-9: x"));
    assert!(end.is_ok(), "the connection stayed open");
    assert_eq!(after.unwrap(), "vm-1: after");
}

/// Guards against a panic in a handler that stops the listener or leaves its caller waiting.
#[tokio::test]
async fn a_panic_closes_its_connection_only() {
    let server = server().await;
    let peers = client(PeersOptions::default());

    let broken = echo(&peers, server.addr(), "panic").await;
    let after = echo(&peers, server.addr(), "after").await;

    assert_eq!(broken.unwrap_err(), PeerError::Closed);
    assert_eq!(after.unwrap(), "vm-1: after");
}

/// Guards against a number of connections that grows with the number of VMs.
#[tokio::test]
async fn connections_are_bounded() {
    let servers = [server().await, server().await, server().await];
    let options = PeersOptions {
        max_connections: 2,
        ..PeersOptions::default()
    };
    let peers = client(options);

    for server in &servers {
        echo(&peers, server.addr(), "hello").await.unwrap();
    }

    assert_eq!(peers.connections(), 2);
}

/// Guards against a stopped listener that still serves open connections or accepts new ones.
#[tokio::test]
async fn a_stopped_listener_closes_its_connections() {
    let server = server().await;
    let peers = client(PeersOptions::default());
    echo(&peers, server.addr(), "before").await.unwrap();

    server.stop().await;
    let after = echo(&peers, server.addr(), "after").await;

    assert!(after.is_err());
}

/// Returns the number of bytes that `calls` calls and their replies take on one connection.
async fn bytes_for_calls(calls: usize) -> u64 {
    let server = server().await;
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy_addr = socket.local_addr().unwrap();
    let counting = tokio::spawn(async move {
        let (mut client_stream, _) = socket.accept().await.unwrap();
        let mut server_stream = TcpStream::connect(server.addr()).await.unwrap();
        tokio::io::copy_bidirectional(&mut client_stream, &mut server_stream)
            .await
            .unwrap()
    });
    let peers = client(PeersOptions::default());
    for _ in 0..calls {
        echo(&peers, proxy_addr, "").await.unwrap();
    }
    drop(peers);
    let (up, down) = tokio::time::timeout(TEST_TIMEOUT, counting)
        .await
        .unwrap()
        .unwrap();
    up + down
}

/// Guards against a transport that needs more bytes than `coord/tests/scale.rs` assumes: 200 for
/// each message and 700 for each connection, of which TCP/IP takes 104 and 212.
#[tokio::test]
async fn calls_and_connections_cost_as_much_as_assumed() {
    let one = bytes_for_calls(1).await;
    let many = bytes_for_calls(101).await;

    // The measured size includes the content of the reply, "vm-1: " and the trace id, although it
    // is not overhead of the transport.
    let message = (many - one) / 200;
    let connection = one - 2 * message;

    println!("{message} bytes for each message, {connection} for the connection");
    assert!(message <= 96 && connection <= 488);
}
