//! Slow start: how many requests an upstream gets while it warms up.
//!
//! Each arriving request gives each upstream of the subset tokens for an even part of a request.
//! For an upstream in slow start, that part is multiplied by its present share of capacity. An
//! attempt takes a whole token, so a warming upstream is not overloaded even while all others are
//! down.

use super::balancer::Balancer;
use super::event::UpstreamId;
use super::rotation::Rotation;
use super::settings::Rules;
use super::upstream::Upstreams;

/// Smallest share of a request that counts. It applies when responses do not keep up with
/// requests, so that slow start continues while all upstreams warm up and none has responded yet.
const MIN_COUNTED_SHARE: f64 = 0.1;
/// Largest credit that can accumulate in addition to one request for each attempt in flight, in
/// requests.
const MAX_UNUSED_CREDIT: f64 = 3.0;

/// An upstream that gets tokens for a request.
struct Recipient {
    upstream: UpstreamId,
    /// Number of upstreams among which the request is divided evenly.
    sharing_count: f64,
}

/// Bounds the tokens that requests add by the load that the subset can take according to its
/// responses. Otherwise a warming upstream would get its share of a surge of requests, such as
/// when clients reconnect, however large the surge is.
#[derive(Default)]
pub(super) struct SlowStart {
    /// Number of requests that count in full until further responses are received.
    credit: f64,
}

impl SlowStart {
    /// Adds the credit of a response: the number of requests whose tokens give a warming upstream
    /// half of the load that the rules allow it.
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

    /// Takes the credit of one request, and returns the share of the request that counts.
    fn take_credit(&mut self) -> f64 {
        let counted_share = self.credit.clamp(MIN_COUNTED_SHARE, 1.0);
        self.credit = (self.credit - 1.0).max(0.0);
        counted_share
    }
}

impl Balancer {
    /// Gives the slow-start tokens of one more request to the upstreams of the subset. Upstreams
    /// outside the subset get none: otherwise, if the subsets of many balancers grow to include an
    /// upstream, all of them would spend their saved tokens on it at the same time. The exception
    /// is an upstream that has returned from maintenance and has had no request since: for it,
    /// requests are divided among all available upstreams.
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
            // Balancers with this upstream in their subset and balancers without it both send
            // requests to it, so each of the two groups gives half of the tokens.
            let has_returned = maintenance.returned_within(id, rules.slow_start_window, self.now);
            let balancer_groups = if has_returned && self.rotation.may_be_partial() {
                2.0
            } else {
                1.0
            };
            let upstream = self
                .upstreams
                .get_mut(&id)
                .expect("the rotation contains only listed upstreams");
            let share = upstream.slow_start_share(rules, self.now);
            upstream
                .stats
                .add_slow_start_tokens(counted_share * share / sharing_count / balancer_groups);
        }
    }
}
