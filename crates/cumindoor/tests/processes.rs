//! Eight router processes that act as one while some of them are killed, paused and stopped.

mod common;

use common::nodes::{Chat, document};
use common::processes::Processes;
use common::{wait_until, with_timeout};
use serde_json::Value;

/// Chats through each router in one round.
const CHATS: usize = 3;

fn members(status: &Value) -> usize {
    let members = status["members"].as_array();
    members.map_or(0, Vec::len)
}

/// Returns true if the router knows `count` VMs and all engines, and trusts its view.
fn complete(count: usize) -> impl Fn(&Value) -> bool {
    move |status| {
        let engines = status["upstreams"].as_array().map_or(0, Vec::len);
        let owner = status["cells"]["owners"][0]["owner"].is_string();
        members(status) == count && engines == 4 && status["trusted"] == true && owner
    }
}

fn round(fleet: &Processes, names: &[&str], round: u32) -> Vec<Chat> {
    let pairs = names.iter().flat_map(|vm| (0..CHATS).map(move |n| (vm, n)));
    let chat = |(vm, number): (&&str, usize)| {
        let text = format!("Round {round}, question {number} at {vm}");
        Chat::start(fleet.vms[*vm].callers, text, 60)
    };
    pairs.map(chat).collect()
}

async fn all_whole(chats: Vec<Chat>) {
    for chat in chats {
        chat.whole().await;
    }
}

/// Guards against requests that are lost, cut or answered twice, slots that stay taken and
/// documents that are not in force everywhere when processes are killed, paused, stopped and
/// started again under load.
#[tokio::test(flavor = "multi_thread")]
async fn eight_processes_survive_signals() {
    let mut fleet = Processes::start("eight", 8, 20).await;
    fleet
        .all("a complete fleet", &fleet.names(), complete(8))
        .await;
    all_whole(round(&fleet, &fleet.names(), 1)).await;

    // The owner of the cell is killed under streams.
    let owner = owner_of(&fleet).await;
    let rest = without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    fleet.hold(true);
    let chats = round(&fleet, &rest, 2);
    let lost = round(&fleet, &[owner.as_str()], 2);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS).await;
    fleet.vms[&owner].signal("-KILL");
    for chat in lost {
        assert!(!chat.whole_or_broken().await, "the process was killed");
    }
    fleet.hold(false);
    all_whole(chats).await;
    fleet.nothing_held().await;
    fleet.all("the death is noticed", &rest, complete(7)).await;

    // It comes back at the same addresses, while others have load.
    let chats = round(&fleet, &rest, 3);
    let ports = {
        let old = &fleet.vms[&owner];
        (old.peers.port(), old.callers.port())
    };
    fleet.vms.remove(&owner);
    fleet.add(&owner, ports).await;
    all_whole(chats).await;
    fleet
        .all("the restart is noticed", &fleet.names(), complete(8))
        .await;
    all_whole(round(&fleet, &fleet.names(), 4)).await;

    // The owner is paused under streams until the others have given it up.
    let owner = owner_of(&fleet).await;
    let rest = without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    fleet.hold(true);
    let chats = round(&fleet, &rest, 5);
    let paused = round(&fleet, &[owner.as_str()], 5);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS).await;
    fleet.vms[&owner].signal("-STOP");
    fleet.all("the pause is noticed", &rest, complete(7)).await;
    let revision = fleet.platform.put_document("celeste", &document(19));
    let revision = revision.unwrap();
    let late = round(&fleet, &rest, 6);
    fleet.hold(false);
    all_whole(chats).await;
    all_whole(late).await;
    fleet.vms[&owner].signal("-CONT");
    for chat in paused {
        // Complete or with an error, but never a part that looks complete.
        chat.whole_or_broken().await;
    }
    fleet
        .all("the return is noticed", &fleet.names(), complete(8))
        .await;
    let in_force = |status: &Value| status["documents"]["celeste"] == revision;
    fleet
        .all("the revision in force", &fleet.names(), in_force)
        .await;

    // The owner is stopped as planned under streams; a second signal has no effect.
    let owner = owner_of(&fleet).await;
    fleet.hold(true);
    let chats = round(&fleet, &fleet.names(), 7);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS).await;
    fleet.vms[&owner].signal("-TERM");
    let rest = without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    let moved = |status: &Value| status["cells"]["owners"][0]["owner"] != owner.as_str();
    fleet.all("the cell is handed over", &rest, moved).await;
    fleet.vms[&owner].signal("-TERM");
    fleet.hold(false);
    all_whole(chats).await;
    let stopped = fleet.vms.get_mut(&owner).expect("the stopped router");
    let ended = async {
        loop {
            match stopped.ended() {
                Some(success) => return success,
                None => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    };
    assert!(with_timeout("the end of the process", ended).await);
    fleet.vms.remove(&owner);
    fleet.platform.remove_vm(&owner);

    all_whole(round(&fleet, &fleet.names(), 8)).await;
    fleet.nothing_held().await;
    let evicted: u64 = fleet
        .prefills
        .iter()
        .map(|e| e.counts().evicted_imports)
        .sum();
    let done: u64 = fleet.decodes.iter().map(|e| e.counts().decodes_done).sum();
    println!("answers generated to the end: {done}, imports refused as evicted: {evicted}");
}

async fn owner_of(fleet: &Processes) -> String {
    let first = fleet.names()[0].to_owned();
    let status = fleet.vms[&first].status().await.expect("a status");
    let owner = &status["cells"]["owners"][0]["owner"];
    owner.as_str().expect("an owner").to_owned()
}

fn without(fleet: &Processes, name: &str) -> Vec<String> {
    fleet.vms.keys().filter(|vm| *vm != name).cloned().collect()
}
