//! Engines of `serve` that fall silent for a second and go on.

use std::time::Duration;

use arbutusfall_wire::PlaceDecision;

use crate::streams_harness::TestVm;
use crate::streams_harness::cancelled;
use crate::streams_harness::has_effect;

// Guards against a stream that is cut off after a silence because no other engine has room for it.
#[test]
fn silent_stream_is_not_cut_off_when_its_placement_is_refused() {
    let mut entry = TestVm::with_decoding_request();
    let mut effects = entry.wait_ms(1_050);
    let retry_after = Duration::from_millis(500);
    for placement in [2, 3] {
        let refused = PlaceDecision::Refused { retry_after };
        effects.extend(entry.receive_reply("milano-a-2", 1, placement, refused));
    }
    assert_eq!(cancelled(&effects), [], "cancelled before it is replaced");
    assert!(!has_effect(&effects, "abort"), "cut off");
}
