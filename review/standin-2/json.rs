//! A small JSON reader and writer.

use std::fmt::{self, Write};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

pub fn list<I: IntoIterator<Item = Json>>(items: I) -> Json {
    Json::List(items.into_iter().collect())
}

pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let source = std::str::from_utf8(bytes).ok()?;
        let mut parser = Parser { rest: source.trim_start() };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(it, _)| it == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.rest.chars().next()? {
            'n' => self.take("null").map(|()| Json::Null),
            't' => self.take("true").map(|()| Json::Bool(true)),
            'f' => self.take("false").map(|()| Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => {
                self.take("[")?;
                let mut items = Vec::new();
                loop {
                    self.skip();
                    if self.take("]").is_some() {
                        return Some(Json::List(items));
                    }
                    items.push(self.value()?);
                    self.skip();
                    let _ = self.take(",");
                }
            }
            '{' => {
                self.take("{")?;
                let mut fields = Vec::new();
                loop {
                    self.skip();
                    if self.take("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    let name = self.string()?;
                    self.skip();
                    self.take(":")?;
                    fields.push((name, self.value()?));
                    self.skip();
                    let _ = self.take(",");
                }
            }
            _ => {
                let end = self
                    .rest
                    .find(|it: char| !"+-.eE0123456789".contains(it))
                    .unwrap_or(self.rest.len());
                let (digits, rest) = self.rest.split_at(end);
                self.rest = rest;
                digits.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut out = String::new();
        loop {
            let first = self.rest.chars().next()?;
            self.rest = &self.rest[first.len_utf8()..];
            match first {
                '"' => return Some(out),
                '\\' => {
                    let escape = self.rest.chars().next()?;
                    self.rest = &self.rest[escape.len_utf8()..];
                    match escape {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'u' => {
                            let code = u32::from_str_radix(self.rest.get(..4)?, 16).ok()?;
                            self.rest = &self.rest[4..];
                            out.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(f, "{}", *value as i64),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(value) => write_text(f, value),
            Json::List(items) => {
                f.write_char('[')?;
                for (index, item) in items.iter().enumerate() {
                    if index != 0 {
                        f.write_char(',')?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_char(']')
            }
            Json::Object(fields) => {
                f.write_char('{')?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index != 0 {
                        f.write_char(',')?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    f.write_char('"')?;
    for it in value.chars() {
        match it {
            '"' | '\\' => write!(f, "\\{it}")?,
            it if (it as u32) < 0x20 => write!(f, "\\u{:04x}", it as u32)?,
            it => f.write_char(it)?,
        }
    }
    f.write_char('"')
}
