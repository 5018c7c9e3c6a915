//! Fills in the template of settings as the page on deployment says.

/// A field of the settings.
#[derive(Clone, Debug)]
pub enum Field {
    /// A number, or true or false, as it is written.
    Plain(String),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Field>),
    /// A table.
    Table(Vec<(&'static str, Field)>),
}

impl Field {
    fn is_present(&self) -> bool {
        match self {
            Self::Plain(text) => text != "false",
            Self::Text(text) => !text.is_empty(),
            Self::List(items) => !items.is_empty(),
            Self::Table(_) => true,
        }
    }

    fn find(&self, path: &str) -> Option<&Self> {
        if path == "." {
            return Some(self);
        }
        path.split('.').try_fold(self, |field, name| match field {
            Self::Table(fields) => {
                fields.iter().find(|(known, _)| *known == name).map(|(_, field)| field)
            }
            Self::List(items) => items.get(name.parse::<usize>().ok()?),
            _ => None,
        })
    }

    fn json(&self) -> String {
        match self {
            Self::Plain(text) => text.clone(),
            Self::Text(text) => format!("{text:?}"),
            Self::List(items) => {
                let items: Vec<_> = items.iter().map(Self::json).collect();
                format!("[{}]", items.join(","))
            }
            Self::Table(fields) => {
                let fields =
                    fields.iter().map(|(name, field)| format!("{name:?}:{}", field.json()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }

    fn plain(&self) -> String {
        match self {
            Self::Plain(text) | Self::Text(text) => text.clone(),
            Self::List(items) => items.iter().map(Self::plain).collect::<Vec<_>>().join(","),
            Self::Table(_) => self.json(),
        }
    }
}

/// Looks a name up in the innermost entry first. Tables of the settings are found by the names of
/// their fields too, as in a template that names `Listen.Front`.
fn look_up<'a>(scopes: &[&'a Field], path: &str) -> Option<&'a Field> {
    scopes.iter().rev().find_map(|scope| scope.find(path))
}

/// Renders a template.
pub fn render(template: &str, fields: &Field) -> String {
    render_part(template, &[fields], true)
}

fn render_part(mut text: &str, scopes: &[&Field], is_last: bool) -> String {
    let mut rendered = String::new();
    while let Some(start) = text.find("{{") {
        rendered.push_str(&text[..start]);
        let Some(end) = text[start..].find("}}").map(|end| start + end) else { break };
        let tag = &text[start + 2..end];
        text = &text[end + 2..];
        match tag.as_bytes().first() {
            Some(b'#' | b'^') => {
                let name = &tag[1..];
                let close = format!("{{{{/{name}}}}}");
                let Some(length) = text.find(&close) else { break };
                let (inner, rest) = (&text[..length], &text[length + close.len()..]);
                text = rest;
                let found = look_up(scopes, name).filter(|field| field.is_present());
                match (found, tag.starts_with('#')) {
                    (Some(Field::List(items)), true) => {
                        for (index, item) in items.iter().enumerate() {
                            let scopes: Vec<_> = scopes.iter().copied().chain([item]).collect();
                            rendered += &render_part(inner, &scopes, index + 1 == items.len());
                        }
                    }
                    (Some(field), true) => {
                        let scopes: Vec<_> = scopes.iter().copied().chain([field]).collect();
                        rendered += &render_part(inner, &scopes, true);
                    }
                    (None, false) => rendered += &render_part(inner, scopes, is_last),
                    _ => {}
                }
            }
            Some(b',') => {
                if !is_last {
                    rendered.push(',');
                }
            }
            _ => {
                let (name, is_json) = match tag.strip_suffix("|json") {
                    Some(name) => (name, true),
                    None => (tag, false),
                };
                if let Some(field) = look_up(scopes, name) {
                    rendered += &if is_json { field.json() } else { field.plain() };
                }
            }
        }
    }
    rendered + text
}
