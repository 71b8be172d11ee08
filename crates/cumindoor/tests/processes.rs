//! Eight router processes, some of which are killed, paused and stopped under load.

mod common;

use common::nodes::{Chat, document};
use common::processes::Processes;
use common::{wait_until, with_timeout};
use serde_json::Value;

/// The number of chats that each router receives in one round.
const CHATS_PER_ROUTER: usize = 3;

fn members(status: &Value) -> usize {
    let members = status["members"].as_array();
    members.map_or(0, Vec::len)
}

/// Returns a condition that holds if the router lists `count` VMs, all engines and an owner of the
/// cell, and trusts its view of the members.
fn sees_fleet(count: usize) -> impl Fn(&Value) -> bool {
    move |status| {
        let engines = status["upstreams"].as_array().map_or(0, Vec::len);
        let owner = status["cells"]["owners"][0]["owner"].is_string();
        members(status) == count && engines == 4 && status["trusted"] == true && owner
    }
}

/// Starts [`CHATS_PER_ROUTER`] chats through each named router.
fn start_round(fleet: &Processes, names: &[&str], round: u32) -> Vec<Chat> {
    let pairs = names
        .iter()
        .flat_map(|vm| (0..CHATS_PER_ROUTER).map(move |n| (vm, n)));
    let chat = |(vm, number): (&&str, usize)| {
        let text = format!("Round {round}, question {number} at {vm}");
        Chat::start(fleet.vms[*vm].callers, text, 60)
    };
    pairs.map(chat).collect()
}

async fn expect_all_complete(chats: Vec<Chat>) {
    for chat in chats {
        chat.expect_complete().await;
    }
}

/// Guards against requests that are lost, truncated or answered twice, slots that stay in use and
/// documents that are not in force on all VMs when processes are killed, paused, stopped and
/// restarted under load.
#[tokio::test(flavor = "multi_thread")]
async fn eight_processes_survive_signals() {
    let mut fleet = Processes::start("eight", 8, 20).await;
    fleet
        .wait_for_all("a complete fleet", &fleet.names(), sees_fleet(8))
        .await;
    expect_all_complete(start_round(&fleet, &fleet.names(), 1)).await;

    // The owner of the cell is killed while streams run.
    let owner = owner_of(&fleet).await;
    let rest = names_without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    fleet.stall_decodes(true);
    let chats = start_round(&fleet, &rest, 2);
    let interrupted = start_round(&fleet, &[owner.as_str()], 2);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS_PER_ROUTER).await;
    fleet.vms[&owner].signal("-KILL");
    for chat in interrupted {
        assert!(!chat.completes().await, "the process was killed");
    }
    fleet.stall_decodes(false);
    expect_all_complete(chats).await;
    fleet.wait_until_nothing_held().await;
    fleet
        .wait_for_all("the death is noticed", &rest, sees_fleet(7))
        .await;

    // It is restarted at the same addresses while the other routers have load.
    let chats = start_round(&fleet, &rest, 3);
    let ports = {
        let old = &fleet.vms[&owner];
        (old.peers.port(), old.callers.port())
    };
    fleet.vms.remove(&owner);
    fleet.add(&owner, ports).await;
    expect_all_complete(chats).await;
    fleet
        .wait_for_all("the restart is noticed", &fleet.names(), sees_fleet(8))
        .await;
    expect_all_complete(start_round(&fleet, &fleet.names(), 4)).await;

    // The owner is paused while streams run, until the other routers have removed it.
    let owner = owner_of(&fleet).await;
    let rest = names_without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    fleet.stall_decodes(true);
    let chats = start_round(&fleet, &rest, 5);
    let paused = start_round(&fleet, &[owner.as_str()], 5);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS_PER_ROUTER).await;
    fleet.vms[&owner].signal("-STOP");
    fleet
        .wait_for_all("the pause is noticed", &rest, sees_fleet(7))
        .await;
    let revision = fleet.platform.put_document("celeste", &document(19));
    let revision = revision.unwrap();
    let late = start_round(&fleet, &rest, 6);
    fleet.stall_decodes(false);
    expect_all_complete(chats).await;
    expect_all_complete(late).await;
    fleet.vms[&owner].signal("-CONT");
    for chat in paused {
        // The answer may be complete or end with an error, but must not be truncated and look
        // complete.
        chat.completes().await;
    }
    fleet
        .wait_for_all("the return is noticed", &fleet.names(), sees_fleet(8))
        .await;
    let in_force = |status: &Value| status["documents"]["celeste"] == revision;
    fleet
        .wait_for_all("the revision in force", &fleet.names(), in_force)
        .await;

    // The owner is stopped gracefully while streams run; a second signal has no effect.
    let owner = owner_of(&fleet).await;
    fleet.stall_decodes(true);
    let chats = start_round(&fleet, &fleet.names(), 7);
    wait_until("streams run", || fleet.slots_used() == 8 * CHATS_PER_ROUTER).await;
    fleet.vms[&owner].signal("-TERM");
    let rest = names_without(&fleet, &owner);
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    let moved = |status: &Value| status["cells"]["owners"][0]["owner"] != owner.as_str();
    fleet
        .wait_for_all("the cell is handed over", &rest, moved)
        .await;
    fleet.vms[&owner].signal("-TERM");
    fleet.stall_decodes(false);
    expect_all_complete(chats).await;
    let stopped = fleet.vms.get_mut(&owner).expect("the stopped router");
    let ended = async {
        loop {
            match stopped.exit_success() {
                Some(success) => return success,
                None => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    };
    assert!(with_timeout("the end of the process", ended).await);
    fleet.vms.remove(&owner);
    fleet.platform.remove_vm(&owner);

    expect_all_complete(start_round(&fleet, &fleet.names(), 8)).await;
    fleet.wait_until_nothing_held().await;
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

fn names_without(fleet: &Processes, name: &str) -> Vec<String> {
    fleet.vms.keys().filter(|vm| *vm != name).cloned().collect()
}
