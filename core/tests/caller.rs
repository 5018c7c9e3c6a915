//! Keys and names of callers.

use std::collections::HashMap;

use zinniaport_core::caller::CallerTable;
use zinniaport_testing::{check_property, test_cases};

test_cases! {
    keys_never_name_another_caller: "the key of a removed caller that returns the name of another one" => {
        let names = proptest::collection::vec(0_u8..12, 1..80);
        check_property(256, &names, |names| {
            let mut table = CallerTable::new(4);
            let mut names_by_key = HashMap::new();
            for name in names {
                let name = format!("caller-{name}");
                let key = table.intern(&name);
                let found = table.name(key);
                proptest::prop_assert_eq!(found.as_deref(), Some(name.as_str()));
                names_by_key.entry(key).or_insert(name);
            }
            let known = names_by_key.iter().filter(|(key, _)| table.name(**key).is_some()).count();
            proptest::prop_assert!(known <= 4, "the table is bounded");
            for (key, name) in &names_by_key {
                let found = table.name(*key);
                proptest::prop_assert!(found.is_none() || found.as_deref() == Some(name.as_str()));
            }
            Ok(())
        });
    }
}
