//! The sequence of effects for one request.

mod common;

use base::RequestId;
use common::{fleet, host_context, plan};
use policy::{Arrival, Event, Grant, Reducer, State, Usage};

/// An order is registered, runs its three stages, with the booking sent once, and its record is
/// closed before the caller is answered. The test compares the complete sequence of effects.
#[test]
fn an_order_from_arrival_to_answer() {
    let request = RequestId::from_u128(1);
    let attempt = |stage: usize| base::Attempt(stage as u32 + 1);
    let arrival = common::Host::new().arrival("big", "order");
    let mut events = vec![
        Event::Config(plan(1, fleet())),
        Event::Arrive(Arrival { request, keyed: true, ..arrival }),
        Event::Registered { request, grant: Grant::Granted },
    ];
    for stage in 0..3 {
        let usage = Usage::default();
        events.push(Event::Sent { request, stage, attempt: attempt(stage) });
        events.push(Event::Done { request, stage, attempt: attempt(stage), usage });
    }
    let mut state = State::new(host_context(), &[]);
    let mut lines = String::new();
    for (i, event) in events.into_iter().enumerate() {
        let mut out = Vec::new();
        state.reduce(base::Ms(1_000_000 + 10 * i as u64), event, &mut out);
        for effect in out {
            lines.push_str(&serde_json::to_string(&effect).expect("effects serialise"));
            lines.push('\n');
        }
    }
    insta::assert_snapshot!(lines, @r#"
    {"register":{"request":"00000000-0000-0000-0000-000000000001"}}
    {"wake":{"at":1009000}}
    {"send":{"request":"00000000-0000-0000-0000-000000000001","stage":0,"attempt":1,"target":"enc-1","offset":0,"budget":8978}}
    {"wake":{"at":1008998}}
    {"send":{"request":"00000000-0000-0000-0000-000000000001","stage":1,"attempt":2,"target":"book-2","offset":0,"budget":8959}}
    {"send":{"request":"00000000-0000-0000-0000-000000000001","stage":2,"attempt":3,"target":"enc-2","offset":0,"budget":8940}}
    {"finish":{"request":"00000000-0000-0000-0000-000000000001","ending":"done"}}
    {"answer":{"request":"00000000-0000-0000-0000-000000000001","verdict":"done"}}
    "#);
}
