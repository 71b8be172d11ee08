//! Several routers that act as one.

mod common;

use common::nodes::{Nodes, document};
use common::until;

/// Guards against a request that fails because its VM does not own the cell.
#[tokio::test]
async fn answers_through_every_vm() {
    let nodes = Nodes::start(3, 20).await;
    let owner = nodes.owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();

    for chat in nodes.chats(&all, 4, 20) {
        chat.whole().await;
    }

    let prefills: u64 = nodes.prefills.iter().map(|e| e.counts().prefills).sum();
    assert_eq!(prefills, 12);
    for name in nodes.others(&owner) {
        assert!(
            nodes.status(&name)["scheduled"]
                .as_array()
                .unwrap()
                .is_empty()
        );
    }
    nodes.nothing_held().await;
}

/// Guards against requests that are lost, cut or answered twice when the owner of their cell
/// dies: two streams hold all slots, the other requests wait.
#[tokio::test]
async fn keeps_streams_and_queues_when_the_owner_dies() {
    let mut nodes = Nodes::start(3, 1).await;
    let owner = nodes.owner().await;
    let entries = nodes.others(&owner);
    nodes.hold(true);
    let chats = nodes.chats(&entries, 3, 30);
    until("streams hold all slots", || nodes.slots_used() == 2).await;
    let registered = |nodes: &Nodes| {
        let waits = |name: &String| nodes.status(name)["registered"][&owner] == 3;
        entries.iter().all(waits)
    };
    until("all requests are registered", || registered(&nodes)).await;

    nodes.crash(&owner);
    nodes.set_views(|_| true);
    nodes.owner().await;
    nodes.hold(false);

    for chat in chats {
        chat.whole().await;
    }
    let decodes: u64 = nodes.decodes.iter().map(|e| e.counts().output_tokens).sum();
    assert_eq!(decodes, 6 * 30, "no stream was started again");
    nodes.nothing_held().await;
}

/// Guards against slots that a dead entry VM keeps: its callers are gone.
#[tokio::test]
async fn frees_the_slots_of_a_dead_entry_vm() {
    let mut nodes = Nodes::start(3, 20).await;
    let owner = nodes.owner().await;
    let entry = nodes.others(&owner).remove(0);
    nodes.hold(true);
    let chats = nodes.chats(std::slice::from_ref(&entry), 3, 30);
    nodes.streaming(3).await;

    // The others still list it as live: only its lease ends.
    nodes.crash(&entry);

    nodes.nothing_held().await;
    drop(chats);
}

/// Guards against new work for an upstream that is on its way out.
#[tokio::test]
async fn gives_a_leaving_upstream_no_new_work() {
    let nodes = Nodes::start(2, 20).await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.owner().await;

    nodes.upstreams.send_modify(|upstreams| {
        let list = std::sync::Arc::make_mut(upstreams);
        let leaving = list.iter_mut().filter(|u| u.name.as_str().ends_with("-0"));
        leaving.for_each(|upstream| upstream.leaving = true);
    });
    let heard = |name: &String| {
        let engines = nodes.vms[name].node.server().context().table.engines();
        engines.iter().filter(|engine| engine.leaving).count() == 2
    };
    until("all VMs know", || all.iter().all(heard)).await;
    let before = nodes.decodes[0].counts().decodes;
    for chat in nodes.chats(&all, 8, 20) {
        chat.whole().await;
    }

    assert_eq!(nodes.decodes[0].counts().decodes, before);
    assert_eq!(nodes.prefills[0].counts().prefills, 0);
}

/// Guards against a document that only some VMs put in force, and against a malformed one that
/// replaces a good one.
#[tokio::test]
async fn puts_documents_in_force_on_all_vms() {
    let nodes = Nodes::start(3, 20).await;
    let good = document(7);

    nodes.put_document("celeste", 2, &good);
    nodes.put_document("souk", 3, "[organisation]\nnam = souk\n");
    let slots = |name: &String| {
        let engines = nodes.vms[name].node.server().context().table.engines();
        !engines.is_empty() && engines.iter().all(|engine| engine.slots == 7)
    };
    until("the change is in force", || nodes.vms.keys().all(slots)).await;
    nodes.put_document("celeste", 4, "[service chat]\nkind = modell\n");
    nodes.put_document("souk", 5, "[organisation]\nname = souk\n");
    let souk = |name: &String| nodes.vms[name].node.in_force().get("souk") == Some(&5);
    until("the later change is in force", || {
        nodes.vms.keys().all(souk)
    })
    .await;

    assert!(nodes.vms.keys().all(slots));
    for vm in nodes.vms.values() {
        assert_eq!(vm.node.in_force()["celeste"], 2);
    }
}
