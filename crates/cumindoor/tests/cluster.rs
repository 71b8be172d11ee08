//! Cluster tasks of several VMs in one process over loopback, with a minimal fake of the platform's
//! configuration service.

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

/// The timeout of all waits. It is far above any expected duration, so that a slow machine does not
/// make a test fail.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The documents and the list that the fake platform serves.
#[derive(Clone, Default)]
struct PlatformState {
    revision: u64,
    documents: Vec<Value>,
    list_revision: u64,
    vms: Vec<Value>,
}

struct FakePlatform {
    addr: SocketAddr,
    state: watch::Sender<PlatformState>,
}

impl FakePlatform {
    async fn spawn() -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let state = watch::Sender::new(PlatformState::default());
        let receiver = state.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let receiver = receiver.clone();
                let service = service_fn(move |request| answer(request, receiver.clone()));
                let http = hyper::server::conn::http1::Builder::new();
                tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { addr, state }
    }

    fn publish(&self, name: &str, text: Option<&str>) {
        self.state.send_modify(|state| {
            state.revision += 1;
            let document = json!({"name": name, "revision": state.revision, "text": text});
            state.documents.retain(|old| old["name"] != name);
            state.documents.push(document);
        });
    }

    fn set_list(&self, vms: Vec<Value>) {
        self.state.send_modify(|state| {
            state.list_revision += 1;
            state.vms = vms;
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
    mut receiver: watch::Receiver<PlatformState>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (since, wait) = (query(&request, "since"), query(&request, "wait_ms"));
    let list = request.uri().path() == "/v1/vms";
    let newer = |s: &PlatformState| (if list { s.list_revision } else { s.revision }) > since;
    let _ = tokio::time::timeout(Duration::from_millis(wait), receiver.wait_for(newer)).await;
    let state = receiver.borrow().clone();
    let body = if list {
        json!({"revision": state.list_revision, "vms": state.vms, "upstreams": [{
            "name": "engine-1", "service": "writer", "role": "decode", "data_centre": "east",
            "address": "127.0.0.1:9", "state": "live",
        }]})
    } else {
        let newer = |document: &&Value| document["revision"].as_u64() > Some(since);
        let documents: Vec<_> = state.documents.iter().filter(newer).collect();
        json!({"revision": state.revision, "documents": documents})
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
            data_centre: "east".into(),
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

    async fn wait_for_live(&self, count: usize) {
        let mut view = self.cluster.view();
        let found = view.wait_for(|view| {
            let live = view
                .members
                .values()
                .filter(|m| m.status == MemberStatus::Live);
            live.count() == count && view.members.len() == count
        });
        let found = tokio::time::timeout(WAIT_TIMEOUT, found)
            .await
            .map(|found| found.is_ok());
        assert!(
            found.is_ok(),
            "{}: {:?}",
            self.name,
            self.cluster.view().borrow()
        );
    }

    async fn wait_for_document(&self, name: &str, text: Option<&str>) {
        let mut documents = self.cluster.documents();
        let found = documents.wait_for(|documents| {
            documents.get(name).map(|document| document.text.as_ref()) == text
        });
        let found = tokio::time::timeout(WAIT_TIMEOUT, found)
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

async fn fleet(platform: &FakePlatform) -> Vec<Vm> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut vms = Vec::new();
    for name in ["vm-1", "vm-2", "vm-3"] {
        vms.push(Vm::spawn(name, any, platform.addr).await);
    }
    platform.set_list(vms.iter().map(Vm::entry).collect());
    vms
}

/// All VMs must find each other and receive new, changed and deleted documents. A malformed
/// document must not come into force, and its findings must be published.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_forms_and_follows_changes() {
    let platform = FakePlatform::spawn().await;
    platform.publish("org-1", Some("limit = 1"));
    let vms = fleet(&platform).await;

    for vm in &vms {
        vm.wait_for_live(3).await;
        vm.wait_for_document("org-1", Some("limit = 1")).await;
    }
    platform.publish("org-1", Some("malformed"));
    platform.publish("org-2", Some("limit = 2"));
    for vm in &vms {
        vm.wait_for_document("org-2", Some("limit = 2")).await;
        vm.wait_for_document("org-1", Some("limit = 1")).await;
    }
    let expected = vec!["org-1: line 1: no `=`".to_owned()];
    for vm in &vms {
        let mut findings = vm.cluster.findings();
        let findings = findings.wait_for(|found| found.get("org-1") == Some(&expected));
        assert!(
            tokio::time::timeout(WAIT_TIMEOUT, findings).await.is_ok(),
            "{}: the findings were not published",
            vm.name
        );
    }
    platform.publish("org-1", None);
    for vm in &vms {
        vm.wait_for_document("org-1", None).await;
        let mut listed = vm.cluster.listed();
        let listed = listed.wait_for(|listed| listed.upstreams.len() == 1);
        assert!(
            tokio::time::timeout(WAIT_TIMEOUT, listed).await.is_ok(),
            "{}: the list of upstreams was not published",
            vm.name
        );
    }
}

/// A VM that boots must receive documents that exceed the size of one call, alone or together.
#[tokio::test(flavor = "multi_thread")]
async fn large_documents_reach_a_vm_that_boots() {
    let platform = FakePlatform::spawn().await;
    let text = format!("limit = {}", "1".repeat(1_000_000));
    for number in 1..=4 {
        platform.publish(&format!("org-{number}"), Some(&text));
    }
    let mut vms = fleet(&platform).await;
    for vm in &vms {
        vm.wait_for_document("org-4", Some(&text)).await;
    }

    let lost = vms.pop().unwrap();
    lost.kill().await;
    let back = Vm::spawn("vm-3", lost.running.addr(), platform.addr).await;

    for number in 1..=4 {
        back.wait_for_document(&format!("org-{number}"), Some(&text))
            .await;
    }
}

/// A crashed VM must be removed from the view. After a restart it must return to the view and
/// receive the documents again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_vm_leaves_the_view_and_comes_back() {
    let platform = FakePlatform::spawn().await;
    platform.publish("org-1", Some("limit = 1"));
    let mut vms = fleet(&platform).await;
    for vm in &vms {
        vm.wait_for_live(3).await;
    }

    let lost = vms.pop().unwrap();
    let addr = lost.running.addr();
    lost.kill().await;
    for vm in &vms {
        vm.wait_for_live(2).await;
    }
    let back = Vm::spawn("vm-3", addr, platform.addr).await;
    for vm in vms.iter().chain([&back]) {
        vm.wait_for_live(3).await;
    }
    back.wait_for_document("org-1", Some("limit = 1")).await;
}

/// While its cluster task is stopped, a VM must still publish its documents. After a restart of the
/// task, it must join the fleet again and receive new documents.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_task_joins_again() {
    let platform = FakePlatform::spawn().await;
    platform.publish("org-1", Some("limit = 1"));
    let mut vms = fleet(&platform).await;
    for vm in &vms {
        vm.wait_for_live(3).await;
        vm.wait_for_document("org-1", Some("limit = 1")).await;
    }

    vms[0].stop.cancel();
    for vm in &vms[1..] {
        vm.wait_for_live(2).await;
    }
    let kept = vms[0].cluster.documents().borrow().get("org-1").is_some();
    vms[0].stop = CancellationToken::new();
    vms[0].run();
    platform.publish("org-1", Some("limit = 2"));
    for vm in &vms {
        vm.wait_for_live(3).await;
        vm.wait_for_document("org-1", Some("limit = 2")).await;
    }

    assert!(kept, "the published documents were lost");
}

/// The view of a VM must not be trusted while the cluster task of that VM is not running.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_task_is_not_trusted() {
    let platform = FakePlatform::spawn().await;
    let vms = fleet(&platform).await;
    for vm in &vms {
        vm.wait_for_live(3).await;
    }
    while !vms[0].cluster.trusted() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    vms[0].stop.cancel();
    tokio::time::sleep(MemberOptions::default().pause_threshold * 2).await;

    assert!(!vms[0].cluster.trusted());
}

/// A VM that is stopping must announce that to its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_is_seen_as_leaving() {
    let platform = FakePlatform::spawn().await;
    let vms = fleet(&platform).await;
    for vm in &vms {
        vm.wait_for_live(3).await;
    }

    vms[0].cluster.leave();

    for vm in &vms[1..] {
        let mut view = vm.cluster.view();
        let left = view.wait_for(|view| {
            let member = view.members.get(&"vm-1".into());
            member.is_some_and(|member| member.status == MemberStatus::Leaving)
        });
        assert!(
            tokio::time::timeout(WAIT_TIMEOUT, left).await.is_ok(),
            "{}: the leave of vm-1 was not announced",
            vm.name
        );
    }
}
