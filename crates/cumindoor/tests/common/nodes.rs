//! Several routers in one test process, each on its own runtime, with simulated engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coord::name::{DataCentre, Incarnation, VmName};
use coord::sched::Role;
use cumindoor::serve::node::DocumentText;
use cumindoor::serve::peer::Peers;
use cumindoor::serve::view::{Member, View};
use cumindoor::serve::{Node, NodeInputs, NodeOptions, ServeOptions, UpstreamSpec};
use serde_json::Value;
use standin::{Engine, EngineOptions};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{Events, chat_body, request, send, upstream, wait_until};

/// Returns a document that declares the service `chat` on engines with `slots` slots.
pub fn document(slots: u32) -> String {
    format!(
        "[organisation]\nname = celeste\n\n[service chat]\nkind = model\nupstreams = chat\n\
         model = chat-v1\nttft-target = 1 min\nitl-target = 1 s\ndeadline = 1 min\n\n\
         [upstreams chat]\nslots = {slots}\nprefill-ttl = 10 s\n"
    )
}

/// A router on its own runtime. Dropping it ends it immediately, like a crash.
pub struct Vm {
    pub node: Arc<Node>,
    view: watch::Sender<Arc<View>>,
    peers: Peers,
    runtime: Option<Runtime>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Routers and the engines behind them.
pub struct Nodes {
    pub vms: BTreeMap<String, Vm>,
    pub prefills: Vec<Arc<Engine>>,
    pub decodes: Vec<Arc<Engine>>,
    pub documents: watch::Sender<Arc<BTreeMap<String, DocumentText>>>,
    pub upstreams: watch::Sender<Arc<Vec<UpstreamSpec>>>,
    /// The interval at which the routers poll the load of an engine.
    poll_interval: Duration,
}

pub async fn engine(role: standin::Role, slots: u32) -> Arc<Engine> {
    let options = EngineOptions {
        role,
        slots,
        step: Duration::from_micros(200),
        prefill_ttl: Duration::from_secs(10),
        ..EngineOptions::default()
    };
    Arc::new(Engine::spawn(options).await.unwrap())
}

impl Nodes {
    /// Starts `vms` routers in front of two prefill and two decode engines.
    pub async fn start(vms: usize, slots: u32) -> Self {
        Self::with_poll_interval(vms, slots, Duration::from_secs(1)).await
    }

    /// Starts routers like [`Self::start`], with the given interval between polls of an engine's
    /// load.
    pub async fn with_poll_interval(vms: usize, slots: u32, poll_interval: Duration) -> Self {
        let (mut prefills, mut decodes, mut listed) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..2 {
            let prefill = engine(standin::Role::Prefill, slots).await;
            let name = format!("prefill-{number}");
            listed.push(upstream(&name, "chat", Some(Role::Prefill), prefill.addr()));
            prefills.push(prefill);
            let decode = engine(standin::Role::Decode, slots).await;
            let name = format!("decode-{number}");
            listed.push(upstream(&name, "chat", Some(Role::Decode), decode.addr()));
            decodes.push(decode);
        }
        let nodes = Self {
            vms: BTreeMap::new(),
            prefills,
            decodes,
            documents: watch::Sender::new(Arc::default()),
            upstreams: watch::Sender::new(Arc::new(listed)),
            poll_interval,
        };
        nodes.put_document("celeste", 1, &document(slots));
        let mut nodes = nodes;
        for number in 1..=vms {
            let name = format!("vm-{number}");
            let vm = nodes.start_vm(&name).await;
            nodes.vms.insert(name, vm);
        }
        nodes.set_views(|_| true);
        nodes
    }

    async fn start_vm(&self, name: &str) -> Vm {
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
        let mut serve = ServeOptions::new(VmName::from(name), any);
        serve.timeouts.poll = self.poll_interval;
        let starting = runtime.spawn(async move {
            let options = NodeOptions::bind(serve, DataCentre::from("suape"), any).await?;
            let peers = options.peers.clone();
            let node = Node::start(options, feed).await?;
            eyre::Ok((Arc::new(node), peers))
        });
        let (node, peers) = starting.await.unwrap().unwrap();
        Vm {
            node,
            view,
            peers,
            runtime: Some(runtime),
        }
    }

    pub fn put_document(&self, name: &str, revision: u64, text: &str) {
        let text = DocumentText {
            revision,
            text: text.into(),
        };
        self.documents.send_modify(|documents| {
            Arc::make_mut(documents).insert(name.to_owned(), text);
        });
    }

    pub fn member(&self, name: &str) -> Member {
        Member {
            data_centre: DataCentre::from("suape"),
            incarnation: Incarnation(1),
            address: self.vms[name].node.peer_addr(),
            leaving: false,
        }
    }

    /// Gives all routers the same view, whose members are the running routers that `live` accepts.
    pub fn set_views(&self, live: impl Fn(&str) -> bool) {
        let names: Vec<&str> = self.vms.keys().map(String::as_str).collect();
        let live: Vec<&str> = names.iter().copied().filter(|name| live(name)).collect();
        for name in names {
            self.set_view(name, &live);
        }
    }

    /// Gives one router a view with the members `live`.
    pub fn set_view(&self, name: &str, live: &[&str]) {
        let members = live.iter().map(|vm| (VmName::from(*vm), self.member(vm)));
        let view = View {
            trusted: true,
            majority: true,
            vms: members.collect(),
        };
        self.vms[name].peers.set_directory(view.addresses());
        self.vms[name].view.send_replace(Arc::new(view));
    }

    /// Marks the view of one router as untrusted, as after a pause.
    pub fn set_untrusted(&self, name: &str) {
        let sender = &self.vms[name].view;
        sender.send_modify(|view| Arc::make_mut(view).trusted = false);
    }

    pub fn status(&self, name: &str) -> Value {
        serde_json::to_value(self.vms[name].node.cells().status()).unwrap()
    }

    /// Waits until all running routers agree on the owner of the cell, and returns its name.
    pub async fn agreed_owner(&self) -> String {
        let owner = |name: &String| self.status(name)["owners"][0]["owner"].clone();
        let agreed = || {
            let mut all: Vec<Value> = self.vms.keys().map(owner).collect();
            all.dedup();
            let name = all.pop()?.as_str()?.to_owned();
            (all.is_empty() && self.vms.contains_key(&name)).then_some(name)
        };
        wait_until("one owner", || agreed().is_some()).await;
        agreed().expect("one owner")
    }

    /// Returns the routers other than `name`.
    pub fn others(&self, name: &str) -> Vec<String> {
        self.vms.keys().filter(|vm| *vm != name).cloned().collect()
    }

    /// Ends a router immediately. The others learn of it only from [`Self::set_views`].
    pub fn crash(&mut self, name: &str) {
        self.vms.remove(name);
    }

    /// Starts the graceful stop of a router.
    pub fn stop(&self, name: &str) -> JoinHandle<bool> {
        let node = Arc::clone(&self.vms[name].node);
        let runtime = self.vms[name].runtime.as_ref().unwrap();
        runtime.spawn(async move { node.stop().await })
    }

    /// Starts `count` chats through each of `vms`.
    pub fn chats(&self, vms: &[String], count: usize, tokens: u32) -> Vec<Chat> {
        let pairs = vms.iter().flat_map(|vm| (0..count).map(move |n| (vm, n)));
        let chat = |(vm, number): (&String, usize)| {
            let text = format!("Question {number} at {vm}");
            Chat::start(self.vms[vm].node.addr(), text, tokens)
        };
        pairs.map(chat).collect()
    }

    pub fn engines(&self) -> impl Iterator<Item = &Arc<Engine>> {
        self.prefills.iter().chain(&self.decodes)
    }

    /// Stalls the decode engines before their first token, or lets them continue.
    pub fn stall_decodes(&self, stalled: bool) {
        let decodes = self.decodes.iter();
        decodes.for_each(|engine| engine.update_faults(|fault| fault.stall_work = stalled));
    }

    pub fn slots_used(&self) -> usize {
        self.decodes.iter().map(|e| e.slots_used() as usize).sum()
    }

    /// Waits until `count` streams hold a slot and have imported their prefill results.
    pub async fn wait_until_streaming(&self, count: usize) {
        let imported = || self.prefills.iter().all(|p| p.held_ids().is_empty());
        let streaming = || self.slots_used() == count && imported();
        wait_until("streams hold their slots", streaming).await;
    }

    pub async fn wait_until_nothing_held(&self) {
        let empty = || self.engines().all(|engine| engine.held_ids().is_empty());
        wait_until("engines hold nothing", empty).await;
    }
}

/// A chat in progress.
pub struct Chat {
    text: String,
    tokens: u32,
    events: JoinHandle<Option<Events>>,
}

impl Chat {
    /// Sends a streamed chat to a router.
    pub fn start(addr: SocketAddr, text: String, tokens: u32) -> Self {
        let body = chat_body(&text, tokens, true);
        let events = tokio::spawn(async move {
            let mut answer = send(addr, request("/v1/chat/completions", &[], body))
                .await
                .ok()?;
            let mut events = Events::default();
            if answer.status != 200 {
                events.error = Some(answer.json().await);
                return Some(events);
            }
            while let Some(event) = answer.next_event().await? {
                events.add(&event);
            }
            Some(events)
        });
        Self {
            text,
            tokens,
            events,
        }
    }

    /// Waits for the answer and checks that it is the complete answer to this question.
    pub async fn expect_complete(self) {
        let text = self.text.clone();
        let ended = self.answer().await;
        assert!(ended.is_ok(), "{text}: {ended:?}");
    }

    /// Waits for the answer and returns false if it ended with an error or a broken connection, as
    /// it may when its VM fails. A complete answer is checked as in [`Self::expect_complete`].
    pub async fn completes(self) -> bool {
        self.answer().await.is_ok()
    }

    async fn answer(self) -> Result<(), Option<Events>> {
        let events = super::with_timeout("the answer", self.events)
            .await
            .unwrap();
        let events = match events {
            Some(events) if events.done => events,
            partial => return Err(partial),
        };
        assert_eq!(events.error, None, "{}", self.text);
        assert_eq!(events.text, super::expected(&self.text, self.tokens));
        Ok(())
    }
}
