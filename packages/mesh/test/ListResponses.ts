const HEAD_END = '\r\n\r\n';

/** Statuses of the responses in `text`, with the bytes of each body; `cut` if the last one is incomplete. */
export function listResponses(text: string): readonly string[] {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return text === '' ? [] : ['cut'];
  const head = text.slice(0, end);
  const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1]);
  const rest = text.slice(end + HEAD_END.length);
  if (rest.length < length) return ['cut'];
  return [`${/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? '?'} ${length}`, ...listResponses(rest.slice(length))];
}
