/** Formats a response stating that its request has not run; without a request id if none is given. */
export function formatRefusal(id: string | undefined, status = '503 No', extra = ''): string {
  const idLine = id === undefined ? '' : `X-Request-Id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${idLine}X-Not-Run: 1\r\n${extra}Content-Length: 0\r\n\r\n`;
}
