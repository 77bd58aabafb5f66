//! Subsetting: which of the available upstreams each balancer of the fleet prefers.
//!
//! A balancer's concurrency limit can't be less than one attempt, so limits have no effect where
//! balancers outnumber the slots of an upstream. Each balancer therefore uses only as many
//! upstreams as give it whole slots, preferably in its own zone if crossing zones has a price. The
//! subsets of all balancers cover the upstreams evenly.

use super::event::{UpstreamEntry, UpstreamId};
use super::settings::Settings;
use super::upstream::Upstreams;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Attempts of all balancers together that one upstream is presumed to run at a time, before
/// anything is known about it.
const PRESUMED_SLOTS: f64 = 2.0;
/// Smallest subset, so that alternatives remain when some upstreams fail.
const MIN_SUBSET_SIZE: usize = 3;

/// A balancer's order of preference among the available upstreams.
pub(super) struct Subset {
    /// All available upstreams, the most preferred ones first; the subset is a prefix of it.
    pub(super) order: Vec<UpstreamId>,
    /// Smallest size of the subset, used while no requests are queued.
    pub(super) min_size: f64,
    /// Slots at an upstream if the balancers share it evenly; may be less than 1.
    pub(super) even_slots: f64,
}

/// The upstreams from which a group of balancers cut their subsets, and this balancer's rank in
/// that group.
struct Pool {
    size: usize,
    rank: usize,
}

/// Chooses the subset of this balancer.
pub(super) fn choose(settings: &Settings, upstreams: &Upstreams) -> Subset {
    let available = upstreams
        .values()
        .filter(|upstream| upstream.is_available());
    let available: Vec<_> = available.map(|upstream| &upstream.entry).collect();
    let count = available.len();
    let balancers = settings.peer_count;
    let slots_per_upstream = PRESUMED_SLOTS * (settings.tier_count - settings.tier) as f64;
    let size = ((slots_per_upstream * count as f64 / balancers as f64).ceil() as usize)
        .max(MIN_SUBSET_SIZE)
        .min(count);
    let pool = pool(settings, &available);
    let min_size = size.min(pool.size);
    Subset {
        order: order(settings, &available, &pool, size),
        min_size: min_size as f64,
        even_slots: slots_per_upstream * count as f64 / (min_size * balancers).max(1) as f64,
    }
}

/// Returns whether crossing to the zone of this upstream has a price.
fn is_remote(settings: &Settings, entry: &UpstreamEntry) -> bool {
    settings.prices.cross_zone > 0.0 && entry.zone != settings.zone
}

fn pool(settings: &Settings, available: &[&UpstreamEntry]) -> Pool {
    let local = available.iter().filter(|entry| !is_remote(settings, entry));
    let local = local.count();
    if local >= MIN_SUBSET_SIZE {
        Pool {
            size: local,
            rank: settings.peer_index / settings.zone_count,
        }
    } else {
        Pool {
            size: available.len(),
            rank: settings.peer_index,
        }
    }
}

/// Sorts upstreams by locality, then by a pseudorandom shuffle, and rotates the pool so that this
/// balancer's subset comes first. Balancers whose subsets together cover the pool once use the
/// same shuffle; the next balancers use a different one.
fn order(
    settings: &Settings,
    available: &[&UpstreamEntry],
    pool: &Pool,
    subset_size: usize,
) -> Vec<UpstreamId> {
    let subsets = (pool.size / subset_size.max(1)).max(1);
    let round = (pool.rank / subsets) as u64;
    let shuffled = |id: u64| Pcg64Mcg::seed_from_u64(id.wrapping_add(round)).random::<u64>();
    let key = |entry: &UpstreamEntry| {
        let remote = is_remote(settings, entry);
        (remote, shuffled(entry.id.0), entry.id)
    };
    let mut keys: Vec<_> = available.iter().map(|entry| key(entry)).collect();
    keys.sort_unstable();
    let mut order: Vec<_> = keys.into_iter().map(|(_, _, id)| id).collect();
    let first = pool.rank % subsets * subset_size;
    order[..pool.size].rotate_left(first.min(pool.size));
    order
}
