//! Single transitions of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use coord::member::{
    Action, Body, Health, ListedVm, LocalVm, MAX_GOSSIP_UPDATES, MAX_STATE_ENTRIES,
    MAX_UPDATE_BYTES, Member, MemberStatus, Members, Options, Packet, Update, View, boot,
    incarnation,
};
use coord::name::{DataCentre, Incarnation, VmName};
use coord::time::Time;
use rstest::rstest;

const NOW: Time = Time::from_millis(1_000);

fn me(number: u16, boot: u64) -> LocalVm {
    LocalVm {
        name: format!("vm-{number}").into(),
        zone: "east".into(),
        addr: ([10, 0, 0, 1], number).into(),
        boot,
    }
}

fn members(number: u16) -> Members {
    Members::new(me(number, 5), Options::default(), number.into(), NOW)
}

fn listed(number: u16) -> ListedVm {
    ListedVm {
        name: format!("vm-{number}").into(),
        ..members(number).to_listed()
    }
}

fn update(number: u16, at: Incarnation, health: Health) -> Update {
    let ListedVm {
        name, zone, addr, ..
    } = listed(number);
    Update {
        name,
        zone,
        addr,
        incarnation: at,
        health,
        leaving: false,
    }
}

fn gossip(from: u16, updates: Vec<Update>) -> Packet {
    Packet {
        from: update(from, incarnation(5), Health::Alive),
        body: Body::Gossip,
        updates,
    }
}

fn status(members: &Members, number: u16) -> Option<MemberStatus> {
    let view = members.view();
    view.members
        .get(&format!("vm-{number}").into())
        .map(|member| member.status)
}

fn packets(actions: &[Action]) -> impl Iterator<Item = &Packet> {
    actions.iter().filter_map(|action| match action {
        Action::Send { packet, .. } => Some(packet),
        Action::Changed => None,
    })
}

/// Guards against a restarted VM that remains dead for its peers because its wall clock, and so its
/// boot number, is behind that of the earlier process.
#[test]
fn a_restart_with_an_earlier_clock_overtakes_its_predecessor() {
    let mut a = members(1);
    let mut restarted = Members::new(me(2, 3), Options::default(), 9, NOW);
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(9), Health::Alive)]),
    );
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(9), Health::Dead)]),
    );
    assert_eq!(status(&a, 2), None);

    let dead = update(2, incarnation(9), Health::Dead);
    let actions = restarted.receive(NOW, gossip(3, vec![dead]));
    for packet in packets(&actions) {
        a.receive(NOW, packet.clone());
    }

    assert!(restarted.incarnation() > incarnation(9));
    assert_eq!(boot(restarted.incarnation()), 9);
    assert_eq!(status(&a, 2), Some(MemberStatus::Live));
}

/// Guards against late gossip of the same incarnation that marks a dead member as alive again.
#[test]
fn late_gossip_does_not_mark_a_dead_member_alive() {
    let mut a = members(1);
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(5), Health::Alive)]),
    );
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(5), Health::Dead)]),
    );

    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(5), Health::Alive)]),
    );
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(5), Health::Suspect)]),
    );

    assert_eq!(status(&a, 2), None);
}

/// Guards against assigning keys to VMs that are stopping.
#[test]
fn a_leaving_vm_gets_no_ownership() {
    let mut a = members(1);
    let mut b = members(2);
    a.apply_list(NOW, 1, &[listed(1), listed(2)]);
    b.apply_list(NOW, 1, &[listed(1), listed(2)]);

    for packet in packets(&b.leave(NOW + Duration::from_millis(60))) {
        a.receive(NOW, packet.clone());
    }

    assert_eq!(status(&a, 2), Some(MemberStatus::Leaving));
    assert_eq!(a.view().owners().len(), 1);
}

/// Guards against assigning keys to VMs that the platform has removed, and against stale lists that
/// restore such VMs.
#[test]
fn removals_of_the_list_take_ownership_and_stale_lists_do_not_return_it() {
    let mut a = members(1);
    a.apply_list(NOW, 1, &[listed(1), listed(2), listed(3)]);

    a.apply_list(NOW, 3, &[listed(1), listed(3)]);
    a.apply_list(NOW, 2, &[listed(1), listed(2), listed(3)]);

    assert_eq!(status(&a, 2), Some(MemberStatus::Leaving));
    assert_eq!(status(&a, 3), Some(MemberStatus::Live));
}

/// Guards against the removal of a member that is known by gossip, but not yet in the platform's
/// list, which lags behind.
#[test]
fn a_list_that_has_not_shown_a_member_yet_does_not_remove_it() {
    let mut a = members(1);
    a.receive(NOW, gossip(2, Vec::new()));

    a.apply_list(NOW, 1, &[listed(1)]);

    assert_eq!(status(&a, 2), Some(MemberStatus::Live));
}

/// Guards against messages whose size grows with the number of changes or the length of names.
#[test]
fn messages_are_bounded() {
    let mut a = members(1);
    let mut now = NOW;
    let mut largest = 0;
    for round in 0..10 {
        let change = |number| Update {
            zone: "a data centre with a long name ".repeat(2).into(),
            ..update(number, incarnation(5), Health::Alive)
        };
        let changes = (0..40)
            .map(|number| change(2 + round * 40 + number))
            .collect();
        let actions = a.receive(now, gossip(1_000, changes));
        now = now + Duration::from_millis(50);
        for packet in packets(&actions).chain(packets(&a.tick(now))) {
            let bytes: usize = packet.updates.iter().map(Update::size).sum();
            assert!(bytes <= MAX_UPDATE_BYTES && packet.updates.len() <= MAX_GOSSIP_UPDATES);
            if let Body::State { entries, .. } = &packet.body {
                assert!(entries.len() <= MAX_STATE_ENTRIES);
            }
            largest = largest.max(packet.updates.len());
        }
    }

    assert!(largest > 8, "the bound was not tested");
}

/// Guards against a VM that bases decisions on a stale view after a pause, before its next tick.
#[test]
fn a_pause_is_seen_before_the_next_call() {
    let mut a = members(1);
    a.apply_list(NOW, 1, &[listed(1)]);

    let before = a.trusted(NOW + Duration::from_millis(600));
    let after = a.trusted(NOW + Duration::from_millis(601));

    assert!(before && !after);
}

/// Guards against updates with an incarnation so high that the member could not refute them.
#[test]
fn impossible_incarnations_are_ignored() {
    let mut a = members(1);
    a.apply_list(NOW, 1, &[listed(1), listed(2)]);

    a.receive(
        NOW,
        gossip(3, vec![update(2, Incarnation(u64::MAX), Health::Dead)]),
    );

    assert_eq!(status(&a, 2), Some(MemberStatus::Live));
}

/// Guards against a member that stays unknown because all gossip about it was lost.
#[test]
fn a_comparison_repairs_what_gossip_missed() {
    let mut a = members(1);
    let mut b = members(2);
    a.apply_list(NOW, 1, &[listed(1), listed(2)]);
    b.apply_list(NOW, 1, &[listed(1), listed(2)]);
    a.receive(NOW, gossip(9, Vec::new()));
    let mut now = NOW;

    // The 5 s cover two intervals between comparisons. vm-9 answers probes and all gossip is lost.
    for _ in 0..100 {
        now = now + Duration::from_millis(50);
        let mut waiting: Vec<_> = a.tick(now).into_iter().chain(b.tick(now)).collect();
        while let Some(action) = waiting.pop() {
            let Action::Send { to, packet, .. } = action else {
                continue;
            };
            let packet = Packet {
                updates: Vec::new(),
                ..packet
            };
            waiting.extend(match (to.as_str(), packet.body.clone()) {
                ("vm-1", _) => a.receive(now, packet),
                ("vm-2", _) => b.receive(now, packet),
                (_, Body::Ping { seq }) => a.receive(
                    now,
                    Packet {
                        body: Body::Ack { seq },
                        ..gossip(9, Vec::new())
                    },
                ),
                _ => Vec::new(),
            });
        }
    }

    assert_eq!(status(&b, 9), Some(MemberStatus::Live));
}

/// Guards against live members that lose their keys at the end of a network partition, because the
/// other side had declared them dead.
#[test]
fn a_comparison_only_suspects_a_live_member() {
    let mut a = members(1);
    a.receive(NOW, gossip(2, Vec::new()));
    let entries = vec![update(2, incarnation(5), Health::Dead)];
    let body = Body::State {
        buckets: Vec::new(),
        entries,
    };

    a.receive(
        NOW,
        Packet {
            body,
            ..gossip(3, Vec::new())
        },
    );

    assert_eq!(status(&a, 2), Some(MemberStatus::Suspect));
}

/// Guards against members that are declared dead because this VM's timer ran late, while their
/// refutation is queued behind the late call.
#[test]
fn a_late_call_extends_the_time_to_refute() {
    let mut a = members(1);
    a.receive(NOW, gossip(2, Vec::new()));
    a.receive(
        NOW,
        gossip(3, vec![update(2, incarnation(5), Health::Suspect)]),
    );

    a.tick(NOW + Duration::from_millis(60));
    a.tick(NOW + Duration::from_millis(650));
    let late = status(&a, 2);
    let refutation = gossip(2, Vec::new());
    let raised = Incarnation(refutation.from.incarnation.0 + 1);
    let from = Update {
        incarnation: raised,
        ..refutation.from
    };
    a.receive(
        NOW + Duration::from_millis(650),
        Packet {
            from,
            ..gossip(2, Vec::new())
        },
    );

    assert_eq!(late, Some(MemberStatus::Suspect));
    assert_eq!(status(&a, 2), Some(MemberStatus::Live));
}

/// Guards against a VM that was declared dead during a partition and is never told, so that it
/// cannot refute it.
#[test]
fn a_dead_member_is_told_whenever_it_is_tried_again() {
    let mut a = members(1);
    a.apply_list(NOW, 1, &[listed(1), listed(2)]);
    a.receive(NOW, gossip(2, Vec::new()));
    let mut now = NOW;
    let mut tried = 0;

    for step in 0..200 {
        now = now + Duration::from_millis(50);
        // After 5 s, the member is dead and the update about it is no longer queued.
        for packet in packets(&a.tick(now)).filter(|_| step > 100) {
            let told = packet
                .updates
                .iter()
                .any(|update| update.health == Health::Dead);
            assert!(told, "{packet:?}");
            tried += 1;
        }
    }

    assert!(status(&a, 2).is_none() && tried >= 3, "tried {tried} times");
}

/// Guards against two sides of a partition that cancel the work of each other.
#[rstest]
#[case::most(&["vm-1", "vm-2", "vm-3"], true)]
#[case::fewer(&["vm-4"], false)]
#[case::half_with_the_first(&["vm-1", "vm-4"], true)]
#[case::half_without_the_first(&["vm-2", "vm-3"], false)]
fn one_side_of_a_partition_has_the_majority(#[case] seen: &[&str], #[case] expected: bool) {
    let listed = ["vm-1", "vm-2", "vm-3", "vm-4"].map(VmName::from);
    let view = View {
        version: 1,
        members: seen.iter().map(|vm| (VmName::from(*vm), live())).collect(),
    };

    let majority = view.has_majority(&listed);

    assert_eq!(majority, expected);
}

fn live() -> Member {
    Member {
        zone: DataCentre::from("east"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: Incarnation(1),
        status: MemberStatus::Live,
    }
}
