//! Guards against requests that are attributed to the wrong tenant.

use zinniaport_core::tenants::{
    ApiKeyDigest, MAX_API_KEYS, TenantError, TenantIntent, TenantTable, check_tenants,
};
use zinniaport_testing::test_cases;

fn tenant(name: &str, api_keys: &[&str]) -> TenantIntent {
    let api_keys = api_keys.iter().map(|key| ApiKeyDigest::of(key.as_bytes())).collect();
    TenantIntent { name: name.to_owned(), api_keys, rank: None, limit: None }
}

fn holder<'a>(table: &'a TenantTable, api_key: &str) -> Option<&'a str> {
    table.find(api_key.as_bytes()).map(|(_, tenant)| &*tenant.name)
}

test_cases! {
    moved_and_withdrawn_keys: "a key that still opens the tenant that held it in an earlier version" => {
        let first = TenantTable::default().next(&[tenant("a", &["k1", "k2"]), tenant("b", &["k3"])]);
        assert_eq!(holder(&first, "k1"), Some("a"));
        assert_eq!(holder(&first, "k3"), Some("b"));
        let second = first.next(&[tenant("a", &["k2"]), tenant("b", &["k3", "k1"])]);
        assert_eq!(holder(&second, "k1"), Some("b"));
        assert_eq!(holder(&second, "k2"), Some("a"));
        let third = second.next(&[tenant("b", &["k3"])]);
        assert_eq!(holder(&third, "k1"), None);
        assert_eq!(holder(&third, "k2"), None);
        assert_eq!(third.len(), 1);
    }

    tenants_keep_their_keys: "a request in progress that a new version attributes to another tenant" => {
        let first = TenantTable::default().next(&[tenant("a", &["k1"]), tenant("b", &["k2"])]);
        let (a, _) = first.find(b"k1").unwrap();
        let (b, _) = first.find(b"k2").unwrap();
        let second = first.next(&[tenant("c", &["k3"]), tenant("b", &["k2"])]);
        assert_eq!(second.find(b"k2").unwrap().0, b);
        assert!(second.get(a).is_none());
        assert_eq!(second.key_of(second.get(b).unwrap().tag), Some(b));
    }

    parts_of_keys: "a prefix, an extension or an empty key that opens a tenant" => {
        let table = TenantTable::default().next(&[tenant("a", &["key-1"])]);
        for api_key in ["", "key-", "key-1 ", "key-11", "KEY-1"] {
            assert_eq!(holder(&table, api_key), None, "{api_key:?}");
        }
    }

    indistinct_tenants: "tenants of which a request could belong to either, and unbounded memory for keys" => {
        let shared = [tenant("a", &["k1"]), tenant("b", &["k2", "k1"])];
        let (first, second) = ("a".to_owned(), "b".to_owned());
        assert_eq!(check_tenants(&shared), Err(TenantError::SharedKey { first, second }));
        let repeated = [tenant("a", &["k1"]), tenant("a", &["k2"])];
        let name = "a".to_owned();
        assert_eq!(check_tenants(&repeated), Err(TenantError::RepeatedName { name }));
        let mut large = tenant("a", &["k1"]);
        large.api_keys = vec![large.api_keys[0]; MAX_API_KEYS + 1];
        let count = MAX_API_KEYS + 1;
        assert_eq!(check_tenants(&[large]), Err(TenantError::TooManyKeys { count }));
        assert_eq!(check_tenants(&[tenant("a", &["k1", "k1"]), tenant("b", &[])]), Ok(()));
    }
}
