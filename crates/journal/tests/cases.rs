//! What callers are told, case by case: a paused or replaced host, a full shard, an outage.

mod sim;

use base::{Key, Ms, RequestId, WorkspaceId};
use conf::JournalSettings;
use journal::{Claim, ClaimResult, Journal, Outcome, SHARD_KIND, Sharded};
use sim::world::{Host, World};
use std::sync::Arc;
use wire::Answer;

fn rules() -> JournalSettings {
    JournalSettings { shards: 1, answer_bytes: 65_536, ..JournalSettings::default() }
}

fn host(world: &Arc<World>, rules: &JournalSettings) -> Arc<Host> {
    world.boot(0, 0, rules);
    world.host(0).expect("a host")
}

fn claim(world: &World, key: u128, attempt: u128) -> Claim {
    Claim {
        workspace: WorkspaceId::from("painters"),
        key: Key::at(world.now(), key),
        attempt: RequestId::from_u128(attempt),
    }
}

async fn done(journal: &Sharded, claim: &Claim, bytes: usize) {
    assert_eq!(journal.register(claim).await, ClaimResult::Granted);
    let answer = Answer { output: "x".repeat(bytes), ..Answer::default() };
    journal.finish(claim, Outcome::Done(answer)).await.expect("recorded");
}

fn again(claim: &Claim) -> Claim {
    Claim { attempt: RequestId::from_u128(u128::MAX), ..claim.clone() }
}

#[tokio::test(start_paused = true)]
async fn a_full_shard_drops_the_oldest_answers_and_no_key() {
    // Answers of 60 kB fill a shard of a megabyte after sixteen. From then on the oldest answer
    // goes: its caller's re-send is told `unknown`. No key is forgotten, so none runs again.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let mut claims = Vec::new();
    for key in 1..=20 {
        let claim = claim(&world, key, key);
        done(&host.journal, &claim, 60_000).await;
        claims.push(claim);
    }
    let mut told = Vec::new();
    for claim in &claims {
        told.push(host.journal.register(&again(claim)).await);
    }
    assert!(told[..4].iter().all(|t| *t == ClaimResult::Unknown), "{:?}", &told[0]);
    assert!(told[4..].iter().all(|t| matches!(t, ClaimResult::Answered(_))), "{:?}", &told[4]);
    let bytes = world.store.all(SHARD_KIND).objects.iter().map(|o| o.body.len()).max();
    assert!(bytes.is_some_and(|b| b <= 1_000_000), "{bytes:?}");
}

#[tokio::test(start_paused = true)]
async fn a_shard_full_of_live_keys_refuses_new_ones() {
    // More keys than a shard holds start within the window. Those past its size are refused as
    // not run; forgetting a live key instead could run it twice.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let claims: Vec<_> = (1..=6_000).map(|key| claim(&world, key, key)).collect();
    let tried = claims.iter().map(|claim| host.journal.register(claim));
    let granted = futures::future::join_all(tried).await;
    let fitting = granted.iter().filter(|g| **g == ClaimResult::Granted).count();
    let refused = granted.iter().filter(|g| **g == ClaimResult::Unavailable).count();
    assert_eq!(fitting + refused, claims.len());
    assert!((4_000..5_500).contains(&fitting), "{fitting} keys fitted");
    let first = host.journal.register(&again(&claims[0])).await;
    assert_eq!(first, ClaimResult::Running);
    // Once the window has passed there is room again.
    tokio::time::sleep(Ms::secs(700).duration()).await;
    assert_eq!(host.journal.register(&claim(&world, 1, 1)).await, ClaimResult::Granted);
    assert_eq!(host.journal.register(&again(&claims[0])).await, ClaimResult::Expired);
}

#[tokio::test(start_paused = true)]
async fn an_answer_above_its_limit_is_told_as_unknown() {
    let world = World::new(1, 1, None);
    let host = host(&world, &JournalSettings { answer_bytes: 100, ..rules() });
    let claim = claim(&world, 1, 1);
    done(&host.journal, &claim, 200).await;
    assert_eq!(host.journal.register(&again(&claim)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_started_key_is_running_and_then_unknown() {
    // The holder says nothing more: it may be at work, and its caller's re-send is told so. Past
    // any deadline the outcome can't be told any more, and the key is still not run again.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let claim = claim(&world, 1, 1);
    assert_eq!(host.journal.register(&claim).await, ClaimResult::Granted);
    assert_eq!(host.journal.register(&claim).await, ClaimResult::Granted, "the same attempt");
    assert_eq!(host.journal.register(&again(&claim)).await, ClaimResult::Running);
    tokio::time::sleep(rules().running_ms.duration()).await;
    assert_eq!(host.journal.register(&again(&claim)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_replaced_host_does_not_know_its_earlier_attempts() {
    // The host was killed after its grant and came back under its name. Nothing runs the key any
    // more, so waiting for it makes no sense: `unknown` at once.
    let world = World::new(1, 1, None);
    let first = claim(&world, 1, 1);
    assert_eq!(host(&world, &rules()).journal.register(&first).await, ClaimResult::Granted);
    world.kill(0);
    tokio::time::sleep(Ms(10).duration()).await;
    let back = host(&world, &rules());
    assert_eq!(back.journal.register(&again(&first)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_paused_host_that_wakes_may_send() {
    // The host is paused between its grant and its first byte, for longer than anybody waits. The
    // caller's re-sends to another host are told `running`, then `unknown`; none is granted. So
    // when the host wakes and sends, that is the only run, and later re-sends read its answer.
    let world = World::new(1, 2, None);
    world.boot(1, 0, &rules());
    let (sleeper, other) = (host(&world, &rules()), world.host(1).expect("a host"));
    let first = claim(&world, 1, 1);
    assert_eq!(sleeper.journal.register(&first).await, ClaimResult::Granted);
    sleeper.gate.pause(true);
    assert_eq!(other.journal.register(&again(&first)).await, ClaimResult::Running);
    tokio::time::sleep(rules().running_ms.duration()).await;
    assert_eq!(other.journal.register(&again(&first)).await, ClaimResult::Unknown);
    sleeper.gate.pause(false);
    let answer = Answer { output: "signed".into(), ..Answer::default() };
    let finished = sleeper.journal.finish(&first, Outcome::Done(answer.clone())).await;
    assert_eq!(finished, Ok(()));
    assert_eq!(other.journal.register(&again(&first)).await, ClaimResult::Answered(answer));
}

#[tokio::test(start_paused = true)]
async fn closing_writes_what_is_left() {
    // A host drains: the answer went out a moment ago and its outcome still waits for a write to
    // share. Closing the journal writes it, so a re-send elsewhere reads the answer.
    let world = World::new(1, 1, None);
    let leaving = host(&world, &rules());
    let claim = claim(&world, 1, 1);
    assert_eq!(leaving.journal.register(&claim).await, ClaimResult::Granted);
    let answer = Answer { output: "signed".into(), ..Answer::default() };
    let finish = leaving.journal.finish(&claim, Outcome::Done(answer));
    let close = async {
        tokio::task::yield_now().await;
        leaving.journal.close().await;
    };
    let (finished, ()) = tokio::join!(finish, close);
    assert_eq!(finished, Ok(()));
    assert_eq!(leaving.journal.register(&again(&claim)).await, ClaimResult::Unavailable);
    let other = host(&world, &rules());
    let told = other.journal.register(&again(&claim)).await;
    assert!(matches!(told, ClaimResult::Answered(_)), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_refuses_new_keys_at_once_and_tells_what_is_known() {
    // The platform goes away. A new key is refused as not run within a call's time, not after a
    // long wait; the re-send of a finished key still gets its answer.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let old = claim(&world, 1, 1);
    done(&host.journal, &old, 10).await;
    world.store.set_faults(fakes::MemFaults { down: true, ..fakes::MemFaults::default() });
    let start = world.now();
    assert_eq!(host.journal.register(&claim(&world, 2, 2)).await, ClaimResult::Unavailable);
    assert!(world.now() - start < Ms(100), "{}", world.now() - start);
    let told = host.journal.register(&again(&old)).await;
    assert!(matches!(told, ClaimResult::Answered(_)), "{told:?}");
}
