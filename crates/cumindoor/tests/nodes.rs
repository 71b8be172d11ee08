//! Several routers in one process that share the scheduling of requests.

mod common;

use std::time::Duration;

use common::nodes::{Nodes, document};
use common::{wait_until, with_timeout};
use cumindoor::serve::registry::Registry;
use standin::PlatformOptions;

/// Guards against requests that fail because the VM that received them does not own the cell.
#[tokio::test]
async fn answers_through_every_vm() {
    let nodes = Nodes::start(3, 20).await;
    let owner = nodes.agreed_owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();

    for chat in nodes.chats(&all, 4, 20) {
        chat.expect_complete().await;
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
    nodes.wait_until_nothing_held().await;
}

/// Guards against requests that are lost, truncated or answered twice when the owner of their cell
/// crashes while two streams hold all slots and the other requests wait.
#[tokio::test]
async fn keeps_streams_and_queues_when_the_owner_dies() {
    let mut nodes = Nodes::start(3, 1).await;
    let owner = nodes.agreed_owner().await;
    let entries = nodes.others(&owner);
    nodes.stall_decodes(true);
    let chats = nodes.chats(&entries, 3, 30);
    wait_until("streams hold all slots", || nodes.slots_used() == 2).await;
    let registered = |nodes: &Nodes| {
        let waits = |name: &String| nodes.status(name)["registered"][&owner] == 3;
        entries.iter().all(waits)
    };
    wait_until("all requests are registered", || registered(&nodes)).await;

    nodes.crash(&owner);
    nodes.set_views(|_| true);
    nodes.agreed_owner().await;
    nodes.stall_decodes(false);

    for chat in chats {
        chat.expect_complete().await;
    }
    let decodes: u64 = nodes.decodes.iter().map(|e| e.counts().output_tokens).sum();
    assert_eq!(decodes, 6 * 30, "no stream was started again");
    nodes.wait_until_nothing_held().await;
}

/// Guards against slots that stay in use after the entry VM of their requests has crashed and the
/// connections of its callers have been closed.
#[tokio::test]
async fn frees_the_slots_of_a_dead_entry_vm() {
    let mut nodes = Nodes::start(3, 20).await;
    let owner = nodes.agreed_owner().await;
    let entry = nodes.others(&owner).remove(0);
    nodes.stall_decodes(true);
    let chats = nodes.chats(std::slice::from_ref(&entry), 3, 30);
    nodes.wait_until_streaming(3).await;

    // The other VMs still list it as live, so only the expiry of its lease can free the slots.
    nodes.crash(&entry);

    nodes.wait_until_nothing_held().await;
    drop(chats);
}

/// Guards against new requests for an upstream that is marked as leaving.
#[tokio::test]
async fn gives_a_leaving_upstream_no_new_work() {
    let nodes = Nodes::start(2, 20).await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.agreed_owner().await;

    nodes.upstreams.send_modify(|upstreams| {
        let list = std::sync::Arc::make_mut(upstreams);
        let leaving = list.iter_mut().filter(|u| u.name.as_str().ends_with("-0"));
        leaving.for_each(|upstream| upstream.leaving = true);
    });
    let heard = |name: &String| {
        let engines = nodes.vms[name].node.server().context().table.engines();
        engines.iter().filter(|engine| engine.leaving).count() == 2
    };
    wait_until("all VMs know", || all.iter().all(heard)).await;
    let before = nodes.decodes[0].counts().decodes;
    for chat in nodes.chats(&all, 8, 20) {
        chat.expect_complete().await;
    }

    assert_eq!(nodes.decodes[0].counts().decodes, before);
    assert_eq!(nodes.prefills[0].counts().prefills, 0);
}

/// Guards against a document that only some VMs put in force, and against a malformed revision that
/// replaces a valid one.
#[tokio::test]
async fn puts_documents_in_force_on_all_vms() {
    let nodes = Nodes::start(3, 20).await;
    let good = document(7) + "prefill-rate = 20000 tokens/s\n";

    nodes.put_document("celeste", 2, &good);
    nodes.put_document("souk", 3, "[organisation]\nnam = souk\n");
    let slots = |name: &String| {
        let engines = nodes.vms[name].node.server().context().table.engines();
        !engines.is_empty() && engines.iter().all(|engine| engine.slots == 7)
    };
    wait_until("the change is in force", || nodes.vms.keys().all(slots)).await;
    nodes.put_document("celeste", 4, "[service chat]\nkind = modell\n");
    nodes.put_document("souk", 5, "[organisation]\nname = souk\n");
    let souk = |name: &String| nodes.vms[name].node.in_force().get("souk") == Some(&5);
    wait_until("the later change is in force", || {
        nodes.vms.keys().all(souk)
    })
    .await;

    assert!(nodes.vms.keys().all(slots));
    for vm in nodes.vms.values() {
        assert_eq!(vm.node.in_force()["celeste"], 2);
        let group = vm.node.server().context().table.group(&"chat".into());
        assert_eq!(group.unwrap().prefill_rate, 20_000);
    }
}

/// Guards against streams that are truncated, and requests that are lost, when the owner of their
/// cell stops gracefully.
#[tokio::test]
async fn hands_the_cell_over_in_a_planned_stop() {
    let mut nodes = Nodes::start(3, 1).await;
    let owner = nodes.agreed_owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.stall_decodes(true);
    let chats = nodes.chats(&all, 2, 30);
    wait_until("streams hold all slots", || nodes.slots_used() == 2).await;
    let registered = |nodes: &Nodes, to: &str| {
        let at = |name: &String| nodes.status(name)["registered"][to].as_u64();
        all.iter().filter_map(at).sum::<u64>()
    };
    wait_until("requests wait", || registered(&nodes, &owner) == 6).await;

    let stopping = nodes.stop(&owner);
    let moved = || registered(&nodes, &owner) == 0;
    wait_until("the cell is handed over", moved).await;
    nodes.stall_decodes(false);

    for chat in chats {
        chat.expect_complete().await;
    }
    assert!(with_timeout("the stop", stopping).await.unwrap());
    nodes.crash(&owner);
    nodes.set_views(|_| true);
    let rest: Vec<String> = nodes.vms.keys().cloned().collect();
    for chat in nodes.chats(&rest, 2, 30) {
        chat.expect_complete().await;
    }
    nodes.wait_until_nothing_held().await;
}

/// Guards against a graceful stop that waits for a VM that is stopping as well.
#[tokio::test]
async fn stops_all_vms_at_once() {
    let nodes = Nodes::start(3, 1).await;
    nodes.agreed_owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.stall_decodes(true);
    let chats = nodes.chats(&all, 2, 30);
    wait_until("streams hold all slots", || nodes.slots_used() == 2).await;
    let open = |name: &String| nodes.vms[name].node.server().context().open.total() == 2;
    wait_until("all requests are open", || all.iter().all(open)).await;

    let stopping: Vec<_> = all.iter().map(|name| nodes.stop(name)).collect();
    nodes.stall_decodes(false);

    for chat in chats {
        chat.expect_complete().await;
    }
    for stop in stopping {
        assert!(with_timeout("the stop", stop).await.unwrap());
    }
    nodes.wait_until_nothing_held().await;
}

/// Guards against requests that are lost or answered twice while, during a network partition, both
/// sides schedule requests on the same engines. The engines refuse requests for which they have no
/// slot.
#[tokio::test]
async fn serves_on_both_sides_of_a_partition() {
    // With this poll interval, each side learns only from refusals that the other one holds slots.
    let nodes = Nodes::with_poll_interval(2, 2, Duration::from_mins(10)).await;
    nodes.agreed_owner().await;
    nodes.set_view("vm-1", &["vm-1"]);
    nodes.set_view("vm-2", &["vm-2"]);
    let owns = |name: &str| nodes.status(name)["owners"][0]["owner"] == name;
    wait_until("both own the cell", || owns("vm-1") && owns("vm-2")).await;
    nodes.stall_decodes(true);
    let mut chats = nodes.chats(&["vm-1".to_owned()], 12, 60);
    wait_until("one side holds all slots", || nodes.slots_used() == 4).await;
    chats.extend(nodes.chats(&["vm-2".to_owned()], 12, 60));
    let refused = || {
        nodes
            .decodes
            .iter()
            .map(|e| e.counts().rejected)
            .sum::<u64>()
    };
    wait_until("the other side is refused", || refused() > 0).await;
    nodes.stall_decodes(false);

    for chat in chats {
        chat.expect_complete().await;
    }

    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    let answered: u64 = nodes.decodes.iter().map(|e| e.counts().decodes_done).sum();
    assert_eq!(answered, 24);
    nodes.set_views(|_| true);
    nodes.agreed_owner().await;
    for chat in nodes.chats(&all, 4, 20) {
        chat.expect_complete().await;
    }
    nodes.wait_until_nothing_held().await;
}

/// Guards against a VM that was paused and continues to schedule cells that other VMs have taken
/// over.
#[tokio::test]
async fn a_paused_owner_gives_its_cells_up() {
    let nodes = Nodes::start(3, 20).await;
    let owner = nodes.agreed_owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.stall_decodes(true);
    let chats = nodes.chats(&all, 2, 30);
    nodes.wait_until_streaming(6).await;

    nodes.set_untrusted(&owner);
    let dropped = || nodes.status(&owner)["scheduled"] == serde_json::json!([]);
    wait_until("the schedulers are dropped", dropped).await;
    let rest = nodes.others(&owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    for name in &rest {
        nodes.set_view(name, &rest);
    }
    let late = nodes.chats(&[rest[0].to_owned()], 2, 30);
    nodes.stall_decodes(false);

    for chat in chats.into_iter().chain(late) {
        chat.expect_complete().await;
    }
    let tokens: u64 = nodes.decodes.iter().map(|e| e.counts().output_tokens).sum();
    assert_eq!(tokens, 8 * 30, "no stream was started again");
    nodes.wait_until_nothing_held().await;
}

/// Guards against slots that stay in use when an entry VM and the owner crash together, so that no
/// remaining VM knows of their requests.
#[tokio::test]
async fn frees_slots_when_entry_vm_and_owner_die_together() {
    let mut nodes = Nodes::start(3, 20).await;
    let owner = nodes.agreed_owner().await;
    let entry = nodes.others(&owner).remove(0);
    nodes.stall_decodes(true);
    let chats = nodes.chats(&[entry.clone(), owner.clone()], 3, 30);
    nodes.wait_until_streaming(6).await;

    nodes.crash(&owner);
    nodes.crash(&entry);
    nodes.set_views(|_| true);

    nodes.wait_until_nothing_held().await;
    drop(chats);
}

/// Guards against streams that fail when a network partition separates their VM from the owner.
/// The owner cannot distinguish the partition from a crash of that VM and cancels its streams,
/// which must continue on the side of that VM.
#[tokio::test]
async fn streams_survive_the_start_of_a_partition() {
    let nodes = Nodes::start(2, 20).await;
    nodes.agreed_owner().await;
    let all: Vec<String> = nodes.vms.keys().cloned().collect();
    nodes.stall_decodes(true);
    let chats = nodes.chats(&all, 4, 60);
    nodes.wait_until_streaming(8).await;

    nodes.set_view("vm-1", &["vm-1"]);
    nodes.set_view("vm-2", &["vm-2"]);
    let owns = |name: &str| nodes.status(name)["owners"][0]["owner"] == name;
    wait_until("both own the cell", || owns("vm-1") && owns("vm-2")).await;
    let cancels = || {
        nodes
            .decodes
            .iter()
            .map(|e| e.counts().cancels)
            .sum::<u64>()
    };
    wait_until("streams of the other side are cancelled", || cancels() > 0).await;
    nodes.stall_decodes(false);

    for chat in chats {
        chat.expect_complete().await;
    }
    nodes.wait_until_nothing_held().await;
}

/// Guards against a VM that receives no updates while one replica of the platform is down.
#[tokio::test]
async fn asks_the_next_platform_address_after_a_failure() {
    let down = standin::Platform::spawn(PlatformOptions::default()).await;
    let down = down.unwrap();
    let up = standin::Platform::spawn(PlatformOptions::default()).await;
    let up = up.unwrap();
    up.put_document("celeste", &document(3)).unwrap();
    down.go_offline().await;
    let client = Registry::with_addresses(vec![down.addr(), up.addr()]);

    let first = client.documents(0, Duration::ZERO).await;
    let second = client.documents(0, Duration::ZERO).await;

    assert!(first.is_err());
    assert_eq!(second.unwrap().documents.len(), 1);
}
