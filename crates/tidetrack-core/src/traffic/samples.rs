//! Answers of a new version and of the proven ones as two samples, counted by all hosts together.
//!
//! A version may be bad in a part of its answers only, on one route only, or a little in all of them, and it
//! gets few requests before it must be found. So nothing is thrown away that any host saw: counts fade
//! slowly, and a test that may be looked at any time weighs them. It is the likelihood ratio of the share that
//! the new version shows against the proven versions' share and a margin; at a share within the margin its
//! expectation falls with each answer, so looking often does not make a good version look bad.
//!
//! One endpoint of a version may do badly for reasons of its own. Endpoints are counted in groups, and a version
//! is worse only if it is so without its worst group too.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::traffic::basis::Basis;
use crate::traffic::moved::Moved;
use crate::traffic::usual::Measured;
use crate::units::Millis;

/// Counts halve in this time: several times the time in which a version has to be found.
const HALF_LIFE_MS: f32 = 60_000.0;

/// Routes are counted in so many classes.
const ROUTE_CLASSES: u64 = 16;

/// Endpoints are counted in so many groups.
const ENDPOINT_GROUPS: u32 = 16;

/// Likelihood ratio, as a logarithm, from which a version is worse: 1 in 400 by chance at a single look.
const WORSE_FROM: f32 = 6.0;

/// The same for what all groups of endpoints but the worst one counted: that several do badly tells a version from
/// an endpoint with reasons of its own.
const OTHERS_FROM: f32 = 2.5;

/// Least of what is counted that tells a version from chance. Hosts that start again know each a part of the
/// answers, and the more of them look, the more often a few bad ones stand out for one of them.
const LEAST_COUNTED: f32 = 5.5;

/// The same from which a version is doubted: often by chance, so it decides nothing but how much is looked at.
const DOUBTED_FROM: f32 = 1.0;

/// The same as the first for what came since all traffic moved: it is looked at a few times, and good versions reach it
/// rarely, for the worst groups of endpoints are left out.
const SINCE_MOVE_FROM: f32 = 4.0;

/// The same as the first for one route out of several.
const ON_ROUTE_FROM: f32 = 7.0;

/// Share of failed or slow answers over the proven versions' that is borne.
pub const MARGIN: f32 = 0.02;

/// Share of answers above the usual pace, over the proven versions', that is borne. Nearly half of these are, and
/// hardly any of a good version's sample at rest, so a quarter of its endpoints may be several times as slow.
const PACE_MARGIN: f32 = 0.05;

/// Answers of the proven versions before their share says anything.
pub const LEAST_PROVEN: f32 = 20.0;

/// Endpoints that have to do badly before the version does, where it has as many.
const LEAST_GROUPS: usize = 3;

/// Share of the groups of loaded endpoints that is left out, the worst ones: few have a turn, and one in five may
/// fail four answers in ten for reasons of its own.
const LEFT_OUT: f64 = 0.4;

/// Where some endpoints fail for reasons of their own, they do so many times as often as all in the mean: those that
/// have a turn may be mostly such ones.
const ODD_TIMES: f32 = 4.0;

/// The margin for loaded endpoints, of which the worst are left out: a version that fails where half of an endpoint's
/// places are taken fails a small part of their answers.
const LOADED_MARGIN: f32 = 0.01;

/// Counts of a kind of answers, which fade with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All answers.
    #[serde(with = "crate::traffic::short")]
    pub all: f32,
    /// Those that failed.
    #[serde(with = "crate::traffic::short")]
    pub failed: f32,
    /// Those that failed, and plain calls that took clearly longer than is usual: past its time an
    /// endpoint may answer with a failure.
    #[serde(with = "crate::traffic::short")]
    pub bad: f32,
    /// Plain calls that took several times as long as is usual.
    #[serde(with = "crate::traffic::short")]
    pub far_late: f32,
    /// Those above the usual pace.
    #[serde(with = "crate::traffic::short")]
    pub above: f32,
}

impl Counts {
    fn add(&mut self, seen: Measured) {
        let one = |is: bool| f32::from(u8::from(is));
        self.all += 1.0;
        self.failed += one(seen.failed);
        // A stream that begins late may have read a prompt that is kept elsewhere; its pace tells.
        self.bad += one(seen.failed || seen.late);
        self.far_late += one(seen.far_late);
        self.above += one(seen.above == Some(true));
    }

    fn scale(&mut self, part: f32) {
        let Counts { all, failed, bad, far_late, above } = self;
        for count in [all, failed, bad, far_late, above] {
            *count *= part;
        }
    }

    fn sum(&mut self, other: &Counts) {
        self.all += other.all;
        self.failed += other.failed;
        self.bad += other.bad;
        self.far_late += other.far_late;
        self.above += other.above;
    }
}

/// Counts of answers whose paces are weighed too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The answers.
    pub of: Counts,
    /// Those whose pace could be compared.
    #[serde(with = "crate::traffic::short")]
    pub paced: f32,
}

impl Sample {
    fn add(&mut self, seen: Measured) {
        self.of.add(seen);
        self.paced += f32::from(u8::from(seen.above.is_some()));
    }

    fn scale(&mut self, part: f32) {
        self.of.scale(part);
        self.paced *= part;
    }

    fn sum(&mut self, other: &Sample) {
        self.of.sum(&other.of);
        self.paced += other.paced;
    }
}

/// Counts of a class of routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct OfRoute {
    route: u8,
    new: Sample,
    proven: Sample,
}

/// Counts of a group of the new version's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct OfGroup {
    group: u8,
    new: Counts,
    /// Answers while its endpoints were loaded, and those of them that failed; these don't fade.
    loaded: u16,
    loaded_failed: u16,
}

impl OfGroup {
    fn loaded_share(&self) -> f32 {
        f32::from(self.loaded_failed) / f32::from(self.loaded.max(1))
    }
}

/// In what a version is worse than the proven ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worse {
    /// More of its answers fail.
    Fails,
    /// More of its answers fail on some route.
    FailsOnRoute,
    /// More of its answers fail at endpoints that have much to do.
    FailsUnderLoad,
    /// More of its plain calls fail since all of them go there.
    FailsSinceMove,
    /// More of its plain calls fail or take clearly longer.
    Late,
    /// Its answers take longer.
    Slower,
    /// Its answers take longer on some route.
    SlowerOnRoute,
}

impl fmt::Display for Worse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Worse::Fails => "fails",
            Worse::FailsOnRoute => "fails_on_route",
            Worse::FailsUnderLoad => "fails_under_load",
            Worse::FailsSinceMove => "fails_since_move",
            Worse::Late => "late",
            Worse::Slower => "slower",
            Worse::SlowerOnRoute => "slower_on_route",
        })
    }
}

/// Both samples.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Samples {
    routes: Vec<OfRoute>,
    groups: Vec<OfGroup>,
}

/// Names a class of routes by a route's hash.
pub fn route_class(hash: u64) -> u8 {
    (hash % ROUTE_CLASSES) as u8
}

/// Names a group of endpoints by an endpoint's key.
pub fn endpoint_group(key: u32) -> u8 {
    (key % ENDPOINT_GROUPS) as u8
}

impl Samples {
    /// Counts an answer of a proven version.
    pub fn add_proven(&mut self, route: u8, seen: Measured) {
        self.of_route(route).proven.add(seen);
    }

    /// Counts an answer of the new version.
    pub fn add_new(&mut self, route: u8, group: u8, seen: Measured) {
        self.of_route(route).new.add(seen);
        self.of_group(group).new.add(seen);
    }

    /// Counts an answer of the new version from an endpoint that was loaded.
    pub fn add_loaded(&mut self, group: u8, failed: bool) {
        let of = self.of_group(group);
        of.loaded = of.loaded.saturating_add(1);
        of.loaded_failed = of.loaded_failed.saturating_add(u16::from(failed));
    }

    /// Lets the counts fade for some time.
    pub fn fade(&mut self, age: Millis) {
        let part = (-(age.0 as f32) / HALF_LIFE_MS).exp2();
        for of in &mut self.routes {
            of.new.scale(part);
            of.proven.scale(part);
        }
        self.groups.iter_mut().for_each(|of| of.new.scale(part));
    }

    /// Adds another host's counts.
    pub fn sum(&mut self, other: &Samples) {
        for of in &other.routes {
            let own = self.of_route(of.route);
            own.new.sum(&of.new);
            own.proven.sum(&of.proven);
        }
        for of in &other.groups {
            let own = self.of_group(of.group);
            own.new.sum(&of.new);
            own.loaded = own.loaded.saturating_add(of.loaded);
            own.loaded_failed = own.loaded_failed.saturating_add(of.loaded_failed);
        }
    }

    /// Sums the samples of the new and the proven versions over all routes.
    pub fn totals(&self) -> (Sample, Sample) {
        let mut totals = (Sample::default(), Sample::default());
        for of in &self.routes {
            totals.0.sum(&of.new);
            totals.1.sum(&of.proven);
        }
        totals
    }

    /// Tells in what a version is worse than the proven ones, if it is.
    pub fn worse(&self, basis: Basis) -> Option<Worse> {
        let Basis { endpoints, .. } = basis;
        let from = WORSE_FROM + basis.surplus();
        let on_route_from = ON_ROUTE_FROM + basis.surplus();
        let (new, proven) = self.totals();
        if proven.of.all < LEAST_PROVEN {
            return None;
        }
        if self.fails_under_load(&proven.of, endpoints, from) {
            return Some(Worse::FailsUnderLoad);
        }
        let is_slower = slowness(&new, &proven) >= from;
        let tests: [(Worse, bool, CountOf); 7] = [
            (Worse::Fails, self.is_over(failed, all, from), failed),
            (Worse::Late, self.is_over(late, whole, from), late),
            (Worse::Late, self.is_over(far_late, whole, from), far_late),
            (Worse::Late, self.is_over(bad, all, from), bad),
            (Worse::FailsOnRoute, self.fails_on_route(on_route_from), failed),
            (Worse::Slower, is_slower, above),
            (Worse::SlowerOnRoute, self.is_slower_on_route(on_route_from), above),
        ];
        let found = |(_, is_found, count): &&(Worse, bool, CountOf)| {
            *is_found && self.has_groups(endpoints, *count)
        };
        tests.iter().find(found).map(|(worse, ..)| *worse)
    }

    /// Tells whether several endpoints counted something, as far as the version has several.
    fn has_groups(&self, endpoints: usize, count: CountOf) -> bool {
        let groups = self.groups.iter().filter(|of| count(&of.new) >= 0.5).count();
        groups >= least_groups(endpoints)
    }

    /// Tells whether the new version counts more of something, out of some answers, than the proven ones do on the
    /// same routes, and still does without its worst group of endpoints.
    fn is_over(&self, count: CountOf, of: CountOf, from: f32) -> bool {
        let total: f32 = self.routes.iter().map(|route| count(&route.new.of)).sum();
        let others = self.part_of_others(count, of);
        total >= LEAST_COUNTED
            && self.ratio(count, of, (1.0, 1.0)) >= from
            && self.ratio(count, of, others) >= OTHERS_FROM
    }

    /// Gets the likelihood ratio, as a logarithm, of such parts of what was counted and of the answers it is out of,
    /// at the new version. Route by route: one call in seven may fail on one, and none on another.
    fn ratio(&self, count: CountOf, of: CountOf, (counted, seen): (f32, f32)) -> f32 {
        let on_route = |route: &OfRoute| {
            let (new, proven) = (&route.new.of, &route.proven.of);
            let usual = usual_share(count(proven), of(proven)) + MARGIN;
            signed_likelihood(count(new) * counted, of(new) * seen, usual)
        };
        self.routes.iter().map(on_route).sum()
    }

    /// Tells whether the new version looks worse than the proven ones, too little to say so.
    pub fn is_doubtful(&self) -> bool {
        let (new, proven) = self.totals();
        let ratios: [(CountOf, CountOf); 4] =
            [(failed, all), (late, whole), (far_late, whole), (bad, all)];
        let is_doubtful = |(count, of)| self.ratio(count, of, (1.0, 1.0)) >= DOUBTED_FROM;
        let is_slow = slowness(&new, &proven) >= DOUBTED_FROM;
        proven.of.all >= LEAST_PROVEN && (is_slow || ratios.into_iter().any(is_doubtful))
    }

    /// Gets which parts of what was counted, and of the answers it is out of, are not of the group of endpoints that
    /// counted most beyond the mean.
    fn part_of_others(&self, count: CountOf, of: CountOf) -> (f32, f32) {
        let counted: f32 = self.groups.iter().map(|group| count(&group.new)).sum();
        let seen: f32 = self.groups.iter().map(|group| of(&group.new)).sum();
        let mean = counted / seen.max(1.0);
        let excess = |group: &&OfGroup| count(&group.new) - of(&group.new) * mean;
        let worst = self.groups.iter().max_by(|a, b| excess(a).total_cmp(&excess(b)));
        let (worst_counted, worst_seen) = worst
            .filter(|_| self.groups.len() > 1)
            .map_or((0.0, 0.0), |group| (count(&group.new), of(&group.new)));
        (1.0 - worst_counted / counted.max(1.0), 1.0 - worst_seen / seen.max(1.0))
    }

    fn fails_on_route(&self, from: f32) -> bool {
        self.routes.iter().any(|of| {
            let usual = usual_share(of.proven.of.failed, of.proven.of.all);
            likelihood(of.new.of.failed, of.new.of.all, usual + MARGIN) >= from
        })
    }

    /// Tells whether more answers fail at loaded endpoints than the proven versions' do, leaving the worst ones
    /// out: few endpoints had a turn, and some may have failed for reasons of their own.
    fn fails_under_load(&self, proven: &Counts, endpoints: usize, from: f32) -> bool {
        let mut groups: Vec<&OfGroup> = self.groups.iter().filter(|of| of.loaded > 0).collect();
        if groups.len() < least_groups(endpoints) {
            return false;
        }
        groups.sort_by(|a, b| a.loaded_share().total_cmp(&b.loaded_share()));
        let left_out = (groups.len() as f64 * LEFT_OUT) as usize;
        groups.truncate(groups.len() - left_out);
        let (failed, all) = loaded_of(groups);
        let usual = usual_share(proven.failed, proven.all) * ODD_TIMES + LOADED_MARGIN;
        likelihood(failed, all, usual) >= from
    }

    /// Tells whether more answers fail since all traffic moved than the proven versions' do on the same routes, leaving
    /// the worst endpoints out.
    pub fn fails_since(&self, moved: &Moved, basis: Basis) -> bool {
        let of_most = moved.without_worst();
        moved.groups() >= least_groups(basis.endpoints)
            && of_most.total().failed >= LEAST_COUNTED
            && self.ratio_since(&of_most) >= SINCE_MOVE_FROM + basis.surplus()
    }

    /// Tells whether the new version looks worse since all traffic moved, too little to say so.
    pub fn is_doubtful_since(&self, moved: &Moved) -> bool {
        self.ratio_since(&moved.without_worst()) >= DOUBTED_FROM
    }

    /// Gets the likelihood ratio, as a logarithm, of what failed since all traffic moved; 0 while too little is known
    /// of the proven versions.
    fn ratio_since(&self, moved: &Moved) -> f32 {
        let (_, proven) = self.totals();
        if proven.of.all < LEAST_PROVEN {
            return 0.0;
        }
        let on_route = |route: &OfRoute| {
            let usual = usual_share(route.proven.of.failed, route.proven.of.all) + MARGIN;
            let new = moved.on_route(route.route);
            signed_likelihood(new.failed, new.all, usual)
        };
        self.routes.iter().map(on_route).sum()
    }

    fn is_slower_on_route(&self, from: f32) -> bool {
        self.routes.iter().any(|of| slowness(&of.new, &of.proven) >= from)
    }

    fn of_route(&mut self, route: u8) -> &mut OfRoute {
        let at = self.routes.iter().position(|of| of.route == route).unwrap_or_else(|| {
            let (new, proven) = (Sample::default(), Sample::default());
            self.routes.push(OfRoute { route, new, proven });
            self.routes.len() - 1
        });
        &mut self.routes[at]
    }

    fn of_group(&mut self, group: u8) -> &mut OfGroup {
        let at = self.groups.iter().position(|of| of.group == group).unwrap_or_else(|| {
            let new = Counts::default();
            self.groups.push(OfGroup { group, new, loaded: 0, loaded_failed: 0 });
            self.groups.len() - 1
        });
        &mut self.groups[at]
    }
}

impl fmt::Display for Samples {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (new, proven) = self.totals();
        let (loaded_failed, loaded) = loaded_of(&self.groups);
        write!(
            f,
            "all_failed={:.1} all_bad={:.1} all={:.1} above={:.1} paced={:.1} proven_above={:.1} \
             proven_paced={:.1} loaded_failed={:.0} loaded={:.0}",
            new.of.failed,
            new.of.bad,
            new.of.all,
            new.of.above,
            new.paced,
            proven.of.above,
            proven.paced,
            loaded_failed,
            loaded
        )
    }
}

/// Sums the answers of loaded endpoints that failed, and all of them.
fn loaded_of<'a>(groups: impl IntoIterator<Item = &'a OfGroup>) -> (f32, f32) {
    groups.into_iter().fold((0.0, 0.0), |(failed, all), of| {
        (failed + f32::from(of.loaded_failed), all + f32::from(of.loaded))
    })
}

/// Gets how many groups of a version with so many endpoints have to do badly. Of three or more, one may be spared
/// by chance, and two may be of one group.
fn least_groups(endpoints: usize) -> usize {
    match endpoints {
        0..=2 => endpoints,
        _ => LEAST_GROUPS.min(endpoints - 1),
    }
}

/// What is counted of a sample.
type CountOf = fn(&Counts) -> f32;

fn failed(of: &Counts) -> f32 {
    of.failed
}

fn bad(of: &Counts) -> f32 {
    of.bad
}

fn late(of: &Counts) -> f32 {
    of.bad - of.failed
}

fn far_late(of: &Counts) -> f32 {
    of.far_late
}

fn all(of: &Counts) -> f32 {
    of.all
}

/// Those that may be late: where many fail on any version, these tell more without them.
fn whole(of: &Counts) -> f32 {
    of.all - of.failed
}

fn above(of: &Counts) -> f32 {
    of.above
}

/// Estimates the proven versions' share; with few answers it is not taken for small.
pub fn usual_share(counted: f32, all: f32) -> f32 {
    (counted + 1.0) / (all + 2.0)
}

fn slowness(new: &Sample, proven: &Sample) -> f32 {
    likelihood(new.of.above, new.paced, usual_share(proven.of.above, proven.paced) + PACE_MARGIN)
}

/// Gets the logarithm of the likelihood ratio of the share that was counted against a usual one; 0 if it is
/// not over that. The counts may have faded.
pub fn likelihood(counted: f32, all: f32, usual: f32) -> f32 {
    signed_likelihood(counted, all, usual).max(0.0)
}

/// Gets the same, below 0 for a share under the usual one.
fn signed_likelihood(counted: f32, all: f32, usual: f32) -> f32 {
    let (share, usual) = ((counted / all.max(1.0)).min(1.0), usual.min(0.99));
    let part = |share: f32, usual: f32| match share {
        0.0 => 0.0,
        share => share * (share / usual).ln(),
    };
    let ratio = all * (part(share, usual) + part(1.0 - share, 1.0 - usual));
    if share < usual {
        -ratio
    } else {
        ratio
    }
}
