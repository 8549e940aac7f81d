//! The catalogue of numbered log events.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Detail for troubleshooting; not written by default.
    Debug,
    /// Part of normal operation.
    Info,
    /// Something failed and the system handled it.
    Warn,
    /// Something failed that needs an operator.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Event {
            $($(#[$doc])* #[doc = $text] $name = $number,)*
        }

        impl Event {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The event's number.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// The event's name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }

            /// The event's severity.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level),* }
            }

            /// One sentence on what happened, as in `docs/EVENTS.md`.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }
        }
    };
}

// 1xx process, 2xx requests, 3xx targets, 4xx journal, 5xx configuration and platform,
// 6xx hosts, 7xx orders to engines.
events! {
    HostStarted = 100, Info, "The host is listening.";
    HostDraining = 101, Info, "The host is draining: it accepts no new requests and finishes the open ones.";
    HostStopped = 102, Info, "The host stopped; no request is open any more.";
    DrainOverrun = 103, Error, "The drain time-out expired with requests still open; they were aborted.";
    HostPaused = 104, Warn, "The host did not run for a while: it was suspended or kept off the processor.";
    RequestRefused = 200, Info, "A request was refused or abandoned.";
    RequestMalformed = 201, Info, "A caller's request could not be parsed.";
    StreamResumed = 202, Info, "A stream broke and is resumed on another target after its last complete event.";
    StreamCut = 203, Warn, "A stream broke and can't be resumed; its caller's connection was closed: the fault of its engine, what kept another engine from going on, and the configurations that it was admitted under and that is in force.";
    StageRedone = 204, Info, "Results that a stage reads are gone; the stages that produced them run again.";
    RequestServed = 205, Info, "A request was answered; ordinary requests are sampled.";
    StageEnded = 206, Debug, "A stage of a request ended: its outcome, its duration, and how late it was against the request's latency goal.";
    CallerLeft = 207, Info, "A caller disconnected before its answer began.";
    StagesWithdrawn = 208, Info, "Stages of a request were withdrawn because its caller disconnected.";
    FailurePassedOn = 209, Info, "A target's own failure was passed on to the caller.";
    StageFailed = 210, Info, "A stage of a request failed: its outcome, and how long a stage submitted now would wait.";
    StreamLeft = 211, Info, "A caller disconnected in the middle of its stream.";
    StreamTakenUp = 212, Info, "A caller took up a stream of an earlier attempt; its first event is on its way.";
    CallerConnectionClosed = 213, Info, "The host closed a caller's connection on which no request was open, for another reason than idleness or a stop: the reason, the requests served, and the limit that applied.";
    CallerAnswerCut = 214, Warn, "The host closed a caller's connection before a response was complete: the reason, the request, and how far it was.";
    RequestPanicked = 215, Error, "The handling of a request panicked; its caller got a failure.";
    EngineSilent = 216, Info, "An engine has sent nothing of a stream for long; another one is asked to go on, and it is kept until that one has begun.";
    EngineResponds = 217, Info, "An engine that was silent goes on with its stream.";
    OriginFound = 218, Info, "A caller takes up a stream: the software version that began it, and what proves that.";
    OriginsRead = 219, Info, "The host has read at which software versions streams began that earlier hosts have begun.";
    AnswerMismatch = 300, Warn, "An answer belonged to another request, stage or attempt and was dropped with its connection.";
    ConnectionSilent = 301, Warn, "A connection to a target stopped responding while the target answers on a new one.";
    TargetDead = 302, Warn, "A target does not respond on new connections either.";
    AttemptFailed = 303, Warn, "An attempt at a target ended without a result: the key of its request, the shared parts of its prompt, and for how long the target had been answering.";
    PieceDropped = 304, Info, "A late or duplicate piece of a stream was dropped.";
    TargetLeaving = 305, Info, "A target is leaving; it gets no new requests.";
    TargetBack = 306, Info, "A target that was leaving has come back.";
    PoisonFound = 307, Error, "A request crashed two targets; it and its re-sends are refused.";
    TargetJoined = 308, Info, "A target registered, or registered again after a restart.";
    TargetGone = 309, Info, "A target's registration is gone; it gets no new requests.";
    StageCallFailed = 310, Warn, "A call to a stage target ended without results; its pieces are run again.";
    EntryMalformed = 311, Warn, "A registration can't be parsed and gives no usable target.";
    StageCallEnded = 312, Debug, "A call to a stage target ended: what it produced, and what is still queued.";
    InputsGone = 313, Warn, "An engine found that results of a request's stages are gone; the stages run again.";
    ConnectionsDropped = 314, Warn, "Connections to several targets stopped responding at the same time; all idle connections are dropped.";
    TargetCold = 315, Info, "A target reported a cold start; it gets reduced load for some time.";
    EvacuationBegun = 316, Info, "A failure domain is evacuated; its targets get no requests.";
    EvacuationEnded = 317, Info, "A failure domain is no longer evacuated; its targets are treated as cold.";
    TargetLimited = 318, Info, "A target announced a limit on the requests per second that it takes from all hosts together.";
    TargetUnlimited = 319, Info, "A target no longer announces a limit on requests per second.";
    TargetSaysLeaving = 320, Info, "A target announced in an answer that it is about to leave.";
    PiecesGivenUp = 321, Info, "Late pieces of a stage were given up: how many calls began while late pieces waited, and how many of them they took.";
    ServiceUnreachable = 322, Warn, "Other hosts reach targets of a service that this host can't connect to; it connects to them through those hosts.";
    ServiceReachable = 323, Info, "This host no longer connects to targets of a service through other hosts.";
    BuildListed = 324, Info, "A software version is listed in the platform's store; streams may begin at its targets.";
    TargetUnproved = 325, Info, "Connections to a target have ended, and it could not be shown to be the registered incarnation; a stream was not sent to it.";
    BuildUnlisted = 326, Info, "A software version is no longer listed in the platform's store: it had no target for long, or the store came back from an older copy.";
    PartFound = 327, Error, "A part of prompts, or a request, ends targets, and such requests are refused: the targets, at how many moments they ended, whether it had sound answers before, and how many sound answers others had meanwhile.";
    PartRefused = 328, Warn, "This host refuses requests with a part of prompts, or a request, from now on.";
    PartLifted = 329, Info, "An operator has removed a part of prompts, or a request, from the list in the store; it is served again.";
    PartsFull = 330, Error, "A part of prompts, or a request, ends targets, but so many others are refused that it isn't.";
    RequestOverloaded = 331, Info, "A request was refused because the work ahead of it at its stages would make it late: the service with the longest wait, the pieces ahead there, and those of its own workspace and rank.";
    RestGivenUp = 332, Info, "A request was given up before a later stage: because of the work queued ahead, the rest of its stages can't end before its deadline.";
    LoadImplausible = 333, Warn, "Another host sent a load of a service with impossible figures; it was dropped. Logged once.";
    ForeignResults = 334, Info, "Results that were made for another composer occupy a stage target's memory.";
    ForeignResultsEnded = 335, Info, "Results of other composers no longer occupy a stage target's memory.";
    HolderGone = 336, Info, "Results were freed because the host that held them is gone or was started again.";
    ConnectionsShort = 337, Warn, "A target reset a new connection of this host: it accepts no more for now. This host opens fewer, and lets new ones prove themselves.";
    ConnectionsRestored = 338, Info, "A target has reset no new connection of this host for some seconds.";
    ConnectionWaitTooLong = 339, Info, "A request would wait for a connection beyond its deadline, and is refused: its rank, how many wait, and over how many connections they are served.";
    TargetSlowed = 340, Info, "A target reports that it is slow, by the smoothed pace in its answers (percent, 100 is normal); it gets less work.";
    TargetRecovered = 341, Info, "A target that was slow reports its normal pace again.";
    ServiceUndeclared = 342, Info, "A stage service is not declared by the configuration in force at the host that composes its calls; the host of the request composes the stage itself.";
    ComposerBack = 343, Info, "A composer of stages that had fallen silent answered before the one that was asked after it; its results are used.";
    StagesCut = 344, Warn, "The grace period of a stopping host ended while it composed stages of other hosts, which have them run again.";
    SecondAttempt = 345, Info, "A target has not answered a request that may be repeated; it is also sent to another one, and the first attempt stays open.";
    AttemptDropped = 346, Info, "An attempt without an answer was dropped because another target has answered the request, or goes on with it.";
    EndCounted = 347, Warn, "It is proved that a target has ended: by what, the keys of the requests that may be the cause, and for how many of them the parts of their prompts may be.";
    SendReadLate = 348, Info, "A target was shown to have read a request only long after it was sent: a later request was answered.";
    EndRefuted = 349, Info, "A target lives on whose connections had ended under requests: by what that is known, and how many requests are no longer suspected.";
    EndUnproved = 350, Warn, "Requests were left unanswered at a target, and nothing showed in time whether it has ended.";
    PartMissing = 351, Warn, "The store no longer lists a part of prompts, or a request, though nobody is known to have removed it: it may have come back from an older copy. It stays refused and is written again.";
    EndsRead = 352, Info, "Ends of targets that earlier hosts have seen were read from the platform's store.";
    ListIncomplete = 353, Warn, "A list in the platform's store has a page on which no name can be read, and was read without what follows it there. What it lacks counts as unchanged.";
    JournalUnavailable = 400, Warn, "A key could not be recorded; its request was refused.";
    FinishRetried = 401, Warn, "The outcome of a keyed request could not be recorded yet; the write is retried.";
    FinishLost = 402, Error, "The outcome of a keyed request could not be recorded; re-sends are answered as unknown.";
    JournalLayout = 403, Error, "The journal's settings differ from the fleet's; keyed requests are refused here.";
    ConfigInForce = 500, Info, "A configuration took effect on this host.";
    ConfigRefused = 501, Error, "A configuration from the platform is invalid; the active one is kept.";
    PlatformDown = 502, Warn, "The platform's object API can't be reached.";
    PlatformBack = 503, Info, "The platform's object API answers again.";
    ConfigStale = 504, Info, "An older configuration was received and ignored.";
    ConfigReplaced = 505, Warn, "Another configuration of the same generation took effect: two were written, and the platform kept this one.";
    SettingsReloaded = 506, Info, "Changed settings took effect.";
    SettingsRefused = 507, Error, "Changed settings are invalid; the active ones are kept.";
    ProofLost = 508, Warn, "The host can't prove that API keys are still valid; it refuses requests with keys.";
    ProofBack = 509, Info, "The host can prove again that API keys are valid.";
    WatchLost = 510, Info, "A watch on the platform's store ended early; the full list is read again.";
    ConfigWithheld = 511, Error, "The configuration could not be encoded for other hosts; they switch to another host that reads the store.";
    ReadingBegun = 512, Info, "The host started to read the platform's store itself.";
    ReadingEnded = 513, Info, "The host does not read the platform's store itself; it follows another host that does.";
    StoreRestored = 514, Warn, "The platform's store has come back from an older copy: what was written since is gone until it is written again.";
    EraUnreadable = 515, Warn, "An answer of the platform's store names no era that can be read; it counts as one of the newest era. Logged once.";
    ReadInVain = 516, Warn, "The host is to read the platform's store for others, but its proof is overdue: it follows another host for some seconds.";
    PeerJoined = 600, Info, "A host was discovered.";
    PeerLost = 601, Warn, "No heartbeat of a host was received within the suspicion time-out.";
    PeerLeaving = 602, Info, "A host is stopping.";
    PeerCut = 603, Warn, "Calls from a host arrive but calls to it fail: the network path is broken in one direction.";
    PeerFailed = 604, Warn, "A call to another host failed; this host continues without it.";
}
