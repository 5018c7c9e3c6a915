//! `Copy` keys into arenas. A key is an index with a generation, so that the key of a
//! removed item never matches a later item at the same index.

slotmap::new_key_type! {
    /// Identifies a target in a fleet snapshot.
    pub struct TargetKey;

    /// Identifies a service in a fleet snapshot.
    pub struct ServiceKey;

    /// Identifies a kind of request among those of its service.
    pub struct KindKey;

    /// Identifies a caller in the table of this entry.
    pub struct CallerKey;

    /// Identifies a tenant in the configuration.
    pub struct TenantKey;

    /// Identifies a VM in the platform's list.
    pub struct VmKey;
}
