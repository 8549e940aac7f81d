//! Which target runs a request where targets report their pace, alone and among many hosts that act
//! on the same figures in virtual time.

mod common;

use base::{Ms, TargetId};
use common::{Bench, config};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::batch::Event;
use sched::pace::{Pace, PaceEvent, Response, Slowness, Usual, Watch, credible};
use sched::placement::engines::{Prompt, engine};
use sched::placement::paced::{Paced, plain};
use sched::placement::{self, Candidate, Distance};

const SERVICE: f64 = 60.0;

fn target(name: &str, distance: Distance, load: u32) -> Paced<'_> {
    Paced {
        base: Candidate {
            name,
            distance,
            slots: 6,
            load,
            latency: Some(SERVICE),
            failure_rate: 0.0,
            usable: true,
            ejected_until: Ms::ZERO,
            trial: false,
            wait: Ms::ZERO,
            cached: false,
        },
        pace: Some(1.0),
        stretch: 1.0,
        measured: 1.0,
        host: distance,
        source: distance,
    }
}

fn engine_of(name: &str, distance: Distance, load: u32) -> Paced<'_> {
    let mut engine = target(name, distance, load);
    (engine.base.slots, engine.base.latency) = (64, None);
    engine
}

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// How often each of these is chosen in 4,000 requests, each with its own subject and draw.
fn counts(count: usize, choose: impl Fn(u64, u64) -> Option<usize>) -> Vec<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut out = vec![0; count];
    for _ in 0..4_000 {
        out[choose(rng.random(), rng.random()).unwrap()] += 1;
    }
    out
}

// Guards against services whose targets send three figures being placed otherwise than before.
#[test]
fn without_a_pace_the_earlier_rules_decide() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for draw in 0..500 {
        let mut all: Vec<Paced<'_>> =
            NAMES.iter().map(|n| target(n, Distance::Far, rng.random_range(0..9))).collect();
        for t in &mut all {
            (t.pace, t.base.usable) = (None, rng.random_bool(0.8));
            t.base.wait = Ms(rng.random_range(0..90));
        }
        let bases: Vec<Candidate<'_>> = all.iter().map(|t| t.base.clone()).collect();
        assert_eq!(plain(&all, true, draw), placement::plain(&bases, true));
        let prompt = Prompt { subject: draw, copy: Ms(50), ..Prompt::default() };
        assert_eq!(engine(&all, &prompt, draw), placement::engine(&bases, draw, Ms(50)));
    }
}

// Guards against a figure that is used long after it was true.
#[test]
fn a_reported_pace_decays_to_normal_in_half_a_second() {
    let pace = Pace::new(300, Ms(1_000));
    let factors = [1_000, 1_250, 1_500, 9_000].map(|at| pace.factor(Ms(at)));
    assert_eq!(factors, [3.0, 2.0, 1.0, 1.0]);
}

/// A response that ends at `at` with a report of `percent`, the one before it having been `before`.
fn response(percent: u32, at: u64, before: Option<Pace>) -> Response {
    Response { begun: Ms(at), before, pace: Pace::new(percent, Ms(at)), queue: 1.0 }
}

// Guards against a slow pace that has no effect because the response that reports it took no longer
// than others: it was served before the target became slow.
#[test]
fn a_response_counts_under_the_pace_at_which_it_was_served() {
    let mut usual = Usual::default();
    usual.record(Ms(0), &response(100, 0, None));
    usual.record(Ms(10), &response(900, 10, Some(Pace::new(100, Ms(10)))));
    assert_eq!(usual.stretch(), 1.0);
    assert!(usual.pace(Ms(10)) > 2.0, "it is reported none the less");
    // An outdated report says nothing of when it was served.
    usual.record(Ms(1_000), &response(900, 1_000, Some(Pace::new(100, Ms(10)))));
    assert!(usual.stretch() > 2.0);
}

// Guards against a target that reports pace 1 by mistake and gets all requests.
#[test]
fn measured_times_count_against_a_false_pace() {
    let (mut usual, mut slowness) = (Usual::default(), Slowness::default());
    for at in 0..20 {
        usual.record(Ms(at), &response(1, at, None));
        slowness.record(Ms(at), Ms(240), Ms(60));
    }
    let mut slow = target("slow", Distance::Domain, 0);
    (slow.base.latency, slow.pace, slow.stretch) = (Some(240.0), Some(0.5), usual.stretch());
    let all = [slow, target("b", Distance::Domain, 4), target("c", Distance::Domain, 4)];
    assert_eq!(counts(3, |_, draw| plain(&all, false, draw))[0], 0);
    assert!(credible(0.5, slowness.factor(Ms(20))) > 3.0);
    assert!(slowness.factor(Ms(30_000)) < 1.1, "it is tried again");
}

// Guards against a target that is always slow and counts as normal at hosts that seldom hear of it,
// and against one that is never tried again after it has recovered.
#[test]
fn a_usual_pace_outlasts_the_report_and_a_great_slowness_fades() {
    let after = |percent, time| {
        let (mut usual, pace) = (Usual::default(), Pace::new(percent, Ms(0)));
        usual.record(Ms(0), &response(percent, 0, None));
        pace.factor_from(Ms(time), usual.pace(Ms(time)))
    };
    assert_eq!((after(125, 60_000), after(400, 0)), (1.25, 4.0));
    assert!(after(400, 1_000) > 3.0 && after(400, 60_000) < 1.3);
}

// Guards against lines at each of the many changes of a pace within a second.
#[test]
fn only_a_lasting_change_of_pace_is_reported() {
    let mut watch = Watch::default();
    let mut events = Vec::new();
    let paces = (0..1_000).map(|i| match i {
        300..600 => {
            if i % 2 == 0 {
                400
            } else {
                250
            }
        }
        _ => {
            if i % 10 == 0 {
                300
            } else {
                95
            }
        }
    });
    for (i, percent) in paces.enumerate() {
        events.extend(watch.observe(Ms(i as u64 * 20), percent));
    }
    assert_eq!(events, [PaceEvent::Slowed, PaceEvent::Recovered]);
}

// Guards against a third of the targets holding up a third of the requests.
#[test]
fn a_slow_third_of_the_targets_gets_what_it_can_serve_in_time() {
    let mut all: Vec<Paced<'_>> =
        NAMES[..6].iter().map(|n| target(n, Distance::Region, 1)).collect();
    all[0].pace = Some(4.0);
    all[1].pace = Some(1.3);
    let idle = counts(6, |_, draw| plain(&all, false, draw));
    assert_eq!(idle[0], 0);
    assert!(idle[1] < 4_000 / 6, "{idle:?}");
    all[2..].iter_mut().for_each(|t| t.base.load = 4);
    let busy = counts(6, |_, draw| plain(&all, false, draw));
    assert!(busy[0] == 0 && busy[1] > 1_000, "a little slower is sooner than half full: {busy:?}");
    all[1..].iter_mut().for_each(|t| t.base.load = 24);
    assert!(counts(6, |_, draw| plain(&all, false, draw))[0] > 1_000, "slow is sooner than full");
}

// Guards against responses across regions while near targets have room, and against callers that
// wait in a full region beside an idle one.
#[test]
fn a_plain_request_leaves_a_full_region_only() {
    let region = |load| {
        let near = NAMES[..4].iter().map(move |n| target(n, Distance::Region, load));
        let far = NAMES[4..].iter().map(|n| target(n, Distance::Far, 0));
        near.chain(far.map(|mut t| {
            t.base.latency = Some(SERVICE + 40.0);
            t
        }))
    };
    let far = |load| {
        let all: Vec<Paced<'_>> = region(load).collect();
        counts(12, |_, draw| plain(&all, false, draw))[4..].iter().sum::<u32>()
    };
    assert_eq!(far(3), 0);
    assert!(far(18) > 3_000);
}

// The same for engines.
#[test]
fn a_stream_leaves_a_full_region_only() {
    let far = |load, result_bytes| {
        let near = NAMES[..4].iter().map(|n| engine_of(n, Distance::Domain, load));
        let all: Vec<Paced<'_>> =
            near.chain(NAMES[4..].iter().map(|n| engine_of(n, Distance::Far, 4))).collect();
        let prompt = |subject| Prompt { subject, result_bytes, ..Prompt::default() };
        counts(12, |s, draw| engine(&all, &prompt(s), draw))[4..].iter().sum::<u32>()
    };
    assert_eq!(far(32, 0), 0);
    assert_eq!(far(50, 0), 4_000);
    assert_eq!(far(50, 2_000_000), 0, "moving its results costs more than the longer steps");
    assert_eq!(far(60, 2_000_000), 4_000, "no near engine has room");
}

// Guards against a popular subject that overloads one engine, and against one that each engine of
// the domain reads.
#[test]
fn a_popular_subject_spreads_over_as_few_engines_as_its_load_needs() {
    let prompt = Prompt { subject: 42, copy: Ms(50), ..Prompt::default() };
    let mut all: Vec<Paced<'_>> = NAMES.iter().map(|n| engine_of(n, Distance::Domain, 0)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut read = Vec::new();
    for requests in [20, 100] {
        for _ in 0..requests {
            let i = engine(&all, &prompt, rng.random()).unwrap();
            all[i].base.load += 1;
            all[i].base.cached = true;
        }
        read.push(all.iter().filter(|e| e.base.cached).count());
    }
    assert_eq!(read[0], 1);
    assert!((2..=4).contains(&read[1]), "{read:?}");
    assert!(all.iter().all(|e| e.base.load < 64));
}

// Guards against slow engines that keep their part of all subjects.
#[test]
fn a_slow_engine_leaves_its_subjects_to_others() {
    let mut all: Vec<Paced<'_>> =
        NAMES.iter().map(|n| engine_of(n, Distance::Domain, 30)).collect();
    all[0].pace = Some(4.0);
    let counts = counts(12, |subject, draw| {
        engine(&all, &Prompt { subject, copy: Ms(50), ..Prompt::default() }, draw)
    });
    assert_eq!(counts[0], 0);
}

// Guards against copies between failure domains that look as cheap as those within one.
#[test]
fn a_shared_prompt_is_copied_from_near() {
    let prompt = Prompt { copy: Ms(5), ..Prompt::default() };
    let cost = [Distance::Domain, Distance::Region, Distance::Far].map(|d| prompt.copying(d));
    assert_eq!(cost, [5.0, 10.0, 10.0]);
}

fn placed(t: usize, near: bool, load: u32) -> Paced<'static> {
    let distance = if near { Distance::Region } else { Distance::Far };
    let mut target = target(NAMES[t], distance, load);
    target.base.latency = Some(if near { SERVICE } else { SERVICE + 40.0 });
    target
}

/// Largest share of the requests of a second that one target got, as a multiple of the mean. All
/// `hosts` act on the loads of half a second ago, with what each has sent itself since, and are spread evenly
/// over the regions. At first one target looks idle and the others busy.
fn herd(
    hosts: usize,
    regions: usize,
    choose: impl Fn(&[Paced<'_>], &mut ChaCha8Rng) -> usize,
) -> f64 {
    const TARGETS: usize = 6;
    const STEP: u64 = 5;
    const LAG: usize = 100;
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let busy: Vec<u32> = (0..TARGETS).map(|t| if t == 0 { 0 } else { 6 }).collect();
    let mut seen: Vec<Vec<u32>> = vec![busy; LAG];
    let mut sent: Vec<(usize, usize, usize)> = Vec::new();
    let (steps, rate) = (1_200, 2);
    for step in 0..steps {
        for _ in 0..rate {
            let host = rng.random_range(0..hosts);
            let own = |t| {
                let recent = sent.iter().rev().take_while(|(at, ..)| at + LAG > step);
                recent.filter(|(_, h, to)| (*h, *to) == (host, t)).count() as u32
            };
            let loads = &seen[step];
            let all: Vec<Paced<'_>> = (0..TARGETS)
                .map(|t| (t, host % regions == t % regions))
                .map(|(t, near)| placed(t, near, loads[t] + own(t)))
                .collect();
            sent.push((step, host, choose(&all, &mut rng)));
        }
        let running = |t| {
            let since = step.saturating_sub(SERVICE as usize / STEP as usize);
            sent.iter().filter(|(at, _, to)| *at > since && *to == t).count() as u32
        };
        seen.push((0..TARGETS).map(running).collect());
    }
    let window = 1_000 / STEP as usize;
    let share = |from: usize| {
        let mut counts = [0u32; TARGETS];
        let within = sent.iter().filter(|s| (from..from + window).contains(&s.0));
        within.for_each(|s| counts[s.2] += 1);
        f64::from(counts.into_iter().max().unwrap_or(0))
    };
    let most = (0..steps - window).step_by(20).map(share).fold(0.0, f64::max);
    most * TARGETS as f64 / (window * rate) as f64
}

// Guards against all hosts sending to the target that looked idle half a second ago.
#[test]
fn hosts_that_act_on_the_same_figures_spread_their_requests() {
    for (hosts, regions) in [(6, 1), (85, 1), (400, 1), (6, 3), (85, 3), (400, 3)] {
        let drawn = herd(hosts, regions, |all, rng| plain(all, false, rng.random()).unwrap());
        println!("{hosts} hosts in {regions} regions: at most {drawn:.2} of the mean");
        assert!(drawn <= 2.0, "{hosts}: {drawn}");
    }
    for hosts in [6, 85, 400] {
        let most = herd(hosts, 1, |all, rng| {
            let prompt = Prompt { subject: rng.random(), ..Prompt::default() };
            engine(all, &prompt, rng.random()).unwrap()
        });
        println!("engines, {hosts} hosts: at most {most:.2} of the mean");
        assert!(most <= 2.0, "{hosts}: {most}");
    }
    let lowest = herd(400, 1, |all, _| {
        let bases: Vec<Candidate<'_>> = all.iter().map(|t| t.base.clone()).collect();
        placement::plain(&bases, false).unwrap()
    });
    assert!(lowest > 2.0, "the test shows the fault where the cheapest is always taken: {lowest}");
}

// The same for engines: one of twelve looks idle to all hosts, and no subject needs reading.
#[test]
fn an_engine_that_looks_idle_gets_two_shares_at_most() {
    let load = |i| if i == 0 { 0 } else { 45 };
    let all: Vec<Paced<'_>> =
        (0..12).map(|i| engine_of(NAMES[i], Distance::Domain, load(i))).collect();
    let prompt = |subject| Prompt { subject, ..Prompt::default() };
    let counts = counts(12, |subject, draw| engine(&all, &prompt(subject), draw));
    assert!(counts[0] <= 2 * 4_000 / 12 + 100, "{counts:?}");
}

// Guards against a second call to a stage target that said in its first answer that it is slow.
#[test]
fn a_slowed_stage_target_is_known_from_its_first_answer() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 8, |_| ());
    bench.submit("r2", 8, |_| ());
    let slowed = bench.calls[0].1.clone();
    bench.finish(1, Ms(320));
    bench.feed(Event::Pace(slowed.clone(), Pace::new(400, bench.now)));
    bench.finish(0, Ms::ZERO);
    bench.submit("r3", 1, |_| ());
    bench.submit("r4", 1, |_| ());
    let later: Vec<&TargetId> = bench.calls[2..].iter().map(|(_, t, _)| t).collect();
    assert!(!later.is_empty() && !later.contains(&&slowed), "{later:?}");
}
