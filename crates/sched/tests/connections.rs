//! How many connections a fleet without coordination opens to targets that reset what is too much,
//! and which requests wait for one.

use base::{DomainId, Ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::connections::{ConnectionEvent, FleetSize, Hold, Quota, WaitQueue};
use std::collections::{BTreeMap, VecDeque};

/// Connections that a target accepts, and how many while its queue is long.
const DECLARED: u32 = 120;
const ACCEPTED_WHEN_LONG: u32 = 10;
const LONG_QUEUE: usize = 12;
const SLOTS: usize = 6;
const SERVICE_MS: u64 = 60;
const ROUND_TRIP_MS: u64 = 7;
const TARGETS: usize = 6;
/// Time that callers wait, ms.
const DEADLINE_MS: u64 = 2_000;

#[derive(Clone, Copy)]
struct Request {
    host: usize,
    deadline: Ms,
    safe: bool,
}

#[derive(Clone, Copy)]
enum Step {
    /// A new connection was reset, or has proved itself.
    Reset(usize, Request, bool),
    Proved(usize, Request),
    Sent(usize, Request),
    Done(usize, Request),
}

#[derive(Default)]
struct Target {
    open: u32,
    running: usize,
    waiting: VecDeque<Request>,
}

#[derive(Default)]
struct Host {
    quotas: [Quota; TARGETS],
    in_use: [u32; TARGETS],
    idle: [u32; TARGETS],
    /// Requests that each target had waiting when it last answered, if it has.
    queued: [Option<u32>; TARGETS],
    hold: Hold,
    queue: WaitQueue<Request>,
}

#[derive(Debug, Default)]
struct Counts {
    sends: usize,
    resets: usize,
    lost: usize,
    served: usize,
    rejected: usize,
    late: usize,
}

struct Play {
    hosts: Vec<Host>,
    targets: [Target; TARGETS],
    steps: BTreeMap<u64, Vec<Step>>,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Play {
    fn new(hosts: usize, seed: u64) -> Self {
        let mut hosts: Vec<Host> = (0..hosts).map(|_| Host::default()).collect();
        let count = hosts.len() as u32;
        hosts.iter_mut().flat_map(|h| &mut h.quotas).for_each(|q| q.share(DECLARED, count));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (targets, steps) = Default::default();
        Self { hosts, targets, steps, counts: Counts::default(), rng }
    }

    /// Plays `time` ms. `arrivals` returns the hosts at which requests arrive in a millisecond.
    fn run(&mut self, time: u64, arrivals: impl Fn(u64, &mut ChaCha8Rng) -> Vec<usize>) {
        for now in 0..time {
            for step in self.steps.remove(&now).unwrap_or_default() {
                self.apply(now, step);
            }
            for host in arrivals(now, &mut self.rng) {
                let safe = self.rng.random_range(0..4) == 0;
                let deadline = Ms(now + DEADLINE_MS);
                self.arrive(now, Request { host, deadline, safe });
            }
            (0..self.hosts.len()).for_each(|host| self.turn(now, host));
        }
    }

    fn arrive(&mut self, now: u64, request: Request) {
        let host = &mut self.hosts[request.host];
        let open: u32 = host.in_use.iter().sum();
        match host.queue.enter(Ms(now), 1, request.deadline, open, request) {
            Ok(_) => {}
            Err(_) => self.counts.rejected += 1,
        }
    }

    /// Sends what waits at a host and finds a connection.
    fn turn(&mut self, now: u64, host: usize) {
        if now.is_multiple_of(1_000) {
            for quota in &mut self.hosts[host].quotas {
                quota.settle(Ms(now));
            }
        }
        while let Some((place, request)) = self.hosts[host].queue.first() {
            let (place, request) = (*place, *request);
            let expired = request.deadline <= Ms(now);
            self.counts.late += usize::from(expired);
            if !expired && !self.send(now, request) {
                return;
            }
            self.hosts[host].queue.leave(&place);
        }
    }

    fn send(&mut self, now: u64, request: Request) -> bool {
        let from = self.rng.random_range(0..TARGETS);
        let host = &mut self.hosts[request.host];
        let order = (0..TARGETS).map(|i| (from + i) % TARGETS);
        let open = |host: &Host, t: usize| host.in_use[t] + host.idle[t];
        let all = (0..TARGETS).map(|t| open(host, t)).sum();
        let may_open = |t: usize| {
            host.hold.may_open(Ms(now), all, host.queued[t].unwrap_or(0), SLOTS as u32)
                && host.quotas[t].may_open(Ms(now), open(host, t))
        };
        let free = |t: &usize| host.idle[*t] > 0 || may_open(*t);
        let Some(t) = order.clone().find(free) else {
            order.for_each(|t| {
                let queued = host.queued[t].unwrap_or(0);
                host.quotas[t].wanted(Ms(now), host.in_use[t], queued);
            });
            return false;
        };
        host.in_use[t] += 1;
        host.quotas[t].taken(Ms(now), host.in_use[t]);
        if host.idle[t] > 0 {
            host.idle[t] -= 1;
            self.later(now, Step::Sent(t, request));
            return true;
        }
        let proves = !request.safe && host.quotas[t].needs_proof(open(host, t), host.queued[t]);
        let long = self.targets[t].waiting.len() > LONG_QUEUE;
        let accepted = if long { ACCEPTED_WHEN_LONG } else { DECLARED };
        self.counts.sends += usize::from(proves);
        let step = match self.targets[t].open < accepted {
            false => Step::Reset(t, request, proves || request.safe),
            true if proves => Step::Proved(t, request),
            true => Step::Sent(t, request),
        };
        self.targets[t].open += u32::from(self.targets[t].open < accepted);
        self.later(now, step);
        true
    }

    fn later(&mut self, now: u64, step: Step) {
        self.steps.entry(now + ROUND_TRIP_MS).or_default().push(step);
    }

    fn apply(&mut self, now: u64, step: Step) {
        match step {
            Step::Reset(t, request, repeats) => {
                let draw = self.rng.random();
                let host = &mut self.hosts[request.host];
                host.in_use[t] -= 1;
                host.hold.reset(Ms(now));
                host.quotas[t].reset(Ms(now), draw);
                self.counts.resets += 1;
                match repeats {
                    true => self.arrive(now, request),
                    false => self.counts.lost += 1,
                }
            }
            Step::Proved(t, request) => {
                self.hosts[request.host].quotas[t].proved();
                self.later(now, Step::Sent(t, request));
            }
            Step::Sent(t, request) => {
                self.counts.sends += 1;
                let target = &mut self.targets[t];
                target.waiting.push_back(request);
                self.begin(now, t);
            }
            Step::Done(t, request) => {
                self.targets[t].running -= 1;
                self.begin(now, t);
                let host = &mut self.hosts[request.host];
                host.in_use[t] -= 1;
                host.queue.served(Ms(SERVICE_MS));
                host.quotas[t].answered();
                host.queued[t] = Some(self.targets[t].waiting.len() as u32);
                match host.in_use[t] + host.idle[t] < host.quotas[t].size() {
                    true => host.idle[t] += 1,
                    false => self.targets[t].open -= 1,
                }
                self.counts.served += 1;
            }
        }
    }

    fn begin(&mut self, now: u64, t: usize) {
        let target = &mut self.targets[t];
        while target.running < SLOTS {
            let Some(request) = target.waiting.pop_front() else { return };
            target.running += 1;
            self.steps.entry(now + SERVICE_MS).or_default().push(Step::Done(t, request));
        }
    }
}

/// Guards against hosts that all open connections in a burst, most of which are reset with requests
/// on them that may have run.
#[test]
fn a_burst_of_all_hosts_loses_no_request() {
    for seed in 0..4 {
        let mut play = Play::new(85, seed);
        play.run(6_000, |now, rng| match now {
            // Four requests at each host at once, then eight tenths of what the targets can serve.
            0 => (0..340).map(|n| n % 85).collect(),
            _ if rng.random_range(0..100) < 48 => vec![rng.random_range(0..85)],
            _ => Vec::new(),
        });
        let counts = &play.counts;
        assert_eq!(counts.lost, 0, "seed {seed}: {counts:?}");
        assert!(50 * counts.resets < counts.sends, "seed {seed}: {counts:?}");
        assert!(counts.served > 2_900, "seed {seed}: {counts:?}");
    }
}

/// Guards against targets with a long queue that are kept busy with resets.
#[test]
fn overloaded_targets_that_accept_ten_connections_reset_few() {
    for seed in 0..4 {
        let mut play = Play::new(85, seed);
        play.run(8_000, |now, rng| match now {
            // Twice as much as the targets can serve, for two seconds.
            0 => (0..850).map(|n| n % 85).collect(),
            1..2_000 => (0..rng.random_range(1..=2)).map(|_| rng.random_range(0..85)).collect(),
            _ if rng.random_range(0..100) < 48 => vec![rng.random_range(0..85)],
            _ => Vec::new(),
        });
        let counts = &play.counts;
        assert_eq!(counts.lost, 0, "seed {seed}: {counts:?}");
        assert!(50 * counts.resets < counts.sends, "seed {seed}: {counts:?}");
        assert!(counts.served > 4_000, "seed {seed}: {counts:?}");
    }
}

/// Guards against a host that gets all callers and keeps to the share of one host among 85.
#[test]
fn one_host_with_all_callers_uses_what_the_others_leave() {
    for seed in 0..4 {
        let mut play = Play::new(85, seed);
        let arrivals = |_, rng: &mut ChaCha8Rng| vec![0; usize::from(rng.random_range(0..2) == 0)];
        play.run(3_000, arrivals);
        let before = std::mem::take(&mut play.counts);
        assert_eq!(before.lost, 0, "seed {seed}: {before:?}");
        play.steps = play.steps.split_off(&3_000);
        let shift = |(at, steps): (u64, Vec<Step>)| (at - 3_000, steps);
        play.steps = std::mem::take(&mut play.steps).into_iter().map(shift).collect();
        play.hosts.iter_mut().for_each(|h| h.queue = WaitQueue::default());
        play.run(2_000, arrivals);
        let counts = &play.counts;
        assert_eq!((counts.rejected, counts.late, counts.lost), (0, 0, 0), "seed {seed}");
        assert!(counts.served >= 900, "seed {seed}: {counts:?}");
    }
}

/// Guards against a less urgent request that gets a connection first because it came first.
#[test]
fn requests_wait_by_rank_then_deadline_then_arrival() {
    let mut queue = WaitQueue::default();
    for (rank, deadline, name) in [(1, 900, "d"), (1, 500, "b"), (0, 900, "a"), (1, 500, "c")] {
        queue.enter(Ms::ZERO, rank, Ms(deadline), 1, name).unwrap();
    }
    assert!(queue.is_first(0, Ms(800)) && !queue.is_first(0, Ms(900)));
    let mut order = Vec::new();
    while let Some((place, name)) = queue.first() {
        let (place, name) = (*place, *name);
        order.push(name);
        queue.leave(&place);
    }
    assert_eq!(order, ["a", "b", "c", "d"]);
}

/// Guards against a request that waits until its deadline for a connection it can't get.
#[test]
fn a_request_that_cannot_be_served_in_time_is_rejected_at_once() {
    let mut queue = WaitQueue::default();
    queue.served(Ms(100));
    // Alone it is sent like without a queue, though its time is short.
    assert!(queue.enter(Ms(1_000), 1, Ms(1_050), 2, ()).is_ok());
    for _ in 0..4 {
        assert!(queue.enter(Ms(1_000), 1, Ms(2_000), 2, ()).is_ok());
    }
    // Five are ahead of it: a wait of 300 ms and 100 ms for itself.
    assert_eq!(queue.enter(Ms(1_000), 1, Ms(2_001), 2, ()).map(drop), Ok(()));
    assert_eq!(queue.enter(Ms(1_650), 1, Ms(2_050), 2, ()).map(drop), Err(Ms(50)));
    // On its turn it must still have the time that a request takes.
    assert_eq!(queue.slack(Ms(1_950), Ms(2_000)), Ms::ZERO);
    assert_eq!(queue.slack(Ms(1_850), Ms(2_000)), Ms(50));
    // A more urgent one goes before them.
    assert!(queue.enter(Ms(1_650), 0, Ms(2_050), 2, ()).is_ok());
}

/// Guards against resets that grow with the number of tries, and against a quota that never
/// recovers.
#[test]
fn resets_halve_the_quota_and_back_off() {
    let mut quota = Quota::default();
    quota.share(120, 12);
    let mut now = Ms(10_000);
    while quota.size() < 30 {
        quota.wanted(now, quota.size(), 0);
        quota.answered();
        now += Ms(10);
    }
    assert_eq!((now - Ms(10_000)).0 / 100, 40, "one more in 200 ms");
    assert_eq!(
        (quota.size(), quota.needs_proof(22, Some(0)), quota.needs_proof(23, Some(0))),
        (30, false, true)
    );
    assert_eq!(quota.reset(now, 0), Some(ConnectionEvent::Short));
    assert_eq!((quota.size(), quota.is_short(), quota.may_open(now, 0)), (15, true, false));
    // Those that were opened together are one step.
    assert_eq!((quota.reset(now, 0), quota.size()), (None, 15));
    let mut waits = Vec::new();
    for _ in 0..7 {
        let begun = now;
        while !quota.may_open(now, 0) {
            now += Ms(1);
        }
        waits.push((now - begun).0);
        quota.reset(now, u64::MAX - 1);
    }
    assert!(waits.windows(2).all(|w| w[1] > w[0] || w[1] >= 500), "{waits:?}");
    assert!(waits[0] >= 25 && waits.iter().all(|w| *w <= 1_000), "{waits:?}");
    assert_eq!(quota.size(), 10, "no less than its share");
    assert_eq!(quota.settle(now + Ms(4_999)), None);
    assert_eq!(quota.settle(now + Ms(5_000)), Some(ConnectionEvent::Restored));
    assert!(!quota.needs_proof(1, Some(0)));
}

/// Guards against a request that may not be repeated on the first connection that a target resets:
/// it has told nothing lately, or that requests wait.
#[test]
fn a_new_connection_needs_no_proof_only_where_nothing_waits() {
    let mut quota = Quota::default();
    quota.share(120, 12);
    let proofs = [None, Some(1), Some(0)].map(|queued| quota.needs_proof(1, queued));
    assert_eq!(proofs, [true, true, false]);
}

/// Guards against both sides of a cut taking the shares of the other side.
#[test]
fn hosts_out_of_sight_count_unless_their_domain_is_seen() {
    let [a, b] = ["a", "b"].map(DomainId::from);
    let mut fleet = FleetSize::default();
    fleet.see(Ms(1_000), [&a, &a, &a, &b, &b].into_iter());
    assert_eq!(fleet.hosts(), 5);
    fleet.see(Ms(2_000), [&a, &a, &b, &b].into_iter());
    assert_eq!(fleet.hosts(), 4, "one has died");
    fleet.see(Ms(3_000), [&a, &a].into_iter());
    assert_eq!(fleet.hosts(), 4, "a domain is cut off");
    fleet.see(Ms(4_000), [&a].into_iter());
    assert_eq!(fleet.hosts(), 4, "this host is cut off");
    fleet.see(Ms(604_000), [&a].into_iter());
    assert_eq!(fleet.hosts(), 1);
}
