//! Invariants that are checked after every event, and conditions for a converged fleet.

use coord::member::MemberStatus;

use super::World;

impl World {
    /// Checks the invariants of one VM after it handled an event. A panic names the seed.
    pub fn check_vm(&mut self, vm: usize) {
        let seed = self.seed;
        let now = self.now;
        let service = self.service.revision;
        let node = &mut self.nodes[vm];
        let clock = node.clock(now);
        let context = format!("seed {seed}, {} at {now}", node.name);
        let trusted = node.members().trusted(clock);
        let others = node.members().view().members.len() - 1;
        let answered = node.observed.answered.len();
        assert!(
            !trusted || answered >= others.min(2),
            "{context}: trusted after {answered} answers"
        );

        let (cursor, minimum) = (node.config().cursor(), node.config().minimum_cursor());
        assert!(cursor <= service, "{context}: cursor {cursor} of {service}");
        let ready = node.config().is_ready();
        assert!(
            !ready || cursor >= minimum,
            "{context}: ready at {cursor}, minimum {minimum}"
        );
        let in_force: Vec<_> = node
            .config()
            .store()
            .iter()
            .map(|(n, r, _)| (n.clone(), r))
            .collect();
        for (name, revision) in in_force {
            let before = node.observed.in_force.entry(name.clone()).or_insert(0);
            assert!(
                revision >= *before,
                "{context}: {name} went from {before} to {revision}"
            );
            *before = revision;
        }
        for document in self.service.history.iter().filter(|d| d.revision <= cursor) {
            let held = self.nodes[vm]
                .config()
                .store()
                .held_revisions(&document.name);
            let latest = held.map_or(0, |held| held.latest);
            let (name, revision) = (&document.name, document.revision);
            assert!(
                latest >= revision,
                "{context}: cursor {cursor}, but {name} {latest}<{revision}"
            );
        }
    }

    /// Returns `true` if the view of every running VM contains exactly the running VMs, all live.
    pub fn views_converged(&self) -> bool {
        let up = self.running_vms();
        let running = self.nodes.iter().filter(|node| node.up);
        if running
            .clone()
            .any(|node| node.members().view().members.len() != up.len())
        {
            return false;
        }
        self.nodes.iter().filter(|node| node.up).all(|node| {
            let view = node.members().view();
            view.members
                .iter()
                .all(|(vm, m)| up.contains(vm) && m.status == MemberStatus::Live)
        })
    }

    /// Returns why some VM is not ready or does not hold the latest revisions, or `None` if all do.
    pub fn staleness(&self) -> Option<String> {
        let expected = self.service.expected_revisions();
        for node in self.nodes.iter().filter(|node| node.up) {
            let config = node.config();
            if !config.is_ready() {
                return Some(format!("{} is not ready", node.name));
            }
            for (name, (latest, good)) in &expected {
                let held = config.store().held_revisions(name);
                let seen = held.as_ref().map_or(0, |held| held.latest);
                if seen != *latest {
                    return Some(format!("{}: {name} at {seen} of {latest}", node.name));
                }
                // A well-formed text below a malformed latest one is lost if the whole fleet
                // reboots.
                let in_force = held.map_or(0, |held| held.in_force);
                if good.is_some_and(|good| good == *latest && in_force != good) {
                    return Some(format!("{}: {name} not in force", node.name));
                }
            }
        }
        None
    }
}
