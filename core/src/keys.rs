//! `Copy` keys into arenas: an index with a generation, so that a key of a
//! removed item never finds its successor.

slotmap::new_key_type! {
    /// Identifies a target in a fleet snapshot.
    pub struct TargetKey;

    /// Identifies a service in a fleet snapshot.
    pub struct ServiceKey;

    /// Identifies a caller known to this entry.
    pub struct CallerKey;

    /// Identifies a VM of the platform's list.
    pub struct VmKey;
}
