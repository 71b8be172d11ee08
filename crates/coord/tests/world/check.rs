//! What must hold at every moment, and what must hold some time after the faults ended.

use coord::member::MemberStatus;

use super::World;

impl World {
    /// Checks one VM after it acted. Panics with the seed.
    pub fn check(&mut self, vm: usize) {
        let seed = self.seed;
        let now = self.now;
        let service = self.service.revision;
        let node = &mut self.nodes[vm];
        let clock = node.clock(now);
        let place = format!("seed {seed}, {} at {now}", node.name);
        let trusted = node.members().trusted(clock);
        let others = node.members().view().members.len() - 1;
        let answered = node.watch.answered.len();
        assert!(
            !trusted || answered >= others.min(2),
            "{place}: trusted after {answered} answers"
        );

        let (cursor, minimum) = (node.config().cursor(), node.config().minimum_cursor());
        assert!(cursor <= service, "{place}: cursor {cursor} of {service}");
        let ready = node.config().is_ready();
        assert!(
            !ready || cursor >= minimum,
            "{place}: ready at {cursor}, minimum {minimum}"
        );
        let force: Vec<_> = node
            .config()
            .store()
            .iter()
            .map(|(n, r, _)| (n.clone(), r))
            .collect();
        for (name, revision) in force {
            let before = node.watch.force.entry(name.clone()).or_insert(0);
            assert!(
                revision >= *before,
                "{place}: {name} went from {before} to {revision}"
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
                "{place}: cursor {cursor}, but {name} {latest}<{revision}"
            );
        }
    }

    /// Returns `true` if every VM that is up sees all that are up as live, and no other.
    pub fn views_converged(&self) -> bool {
        let up = self.up();
        let counts = self.nodes.iter().filter(|node| node.up);
        if counts
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

    /// Returns the reason why some VM does not hold the newest configuration.
    pub fn stale(&self) -> Option<String> {
        let expected = self.service.expected();
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
                // A whole fleet that rebooted may have lost the last good text.
                let force = held.map_or(0, |held| held.in_force);
                if good.is_some_and(|good| good == *latest && force != good) {
                    return Some(format!("{}: {name} not in force", node.name));
                }
            }
        }
        None
    }
}
