//! Slow start: how many requests an upstream gets while it warms up.
//!
//! Each request that arrives entitles each upstream of the subset to an even part of a request,
//! and one in slow start only to its present share of capacity of that part. An attempt takes a
//! whole token, so a warming upstream is not overloaded even while all others are down.

use super::balancer::Balancer;
use super::event::UpstreamId;
use super::rotation::Rotation;
use super::settings::Rules;
use super::upstream::Upstreams;

/// Part of a request that counts where responses do not keep up with requests, so that slow start
/// goes on while all upstreams warm up and none has responded yet.
const MIN_COUNTED_SHARE: f64 = 0.1;
/// Credit beyond the attempts in flight that responses can accumulate, in requests.
const MAX_UNUSED_CREDIT: f64 = 3.0;

/// An upstream that a request gives tokens to.
struct Recipient {
    upstream: UpstreamId,
    /// Upstreams among which the request is divided evenly.
    sharing_count: f64,
}

/// Bounds what requests add to the tokens by what responses show that the subset can take.
/// Without it a surge of requests, as when clients reconnect, would go to a warming upstream in
/// its share, however large.
#[derive(Default)]
pub(super) struct SlowStart {
    /// Requests that count in full before further responses come.
    credit: f64,
}

impl SlowStart {
    /// Adds a response: so many requests count that a warming upstream gets half of what the
    /// rules allow it.
    pub(super) fn add_response(
        &mut self,
        rotation: &Rotation,
        upstreams: &Upstreams,
        rules: &Rules,
        now: f64,
    ) {
        let (mut count, mut capacity, mut in_flight) = (0.0, f64::MIN_POSITIVE, 0.0);
        for id in rotation.subset() {
            let upstream = &upstreams[id];
            count += 1.0;
            capacity += upstream.slow_start_share(rules, now);
            in_flight += upstream.in_flight.len() as f64;
        }
        let requests = rules.overload_multiple / 2.0 * count / capacity;
        self.credit = (self.credit + requests).min(MAX_UNUSED_CREDIT + in_flight);
    }

    /// The part of one more request that counts.
    fn take_credit(&mut self) -> f64 {
        let counted_share = self.credit.clamp(MIN_COUNTED_SHARE, 1.0);
        self.credit = (self.credit - 1.0).max(0.0);
        counted_share
    }
}

impl Balancer {
    /// Gives the slow-start tokens of one more request to the upstreams of the subset. Upstreams
    /// outside get none, or else many balancers whose subsets grow together would spend saved
    /// tokens at once. The exception is one returned from maintenance that still awaits a
    /// request: for it, requests count over the whole list.
    pub(super) fn add_slow_start_tokens(&mut self) {
        let counted_share = self.slow_start.take_credit();
        let maintenance = &self.maintenance;
        let in_subset = self.rotation.subset().iter().map(|id| Recipient {
            upstream: *id,
            sharing_count: self.rotation.subset_size(),
        });
        let outside = self.rotation.outside_subset().iter();
        let awaiting = outside.filter(|id| maintenance.awaits_request(**id));
        let awaiting = awaiting.map(|id| Recipient {
            upstream: *id,
            sharing_count: self.rotation.len() as f64,
        });
        let rules = &self.settings.rules;
        for Recipient {
            upstream: id,
            sharing_count,
        } in in_subset.chain(awaiting)
        {
            // Balancers that have it in their subset and those that don't both send to it, so each
            // side gives half.
            let has_returned = maintenance.returned_within(id, rules.slow_start_window, self.now);
            let balancer_groups = if has_returned && self.rotation.may_be_partial() {
                2.0
            } else {
                1.0
            };
            let upstream = self
                .upstreams
                .get_mut(&id)
                .expect("the rotation orders listed upstreams only");
            let share = upstream.slow_start_share(rules, self.now);
            upstream
                .stats
                .add_slow_start_tokens(counted_share * share / sharing_count / balancer_groups);
        }
    }
}
