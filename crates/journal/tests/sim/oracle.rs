//! The rules that hold for each run, and a naive host that gives the expected answers.

use base::{Ms, RequestId};
use policy::Ran;
use std::collections::BTreeMap;

/// The response that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    Answered(String),
    Refused(Ran),
    /// None, as the host died.
    HostDied,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub key: usize,
    pub attempt: RequestId,
    pub response: Option<(Ms, Response)>,
    /// When its first byte reached a target.
    pub ran_at: Option<Ms>,
}

/// Everything that happened in a run. Requests are in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub kills: u32,
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A key ran more than once.
    RanTwice { key: usize },
    /// A request was told that it didn't run, although it or an earlier request of its key did.
    FalseNotRun { key: usize },
    /// A caller got another answer than a single host that never fails would give.
    WrongAnswer { key: usize, got: String },
    /// After all faults ended, in a run in which no host was killed: a key that never ran can't be
    /// run.
    Stuck { key: usize, response: Response },
    /// After all faults ended, in a run in which no host was killed: a recorded answer isn't
    /// returned.
    AnswerLost { key: usize, response: Response },
    /// A request got no response from a host that is alive.
    Unanswered { key: usize },
}

/// A single host that never fails: the first request of a key runs it, and all requests get its
/// answer.
#[derive(Default)]
pub struct NaiveHost {
    runs: BTreeMap<usize, u32>,
}

impl NaiveHost {
    pub fn ask(&mut self, key: usize) -> String {
        let run = self.runs.entry(key).or_insert(1);
        answer(key, *run)
    }
}

/// The target's answer to run number `run` of a key.
pub fn answer(key: usize, run: u32) -> String {
    format!("signed {key}, entry {run}")
}

/// Checks the rules that hold in every run.
pub fn check(history: &History) -> Result<(), Violation> {
    let mut naive = NaiveHost::default();
    for (i, request) in history.requests.iter().enumerate() {
        let key = request.key;
        let expected = naive.ask(key);
        let same = || history.requests.iter().filter(|a| a.key == key);
        if same().filter(|a| a.ran_at.is_some()).count() > 1 {
            return Err(Violation::RanTwice { key });
        }
        match &request.response {
            None => return Err(Violation::Unanswered { key }),
            Some((_, Response::Answered(got))) if *got != expected => {
                return Err(Violation::WrongAnswer { key, got: got.clone() });
            }
            Some((at, Response::Refused(Ran::No))) => {
                let before = history.requests[..i].iter().filter(|a| a.key == key);
                let earlier = before.filter_map(|a| a.ran_at).any(|ran_at| ran_at <= *at);
                if earlier || request.ran_at.is_some() {
                    return Err(Violation::FalseNotRun { key });
                }
            }
            Some(_) => {}
        }
    }
    Ok(())
}

/// Checks the requests from index `from` on, which were sent after all faults had ended, one for
/// each key.
pub fn check_healed(history: &History, from: usize) -> Result<(), Violation> {
    for last in history.requests[from..].iter().filter(|_| history.kills == 0) {
        let before = || history.requests[..from].iter().filter(|a| a.key == last.key);
        let answered = before().any(|a| matches!(a.response, Some((_, Response::Answered(_)))));
        let ran = before().any(|a| a.ran_at.is_some());
        let response = last.response.clone().map_or(Response::HostDied, |(_, response)| response);
        match &response {
            Response::Answered(_) => {}
            _ if answered => return Err(Violation::AnswerLost { key: last.key, response }),
            _ if !ran => return Err(Violation::Stuck { key: last.key, response }),
            _ => {}
        }
    }
    Ok(())
}
