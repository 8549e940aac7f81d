//! Test fixture: a small fleet with one domain, one host, two engines, two encoders and two
//! registers.

use bytes::Bytes;
use conf::Fleet;
use fakes::TargetFaults;
use hyper::Response;
use local::{Cluster, Options, RequestSpec};
use serde::de::DeserializeOwned;

const FLEET: &str = include_str!("../small.yaml");

/// Starts the fleet, with extra lines for the host's settings.
pub async fn start(settings: &str) -> Cluster {
    let options = Options { hosts: 1, settings: settings.to_owned(), ..Options::default() };
    let fleet = Fleet::parse(FLEET).expect("the fleet parses");
    Cluster::start(fleet, options).await.expect("the fleet starts")
}

/// A request of the workspace `painters`.
pub fn painters_request<'a>(
    pipeline: &'a str,
    headers: &'a [(&'a str, &'a str)],
) -> RequestSpec<'a> {
    RequestSpec { pipeline, workspace: "painters", input: "grey cabinet", headers }
}

/// Sets the faults of one target.
pub fn set_faults(cluster: &Cluster, target: &str, faults: TargetFaults) {
    cluster.targets[target].set_faults(faults);
}

/// Reads a JSON body.
pub fn json<T: DeserializeOwned>(response: &Response<Bytes>) -> T {
    let text = String::from_utf8_lossy(response.body());
    serde_json::from_slice(response.body()).unwrap_or_else(|err| panic!("{err}: {text}"))
}

/// The expected output of the pipeline `write`.
pub fn expected_text() -> String {
    let encoded = fakes::expected_output("encode", "grey cabinet");
    fakes::generated(&format!("grey cabinet\n{encoded}"), 40)
}

/// The host's metrics as text.
pub async fn metrics(cluster: &Cluster) -> String {
    let response = cluster.admin(0, "/metrics").await.expect("metrics");
    String::from_utf8_lossy(response.body()).into_owned()
}
