//! Maps field paths of a YAML text to line numbers.
//!
//! Parsing gives typed values without line numbers. For a fault that is found only afterwards, such
//! as a reference to something undeclared, the text is parsed a second time to look up the line.

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, NonFiniteFloatPolicy, Spanned, options};
use std::fmt;

/// A parsed YAML document with the positions of its keys and values.
#[derive(Debug)]
pub(crate) struct SourceMap {
    root: Node,
}

#[derive(Debug)]
enum Node {
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
    List(Vec<Spanned<Node>>),
    Leaf(String),
}

impl SourceMap {
    /// Parses `yaml` again; `None` when it is not valid YAML.
    pub(crate) fn read(yaml: &str) -> Option<Self> {
        // Typed fields accept `.nan` and `.inf` too; the checks refuse them later.
        let options = options! { non_finite_float_policy: NonFiniteFloatPolicy::PassThrough };
        serde_saphyr::from_str_with_options(yaml, options).ok().map(|root| Self { root })
    }

    /// Path of the field that begins at this line and column, in the form of
    /// [`crate::Fault::field`].
    pub(crate) fn path(&self, line: u64, column: u64) -> Option<String> {
        find(&self.root, "", (line, column))
    }

    /// Whether the document is a map with this top-level key.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        match &self.root {
            Node::Map(entries) => entries.iter().any(|(k, _)| k.value == key),
            Node::List(_) | Node::Leaf(_) => false,
        }
    }

    /// Line of a field, starting at 1. The path has the form of [`crate::Fault::field`]: keys and
    /// names of list entries joined by dots, and indexes in brackets. If the field is missing, the
    /// line of its nearest existing parent.
    pub(crate) fn line(&self, path: &str) -> Option<u64> {
        let (mut node, mut rest, mut line) = (&self.root, path, None);
        while let Some((child_line, child, tail)) = descend(node, rest) {
            line = Some(child_line);
            node = child;
            rest = tail.trim_start_matches('.');
        }
        line
    }
}

/// Finds the child that the first part of `path` names. Returns its line, the child and the rest of
/// the path.
fn descend<'a, 'p>(node: &'a Node, path: &'p str) -> Option<(u64, &'a Node, &'p str)> {
    match node {
        Node::Map(entries) => entries.iter().find_map(|(key, child)| {
            let rest = after_name(path, &key.value)?;
            Some((key.referenced.line(), &child.value, rest))
        }),
        Node::List(items) => match path.strip_prefix('[') {
            Some(index) => {
                let (index, rest) = index.split_once(']')?;
                let item = items.get(index.parse::<usize>().ok()?)?;
                Some((item.referenced.line(), &item.value, rest))
            }
            None => items.iter().find_map(|item| {
                let rest = after_name(path, name_of(&item.value)?)?;
                Some((item.referenced.line(), &item.value, rest))
            }),
        },
        Node::Leaf(_) => None,
    }
}

/// Searches `node`, whose own path is `at`, for the field that begins at `position`, given as line
/// and column.
fn find(node: &Node, at: &str, position: (u64, u64)) -> Option<String> {
    let starts = |l: Location| (l.line(), l.column()) == position;
    match node {
        Node::Map(entries) => entries.iter().find_map(|(key, child)| {
            let at = if at.is_empty() { key.value.clone() } else { format!("{at}.{}", key.value) };
            let here = starts(key.referenced)
                || matches!(child.value, Node::Leaf(_)) && starts(child.referenced);
            if here { Some(at) } else { find(&child.value, &at, position) }
        }),
        Node::List(items) => items.iter().enumerate().find_map(|(i, item)| {
            let at = format!("{at}[{i}]");
            if starts(item.referenced) && !matches!(item.value, Node::Map(_)) {
                Some(at)
            } else {
                find(&item.value, &at, position)
            }
        }),
        Node::Leaf(_) => None,
    }
}

/// The rest of `path` after `name`, if the path begins with exactly this name. Names may contain
/// dots themselves.
fn after_name<'p>(path: &'p str, name: &str) -> Option<&'p str> {
    let rest = path.strip_prefix(name).filter(|_| !name.is_empty())?;
    (rest.is_empty() || rest.starts_with(['.', '['])).then_some(rest)
}

/// The value of a map's `name` field.
fn name_of(node: &Node) -> Option<&str> {
    let Node::Map(entries) = node else { return None };
    let (_, name) = entries.iter().find(|(key, _)| key.value == "name")?;
    match &name.value {
        Node::Leaf(name) => Some(name),
        Node::Map(_) | Node::List(_) => None,
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Leaf(v.to_string()))
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Leaf(v.to_string()))
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Leaf(v.to_string()))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Node, E> {
        Ok(Node::Leaf(v.to_string()))
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Leaf(v.to_owned()))
    }

    fn visit_unit<E: Error>(self) -> Result<Node, E> {
        Ok(Node::Leaf(String::new()))
    }

    fn visit_none<E: Error>(self) -> Result<Node, E> {
        Ok(Node::Leaf(String::new()))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}
