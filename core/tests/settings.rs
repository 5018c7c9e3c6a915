//! Guards against intents in force that go back to an older version.

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    IntentsController, IntentsEffect, IntentsMessage, StateController,
};
use zinniaport_core::intent::{MeasuringIntent, ServiceIntent};
use zinniaport_testing::{check_property, test_cases};

fn intent(max_queue_length: u32) -> ServiceIntent {
    ServiceIntent {
        service: "pump-history".to_owned(),
        team: "co-operative".to_owned(),
        kinds: Vec::new(),
        targets: Vec::new(),
        measuring: MeasuringIntent::default(),
        max_queue_length,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

test_cases! {
    versions_never_revert: "a late or repeated message that puts an older intent back in force" => {
        check_property(256, &proptest::collection::vec(1_u64..20, 1..40), |versions| {
            let mut controller = IntentsController::default();
            let mut highest = 0;
            for version in versions {
                let message =
                    IntentsMessage::Accepted { intent: intent(version as u32), version };
                let effects = controller.handle(message, Timestamp(version));
                proptest::prop_assert_eq!(effects.is_empty(), version <= highest);
                highest = highest.max(version);
                for effect in effects {
                    let IntentsEffect::Publish(fleet) = effect else { continue };
                    let (_, service) = fleet.find("pump-history").unwrap();
                    proptest::prop_assert_eq!(service.version, highest);
                    proptest::prop_assert_eq!(u64::from(service.intent.max_queue_length), highest);
                }
            }
            Ok(())
        });
    }
}
