const LIMIT = 40;
const OFFSET = 64;

/** Encodes small numbers as one character each; numbers beyond ±40, such as infinite times, become ±40. */
export function encodeNumbers(numbers: readonly number[]): string {
  let text = '';
  for (const number of numbers) {
    text += String.fromCharCode(OFFSET + Math.max(-LIMIT, Math.min(LIMIT, number)));
  }
  return text;
}
