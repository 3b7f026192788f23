use super::*;

use serde_json::Value;

/// A table of JSON values with named columns.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Table {
  /// The names of the columns.
  pub columns: Vec<String>,
  /// The rows; each has one value per column.
  pub rows: Vec<Vec<Value>>,
}

impl Table {
  /// Returns a table without rows.
  pub fn new(columns: &[&str]) -> Self {
    Self { columns: columns.iter().map(ToString::to_string).collect(), rows: Vec::new() }
  }

  /// Adds a row.
  pub fn add_row<const N: usize>(&mut self, row: [Value; N]) {
    debug_assert_eq!(N, self.columns.len());
    self.rows.push(row.into());
  }

  /// Returns each row as a JSON object with the columns as keys.
  pub fn to_objects(&self) -> Vec<Value> {
    let object = |row: &Vec<Value>| {
      let fields = self.columns.iter().cloned().zip(row.iter().cloned());
      Value::Object(fields.collect())
    };
    self.rows.iter().map(object).collect()
  }
}

/// Returns the text of a cell.
fn cell(value: &Value) -> String {
  match value {
    Value::Null => "-".into(),
    Value::String(text) => text::visible(text).into_owned(),
    other => other.to_string(),
  }
}

impl Display for Table {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    let head: Vec<String> = self.columns.clone();
    let rows = self.rows.iter().map(|row| row.iter().map(cell).collect::<Vec<String>>());
    let lines: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
    let widths: Vec<usize> = (0..self.columns.len()).map(|one| width(one).unwrap_or(0)).collect();
    for line in &lines {
      let padded = line.iter().zip(&widths).map(|(text, width)| format!("{text:width$}"));
      let text: Vec<String> = padded.collect();
      writeln!(f, "{}", text.join("  ").trim_end())?;
    }
    Ok(())
  }
}
