//! Names that a platform, its operators and backend servers choose: any text is taken, and encoded where it enters
//! headers, keys, labels, logs and statements, so that it forges nothing and different names stay different.

mod support;

use {
  arbtest::arbitrary::{Result, Unstructured},
  ferryyoke::{
    configuration::{Configuration, Source},
    distribution::keys,
    language::Script,
    platform::OperatorSource,
    requests::{CallCredit, CallerClass, LimitHint, RunCalls},
    rollout,
    telemetry::Metrics,
    values::{
      BoxId, GivenName, InstanceId, OrganisationName, Region, RouteName, ServiceName,
      SoftwareVersion,
    },
  },
  serde_json::{Value, json},
  std::{collections::BTreeSet, fs, path::Path},
  support::histories,
};

/// Odd names: letters beyond ASCII, separators of headers, keys, labels and lines, escapes, and long ones.
fn odd_names() -> Vec<String> {
  let mut names: Vec<String> = [
    "procès-verbaux",
    "名簿",
    "a b",
    " a",
    "a ",
    "a/b",
    "../../op/config",
    "a\nb: c",
    "a\r\n\r\nGET /",
    "a\"b'c\\d",
    "100%",
    "%41",
    "a,b;c:d=e",
    "{a}",
    "\u{0}",
    "\u{7f}",
    "\u{202e}abc",
    "\u{200b}",
    "e\u{301}",
    "2.4.0+20261206",
    "",
    "%",
    "%.",
    "none",
    "service",
    "yes",
  ]
  .map(String::from)
  .into();
  let long = ["x".repeat(64), "x".repeat(65), "é".repeat(400), "long ".repeat(20_000)];
  names.extend(long);
  names.push(format!("{}y", "x".repeat(64)));
  names
}

/// Names of which many are alike: few characters, in any order.
fn arbitrary_name(u: &mut Unstructured) -> Result<String> {
  const PIECES: [&str; 12] = ["a", "%", "4", "1", ".", "/", " ", "é", "\n", "\"", "\\", "u{a}"];
  let length = u.int_in_range(0..=40)?;
  (0..length).map(|_| Ok(*u.choose(&PIECES)?)).collect()
}

fn check_name(text: &str) {
  let name = ServiceName::from(text);
  assert_eq!(name.as_str(), text);
  let encoded = name.encoded();
  assert_eq!(ServiceName::decoded(&encoded).as_ref(), Some(&name), "{encoded}");
  let is_safe = |text: &str| {
    !text.is_empty()
      && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.%".contains(&byte))
  };
  assert!(is_safe(&encoded), "{encoded}");
  assert!(is_safe(&name.short()) && name.short().len() <= 63, "{}", name.short());
  let header = name.header_value();
  let is_given = header.as_bytes() == text.as_bytes();
  assert!(is_given || header.as_bytes() == encoded.as_bytes(), "{header:?}");
  let shown = name.to_string();
  assert!(
    !shown.chars().any(|c| c.is_control() || c == '\u{202e}' || c == '\u{2028}'),
    "{shown:?}"
  );
  let line = serde_json::to_string(&name).expect("JSON");
  assert_eq!(serde_json::from_str::<ServiceName>(&line).expect("a name"), name);
}

/// Guards against names that are cut, refused, or no more told apart where they are encoded.
#[test]
fn any_name_keeps_its_text_and_its_identity() {
  let names = odd_names();
  for name in &names {
    check_name(name);
  }
  let distinct = |of: fn(&ServiceName) -> String| {
    names.iter().map(|name| of(&ServiceName::from(name.as_str()))).collect::<BTreeSet<_>>().len()
  };
  assert_eq!(distinct(|name| name.short().into_owned()), names.len());
  assert_eq!(distinct(ToString::to_string), names.len());
  histories(500, |u| {
    let (one, other) = (arbitrary_name(u)?, arbitrary_name(u)?);
    check_name(&one);
    let (one, other) = (ServiceName::from(one), ServiceName::from(other));
    assert_eq!(one.short() == other.short(), one == other, "{one} {other}");
    assert_eq!(one.to_string() == other.to_string(), one == other, "{one} {other}");
    Ok(())
  });
}

/// Guards against rolling updates in which a plain name changes its form on the wire or in the store.
#[test]
fn a_plain_name_stands_for_itself_everywhere() {
  let name = BoxId::from("sidecar-kgl_1.a");
  let forms = [name.encoded().into_owned(), name.short().into_owned(), name.to_string()];
  assert_eq!(forms, ["sidecar-kgl_1.a"; 3]);
  assert_eq!(keys::endpoint(&name).as_str(), "mesh/boxes/sidecar-kgl_1.a");
}

/// Guards against statements that cannot name an object, and answers that cannot be used as statements.
#[test]
fn statements_name_any_object() {
  let check = |name: &str| {
    let statement = format!("why box {} holds route {}", BoxId::from(name), RouteName::from(name));
    let script: Script = statement.parse().unwrap_or_else(|err| panic!("{statement}: {err}"));
    assert_eq!(script.to_string(), statement);
  };
  for name in odd_names().iter().filter(|name| !name.is_empty()) {
    check(name);
  }
  histories(200, |u| {
    check(&format!("{}x", arbitrary_name(u)?));
    Ok(())
  });
}

/// Guards against keys that a name leads astray, or that the store doesn't take for their length.
#[test]
fn keys_stay_short_and_under_their_prefix() {
  for name in odd_names() {
    let (endpoint, service) = (BoxId::from(name.as_str()), ServiceName::from(name.as_str()));
    let (boxes, records) = (keys::endpoint(&endpoint), rollout::keys::record(&service));
    for key in [&boxes, &records] {
      assert_eq!(key.as_str().split('/').count(), 3, "{key}");
      assert!(key.as_str().len() <= 100, "{key}");
    }
    let found = keys::endpoint_of(&boxes);
    assert!(found.is_none_or(|found| found == endpoint), "{boxes}");
  }
}

/// Guards against names that break the lists in headers between daemons.
#[test]
fn lists_in_headers_keep_any_name() {
  for name in odd_names() {
    let hint = LimitHint {
      instance: Some(InstanceId::from(name.as_str())),
      rate: "22.5/s".parse().expect("a rate"),
    };
    assert_eq!(hint.to_string().parse::<LimitHint>().expect("a hint"), hint);
    let service = ServiceName::from(name.as_str());
    let mut credit = CallCredit::default();
    credit.add(&service, 7);
    assert_eq!(credit.to_string().parse::<CallCredit>().expect("a credit"), credit);
    let mut calls = RunCalls::default();
    calls.add(9, &service, 4, true);
    let read: RunCalls = calls.to_string().parse().expect("calls");
    assert_eq!(read.services(), calls.services());
  }
}

/// Guards against labels that forge lines of the metrics.
#[test]
fn labels_hold_any_name_in_one_line() {
  let metrics = Metrics::new();
  for name in odd_names() {
    let class = CallerClass::of(&OrganisationName::from(name.as_str()));
    metrics.record_request(&name, class.as_str(), "answered", 0.1);
  }
  let text = metrics.encode();
  let is_sound = |line: &str| {
    let is_sample = line.starts_with("ferryyoke_")
      && line.rsplit_once(' ').is_some_and(|(_, value)| value.parse::<f64>().is_ok());
    line.starts_with('#') || is_sample
  };
  assert_eq!(text.split('\n').find(|line| !line.is_empty() && !is_sound(line)), None);
}

fn route(name: &str, path: &str, service: &str) -> Value {
  json!({
    "Host": "h", "Kind": "safe", "MaxAttempts": 2, "Name": name, "PathPrefix": path, "Service": service,
    "Timeout": "1s",
  })
}

fn configuration(routes: &[Value], services: &[&str], tenants: &[Value]) -> Configuration {
  let services: Vec<Value> = services
    .iter()
    .map(|name| json!({ "HealthPath": "/health", "MaxConnections": 10, "Name": name }))
    .collect();
  let whole = json!({
    "Limits": {
      "HeaderTimeout": "3s", "IdleTimeout": "15s", "MaxBodyBytes": 1000, "MaxHeaderBytes": 16_384,
    },
    "Routes": routes, "Services": services, "Tenants": tenants, "Version": 7,
  });
  let read = OperatorSource.read(&whole.to_string()).expect("a configuration");
  read.validate().expect("a valid configuration");
  read
}

/// Guards against a version that is refused whole for a name of a route, service, organisation or region.
#[test]
fn the_platforms_configuration_may_hold_any_names() {
  for name in odd_names() {
    let path = format!("/{}/", "p".repeat(2_000));
    let tenant = json!({ "AllowedRegions": [name], "ApiKeys": ["k"], "Name": name });
    let mut odd = route(&name, &path, &name);
    odd["AllowedRegions"] = json!([name]);
    let plain = route("plain", "/plain/", "archive");
    let read = configuration(&[odd, plain], &[&name, "archive"], &[tenant]);
    assert_eq!((read.routes.len(), read.services.len()), (2, 2), "{name:?}");
    let route = &read.routes[&RouteName::from(name.as_str())].value;
    assert_eq!(route.service.as_str(), name);
    assert!(route.handling.regions.contains(&Region::from(name.as_str())));
    assert!(read.organisations.contains_key(&OrganisationName::from(name.as_str())));
    assert!(read.omissions.is_empty(), "{:?}", read.omissions);
    let again: Configuration = serde_json::from_str(&read.encode()).expect("a configuration");
    assert_eq!(again, read);
  }
}

/// Guards against one of two routes of one name that is lost without a word.
#[test]
fn routes_of_one_name_are_all_in_force() {
  let routes = [
    route("minutes", "/a/", "archive"),
    route("minutes (2)", "/b/", "archive"),
    route("minutes", "/c/", "archive"),
    route("minutes", "/d/", "archive"),
  ];
  let read = configuration(&routes, &["archive", "archive"], &[]);
  let mut paths: Vec<&str> =
    read.routes.values().map(|route| route.value.path_prefix.as_str()).collect();
  paths.sort_unstable();
  assert_eq!(paths, ["/a/", "/b/", "/c/", "/d/"]);
  assert_eq!(read.routes[&RouteName::from("minutes (2)")].value.path_prefix, "/b/");
  assert!(read.omissions.is_empty(), "{:?}", read.omissions);
}

/// Guards against an organisation that loses the keys of one of its entries.
#[test]
fn organisations_of_one_name_are_one_with_all_keys() {
  let entry = |key: &str, rate: u32| json!({ "ApiKeys": [key], "Burst": 1, "Name": "council", "RatePerS": rate });
  let read = configuration(&[], &[], &[entry("one", 5), entry("two", 5), entry("three", 6)]);
  let council = &read.organisations[&OrganisationName::from("council")].value;
  assert_eq!(council.keys.len(), 2, "an entry with another limit is another organisation");
  assert_eq!(read.omissions.len(), 1);
  assert!(
    read.omissions[0].item.contains("organisation council, listed again"),
    "{:?}",
    read.omissions
  );
}

/// Guards against doors that open, as the only organisation cannot be read.
#[test]
fn an_organisation_that_cannot_be_read_keeps_its_place_without_keys() {
  for tenant in
    [json!({ "ApiKeys": ["k"], "Name": "council", "RatePerS": "many" }), json!(["council"])]
  {
    let read = configuration(&[route("r", "/r/", "archive")], &["archive"], &[tenant]);
    assert_eq!(read.organisations.len(), 1);
    assert!(read.organisations.values().all(|one| one.value.keys.is_empty()));
    assert_eq!(read.omissions.len(), 1);
  }
}

/// Guards against a whole version that is refused for an item of any kind that cannot be read.
#[test]
fn items_that_cannot_be_read_cost_themselves_alone() {
  let sound = configuration(&[route("r", "/r/", "archive")], &["archive"], &[]);
  let whole = json!({
    "Limits": { "HeaderTimeout": 3, "IdleTimeout": "15s", "MaxBodyBytes": 1000, "MaxHeaderBytes": 16_384 },
    "Routes": [
      route("r", "/r/", "archive"), route("again", "/r/", "archive"), route("lost", "/l/", "lost"),
      "a text", route("bare", "bare", "archive"),
      { "Host": "h", "Name": "broken", "PathPrefix": "/broken/", "AllowedRegions": 5 },
    ],
    "Services": [
      { "HealthPath": "/health", "MaxConnections": 10, "Name": "archive" },
      { "HealthPath": 5, "MaxConnections": 1e30, "Name": "half" },
      { "HealthPath": "/health", "MaxConnections": 10, "Name": ["lost"] },
    ],
    "Version": 7,
  });
  let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
  let text =
    whole.to_string().replace("\"a text\"", &format!("{{\"Name\":\"deep\",\"Odd\":{nested}}}"));
  let read = OperatorSource.read(&text).expect("a configuration");
  read.validate().expect("a valid configuration");
  assert_eq!(read.routes, sound.routes);
  assert!(read.services.contains_key(&ServiceName::from("half")));
  let items: Vec<&str> = read.omissions.iter().map(|omission| omission.item.as_str()).collect();
  let wanted = [
    "a field of `Limits`",
    "a field of service half",
    "a field of service half",
    "a service",
    "route again",
    "route lost",
    "route deep",
    "route bare",
    "route broken",
  ];
  assert_eq!(items, wanted);
  assert!(
    read
      .omissions
      .iter()
      .all(|omission| !omission.reason.contains('\n') && omission.reason.len() <= 800)
  );
}

/// Guards against settings that a name breaks, as the platform fills the template without escapes.
#[test]
fn the_template_of_settings_escapes_names() {
  let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/settings.json");
  let template = fs::read_to_string(path).expect("a template");
  for name in ["Node", "Region", "Service", "Zone"] {
    assert!(template.contains(&format!("{{{{{name}|json}}}}")), "{name}");
    assert!(!template.contains(&format!("{{{{{name}}}}}")), "{name}");
  }
}

/// Guards against backend servers whose reports are refused for the version of their software.
#[test]
fn a_version_of_software_may_hold_any_text() {
  for text in odd_names().iter().filter(|text| !text.is_empty()) {
    assert_eq!(text.parse::<SoftwareVersion>().expect("a version").as_str(), text);
  }
}
