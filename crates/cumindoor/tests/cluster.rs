//! Several cluster tasks of one process over loopback, with a minimal fake of the platform.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::config::{Options as ConfigOptions, Validator};
use coord::member::{MemberStatus, Options as MemberOptions};
use cumindoor::serve::cluster::{Cluster, ClusterOptions};
use cumindoor::serve::peer::{
    Listener, ListenerHandle, ListenerOptions, NotFoundHandler, Peers, PeersOptions, Router,
};
use cumindoor::serve::registry::Registry;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Far above any expected duration, so that a slow machine does not change a verdict.
const LIMIT: Duration = Duration::from_mins(1);

/// What the fake platform shows.
#[derive(Clone, Default)]
struct Shown {
    revision: u64,
    documents: Vec<Value>,
    list: u64,
    vms: Vec<Value>,
}

struct Fake {
    addr: SocketAddr,
    shown: watch::Sender<Shown>,
}

impl Fake {
    async fn spawn() -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let shown = watch::Sender::new(Shown::default());
        let seen = shown.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let seen = seen.clone();
                let service = service_fn(move |request| answer(request, seen.clone()));
                let http = hyper::server::conn::http1::Builder::new();
                tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { addr, shown }
    }

    fn publish(&self, name: &str, text: Option<&str>) {
        self.shown.send_modify(|shown| {
            shown.revision += 1;
            let document = json!({"name": name, "revision": shown.revision, "text": text});
            shown.documents.retain(|old| old["name"] != name);
            shown.documents.push(document);
        });
    }

    fn list(&self, vms: Vec<Value>) {
        self.shown.send_modify(|shown| {
            shown.list += 1;
            shown.vms = vms;
        });
    }
}

fn query(request: &Request<hyper::body::Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

async fn answer(
    request: Request<hyper::body::Incoming>,
    mut seen: watch::Receiver<Shown>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (since, wait) = (query(&request, "since"), query(&request, "wait_ms"));
    let list = request.uri().path() == "/v1/vms";
    let newer = |shown: &Shown| (if list { shown.list } else { shown.revision }) > since;
    let _ = tokio::time::timeout(Duration::from_millis(wait), seen.wait_for(newer)).await;
    let shown = seen.borrow().clone();
    let body = if list {
        json!({"revision": shown.list, "vms": shown.vms, "upstreams": [{
            "name": "engine-1", "service": "writer", "role": "decode", "data_centre": "east",
            "address": "127.0.0.1:9", "state": "live",
        }]})
    } else {
        let newer = |document: &&Value| document["revision"].as_u64() > Some(since);
        let documents: Vec<_> = shown.documents.iter().filter(newer).collect();
        json!({"revision": shown.revision, "documents": documents})
    };
    Ok(Response::new(Full::from(body.to_string())))
}

struct Vm {
    cluster: Cluster,
    running: ListenerHandle,
    stop: CancellationToken,
    name: String,
}

impl Vm {
    async fn spawn(name: &str, addr: SocketAddr, platform: SocketAddr) -> Self {
        let listener = Listener::bind(addr, ListenerOptions::default())
            .await
            .unwrap();
        let addr = listener.addr().unwrap();
        let peers = Peers::new(name.into(), PeersOptions::default());
        let options = ClusterOptions {
            name: name.into(),
            zone: "east".into(),
            addr,
            seed: u64::from(addr.port()),
            validator: validator(),
            members: MemberOptions::default(),
            config: ConfigOptions::default(),
        };
        let cluster = Cluster::new(options, peers, Registry::new(platform));
        let router = cluster.register(Router::new());
        let running = listener.spawn(router, Arc::new(NotFoundHandler)).unwrap();
        let vm = Self {
            cluster,
            running,
            stop: CancellationToken::new(),
            name: name.to_owned(),
        };
        vm.run();
        vm
    }

    fn run(&self) {
        let (cluster, stop) = (self.cluster.clone(), self.stop.clone());
        tokio::spawn(async move { cluster.run(stop).await });
    }

    fn entry(&self) -> Value {
        json!({
            "name": self.name, "data_centre": "east", "peer": self.running.addr(), "state": "live",
        })
    }

    async fn kill(&self) {
        self.stop.cancel();
        self.running.stop().await;
    }

    async fn sees(&self, count: usize) {
        let mut view = self.cluster.view();
        let found = view.wait_for(|view| {
            let live = view
                .members
                .values()
                .filter(|m| m.status == MemberStatus::Live);
            live.count() == count && view.members.len() == count
        });
        let found = tokio::time::timeout(LIMIT, found)
            .await
            .map(|found| found.is_ok());
        assert!(
            found.is_ok(),
            "{}: {:?}",
            self.name,
            self.cluster.view().borrow()
        );
    }

    async fn holds(&self, name: &str, text: Option<&str>) {
        let mut documents = self.cluster.documents();
        let found = documents.wait_for(|documents| {
            documents.get(name).map(|document| document.text.as_ref()) == text
        });
        let found = tokio::time::timeout(LIMIT, found)
            .await
            .map(|found| found.is_ok());
        assert!(
            found.is_ok(),
            "{}: {:?}",
            self.name,
            self.cluster.documents().borrow()
        );
    }
}

fn validator() -> Validator {
    Arc::new(|name, text| {
        if text.contains('=') {
            Ok(())
        } else {
            Err(vec![format!("{name}: line 1: no `=`")])
        }
    })
}

async fn fleet(fake: &Fake) -> Vec<Vm> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut vms = Vec::new();
    for name in ["vm-1", "vm-2", "vm-3"] {
        vms.push(Vm::spawn(name, any, fake.addr).await);
    }
    fake.list(vms.iter().map(Vm::entry).collect());
    vms
}

/// Guards against VMs that do not find each other, or documents that do not reach them.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_forms_and_follows_changes() {
    let fake = Fake::spawn().await;
    fake.publish("org-1", Some("limit = 1"));
    let vms = fleet(&fake).await;

    for vm in &vms {
        vm.sees(3).await;
        vm.holds("org-1", Some("limit = 1")).await;
    }
    fake.publish("org-1", Some("malformed"));
    fake.publish("org-2", Some("limit = 2"));
    for vm in &vms {
        vm.holds("org-2", Some("limit = 2")).await;
        vm.holds("org-1", Some("limit = 1")).await;
    }
    let expected = vec!["org-1: line 1: no `=`".to_owned()];
    for vm in &vms {
        let mut findings = vm.cluster.findings();
        let findings = findings.wait_for(|found| found.get("org-1") == Some(&expected));
        assert!(
            tokio::time::timeout(LIMIT, findings).await.is_ok(),
            "{}: no findings",
            vm.name
        );
    }
    fake.publish("org-1", None);
    for vm in &vms {
        vm.holds("org-1", None).await;
        let mut listed = vm.cluster.listed();
        let listed = listed.wait_for(|listed| listed.upstreams.len() == 1);
        assert!(
            tokio::time::timeout(LIMIT, listed).await.is_ok(),
            "{}: no list",
            vm.name
        );
    }
}

/// Guards against documents that together, or alone, are larger than a call may be.
#[tokio::test(flavor = "multi_thread")]
async fn large_documents_reach_a_vm_that_boots() {
    let fake = Fake::spawn().await;
    let text = format!("limit = {}", "1".repeat(1_000_000));
    for number in 1..=4 {
        fake.publish(&format!("org-{number}"), Some(&text));
    }
    let mut vms = fleet(&fake).await;
    for vm in &vms {
        vm.holds("org-4", Some(&text)).await;
    }

    let lost = vms.pop().unwrap();
    lost.kill().await;
    let back = Vm::spawn("vm-3", lost.running.addr(), fake.addr).await;

    for number in 1..=4 {
        back.holds(&format!("org-{number}"), Some(&text)).await;
    }
}

/// Guards against a dead VM that stays in the view, and a restarted one that is not taken back or
/// does not get the documents again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_vm_leaves_the_view_and_comes_back() {
    let fake = Fake::spawn().await;
    fake.publish("org-1", Some("limit = 1"));
    let mut vms = fleet(&fake).await;
    for vm in &vms {
        vm.sees(3).await;
    }

    let lost = vms.pop().unwrap();
    let addr = lost.running.addr();
    lost.kill().await;
    for vm in &vms {
        vm.sees(2).await;
    }
    let back = Vm::spawn("vm-3", addr, fake.addr).await;
    for vm in vms.iter().chain([&back]) {
        vm.sees(3).await;
    }
    back.holds("org-1", Some("limit = 1")).await;
}

/// Guards against a restarted task that loses what was published or stays out of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_task_joins_again() {
    let fake = Fake::spawn().await;
    fake.publish("org-1", Some("limit = 1"));
    let mut vms = fleet(&fake).await;
    for vm in &vms {
        vm.sees(3).await;
        vm.holds("org-1", Some("limit = 1")).await;
    }

    vms[0].stop.cancel();
    for vm in &vms[1..] {
        vm.sees(2).await;
    }
    let kept = vms[0].cluster.documents().borrow().get("org-1").is_some();
    vms[0].stop = CancellationToken::new();
    vms[0].run();
    fake.publish("org-1", Some("limit = 2"));
    for vm in &vms {
        vm.sees(3).await;
        vm.holds("org-1", Some("limit = 2")).await;
    }

    assert!(kept, "the published documents were lost");
}

/// Guards against a VM that trusts its view while its task does not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_task_is_not_trusted() {
    let fake = Fake::spawn().await;
    let vms = fleet(&fake).await;
    for vm in &vms {
        vm.sees(3).await;
    }
    while !vms[0].cluster.trusted() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    vms[0].stop.cancel();
    tokio::time::sleep(MemberOptions::default().pause_threshold * 2).await;

    assert!(!vms[0].cluster.trusted());
}

/// Guards against a VM that stops without telling its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_is_seen_as_leaving() {
    let fake = Fake::spawn().await;
    let vms = fleet(&fake).await;
    for vm in &vms {
        vm.sees(3).await;
    }

    vms[0].cluster.leave();

    for vm in &vms[1..] {
        let mut view = vm.cluster.view();
        let left = view.wait_for(|view| {
            let member = view.members.get(&"vm-1".into());
            member.is_some_and(|member| member.status == MemberStatus::Leaving)
        });
        assert!(
            tokio::time::timeout(LIMIT, left).await.is_ok(),
            "{}: not told",
            vm.name
        );
    }
}
