use super::*;

/// Returns sets of invalid fields that replace those of a valid item.
pub fn foreign_items() -> Vec<Fields> {
  let items = [
    serde_json::json!({ "Value": "//79" }),
    serde_json::json!({ "Value": "not base64!" }),
    serde_json::json!({ "Value": 7 }),
    serde_json::json!({ "Value": null }),
    serde_json::json!({ "Value": "" }),
    serde_json::json!({ "Value": "e30=" }),
    serde_json::json!({ "Revision": "seven", "Value": {} }),
    serde_json::json!({ "Key": null }),
  ];
  items.into_iter().filter_map(|item| item.as_object().cloned()).collect()
}

/// Returns invalid bodies of reports that no backend server sends.
pub fn foreign_reports() -> Vec<serde_json::Value> {
  let whole = serde_json::json!({
    "Address": "127.0.0.1:1",
    "Info": { "Service": SoakBox::SERVICES[0], "Slots": 8, "Version": "v1", "Zone": "hall" },
    "Status": { "CallSeq": 1_u64 << 40, "ColdLeft": "0ms", "State": "draining" },
    "born": unix_ms(),
  });
  let spoiled = [
    ("/born", serde_json::json!("now")),
    ("/born", serde_json::json!(u64::MAX)),
    ("/Info/Service", serde_json::json!("of-nobody")),
    ("/Info/Slots", serde_json::json!("eight")),
    ("/Status/CallSeq", serde_json::json!(-1)),
    ("/Status/State", serde_json::json!("asleep")),
    ("/Status", serde_json::json!(null)),
  ];
  let spoil = |(path, value): (&str, serde_json::Value)| {
    let mut body = whole.clone();
    if let Some(field) = body.pointer_mut(path) {
      *field = value;
    }
    body
  };
  spoiled.into_iter().map(spoil).collect()
}
