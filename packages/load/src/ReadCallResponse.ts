import type { IncomingHttpHeaders } from 'node:http';
import type { ExecutionStatus } from '#core/ExecutionStatus.js';
import type { CallResponse } from '#load/CallResponse.js';

const DEFAULT_RETRY_MS = 50;

interface Refusal {
  readonly ran?: unknown;
  readonly retryAfterMs?: unknown;
  readonly at?: unknown;
}

/** Reads a response: its router headers and, on a refusal, the JSON body. */
export function readCallResponse(status: number, headers: IncomingHttpHeaders, body: Buffer): CallResponse {
  const refusal = status >= 400 ? parseRefusal(body) : {};
  return {
    status,
    ran: status < 400 ? 'ran' : readRan(refusal.ran),
    epoch: readHeader(headers, 'amr-epoch'),
    owner: readHeader(headers, 'amr-owner'),
    delivery: readHeader(headers, 'amr-delivery'),
    retryAfterMs: typeof refusal.retryAfterMs === 'number' ? refusal.retryAfterMs : DEFAULT_RETRY_MS,
    at: Array.isArray(refusal.at) ? refusal.at.filter((one): one is string => typeof one === 'string') : [],
    body,
  };
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function readRan(value: unknown): ExecutionStatus {
  return value === 'not run' || value === 'ran' ? value : 'unknown';
}

function parseRefusal(body: Buffer): Refusal {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}
