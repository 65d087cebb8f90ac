//! Headers of requests that one daemon hands to another.

use http::{HeaderMap, HeaderName, HeaderValue, Response, header};

use crate::state::record::Name;

/// Number of endpoints to which the receiver may send the request.
const ATTEMPTS: HeaderName = HeaderName::from_static("hop-attempts");

/// Name of the daemon that hands the request over.
const SENDER: HeaderName = HeaderName::from_static("hop-sender");

/// Versions of what the daemon that sends the message has in force.
const VERSIONS: HeaderName = HeaderName::from_static("hop-versions");

/// What the receiver's response is.
const OUTCOME: HeaderName = HeaderName::from_static("hop-outcome");

/// What a response to a request that was handed over is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The response of an endpoint.
    Answered,
    /// The receiver refuses the request, which has not run and will not run.
    NotRun,
    /// As [`NotRun`](Self::NotRun), since the receiver takes no such requests now; another daemon may.
    Busy,
    /// The receiver has sent the request to an endpoint and got no response.
    Lost,
}

impl Outcome {
    const ALL: [Self; 4] = [Self::Answered, Self::NotRun, Self::Busy, Self::Lost];

    /// Name on the wire, also for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Busy => "busy",
            Self::Lost => "lost",
        }
    }
}

/// Versions by which a daemon decides on a request, in the order in which they are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Versions {
    /// Configuration in force.
    pub catalog: u64,
    /// Row of the operators' table by which an availability zone was last taken out of service.
    pub zones: u64,
    /// Row of the endpoints' table by which an endpoint was last taken out of use.
    pub endpoints: u64,
}

impl Versions {
    /// Whether a daemon that has read its tables up to these versions lacks nothing of what another one has in force.
    ///
    /// ```
    /// use persimmoncroft::protocol::hop::Versions;
    /// let known = Versions { catalog: 4, zones: 9, endpoints: 9 };
    /// assert!(known.covers(&Versions { catalog: 4, zones: 2, endpoints: 7 }));
    /// assert!(!known.covers(&Versions { catalog: 5, zones: 2, endpoints: 7 }));
    /// ```
    pub fn covers(&self, other: &Self) -> bool {
        self.catalog >= other.catalog
            && self.zones >= other.zones
            && self.endpoints >= other.endpoints
    }

    fn encode(&self) -> Option<HeaderValue> {
        let text = format!("{},{},{}", self.catalog, self.zones, self.endpoints);
        text.try_into().ok()
    }

    fn decode(value: &HeaderValue) -> Option<Self> {
        let mut numbers = value.to_str().ok()?.split(',').map(str::parse);
        let mut next = || numbers.next()?.ok();
        Some(Self {
            catalog: next()?,
            zones: next()?,
            endpoints: next()?,
        })
    }
}

/// Sets which daemon hands a request over, and by what it has decided to. A receiver that does not know these headers takes
/// them for ones of this connection only.
pub fn set_sender(headers: &mut HeaderMap, sender: &Name, versions: &Versions) {
    let (Ok(sender), Some(versions)) = (HeaderValue::from_str(sender), versions.encode()) else {
        return;
    };
    headers.insert(SENDER, sender);
    headers.insert(VERSIONS, versions);
    let names = HeaderValue::from_static("hop-sender, hop-versions");
    headers.insert(header::CONNECTION, names);
}

/// Removes and returns which daemon hands a request over, and what it has in force; `None` if it does not say.
///
/// ```
/// use persimmoncroft::protocol::hop::{self, Versions};
/// let mut headers = http::HeaderMap::new();
/// let versions = Versions { catalog: 4, zones: 2, endpoints: 7 };
/// hop::set_sender(&mut headers, &"d1".into(), &versions);
/// assert_eq!(hop::take_sender(&mut headers), Some(("d1".into(), versions)));
/// assert_eq!(hop::take_sender(&mut headers), None);
/// ```
pub fn take_sender(headers: &mut HeaderMap) -> Option<(Name, Versions)> {
    let sender = headers.remove(SENDER);
    let versions = take_versions(headers)?;
    Some((sender?.to_str().ok()?.into(), versions))
}

/// Sets what the receiver of a request has in force, for a sender that has said what it has.
pub fn set_versions<B>(response: &mut Response<B>, versions: &Versions) {
    if let Some(versions) = versions.encode() {
        response.headers_mut().insert(VERSIONS, versions);
    }
}

/// Removes and returns what the daemon that has sent a message has in force; `None` if it does not say.
///
/// ```
/// use persimmoncroft::protocol::hop::{self, Versions};
/// let mut response = http::Response::new(());
/// hop::set_versions(&mut response, &Versions::default());
/// assert_eq!(hop::take_versions(response.headers_mut()), Some(Versions::default()));
/// ```
pub fn take_versions(headers: &mut HeaderMap) -> Option<Versions> {
    Versions::decode(&headers.remove(VERSIONS)?)
}

/// Sets the number of endpoints to which the receiver may send a request.
pub fn set_attempts(headers: &mut HeaderMap, attempts: u32) {
    headers.insert(ATTEMPTS, attempts.into());
}

/// Removes and returns the number of endpoints to which a request may be sent; `None` if it was not handed over.
///
/// ```
/// use persimmoncroft::protocol::hop;
/// let mut headers = http::HeaderMap::new();
/// hop::set_attempts(&mut headers, 2);
/// assert_eq!(hop::take_attempts(&mut headers), Some(2));
/// assert!(headers.is_empty());
/// ```
pub fn take_attempts(headers: &mut HeaderMap) -> Option<u32> {
    let value = headers.remove(ATTEMPTS)?;
    value.to_str().ok()?.parse().ok()
}

/// Sets what a response is.
pub fn set_outcome<B>(response: &mut Response<B>, outcome: Outcome) {
    let name = HeaderValue::from_static(outcome.name());
    response.headers_mut().insert(OUTCOME, name);
}

/// Removes and returns what a response is; `None` if it comes from no daemon.
///
/// ```
/// use persimmoncroft::protocol::hop::{self, Outcome};
/// let mut response = http::Response::new(());
/// hop::set_outcome(&mut response, Outcome::NotRun);
/// assert_eq!(hop::take_outcome(response.headers_mut()), Some(Outcome::NotRun));
/// assert!(response.headers().is_empty());
/// ```
pub fn take_outcome(headers: &mut HeaderMap) -> Option<Outcome> {
    let value = headers.remove(OUTCOME)?;
    let is_named = |outcome: &Outcome| value == outcome.name();
    Outcome::ALL.into_iter().find(is_named)
}
