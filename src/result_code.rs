//! Numbered result codes. `docs/result-codes.md` is the table for users.

use serde::{Deserialize, Serialize};

/// Whether the request that ended with a result code was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    NotRun,
    MayHaveRun,
    Ran,
}

impl RanState {
    /// Returns the name used in JSON and in RPC replies.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// Outcome of a request, with a number that never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ResultCode {
            $(#[doc = $text] $name,)*
        }

        impl ResultCode {
            /// All codes in numerical order.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the code with this number.
            #[must_use]
            pub fn from_number(number: u32) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }

            /// Returns the HTTP status of replies with this code.
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the request was run.
            #[must_use]
            pub fn ran(self) -> RanState {
                match self { $(Self::$name => RanState::$ran,)* }
            }

            /// Returns a sentence that describes the outcome to the caller.
            #[must_use]
            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the name used for counters.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    Completed = 1000, 200, Ran, "the request was run and its whole answer was delivered";
    Cancelled = 1001, 499, MayHaveRun, "the request was cancelled by its caller";
    CancelledQueued = 1002, 499, NotRun, "the request was cancelled by its caller before it was dispatched";

    MalformedRequest = 1100, 400, NotRun, "the request is not valid; correct the field that is named";
    HeaderTooLarge = 1101, 431, NotRun, "the request head is too long";
    BodyTooLarge = 1102, 413, NotRun, "the request body is longer than the limit";
    BodyIncomplete = 1103, 408, NotRun, "the request body ended early or came too slowly";
    InvalidKey = 1104, 400, NotRun, "the key must be <home>-<unix seconds>-<suffix>, with a home from GET /v1/hosts and a suffix of 1 to 48 letters, digits, '-', '_' or '.'";
    KeyGivenUp = 1105, 409, NotRun, "the home never saw this key and will not run it; send the request with a new key";
    InProgress = 1106, 409, NotRun, "the request is waiting at its home; ask there; this call ran nothing";
    KeyUnknown = 1107, 404, NotRun, "the key is unknown or has expired; this call ran nothing";
    UnknownPool = 1108, 404, NotRun, "no such pool is configured";
    UnknownTier = 1109, 400, NotRun, "no such tier is configured";
    TooManyConnections = 1110, 503, NotRun, "this host has no free connection";
    UnknownPath = 1111, 404, NotRun, "no such path or method";
    DuplicateKey = 1112, 409, NotRun, "the key was already used for a different request";
    KeyExpired = 1113, 410, NotRun, "the key is older than the key window, or its time lies in the future; this call ran nothing";

    MissingCredentials = 1200, 401, NotRun, "an Authorization header with a bearer token is needed";
    WrongCredentials = 1201, 401, NotRun, "the token belongs to no workspace or operator";
    Forbidden = 1202, 403, NotRun, "the request belongs to another workspace";
    LogUnavailable = 1203, 503, NotRun, "the log is unavailable, so the call cannot be claimed; try again with the same key";
    KeyAge = 1204, 400, NotRun, "the key must be <unix seconds>-<suffix> and lie within the claim window; this call ran nothing";
    KeyConflict = 1205, 409, NotRun, "the key was already used with different content; this call ran nothing";
    ClaimTableFull = 1206, 503, NotRun, "too many claims are open; try again with the same key";

    Isolated = 1301, 503, NotRun, "this host has no contact with a pool owner; use another address";
    DeadlineUnreachable = 1302, 503, NotRun, "the request cannot finish by its deadline";
    QueueFull = 1303, 503, NotRun, "the queue is full and holds no lower tier";
    Draining = 1304, 503, NotRun, "this host is shutting down; use another address";
    DeadlinePassed = 1305, 504, NotRun, "the deadline passed before the request was dispatched";
    NoEndpoint = 1306, 503, NotRun, "no endpoint of the pool takes work at the moment";
    WorkspaceQueueFull = 1307, 429, NotRun, "the workspace has too many requests waiting";
    RetryBudget = 1308, 503, NotRun, "no endpoint took the request and the retry budget is used up";
    HostFull = 1309, 503, NotRun, "this host holds too many requests; use another address";
    NotReady = 1310, 503, NotRun, "this host has no configuration yet; use another address";
    MemoryFull = 1311, 503, NotRun, "this host has no memory for the body; use another address";

    Quarantined = 1401, 422, NotRun, "requests with this content were running when endpoints crashed; it is refused for a while";

    MayHaveRun = 2101, 502, MayHaveRun, "the home of this key cannot be reached; the request may have run";
    CallMayHaveRun = 2102, 502, MayHaveRun, "the call was claimed and its outcome is unknown; it may have run and will not be run again";
    EndpointLost = 2103, 502, MayHaveRun, "the endpoint was lost while the request was running";
    EndpointFailed = 2104, 502, MayHaveRun, "the endpoint reported a failure while the request was running";
    AnswerTimeout = 2105, 504, MayHaveRun, "the answer was not complete by the deadline";
    AnswerTooLarge = 2106, 502, MayHaveRun, "the answer is longer than this host keeps";

    ConfigInvalid = 3101, 400, NotRun, "the configuration is not valid; correct the field that is named";
    ConfigConflict = 3102, 409, NotRun, "the configuration changed in the meantime; read it again";
    ConfigUnconfirmed = 3103, 504, MayHaveRun, "the change is recorded, but too few hosts have confirmed it yet";
    ConfigLogUnavailable = 3104, 503, NotRun, "the log is unavailable; nothing was changed";
    ConfigUnknownOutcome = 3105, 504, MayHaveRun, "the log did not answer; the change may have been recorded";
    NotOperator = 3106, 403, NotRun, "the token belongs to no operator";
    UnknownObject = 3107, 404, NotRun, "no such zone, host, pool or rollout";
    NoQuorum = 3108, 503, NotRun, "this host has no contact with most hosts of its region; nothing was changed";
}
