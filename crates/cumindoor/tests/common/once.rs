//! A fleet of routers with claims in one test process, in front of a plain service and two engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::claim::{ClaimOptions, VmList};
use coord::name::{DataCentre, Incarnation, VmName};
use coord::sched::Role;
use cumindoor::serve::claim::FleetClaims;
use cumindoor::serve::node::DocumentText;
use cumindoor::serve::peer::Peers;
use cumindoor::serve::view::{Member, View};
use cumindoor::serve::{Node, NodeInputs, NodeOptions, ServeOptions, UpstreamSpec};
use http_body_util::BodyExt;
use standin::{Engine, Plain, PlainOptions};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{Answer, chat_body, post, upstream, wait_until, with_timeout};

/// Returns a document with the at-most-once plain service `desk` and the at-most-once model service
/// `buy`. The lines of `more` are added to both.
pub fn document(more: &str) -> String {
    format!(
        "[organisation]\nname = celeste\n\n\
         [service desk]\nkind = plain\nupstreams = desk\nonce = yes\n{more}\n\
         [service buy]\nkind = model\nupstreams = chat\nmodel = chat-v1\nttft-target = 1 min\n\
         itl-target = 1 s\ndeadline = 1 min\nonce = yes\n{more}\n\
         [upstreams chat]\nslots = 1\nprefill-ttl = 10 s\n"
    )
}

/// A router with its own runtime, so that a test can end it as a crash does.
pub struct Vm {
    pub node: Arc<Node>,
    pub claims: FleetClaims,
    peers: Peers,
    view: watch::Sender<Arc<View>>,
    runtime: Option<Runtime>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Routers with claims and the upstreams behind them.
pub struct ClaimFleet {
    pub vms: BTreeMap<String, Vm>,
    pub desk: Plain,
    pub prefill: Arc<Engine>,
    pub decode: Arc<Engine>,
    pub lists: watch::Sender<Option<VmList>>,
    documents: watch::Sender<Arc<BTreeMap<String, DocumentText>>>,
    upstreams: watch::Sender<Arc<Vec<UpstreamSpec>>>,
}

/// The uptime of the VMs at the start of a test. It exceeds the retention time, so that the VMs
/// grant claims from the start.
const UPTIME: Duration = Duration::from_hours(3);

impl ClaimFleet {
    pub async fn start(vms: usize) -> Self {
        Self::with(vms, &document("")).await
    }

    pub async fn with(vms: usize, document: &str) -> Self {
        let desk = Plain::spawn(PlainOptions::default()).await.unwrap();
        let prefill = super::nodes::engine(standin::Role::Prefill, 20).await;
        let decode = super::nodes::engine(standin::Role::Decode, 20).await;
        let listed = vec![
            upstream("desk-0", "desk", None, desk.addr()),
            upstream("prefill-0", "chat", Some(Role::Prefill), prefill.addr()),
            upstream("decode-0", "chat", Some(Role::Decode), decode.addr()),
        ];
        let names: Vec<String> = (1..=vms).map(|number| format!("vm-{number}")).collect();
        let list = VmList::new(1, names.iter().map(|name| VmName::from(name.as_str())));
        let text = DocumentText {
            revision: 1,
            text: document.into(),
        };
        let documents = BTreeMap::from([("celeste".to_owned(), text)]);
        let mut fleet = Self {
            vms: BTreeMap::new(),
            desk,
            prefill,
            decode,
            lists: watch::Sender::new(Some(list)),
            documents: watch::Sender::new(Arc::new(documents)),
            upstreams: watch::Sender::new(Arc::new(listed)),
        };
        for name in &names {
            fleet.boot(name, UPTIME).await;
        }
        fleet.set_reachability(|_, _| true).await;
        let known = |vm: &Vm| !vm.node.in_force().is_empty();
        wait_until("the document is in force", || fleet.vms.values().all(known)).await;
        let ready = |vm: &Vm| vm.claims.ready();
        wait_until("all VMs grant", || fleet.vms.values().all(ready)).await;
        fleet
    }

    /// Starts a router whose claims have the given uptime. It replaces a router of the same name.
    pub async fn boot(&mut self, name: &str, uptime: Duration) {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let view = watch::Sender::new(Arc::new(View::default()));
        let feed = NodeInputs {
            view: view.subscribe(),
            documents: self.documents.subscribe(),
            upstreams: self.upstreams.subscribe(),
            ready: watch::channel(true).1,
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let own = VmName::from(name);
        let lists = self.lists.subscribe();
        let starting = runtime.spawn(async move {
            let serve = ServeOptions::new(own.clone(), any);
            let mut options = NodeOptions::bind(serve, DataCentre::from("suape"), any).await?;
            let (settings, peers) = (ClaimOptions::default(), options.peers.clone());
            let claims = match uptime {
                Duration::ZERO => FleetClaims::new(own, settings, peers.clone(), lists),
                uptime => FleetClaims::with_uptime(uptime, own, settings, peers.clone(), lists),
            };
            options.router = claims.register(options.router);
            options.tasks.push(claims.task());
            options.claims = Some(Arc::new(claims.clone()));
            Ok::<_, eyre::Report>((Node::start(options, feed).await?, claims, peers))
        });
        let (node, claims, peers) = starting.await.unwrap().unwrap();
        let vm = Vm {
            node: Arc::new(node),
            claims,
            peers,
            view,
            runtime: Some(runtime),
        };
        self.vms.insert(name.to_owned(), vm);
    }

    /// Ends a router without a graceful stop.
    pub fn crash(&mut self, name: &str) {
        self.vms.remove(name);
    }

    /// Sets which routers each router can reach: those for which `reaches(from, to)` is true. Waits
    /// until the routers have applied it.
    pub async fn set_reachability(&self, reaches: impl Fn(&str, &str) -> bool) {
        for (from, vm) in &self.vms {
            let known = self
                .vms
                .iter()
                .filter(|(to, _)| from == *to || reaches(from, to));
            let member = |vm: &Vm| Member {
                data_centre: DataCentre::from("suape"),
                incarnation: Incarnation(1),
                address: vm.node.peer_addr(),
                leaving: false,
            };
            let vms = known.map(|(name, vm)| (VmName::from(name.as_str()), member(vm)));
            let view = View {
                trusted: true,
                majority: true,
                vms: vms.collect(),
            };
            let listed = |to: &String| view.vms.contains_key(&VmName::from(to.as_str()));
            let expected: Vec<bool> = self.vms.keys().map(listed).collect();
            vm.peers.set_directory(view.addresses());
            vm.view.send_replace(Arc::new(view));
            let found = |to: &String| vm.peers.address(&VmName::from(to.as_str())).is_some();
            let in_force = || self.vms.keys().map(found).eq(expected.iter().copied());
            wait_until("the addresses are in force", in_force).await;
        }
    }

    /// Sends a call to the plain service `desk`.
    pub async fn call_desk(&self, vm: &str, key: &str) -> Answer {
        let body = r#"{"item":"saffron"}"#.to_owned();
        let headers = [("idempotency-key", key)];
        post(self.vms[vm].node.addr(), "/desk/orders", &headers, body).await
    }

    /// Sends a call and repeats it until its claim is decided, as the refusal tells callers to do.
    /// A claim round of one second may be too short on a busy machine.
    pub async fn call_until_decided(&self, vm: &str, key: &str) -> (u16, String) {
        let deciding = async {
            loop {
                let answer = self.call_desk(vm, key).await;
                let status = answer.status.as_u16();
                let text = answer.text().await;
                if status != 503 || !text.contains("claim-undecided") {
                    return (status, text);
                }
            }
        };
        with_timeout("the claim is decided", deciding).await
    }

    /// Starts a streamed request to the model service `buy`. It is repeated while it is refused as
    /// `claim-undecided` or `duplicate`, as the refusal tells callers to do. On a busy machine a
    /// claim may take several rounds.
    pub fn request_model(&self, vm: &str, key: &str, text: &str) -> JoinHandle<Answer> {
        let (addr, body, key) = (self.vms[vm].node.addr(), model_body(text), key.to_owned());
        tokio::spawn(async move {
            let headers = [("idempotency-key", key.as_str())];
            loop {
                let answer = post(addr, "/v1/chat/completions", &headers, body.clone()).await;
                let answer = answer.buffered_refusal().await;
                let repeatable = ["claim-undecided", "duplicate"];
                if !repeatable
                    .iter()
                    .any(|reason| answer.buffer.contains(reason))
                {
                    return answer;
                }
            }
        })
    }
}

/// Returns the body of a streamed request to the model service `buy`.
pub fn model_body(text: &str) -> String {
    chat_body(text, 5, true).replace("\"chat\"", "\"buy\"")
}

impl Answer {
    /// Reads the body of a refusal into the buffer, so that a later read returns it as well.
    async fn buffered_refusal(mut self) -> Self {
        while self.status == 503 || self.status == 409 {
            let Some(frame) = with_timeout("the refusal", self.body.frame()).await else {
                break;
            };
            let data = frame.unwrap().into_data().unwrap();
            self.buffer.push_str(std::str::from_utf8(&data).unwrap());
        }
        self
    }
}
