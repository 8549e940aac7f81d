//! *Admit*: what is let in.
//!
//! Answers: saturation and bursts.
//!
//! Without it: everyone waits, each target works on requests whose callers have given up, and
//! goodput falls to nothing while all are busy.
//!
//! A request is let in when the waits before its stages are predicted to take no more than
//! [`FIT`] of its slack, which is the time that it has beyond what its stages take. Waits are read
//! as a fluid: work that goes before it at a stage, less what that stage will have done by the
//! time the request gets there; or, if that is longer, from how old the front of its line is, up
//! to twice what all that waits there takes. What is less urgent doesn't count by itself, so that short ones are
//! not refused for the chapters that they overtake.
//! The other half of the slack is for the errors of both. A larger part lets in what waits until
//! it is doomed: hardly more are answered, and the others are refused seconds later. A refusal
//! says after which time the same request would fit.
//!
//! A wrong prediction would refuse everything, learn nothing, and stay wrong. So one request in
//! [`PROBE`] is let in against it.

use base::Ms;

/// Share of the slack that predicted waits may fill.
const FIT: f64 = 0.5;
/// Time between requests that are let in against the prediction.
pub(crate) const PROBE: Ms = Ms(1_000);

/// A stage ahead of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StageWait {
    /// What it takes, ms.
    pub(crate) time: f64,
    /// How long the work that is before it there will take, ms.
    pub(crate) wait: f64,
}

/// What is made of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Judged {
    /// It fits.
    Fits,
    /// It would fit if it came so much later.
    Late(Ms),
    /// It would not fit even with nobody before it.
    Hopeless,
}

/// Judges whether `stages` fit into `left`.
pub(crate) fn judge(left: Ms, stages: impl Iterator<Item = StageWait>) -> Judged {
    let (mut total, mut alone) = (0.0, 0.0);
    for stage in stages {
        total += (stage.wait - total).max(0.0) + stage.time;
        alone += stage.time;
    }
    let slack = (left.0 as f64 - alone).max(0.0);
    let most = alone + slack * FIT;
    match () {
        () if alone > left.0 as f64 => Judged::Hopeless,
        () if total > most => Judged::Late(Ms((total - most).ceil() as u64)),
        () => Judged::Fits,
    }
}
