//! RESP arrays of bulk strings (`*N\r\n$LEN\r\n...\r\n`): commands to invokers, and their answers.

use bytes::{Buf, Bytes, BytesMut};

/// Parts of an answer: id, word, fields, body.
pub const PARTS: usize = 4;
/// Bytes of an answer's body; an answer that tells of more is not read.
pub const MOST_BODY: usize = 64 << 10;
/// Bytes of an id, a word or fields.
pub const MOST_WORD: usize = 1 << 10;
/// Bytes of a line that holds a count or a length, without its end.
const MOST_LINE: usize = 12;

/// Why what came is no answer. Where the next one begins is not known: the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A line does not begin as it must, or is no figure.
    #[error("a count or a length can't be read")]
    Line,
    /// An array of other than [`PARTS`].
    #[error("an answer of {0} parts")]
    Parts(u32),
    /// A part over its bound.
    #[error("a part of {0} bytes")]
    Long(u64),
    /// A part does not end where its length says.
    #[error("a part does not end where its length says")]
    End,
    /// An id, a word or fields are no text.
    #[error("a part is not UTF-8")]
    NotText,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The id or the tag.
    pub id: String,
    /// What came of it.
    pub word: String,
    /// Its fields, or `-`.
    pub fields: String,
    /// Its body.
    pub body: Bytes,
}

/// Takes the next answer off the front of `input`. `Ok(None)`: more must come; what stands is bounded by the
/// bounds of its parts.
pub fn next(input: &mut BytesMut) -> Result<Option<Answer>, RespError> {
    let Some((count, mut at)) = line(input, 0, b'*')? else { return Ok(None) };
    if count != PARTS as u64 {
        return Err(RespError::Parts(count.min(u64::from(u32::MAX)) as u32));
    }
    let mut parts = [(0, 0); PARTS];
    for (number, part) in parts.iter_mut().enumerate() {
        let Some((length, from)) = line(input, at, b'$')? else { return Ok(None) };
        let most = if number + 1 == PARTS { MOST_BODY } else { MOST_WORD };
        if length > most as u64 {
            return Err(RespError::Long(length));
        }
        let to = from + length as usize;
        for (place, want) in [(to, b'\r'), (to + 1, b'\n')] {
            if input.get(place).is_some_and(|b| *b != want) {
                return Err(RespError::End);
            }
        }
        if input.len() < to + 2 {
            return Ok(None);
        }
        *part = (from, to);
        at = to + 2;
    }
    let text = |(from, to): (usize, usize)| {
        std::str::from_utf8(&input[from..to]).map(str::to_owned).map_err(|_| RespError::NotText)
    };
    let body = Bytes::copy_from_slice(&input[parts[3].0..parts[3].1]);
    let answer = Answer { id: text(parts[0])?, word: text(parts[1])?, fields: text(parts[2])?, body };
    input.advance(at);
    Ok(Some(answer))
}

/// A count or a length at `from`, and where what follows begins.
fn line(input: &BytesMut, from: usize, mark: u8) -> Result<Option<(u64, usize)>, RespError> {
    let Some(rest) = input.get(from..) else { return Ok(None) };
    let Some((first, rest)) = rest.split_first() else { return Ok(None) };
    if *first != mark {
        return Err(RespError::Line);
    }
    let digits = rest.iter().take(MOST_LINE).take_while(|b| b.is_ascii_digit()).count();
    let end = rest.get(digits..).unwrap_or(&[]);
    match end {
        [b'\r', b'\n', ..] if digits > 0 => {
            let figure = rest[..digits].iter().fold(0, |n: u64, b| n * 10 + u64::from(b - b'0'));
            Ok(Some((figure, from + 1 + digits + 2)))
        }
        [] if digits < MOST_LINE => Ok(None),
        [b'\r'] if digits > 0 => Ok(None),
        _ => Err(RespError::Line),
    }
}

/// Appends an array of bulk strings.
pub fn command(out: &mut Vec<u8>, parts: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends `CALL ID FIELDS BODY`; `key`: by what the invoker drops repeats.
pub fn call(
    out: &mut Vec<u8>,
    id: &str,
    sort: &str,
    asset: &str,
    key: Option<&str>,
    patience_ms: u64,
    body: &[u8],
) {
    let mut fields = format!("sort={sort},asset={asset},patience={patience_ms}");
    if let Some(key) = key {
        fields.push_str(",op=");
        fields.push_str(key);
    }
    command(out, &[b"CALL", id.as_bytes(), fields.as_bytes(), body]);
}

/// Appends `CANCEL ID`.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    command(out, &[b"CANCEL", id.as_bytes()]);
}

/// Appends `PING TAG` or, for an answer with a report, `STATS TAG`.
pub fn probe(out: &mut Vec<u8>, tag: &str, report: bool) {
    command(out, &[if report { b"STATS" } else { b"PING" }, tag.as_bytes()]);
}

/// Appends `LOAD TAG asset=...,instances=...`.
pub fn load(out: &mut Vec<u8>, tag: &str, asset: &str, instances: u32) {
    let fields = format!("asset={asset},instances={instances}");
    command(out, &[b"LOAD", tag.as_bytes(), fields.as_bytes()]);
}

/// Appends `UNLOAD ASSET`.
pub fn unload(out: &mut Vec<u8>, asset: &str) {
    command(out, &[b"UNLOAD", asset.as_bytes()]);
}
