use super::*;

/// The key that all daemons of the fleet share. Never printed.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
  /// Fewest bytes of the secret that a key is derived from.
  pub const SECRET_BYTES_MIN: usize = 16;

  /// Derives the key from a secret.
  pub fn new(secret: &str) -> Self {
    Self(blake3::derive_key("ferryyoke fleet key 1", secret.as_bytes()))
  }

  /// Derives a key for the purpose that `context` names.
  pub fn derive(&self, context: &[u8]) -> [u8; 32] {
    blake3::keyed_hash(&self.0, context).into()
  }

  pub(super) fn read(node: &Node, variables: &Environment) -> Option<Self> {
    const ALLOWED: &str = "an object with either file or environment";
    node.object(&["environment", "file"]);
    let (file, environment) = (node.field("file"), node.field("environment"));
    let secret = match (file.is_present(), environment.is_present()) {
      (true, false) => {
        let path: PathBuf = file.text("a path")?;
        fs::read_to_string(&path).map_err(|err| {
          file.fault_found(format!("{} ({err})", path.display()), "a file that can be read");
        })
      }
      (false, true) => {
        let name: String = environment.text("the name of a variable")?;
        variables(&name).ok_or_else(|| {
          environment.fault_found(format!("the unset variable {name}"), "a variable that is set");
        })
      }
      _ => {
        node.fault(ALLOWED);
        return None;
      }
    };
    let secret = secret.ok()?;
    if secret.trim().len() < Self::SECRET_BYTES_MIN {
      let allowed = format!("a secret of {} characters or more", Self::SECRET_BYTES_MIN);
      node.fault_found("a short secret".into(), allowed);
      return None;
    }
    Some(Self::new(secret.trim()))
  }
}

impl fmt::Debug for FleetKey {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str("FleetKey(..)")
  }
}
