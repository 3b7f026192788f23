use super::*;

use winnow::{
  ModalResult, Parser,
  ascii::multispace0,
  combinator::{alt, delimited, preceded, repeat},
  stream::{LocatingSlice, Location},
  token::{any, none_of, take_till, take_while},
};

/// A token of a script: a bare word, a quoted text, a JSON document, or `;`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Word {
  /// The position of the first character, counted from 1.
  pub(super) column: usize,
  /// Whether the word is a quoted text or a JSON document, and so never a keyword.
  pub(super) is_quoted: bool,
  /// The text; that of a quoted text without its quotes and escapes.
  pub(super) text: String,
}

type Input<'a> = LocatingSlice<&'a str>;

impl Word {
  /// Returns whether the word separates statements.
  pub(super) fn is_separator(&self) -> bool {
    !self.is_quoted && self.text == ";"
  }

  /// Splits a script into words.
  pub(super) fn split(script: &str) -> Result<Vec<Self>> {
    let mut input = LocatingSlice::new(script);
    let words: ModalResult<Vec<Self>> =
      repeat(0.., preceded(multispace0, word)).parse_next(&mut input);
    let rest =
      preceded(multispace0::<Input, winnow::error::ContextError>, take_while(0.., |_| true))
        .parse_next(&mut input)
        .unwrap_or_default();
    match words {
      Ok(words) if rest.is_empty() => Ok(words),
      _ => Err(Error::Unexpected {
        column: script.chars().count() - rest.chars().count() + 1,
        expected: "a word, or a text that ends with a quote".into(),
        found: rest.chars().take(20).collect(),
        nearest: None,
      }),
    }
  }
}

fn is_bare_character(c: char) -> bool {
  !c.is_whitespace() && !matches!(c, ';' | '"' | '{' | '}' | '\\')
}

fn word(input: &mut Input) -> ModalResult<Word> {
  let start = input.current_token_start();
  let (is_quoted, text) = alt((
    ";".map(|text: &str| (false, text.to_string())),
    quoted.map(|text| (true, text)),
    document.map(|text| (true, text)),
    take_while(1.., is_bare_character).map(|text: &str| (false, text.to_string())),
  ))
  .parse_next(input)?;
  Ok(Word { column: start + 1, is_quoted, text })
}

fn quoted(input: &mut Input) -> ModalResult<String> {
  let character = alt((hidden, preceded('\\', any), none_of(['"', '\\'])));
  let text = repeat(0.., character).fold(String::new, |mut text, c| {
    text.push(c);
    text
  });
  delimited('"', text, '"').parse_next(input)
}

/// Parses the escape of a character by its number, such as `\u{a}`.
fn hidden(input: &mut Input) -> ModalResult<char> {
  let digits = take_while(1..=6, |c: char| c.is_ascii_hexdigit());
  let number = digits.try_map(|digits| u32::from_str_radix(digits, 16));
  delimited("\\u{", number.verify_map(char::from_u32), '}').parse_next(input)
}

/// Parses a JSON object up to its closing brace. A loop counts the depth instead of recursion, so
/// that deeply nested braces do not overflow the stack.
fn document(input: &mut Input) -> ModalResult<String> {
  let mut text = String::new();
  let mut depth = 0_usize;
  loop {
    let piece = document_piece(depth).parse_next(input)?;
    match piece {
      "{" => depth += 1,
      "}" => depth -= 1,
      _ => {}
    }
    text.push_str(piece);
    if depth == 0 {
      return Ok(text);
    }
  }
}

/// Parses a brace, a JSON string or the text between; at depth 0 only an opening brace.
fn document_piece<'a>(
  depth: usize,
) -> impl Parser<Input<'a>, &'a str, winnow::error::ErrMode<winnow::error::ContextError>> {
  move |input: &mut Input<'a>| {
    if depth == 0 {
      return "{".parse_next(input);
    }
    alt(("{", "}", json_text, take_till(1.., ['{', '}', '"']))).parse_next(input)
  }
}

/// Parses a JSON string and keeps its quotes and escapes.
fn json_text<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
  let character = alt((preceded('\\', any).void(), none_of(['"', '\\']).void()));
  let text: winnow::combinator::Repeat<_, _, _, (), _> = repeat(0.., character);
  delimited('"', text, '"').take().parse_next(input)
}
