//! Golden file of a whole session as callers see it, with masks for values that change from run to run.

use arbutusfall_standins::Fleet;

use crate::fleet_lock;
use crate::support::exchange;
use crate::support::program;
use crate::support::small_site;

/// Placeholder for the booking's idempotency key, which contains the time of the run.
const MASKED_KEY: &str = "<key>";

/// Sends a request and returns it with its answers as text, with the key masked and without `date` headers.
fn record_exchange(request: &str, fleet: &Fleet, vm: usize, key: &str) -> String {
    let bearer_key = fleet.site.key;
    let bytes = request
        .replace("<bearer>", bearer_key)
        .replace(MASKED_KEY, key)
        .replace('\n', "\r\n");
    let answers = exchange(fleet.vms[vm].caller_address, bytes.as_bytes());
    let mut shown = format!("> to VM {vm}\n{request}\n");
    for answer in answers {
        let head = answer
            .head
            .lines()
            .filter(|line| !line.starts_with("date: "));
        shown.push_str("< answer\n");
        for line in head {
            shown.push_str(&format!("{line}\n"));
        }
        shown.push_str(&format!("\n{}\n", answer.body.replace(key, MASKED_KEY)));
    }
    shown
}

fn request(line: &str, headers: &[&str], body: &str) -> String {
    let mut request = format!("{line} HTTP/1.1\nhost: vm\nconnection: close\n");
    for header in headers {
        request.push_str(&format!("{header}\n"));
    }
    request.push_str(&format!("content-length: {}\n\n{body}", body.len()));
    request
}

#[test]
fn session_of_captions_a_booking_and_a_lookup() {
    let _lock = fleet_lock::acquire();
    let fleet = Fleet::start(program(), &small_site(), 2).expect("the fleet starts");
    let key = uuid::Uuid::now_v7().to_string();
    let authorization = "authorization: Bearer <bearer>";
    let key_header = "idempotency-key: <key>";
    let unary_body = r#"{"model":"draft-models","prompt":"logbook","max_tokens":4}"#;
    let streaming_body =
        r#"{"model":"draft-models","prompt":"logbook","max_tokens":4,"stream":true}"#;
    let completions = "POST /v1/completions";
    let bookings = "POST /v1/bookings";
    let first = [authorization, key_header, "arbutusfall-attempt: 1"];
    let repeat = [authorization, key_header, "arbutusfall-attempt: 2"];
    let steps = [
        (0, request(completions, &[authorization], unary_body)),
        (1, request(completions, &[authorization], streaming_body)),
        (0, request(bookings, &first, "{}")),
        (1, request(bookings, &repeat, "{}")),
        (1, request("GET /v1/status/4711", &[authorization], "")),
        (0, request(bookings, &[authorization], "{}")),
        (0, request("GET /v1/elsewhere", &[authorization], "")),
        (0, request(completions, &[], unary_body)),
    ];
    let shown: Vec<String> = steps
        .iter()
        .map(|(vm, request)| record_exchange(request, &fleet, *vm, &key))
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
}
