/** Formats a complete HTTP response to a request. */
export function formatResponse(id: string, status = '200 OK', body = 'ok', extra = ''): string {
  return `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Sign: s\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`;
}
