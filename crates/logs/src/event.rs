//! The catalogue.

/// How bad an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Detail for a closer look; not written by default.
    Debug,
    /// Part of ordinary running.
    Info,
    /// Something failed and the system dealt with it.
    Warn,
    /// Something failed that needs a person.
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
            /// All events, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Its number.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Its name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }

            /// How bad it is.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level),* }
            }

            /// What happened, in a sentence.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }
        }
    };
}

// 1xx process, 2xx requests, 3xx targets, 4xx journal, 5xx configuration and platform,
// 6xx hosts, 7xx orders to engines.
events! {
    HostStarted = 100, Info, "The host listens.";
    HostDraining = 101, Info, "The host was told to stop: it takes nothing new and finishes what is open.";
    HostStopped = 102, Info, "The host stopped; nothing was open any more.";
    DrainOverrun = 103, Error, "The time to drain ran out with requests still open; they were given up on.";
    RequestRefused = 200, Info, "A request was refused or given up on.";
    RequestMalformed = 201, Info, "A caller's request could not be read.";
    StreamResumed = 202, Info, "A stream broke and goes on at another target after its last whole event.";
    StreamCut = 203, Warn, "A stream broke and can't go on; its caller's connection was closed.";
    StageRedone = 204, Info, "Results that a stage reads are gone; they are made again.";
    RequestServed = 205, Info, "A request got its answer; ordinary ones are sampled.";
    StageEnded = 206, Debug, "A stage of a request ended: how, after what time, and how late for the aim.";
    CallerLeft = 207, Info, "A caller left before its answer began.";
    StagesWithdrawn = 208, Info, "Stages of a request were withdrawn, since its caller left.";
    FailurePassedOn = 209, Info, "A target's own failure was passed on to the caller.";
    StageFailed = 210, Info, "A stage of a request could not be made: how it ended, and how long one handed in now would wait.";
    StreamLeft = 211, Info, "A caller left in the middle of its stream.";
    AnswerMismatch = 300, Warn, "An answer belonged to another request, stage or attempt and was dropped with its connection.";
    ConnectionSilent = 301, Warn, "A connection to a target went silent while the target answers on a new one.";
    TargetDead = 302, Warn, "A target is silent on new connections too.";
    AttemptFailed = 303, Warn, "An attempt of a stage ended without a result.";
    PieceDropped = 304, Info, "A late or doubled piece of a stream was dropped.";
    TargetLeaving = 305, Info, "A target is leaving; it gets nothing new.";
    TargetBack = 306, Info, "A target that was leaving has come back.";
    PoisonFound = 307, Error, "A request brought down two targets; it and its re-sends are refused.";
    TargetJoined = 308, Info, "A target registered, or came back in another life.";
    TargetGone = 309, Info, "A target's registration is gone; it gets nothing new.";
    StageCallFailed = 310, Warn, "A call to a stage target ended without results; its pieces are made again.";
    EntryMalformed = 311, Warn, "A registration can't be read; it names no target to use.";
    StageCallEnded = 312, Debug, "A call to a stage target ended: what was made, and what still waits.";
    InputsGone = 313, Warn, "An engine found the results of a request's stages gone; the stages are done again.";
    ConnectionsDropped = 314, Warn, "Connections to several targets went silent at once; all idle ones are dropped.";
    TargetCold = 315, Info, "A target says that it has gone cold; it gets little for some time.";
    EvacuationBegun = 316, Info, "A failure domain is evacuated; its targets get nothing.";
    EvacuationEnded = 317, Info, "A failure domain is no longer evacuated; its targets are taken to be cold.";
    TargetLimited = 318, Info, "A target names the most requests a second that it takes from all hosts.";
    TargetUnlimited = 319, Info, "A target that had named a limit names none any more.";
    TargetSaysLeaving = 320, Info, "A target says in an answer that it is about to leave.";
    JournalUnavailable = 400, Warn, "A key could not be recorded; its request was refused.";
    FinishRetried = 401, Warn, "How a keyed request ended could not be recorded yet; it is tried again.";
    FinishLost = 402, Error, "How a keyed request ended could not be recorded; re-sends are told that it is unknown.";
    JournalLayout = 403, Error, "The journal's settings differ from the fleet's; keyed requests are refused here.";
    ConfigInForce = 500, Info, "A configuration came into force on this host.";
    ConfigRefused = 501, Error, "A configuration from the platform can't be used; the one in force stays.";
    PlatformDown = 502, Warn, "The platform's object API can't be reached.";
    PlatformBack = 503, Info, "The platform's object API answers again.";
    ConfigStale = 504, Info, "An older configuration was offered and ignored.";
    ConfigReplaced = 505, Warn, "Another configuration of the same generation came into force: two were written, and the platform kept this one.";
    SettingsReloaded = 506, Info, "Changed settings are in force.";
    SettingsRefused = 507, Error, "Changed settings can't be used; those in force stay.";
    ProofLost = 508, Warn, "The host can't prove that keys are still good; it refuses requests with keys.";
    ProofBack = 509, Info, "The host can prove again that keys are good.";
    WatchLost = 510, Info, "A watch of the platform's store ended early; the list is read again.";
    ConfigWithheld = 511, Error, "The configuration could not be packed for other hosts, which go on to another that reads.";
    ReadingBegun = 512, Info, "The host reads the platform's store itself.";
    ReadingEnded = 513, Info, "The host follows another that reads the platform's store.";
    PeerJoined = 600, Info, "A host was heard of for the first time.";
    PeerLost = 601, Warn, "A host has not been heard of for too long.";
    PeerLeaving = 602, Info, "A host is stopping.";
    PeerCut = 603, Warn, "A host calls here but can't be called: the way there is cut in one direction.";
    PeerFailed = 604, Warn, "A call to another host failed; this one goes on without it.";
}
