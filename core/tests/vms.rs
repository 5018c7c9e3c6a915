//! Guards against leaving VMs that are forgotten too early or kept too long.

use std::net::IpAddr;
use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{LEAVING_HOLD_TIME, LeavingVms, VmReport};
use zinniaport_testing::test_cases;

const START: Timestamp = Timestamp(1_000_000_000);

fn vm(last: u8) -> IpAddr {
    [10, 0, 0, last].into()
}

fn list(leaving: &[u8]) -> VmReport {
    let leaving = leaving.iter().map(|last| (vm(*last), Duration::ZERO)).collect();
    VmReport { list_age: Some(Duration::ZERO), leaving }
}

test_cases! {
    stale_lists_keep_vms_leaving: "a leaving target that takes requests again after a stale list or an outage" => {
        let mut vms = LeavingVms::default();
        assert!(vms.merge(&list(&[1]), START));
        assert!(!vms.merge(&list(&[]), START - Duration::from_secs(5)), "an older list");
        assert!(!vms.merge(&list(&[]), START + LEAVING_HOLD_TIME), "a list that may still lag");
        let outage = START + Duration::from_secs(3600);
        let stale = vms.report(outage);
        assert!(!vms.merge(&stale, outage), "its own report during an outage");
        assert_eq!(vms.addresses().collect::<Vec<_>>(), [vm(1)]);
    }

    newer_lists_end_leaving: "a target that never takes requests again although its VM's address is reused" => {
        let mut vms = LeavingVms::default();
        vms.merge(&list(&[1, 2]), START);
        let later = START + LEAVING_HOLD_TIME + Duration::from_secs(1);
        assert!(vms.merge(&list(&[2]), later));
        assert_eq!(vms.addresses().collect::<Vec<_>>(), [vm(2)]);
    }

    reports_carry_ages: "an entry that reads no list and keeps sending requests to a leaving VM" => {
        let (mut reader, mut other) = (LeavingVms::default(), LeavingVms::default());
        reader.merge(&list(&[1]), START);
        // The clocks of the two entries differ by an hour.
        let hour = Duration::from_secs(3600);
        let sent = reader.report(START + Duration::from_secs(2));
        assert!(other.merge(&sent, START + hour + Duration::from_secs(2)));
        assert_eq!(other.report(START + hour + Duration::from_secs(3)).leaving, [(vm(1), Duration::from_secs(3))]);
    }
}
