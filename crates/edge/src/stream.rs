//! Runs requests whose response is an event stream: first the stages, then an engine, whose events
//! are forwarded as they arrive.

use futures::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use std::sync::Arc;

use crate::body::ResponseBody;
use crate::host::App;
use crate::refusal::{Reason, give_up};
use crate::relay::{Relay, Started};
use crate::request::Call;
use crate::stages::{self, Turn};
use crate::{origin, subjects};

/// Runs a request and returns the response to the caller; the events follow as its body.
pub(crate) async fn run(app: Arc<App>, call: Call) -> Response<ResponseBody> {
    let core = app.core.clone();
    let build = match origin::find(&core, &call).await {
        Ok(build) => build,
        Err(reason) => return give_up(&core, &call, reason, 0, 0),
    };
    let readers = subjects::find_readers(&core, &call);
    let turn = if call.head.takes_up() { Turn::TakenUp } else { Turn::First };
    let done = tokio::select! {
        done = stages::run(&app, &call, turn) => done,
        // A stream that began now would be truncated at the end of the host's grace period.
        () = app.refuses_unsent() => Err(Reason::Stopping),
        blocked = core.poisoned(&call.suspects) => Err(blocked.into()),
    };
    let results = match done {
        Ok(results) => results,
        Err(reason) => return give_up(&core, &call, reason, 0, 0),
    };
    let mut relay = Relay::new(app, call, results, readers.get().await, build);
    match relay.start().await {
        Started::Streams(parts) => {
            let headers = core.dialect.response_headers(&parts.headers);
            let body = unfold(Some(relay), |relay| async move {
                let mut relay = relay?;
                match relay.next().await {
                    Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                    Some(Err(truncated)) => Some((Err(truncated), None)),
                    None => None,
                }
            });
            let mut response = Response::new(StreamBody::new(body).boxed_unsync());
            *response.status_mut() = parts.status;
            *response.headers_mut() = headers;
            response
        }
        Started::Answer(response) => *response,
        Started::Refused(reason) => relay.refuse(reason),
    }
}
