import type { Socket } from 'node:net';

/** Status lines by the error code of Node.js; other errors are a bad request. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

const BAD_REQUEST = '400 Bad Request';

/** Answers bytes that are no request, and closes the connection, on which no request is open. */
export function rejectMalformed(socket: Socket, code: string): void {
  if (socket.writable) {
    const status = STATUS_LINES[code] ?? BAD_REQUEST;
    socket.write(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
  }
  socket.destroySoon();
}
