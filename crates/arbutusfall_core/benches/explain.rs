//! Time of an explanation, for several numbers of endpoints: `cargo bench -p arbutusfall_core --bench explain`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbutusfall_core::CallId;
use arbutusfall_core::config::Role;
use arbutusfall_core::config::Semantics;
use arbutusfall_core::relay::CallerLimits;
use arbutusfall_core::relay::Credential;
use arbutusfall_core::relay::EndpointListChange;
use arbutusfall_core::relay::ExplainError;
use arbutusfall_core::relay::ExplainQuery;
use arbutusfall_core::relay::ListedEndpoint;
use arbutusfall_core::relay::QuotaSettings;
use arbutusfall_core::relay::Relay;
use arbutusfall_core::relay::RelayEvent;
use arbutusfall_core::relay::RelayRequest;
use arbutusfall_core::relay::RelayRoute;
use arbutusfall_core::relay::RelaySettings;
use arbutusfall_core::relay::RequestHashKey;
use arbutusfall_core::relay::RequestKey;
use arbutusfall_core::relay::RequestKeys;
use arbutusfall_core::relay::RetryLimit;
use arbutusfall_core::relay::RouteTable;
use arbutusfall_core::relay::SharedParts;

/// Numbers of endpoints.
const ENDPOINTS: [u16; 3] = [48, 3_000, 12_000];

/// Endpoints of one service.
const PER_SERVICE: u16 = 120;

/// Requests in progress.
const CALLS: u64 = 200;

/// Measured explanations.
const EXPLANATIONS: u32 = 200;

/// Time of all events.
const NOW: Duration = Duration::from_secs(1);

fn main() -> Result<(), ExplainError> {
    println!("endpoints  explanation (us)");
    for count in ENDPOINTS {
        let relay = relay(count);
        let started = Instant::now();
        for _ in 0..EXPLANATIONS {
            let query = ExplainQuery::Request {
                request: Box::new(request(u64::MAX)),
                account: None,
            };
            std::hint::black_box(relay.explain(query, NOW)?);
        }
        let mean_us = started.elapsed().as_micros() / u128::from(EXPLANATIONS);
        println!("{count:9} {mean_us:17}");
    }
    Ok(())
}

/// Returns a relay with requests in progress.
fn relay(endpoints: u16) -> Relay {
    let settings = RelaySettings {
        retry_limit: RetryLimit {
            ratio: 0.1,
            slack: 40.0,
            vm_count: 20,
        },
        lease_lifetime: Duration::from_secs(3),
        max_list_age: Duration::from_secs(2),
        own_hash_key: RequestHashKey(1),
        quota: QuotaSettings::default(),
        own_address: None,
        slow_start: true,
    };
    let mut relay = Relay::new(&settings, 1);
    let listed = (0..endpoints).map(|number| EndpointListChange::Listed(endpoint(number)));
    let mut events = vec![
        RelayEvent::Started,
        RelayEvent::NewConfig(Arc::new(routes())),
        RelayEvent::EndpointChanges(listed.collect()),
    ];
    let calls = (0..CALLS).map(|call| RelayEvent::RequestReceived(Box::new(request(call))));
    events.extend(calls);
    for event in events {
        relay.apply(event, NOW);
    }
    relay
}

fn routes() -> RouteTable {
    let route = RelayRoute {
        name: "look".into(),
        host: "kiosk.example".into(),
        path_prefix: "/look/".into(),
        semantics: Semantics::Idempotent,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_millis(300),
        services: vec![("service-0".into(), 1)],
        max_attempts: 2,
        is_model_route: false,
        is_stream: false,
        is_resumable: false,
        event_interval_target: Duration::ZERO,
        allows_anonymous: false,
        priority: None,
    };
    RouteTable {
        version: 1,
        routes: vec![route],
        services: [("service-0".into(), Default::default())].into(),
        limits: CallerLimits::default(),
        accounts: None,
    }
}

fn endpoint(number: u16) -> ListedEndpoint {
    ListedEndpoint {
        instance: format!("i-{number:05}").into(),
        address: ([10, 0, 0, 1], 10_000 + number).into(),
        service: format!("service-{}", number / PER_SERVICE).into(),
        version: "v1".into(),
        role: Role::Plain,
        is_leaving: false,
        started_unix_ms: Some(1),
    }
}

fn request(call: u64) -> RelayRequest {
    let key = RequestKey(format!("key-{call}").into());
    RelayRequest {
        call: CallId(call),
        request_id: format!("request-{call}").into(),
        host: "kiosk.example".into(),
        path: "/look/1".into(),
        caller_timeout: None,
        receive_time: Duration::ZERO,
        token_counts: None,
        shared_parts: SharedParts::default(),
        request_keys: RequestKeys {
            own: key.clone(),
            of_any_caller: key,
        },
        credential: Credential::Missing,
        resumption: None,
        hop: None,
    }
}
