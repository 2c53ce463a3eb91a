//! The canonical form is that of a decoded value.

use arbtest::arbitrary::{Result, Unstructured};
use serde_json::{Value, json};

use crate::canonical_json::CanonicalJson;

/// Guards against a digest that differs from that of hosts that decode the value.
#[test]
fn the_form_is_that_of_a_decoded_value() {
    let texts = [
        "null",
        " [ ] ",
        "[[],[ ],[1 , 2.50,-0,1e3]]",
        r#"{"b":1,"a":{"d":[true,false,null],"c":"\u00e9\n\""},"b":2}"#,
        "18446744073709551615",
        "123456789012345678901234567890",
        r#""""#,
        "{}",
    ];
    for text in texts {
        let value: Value = serde_json::from_str(text).unwrap();
        let canonical: CanonicalJson = serde_json::from_str(text).unwrap();
        assert_eq!(canonical.0, value.to_string(), "{text}");
    }
    assert_eq!(CanonicalJson::default().0, Value::default().to_string());
    let deep = "[".repeat(200);
    assert!(serde_json::from_str::<CanonicalJson>(&deep).is_err());
}

/// Returns a value of at most this depth.
fn random_value(random: &mut Unstructured, depth: u32) -> Result<Value> {
    Ok(
        match random.int_in_range(0..=if depth == 0 { 4 } else { 6 })? {
            0 => Value::Null,
            1 => json!(random.arbitrary::<bool>()?),
            2 => json!(random.arbitrary::<i64>()?),
            3 => json!(random.arbitrary::<f64>()?),
            4 => json!(random.arbitrary::<String>()?),
            5 => {
                let count = random.int_in_range(0..=3)?;
                (0..count)
                    .map(|_| random_value(random, depth - 1))
                    .collect::<Result<Value>>()?
            }
            _ => {
                let count = random.int_in_range(0..=3)?;
                let fields = (0..count).map(|_| {
                    Ok((
                        random.arbitrary::<String>()?,
                        random_value(random, depth - 1)?,
                    ))
                });
                fields.collect::<Result<Value>>()?
            }
        },
    )
}

/// Guards against values whose form differs.
#[test]
fn random_values_have_the_same_form() {
    arbtest::arbtest(|random| {
        let value = random_value(random, 3)?;
        let text = serde_json::to_string_pretty(&value).unwrap();
        let canonical: CanonicalJson = serde_json::from_str(&text).unwrap();
        assert_eq!(canonical.0, value.to_string());
        Ok(())
    })
    .seed(0x47);
}
