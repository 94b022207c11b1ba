//! A small JSON value with a parser, for bodies and records.

use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns the value of a key; `Null` if there is none.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.iter().find(|(name, _)| name == key).map_or(&Json::Null, |(_, it)| it),
            _ => &Json::Null,
        }
    }

    /// Returns a number, 0 for anything else.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// Returns a text, an empty one for anything else.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                write!(out, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index == 0 { "" } else { "," })?;
                }
                write!(out, "]")
            }
            Json::Object(fields) => {
                write!(out, "{{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index == 0 { "" } else { "," })?;
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for char in text.chars() {
        match char {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            char if (char as u32) < 0x20 => write!(out, "\\u{:04x}", char as u32)?,
            char => write!(out, "{char}")?,
        }
    }
    write!(out, "\"")
}

/// Parses a text; one that is no JSON counts as null.
pub fn parse(text: &[u8]) -> Json {
    let text = String::from_utf8_lossy(text);
    let mut parser = Parser {
        chars: text.chars().collect(),
        at: 0,
    };
    parser.value().unwrap_or(Json::Null)
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|it| it.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, char: char) -> bool {
        self.skip_space();
        let found = self.chars.get(self.at) == Some(&char);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        let found: String = self.chars.get(self.at..end)?.iter().collect();
        self.at = end;
        (found == word).then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.chars.get(self.at)? {
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => self.list(),
            '{' => self.object(),
            _ => self.numeral(),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(']') {
                return Some(Json::List(items));
            }
            if !self.take(',') {
                return None;
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        if self.take('}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            if !self.take(':') {
                return None;
            }
            fields.push((key, self.value()?));
            if self.take('}') {
                return Some(Json::Object(fields));
            }
            if !self.take(',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take('"') {
            return None;
        }
        let mut text = String::new();
        loop {
            let char = *self.chars.get(self.at)?;
            self.at += 1;
            match char {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        'n' => '\n',
                        't' => '\t',
                        'r' => '\r',
                        'b' => '\u{8}',
                        'f' => '\u{c}',
                        'u' => {
                            let digits: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(&digits, 16).ok()?).unwrap_or('\u{fffd}')
                        }
                        other => other,
                    });
                }
                char => text.push(char),
            }
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let begin = self.at;
        while self.chars.get(self.at).is_some_and(|it| "+-.eE0123456789".contains(*it)) {
            self.at += 1;
        }
        let text: String = self.chars[begin..self.at].iter().collect();
        text.parse().ok().map(Json::Number)
    }
}
