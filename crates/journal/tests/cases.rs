//! The results of claims, case by case: a paused or replaced host, a full shard, an outage.

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
    world.start_host(0, 0, rules);
    world.host(0).expect("a host")
}

fn claim(world: &World, key: u128, attempt: u128) -> Claim {
    Claim {
        workspace: WorkspaceId::from("painters"),
        key: Key::at(world.now(), key),
        attempt: RequestId::from_u128(attempt),
    }
}

async fn complete(journal: &Sharded, claim: &Claim, bytes: usize) {
    assert_eq!(journal.register(claim).await, ClaimResult::Granted);
    let answer = Answer { output: "x".repeat(bytes), ..Answer::default() };
    journal.finish(claim, Outcome::Done(answer)).await.expect("recorded");
}

fn resend(claim: &Claim) -> Claim {
    Claim { attempt: RequestId::from_u128(u128::MAX), ..claim.clone() }
}

#[tokio::test(start_paused = true)]
async fn a_full_shard_drops_the_oldest_answers_and_no_key() {
    // Sixteen answers of 60 kB fill a shard of a megabyte. After that the oldest answer is dropped
    // and its caller's re-send is told `unknown`. No key is forgotten, so none runs again.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let mut claims = Vec::new();
    for key in 1..=20 {
        let claim = claim(&world, key, key);
        complete(&host.journal, &claim, 60_000).await;
        claims.push(claim);
    }
    let mut results = Vec::new();
    for claim in &claims {
        results.push(host.journal.register(&resend(claim)).await);
    }
    assert!(results[..4].iter().all(|r| *r == ClaimResult::Unknown), "{:?}", &results[0]);
    assert!(
        results[4..].iter().all(|r| matches!(r, ClaimResult::Answered(_))),
        "{:?}",
        &results[4]
    );
    let bytes = world.store.all(SHARD_KIND).objects.iter().map(|o| o.body.len()).max();
    assert!(bytes.is_some_and(|b| b <= 1_000_000), "{bytes:?}");
}

#[tokio::test(start_paused = true)]
async fn a_shard_full_of_live_keys_refuses_new_ones() {
    // More keys than a shard holds are started within the window. Those that don't fit are refused
    // as not run; dropping a live key instead could run it twice.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let claims: Vec<_> = (1..=6_000).map(|key| claim(&world, key, key)).collect();
    let tried = claims.iter().map(|claim| host.journal.register(claim));
    let granted = futures::future::join_all(tried).await;
    let fitting = granted.iter().filter(|g| **g == ClaimResult::Granted).count();
    let refused = granted.iter().filter(|g| **g == ClaimResult::Unavailable).count();
    assert_eq!(fitting + refused, claims.len());
    assert!((4_000..5_500).contains(&fitting), "{fitting} keys fitted");
    let first = host.journal.register(&resend(&claims[0])).await;
    assert_eq!(first, ClaimResult::Running);
    // Once the window has passed there is room again.
    tokio::time::sleep(Ms::secs(700).duration()).await;
    assert_eq!(host.journal.register(&claim(&world, 1, 1)).await, ClaimResult::Granted);
    assert_eq!(host.journal.register(&resend(&claims[0])).await, ClaimResult::Expired);
}

#[tokio::test(start_paused = true)]
async fn an_answer_above_the_limit_is_reported_as_unknown() {
    let world = World::new(1, 1, None);
    let host = host(&world, &JournalSettings { answer_bytes: 100, ..rules() });
    let claim = claim(&world, 1, 1);
    complete(&host.journal, &claim, 200).await;
    assert_eq!(host.journal.register(&resend(&claim)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_started_key_is_running_and_then_unknown() {
    // The holder records no outcome. It may still be running, so its caller's re-send is told
    // `running`. After `running_ms`, past any deadline, the outcome is unknown, and the key is
    // still not run again.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let claim = claim(&world, 1, 1);
    assert_eq!(host.journal.register(&claim).await, ClaimResult::Granted);
    assert_eq!(host.journal.register(&claim).await, ClaimResult::Granted, "the same attempt");
    assert_eq!(host.journal.register(&resend(&claim)).await, ClaimResult::Running);
    tokio::time::sleep(rules().running_ms.duration()).await;
    assert_eq!(host.journal.register(&resend(&claim)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_replaced_host_does_not_know_its_earlier_attempts() {
    // The host was killed after it granted a claim, and was restarted under the same name. Nothing
    // runs the key any more, so a re-send must not wait for it: it is told `unknown` at once.
    let world = World::new(1, 1, None);
    let first = claim(&world, 1, 1);
    assert_eq!(host(&world, &rules()).journal.register(&first).await, ClaimResult::Granted);
    world.kill(0);
    tokio::time::sleep(Ms(10).duration()).await;
    let restarted = host(&world, &rules());
    assert_eq!(restarted.journal.register(&resend(&first)).await, ClaimResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_paused_host_that_resumes_may_send() {
    // The host is paused after the grant and before it sends the first byte, for longer than any
    // deadline. The caller's re-sends to another host are told `running`, then `unknown`; none is
    // granted. When the host resumes and sends, that is the only run, and later re-sends get its
    // answer.
    let world = World::new(1, 2, None);
    world.start_host(1, 0, &rules());
    let (paused, other) = (host(&world, &rules()), world.host(1).expect("a host"));
    let first = claim(&world, 1, 1);
    assert_eq!(paused.journal.register(&first).await, ClaimResult::Granted);
    paused.gate.pause(true);
    assert_eq!(other.journal.register(&resend(&first)).await, ClaimResult::Running);
    tokio::time::sleep(rules().running_ms.duration()).await;
    assert_eq!(other.journal.register(&resend(&first)).await, ClaimResult::Unknown);
    paused.gate.pause(false);
    let answer = Answer { output: "signed".into(), ..Answer::default() };
    let finished = paused.journal.finish(&first, Outcome::Done(answer.clone())).await;
    assert_eq!(finished, Ok(()));
    assert_eq!(other.journal.register(&resend(&first)).await, ClaimResult::Answered(answer));
}

#[tokio::test(start_paused = true)]
async fn closing_writes_queued_outcomes() {
    // A host drains: the answer was sent to the caller a moment ago, and the outcome still waits to
    // share a write. Closing the journal writes it, so that a re-send to another host gets the
    // answer.
    let world = World::new(1, 1, None);
    let draining = host(&world, &rules());
    let claim = claim(&world, 1, 1);
    assert_eq!(draining.journal.register(&claim).await, ClaimResult::Granted);
    let answer = Answer { output: "signed".into(), ..Answer::default() };
    let finish = draining.journal.finish(&claim, Outcome::Done(answer));
    let close = async {
        tokio::task::yield_now().await;
        draining.journal.close().await;
    };
    let (finished, ()) = tokio::join!(finish, close);
    assert_eq!(finished, Ok(()));
    assert_eq!(draining.journal.register(&resend(&claim)).await, ClaimResult::Unavailable);
    let other = host(&world, &rules());
    let result = other.journal.register(&resend(&claim)).await;
    assert!(matches!(result, ClaimResult::Answered(_)), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_refuses_new_keys_at_once_and_gives_recorded_answers() {
    // The platform fails. A new key is refused as not run within the time of one call, without a
    // long wait; the re-send of a finished key still gets its answer.
    let world = World::new(1, 1, None);
    let host = host(&world, &rules());
    let finished_claim = claim(&world, 1, 1);
    complete(&host.journal, &finished_claim, 10).await;
    world.store.set_faults(fakes::MemFaults { down: true, ..fakes::MemFaults::default() });
    let start = world.now();
    assert_eq!(host.journal.register(&claim(&world, 2, 2)).await, ClaimResult::Unavailable);
    assert!(world.now() - start < Ms(100), "{}", world.now() - start);
    let result = host.journal.register(&resend(&finished_claim)).await;
    assert!(matches!(result, ClaimResult::Answered(_)), "{result:?}");
}
