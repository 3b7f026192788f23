use super::*;

/// Reads the words of a statement in order.
pub(super) struct Cursor<'a> {
  /// The column after the last word, counted from 1.
  end: usize,
  words: &'a [Word],
}

impl<'a> Cursor<'a> {
  pub(super) fn new(words: &'a [Word], end: usize) -> Self {
    Self { end, words }
  }

  /// Returns the next word without consuming it.
  pub(super) fn peek(&self) -> Option<&'a Word> {
    self.words.first()
  }

  /// Returns whether the next word is `keyword`, unquoted.
  pub(super) fn is_next(&self, keyword: &str) -> bool {
    self.peek().is_some_and(|word| !word.is_quoted && word.text == keyword)
  }

  /// Consumes the next word if it is `keyword`; returns whether it was.
  pub(super) fn skip_keyword(&mut self, keyword: &str) -> bool {
    let is_next = self.is_next(keyword);
    if is_next {
      self.words = &self.words[1..];
    }
    is_next
  }

  /// Consumes `keyword`; fails if the next word is another one.
  pub(super) fn expect_keyword(&mut self, keyword: &str) -> Result {
    if self.skip_keyword(keyword) { Ok(()) } else { Err(self.expected_one_of(&[keyword])) }
  }

  /// Consumes and returns one of `keywords`; fails if the next word is none of them.
  pub(super) fn expect_one_of(&mut self, keywords: &[&'static str]) -> Result<&'static str> {
    let found = keywords.iter().find(|keyword| self.skip_keyword(keyword));
    found.copied().ok_or_else(|| self.expected_one_of(keywords))
  }

  /// Consumes a word of any form. `expected` describes it in the error.
  pub(super) fn take_text(&mut self, expected: &str) -> Result<&'a str> {
    let word = self.peek().ok_or_else(|| self.expected(expected))?;
    self.words = &self.words[1..];
    Ok(&word.text)
  }

  /// Consumes and parses a value. `expected` describes it in the error.
  pub(super) fn parse_value<T: FromStr>(&mut self, expected: &str) -> Result<T> {
    let parsed = self.peek().and_then(|word| word.text.parse().ok());
    let value = parsed.ok_or_else(|| self.expected(expected))?;
    self.words = &self.words[1..];
    Ok(value)
  }

  /// Fails if words are left.
  pub(super) fn expect_end(&self) -> Result {
    if self.words.is_empty() { Ok(()) } else { Err(self.expected("the end of the statement")) }
  }

  pub(super) fn is_at_end(&self) -> bool {
    self.words.is_empty()
  }

  /// Returns the error that none of `keywords` is next, with the nearest one as a suggestion.
  pub(super) fn expected_one_of(&self, keywords: &[&str]) -> Error {
    let found = self.peek().map_or("", |word| &word.text);
    let quoted: Vec<String> = keywords.iter().map(|keyword| format!("`{keyword}`")).collect();
    match self.expected(&quoted.join(", ")) {
      Error::Unexpected { column, expected, found: shown, .. } => Error::Unexpected {
        column,
        expected,
        found: shown,
        nearest: nearest::nearest(found, keywords.iter().copied()),
      },
      other => other,
    }
  }

  /// Returns the error that the next word is not what `expected` describes.
  pub(super) fn expected(&self, expected: &str) -> Error {
    let word = self.peek();
    let shown = |word: &Word| format!("`{}`", word.text.chars().take(40).collect::<String>());
    Error::Unexpected {
      column: word.map_or(self.end, |word| word.column),
      expected: expected.into(),
      found: word.map_or("the end".into(), shown),
      nearest: None,
    }
  }
}
