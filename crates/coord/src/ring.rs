//! Neighbours and windows on a ring: whom a member of a large fleet tells of its load, and which
//! upstreams it uses.
//!
//! An exchange of all with all costs each member an effort that grows with the fleet. Here the members are
//! placed on a ring by the hash of their name, and each uses the upstreams in a [`Window`] around its own
//! place. Members whose windows overlap are at most one window apart, so a member that tells its load to
//! its [`neighbours`](Ring::neighbours) tells all that share upstreams with it. The windows of successive
//! members are shifted only slightly against each other, so load that arrives unevenly spreads over many
//! upstreams. See `docs/decisions/neighbours.md`.
//!
//! ```
//! use coord::hash::hash64;
//! use coord::ring::Ring;
//!
//! let ring = Ring::new(0..300_u32, |vm| hash64(&vm.to_be_bytes()));
//! let window = ring.window(&7, 24).unwrap();
//!
//! let used = (0..160).filter(|upstream| window.contains(*upstream, 160));
//! assert!((5..=8).contains(&used.count()));
//! assert_eq!(ring.neighbours(&7, 24).len(), 24);
//! ```
//!
//! Members with different views of the fleet compute slightly different places. An upstream at the edge of a
//! window then has users that do not hear each other, which costs a wrong placement now and then.

/// The members of a fleet in the order of their hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring<T> {
    members: Vec<T>,
}

impl<T: Ord + Clone> Ring<T> {
    /// Returns the ring of these members, each at the place that `hash` gives it.
    pub fn new(members: impl IntoIterator<Item = T>, hash: impl Fn(&T) -> u64) -> Self {
        let mut members: Vec<T> = members.into_iter().collect();
        members.sort_by_cached_key(|member| (hash(member), member.clone()));
        members.dedup();
        Self { members }
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns up to `count` members around `own`, half of them on each side, or all others if there are no
    /// more.
    #[must_use]
    pub fn neighbours(&self, own: &T, count: usize) -> Vec<T> {
        let size = self.members.len();
        let Some(place) = self.place(own) else {
            return Vec::new();
        };
        let count = count.min(size - 1);
        let before = count / 2;
        let steps = (1..=before).map(|step| size - step);
        let steps = steps.chain(1..=count - before);
        let around = steps.map(|step| self.members[(place + step) % size].clone());
        around.collect()
    }

    /// Returns the window of `own` if it has `neighbours` neighbours, or `None` if all members are neighbours
    /// of each other, so that each may use all upstreams.
    #[must_use]
    pub fn window(&self, own: &T, neighbours: usize) -> Option<Window> {
        let size = self.members.len();
        if size <= neighbours + 1 {
            return None;
        }
        let [place, size, reach] = [self.place(own)?, size, neighbours / 2].map(to_f64);
        Some(Window {
            centre: (place + 0.5) / size,
            width: reach / size,
        })
    }

    fn place(&self, own: &T) -> Option<usize> {
        self.members.iter().position(|member| member == own)
    }
}

/// The part of a ring of upstreams that one member uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    centre: f64,
    width: f64,
}

impl Window {
    /// Returns a window that contains about `least` of `total` upstreams or more, so that the failure of some
    /// leaves others.
    #[must_use]
    pub fn with_least(self, least: usize, total: usize) -> Self {
        let [least, total] = [least, total.max(1)].map(to_f64);
        Self {
            width: self.width.max(least / total),
            ..self
        }
    }

    /// Returns whether the window contains the upstream at `index` among `total`.
    #[must_use]
    pub fn contains(&self, index: usize, total: usize) -> bool {
        let [index, total] = [index, total.max(1)].map(to_f64);
        let distance = ((index + 0.5) / total - self.centre).abs();
        distance.min(1.0 - distance) <= self.width / 2.0
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of members and upstreams are far below 2^52"
)]
fn to_f64(number: usize) -> f64 {
    number as f64
}
