//! Violations of the rules for settings: where, which rule, and how to fix it.

use std::fmt::Display;
use std::ops::RangeInclusive;

use derive_more::Display;
use serde::Serialize;

/// One value that violates a rule.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[display("{path}: {value} (limit: {limit}); {remedy}")]
pub struct SettingsViolation {
    /// YAML path of the value, such as `services[0].kinds[1].deadline_ms`.
    pub path: String,
    /// The value in the file.
    pub value: String,
    /// The rule that the value violates.
    pub limit: String,
    /// How to fix it.
    pub remedy: String,
}

/// Violations found so far, in the order of the checks.
#[derive(Clone, Debug, Default)]
pub struct ViolationList(Vec<SettingsViolation>);

impl ViolationList {
    /// Adds a violation.
    pub fn add(&mut self, path: String, value: impl Display, limit: impl Display, remedy: &str) {
        let (value, limit) = (value.to_string(), limit.to_string());
        self.0.push(SettingsViolation { path, value, limit, remedy: remedy.to_owned() });
    }

    /// Adds a violation unless `value` lies in `range`.
    pub fn check_range<T: Copy + Display + PartialOrd>(
        &mut self,
        path: String,
        value: T,
        range: RangeInclusive<T>,
        remedy: &str,
    ) {
        if !range.contains(&value) {
            self.add(path, value, format!("{} to {}", range.start(), range.end()), remedy);
        }
    }

    /// Adds a violation unless `name` consists of 1 to 64 lower-case letters, digits and
    /// hyphens and starts with a letter. Names appear in URL paths, object names and metric
    /// labels.
    pub fn check_name(&mut self, path: String, name: &str) {
        let is_valid = (1..=64).contains(&name.len())
            && name.starts_with(|first: char| first.is_ascii_lowercase())
            && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !is_valid {
            let limit = "1 to 64 of a-z, 0-9 and -, a letter first";
            self.add(path, format!("{name:?}"), limit, "choose a name of these characters");
        }
    }

    /// Returns the violations in the order in which they were found.
    pub fn into_violations(self) -> Vec<SettingsViolation> {
        self.0
    }
}

/// Checks rules that the types do not express. Each section of the settings implements
/// it and is called by the section that contains it.
pub trait CheckSettings {
    /// Adds every violation in the section at `path`, which is empty for the whole file.
    fn check(&self, path: &str, violations: &mut ViolationList);
}

/// Returns the path of a field.
pub fn field(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the path of an element of a list.
pub fn element(path: &str, name: &str, position: usize) -> String {
    format!("{}[{position}]", field(path, name))
}

/// Checks each element of a list.
pub fn check_each<T: CheckSettings>(
    path: &str,
    name: &str,
    list: &[T],
    violations: &mut ViolationList,
) {
    for (position, section) in list.iter().enumerate() {
        section.check(&element(path, name, position), violations);
    }
}
